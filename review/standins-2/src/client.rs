//! Clients.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// How long a client waits for the answer.
const PATIENCE: Duration = Duration::from_millis(400);

/// A message to hand in.
#[derive(Clone)]
pub struct Submission {
    pub id: String,
    pub class: &'static str,
    pub destination: u32,
    pub key: Option<String>,
    pub subject: Option<String>,
    pub budget_ms: u64,
    pub body: String,
}

impl Submission {
    pub fn new(id: &str, class: &'static str, destination: u32, budget_ms: u64) -> Self {
        let body = format!("message {id}");
        Self { id: id.to_owned(), class, destination, key: None, subject: None, budget_ms, body }
    }

    /// The request as it is written.
    pub fn text(&self) -> String {
        let query = self.subject.as_ref().map(|key| format!("?subject={key}")).unwrap_or_default();
        let key = self.key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
        format!(
            "POST /{0}{query} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {1}\r\nX-Call-Class: {0}\r\n\
             X-Caller: acme\r\nX-Budget-Ms: {2}\r\n{key}Content-Length: {3}\r\nX-Consignee: dest={4}\r\n\r\n{5}",
            self.class,
            self.id,
            self.budget_ms,
            self.body.len(),
            self.destination,
            self.body
        )
    }
}

/// Hands a message in on a new connection; returns the status of the answer, or the error.
pub fn submit(record: &Record, address: SocketAddr, submission: &Submission) -> io::Result<u16> {
    let answer = exchange(address, &submission.text(), PATIENCE);
    let seen = answer.as_ref().map_or_else(|error| error.to_string(), |answer| answer.first_line.clone());
    record.line(format!("client: {} {} handed in: {seen}", submission.class, submission.id));
    answer.map(|answer| answer.status())
}

/// Sends a request on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, text: &str, patience: Duration) -> io::Result<http::Message> {
    let mut stream = TcpStream::connect_timeout(&address, patience)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(text.as_bytes())?;
    http::read(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
