//! A client that submits messages without end, for load.

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

/// What a client saw.
#[derive(Default)]
pub struct ClientReport {
    /// Submissions that were accepted.
    pub accepted: u32,
    /// Requests that met a connection which was closed while they were in transit.
    pub disturbed: u32,
    /// Connections opened.
    pub connections: u32,
}

impl ClientReport {
    /// Adds what another client saw.
    pub fn add(&mut self, other: &Self) {
        self.accepted += other.accepted;
        self.disturbed += other.disturbed;
        self.connections += other.connections;
    }
}

/// A client that submits message after message on one connection, and on a new one where that was closed
/// between requests.
pub struct LoadClient {
    address: SocketAddr,
    /// Number of the client, by which its message ids differ from those of others.
    number: usize,
    connection: Option<BufReader<TcpStream>>,
    report: ClientReport,
}

impl LoadClient {
    /// A client of the sender at this address.
    pub fn new(address: SocketAddr, number: usize) -> Self {
        Self { address, number, connection: None, report: ClientReport::default() }
    }

    /// Submits messages until `is_over` is set.
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
            None => self.report.disturbed += 1,
        }
    }

    fn connect(&mut self) -> BufReader<TcpStream> {
        self.report.connections += 1;
        let stream = TcpStream::connect(self.address).expect("no connection is refused");
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        BufReader::new(stream)
    }
}

/// The other end has closed it, which a client sees before it sends the next request.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let read = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    !read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
