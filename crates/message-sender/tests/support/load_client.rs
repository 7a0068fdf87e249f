//! A client that generates load by submitting messages continuously.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::client::{submission, ACCEPTED};
use super::http::read_message;
use super::TIMEOUT;

/// Pause after each submission.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(5);

/// Counts of what a client observed.
#[derive(Default)]
pub struct ClientReport {
    /// Accepted submissions.
    pub accepted: u32,
    /// Requests without an answer, because the sender closed the connection while they were in transit.
    pub interrupted: u32,
    /// Connections that the client opened.
    pub connections: u32,
}

impl ClientReport {
    /// Adds the counts of another client.
    pub fn add(&mut self, other: &Self) {
        self.accepted += other.accepted;
        self.interrupted += other.interrupted;
        self.connections += other.connections;
    }
}

/// A client that submits messages on one connection, one after the other, and opens a new connection when the
/// sender has closed the old one.
pub struct LoadClient {
    address: SocketAddr,
    /// Number of the client, which makes its message ids differ from those of other clients.
    number: usize,
    connection: Option<BufReader<TcpStream>>,
    report: ClientReport,
}

impl LoadClient {
    /// Creates a client of the sender at this address, without connecting.
    pub fn new(address: SocketAddr, number: usize) -> Self {
        Self { address, number, connection: None, report: ClientReport::default() }
    }

    /// Submits messages until `is_over` is set; returns the counts.
    pub fn run(mut self, is_over: &AtomicBool) -> ClientReport {
        while !is_over.load(Ordering::Relaxed) {
            self.submit_next();
            thread::sleep(SUBMISSION_INTERVAL);
        }
        self.report
    }

    fn submit_next(&mut self) {
        let mut connection = match self.connection.take() {
            Some(connection) if !is_closed(connection.get_ref()) => connection,
            _ => self.connect(),
        };
        let text = submission(&format!("m-{}-{}", self.number, self.report.accepted), 20_000, "x");
        let written = connection.get_mut().write_all(text.as_bytes());
        let answer = written.ok().and_then(|()| read_message(&mut connection));
        match answer {
            Some(answer) => {
                assert_eq!(answer.start_line, ACCEPTED);
                self.report.accepted += 1;
                self.connection = Some(connection);
            }
            None => self.report.interrupted += 1,
        }
    }

    fn connect(&mut self) -> BufReader<TcpStream> {
        self.report.connections += 1;
        let stream = TcpStream::connect(self.address).expect("the sender refused a connection");
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        BufReader::new(stream)
    }
}

/// Whether the sender has closed the connection, which a client can see before it sends the next request.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let read = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    !read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
