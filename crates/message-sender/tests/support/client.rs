//! Clients that submit messages.

use std::io::{BufReader, Write};
use std::net::TcpStream;

use super::http::{read_message, HttpMessage};
use super::sender_process::SenderProcess;
use super::TIMEOUT;

/// Status line of the answer to an accepted submission.
pub const ACCEPTED: &str = "HTTP/1.1 202 Accepted";

/// The request that submits a message for destination 7.
pub fn submission(id: &str, budget_ms: u64, body: &str) -> String {
    format!(
        "POST /notice HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: notice\r\n\
         X-Budget-Ms: {budget_ms}\r\nIdempotency-Key: key-of-{id}\r\nX-Consignee: dest=7\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl SenderProcess {
    /// Opens a client connection.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }

    /// Sends a request on a new connection and reads the answer; `None` if the connection ends without one.
    pub fn request(&self, text: &str) -> Option<HttpMessage> {
        let mut stream = self.connect();
        // The write may fail: the sender may answer and close before it has read the whole request.
        let _ = stream.write_all(text.as_bytes());
        read_message(&mut BufReader::new(stream))
    }

    /// Submits a message for destination 7; returns the status line of the answer.
    pub fn submit(&self, id: &str, budget_ms: u64, body: &str) -> String {
        self.request(&submission(id, budget_ms, body)).expect("the sender did not answer").start_line
    }

    /// Submits a message for any destination; returns the status line of the answer.
    pub fn submit_to(&self, destination: u64, id: &str) -> String {
        let text = submission(id, 20_000, "x").replace("dest=7", &format!("dest={destination}"));
        self.request(&text).expect("the sender did not answer").start_line
    }

    /// Submits a message about a subject, which is its order key, for destination 7; returns the status line
    /// of the answer.
    pub fn submit_about(&self, subject: &str, id: &str) -> String {
        let path = format!("/notice?subject={subject} ");
        let text = submission(id, 20_000, "x").replace("/notice ", &path);
        self.request(&text).expect("the sender did not answer").start_line
    }
}
