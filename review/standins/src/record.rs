//! What was seen: a log for people, and the facts that the checks read.

use std::fmt::Display;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A call that an endpoint received completely. Times are in seconds since the start of the play.
#[derive(Clone)]
pub struct Call {
    pub at: f64,
    pub endpoint: String,
}

/// A message that a client handed in.
#[derive(Clone)]
pub struct Submission {
    pub at: f64,
    pub call_id: String,
    pub destination: u64,
    /// The status of the answer; 0 if there was none within 400 ms.
    pub status: u16,
}

/// A notice that the platform received.
#[derive(Clone)]
pub struct Notice {
    pub call_id: String,
}

#[derive(Default)]
pub struct Facts {
    pub calls: Vec<Call>,
    /// Call ids of messages for which a 200 was written to the sender, with the time.
    pub delivered: Vec<(String, f64)>,
    pub submissions: Vec<Submission>,
    pub notices: Vec<Notice>,
    lines: Vec<(f64, String)>,
}

/// Seconds as whole milliseconds, as times are written: a decimal point could be taken for that of an address.
pub fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1e3).round() as u64
}

/// Shared by all stand-ins of a play.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    pub facts: Arc<Mutex<Facts>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), facts: Arc::default() }
    }

    /// Seconds since the start of the play.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl Display) {
        let now = self.now();
        self.facts.lock().unwrap().lines.push((now, text.to_string()));
    }

    /// The log, in order of time, each line with its milliseconds since the start.
    pub fn text(&self) -> String {
        let mut lines = self.facts.lock().unwrap().lines.clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        lines.iter().map(|(at, text)| format!("{:>6} ms {text}\n", milliseconds(*at))).collect()
    }
}
