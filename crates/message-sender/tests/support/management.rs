//! Operator calls to a sender's management listener.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use super::http::read_message;
use super::sender_process::SenderProcess;
use super::TIMEOUT;

/// Interval at which a metric is read while a test waits for its value.
const METRIC_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The answer to an operator's call.
pub struct ManagementAnswer {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: String,
}

impl SenderProcess {
    /// Makes an operator's call.
    pub fn call_management(&self, method: &str, path: &str, body: &str) -> ManagementAnswer {
        let mut stream = TcpStream::connect(self.management).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let length = body.len();
        let text = format!("{method} {path} HTTP/1.1\r\nHost: m\r\nContent-Length: {length}\r\n\r\n{body}");
        // The write may fail: the sender may answer and close before it has read the whole request.
        let _ = stream.write_all(text.as_bytes());
        let mut stream = BufReader::new(stream);
        let answer = read_message(&mut stream).expect("the sender did not answer");
        assert!(
            read_message(&mut stream).is_none(),
            "the sender did not close the connection after its answer"
        );
        let status =
            answer.status().expect("no status code").parse().expect("the status code is not a number");
        ManagementAnswer { status, body: String::from_utf8(answer.body).unwrap() }
    }

    /// Makes an operator's call; returns the status code of the answer.
    pub fn management_status(&self, method: &str, path: &str, body: &str) -> u16 {
        self.call_management(method, path, body).status
    }

    /// The current value of a metric, by its name without the prefix `router.`.
    pub fn metric(&self, name: &str) -> u64 {
        let text = self.call_management("GET", "/status/metrics", "").body;
        let prefix = format!("router.{name}:");
        let value =
            text.lines().find_map(|line| line.strip_prefix(&prefix)).expect("the metric is not listed");
        let (value, _) = value.split_once('|').unwrap_or((value, ""));
        value.parse().unwrap()
    }

    /// Waits until a metric has this value.
    pub fn await_metric(&self, name: &str, value: u64) {
        let start = Instant::now();
        while self.metric(name) != value {
            assert!(start.elapsed() < TIMEOUT, "{name} is {} instead of {value}", self.metric(name));
            thread::sleep(METRIC_POLL_INTERVAL);
        }
    }
}
