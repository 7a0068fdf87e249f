//! Limits how often one kind of event is logged, so that an outage does not flood the log.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Allows one log line per interval, and counts the events in between that are not logged.
pub struct LogLimit {
    /// Minimum time between two log lines.
    interval: Duration,
    /// When an event was last logged, if one was.
    last_logged: Cell<Option<Instant>>,
    /// Number of events since then.
    unlogged: Cell<u32>,
}

impl LogLimit {
    /// Creates a limit that allows the first event.
    pub const fn new(interval: Duration) -> Self {
        Self { interval, last_logged: Cell::new(None), unlogged: Cell::new(0) }
    }

    /// Counts an event. If it is to be logged, returns the number of events since the last logged one.
    pub fn count(&self) -> Option<u32> {
        let events = self.unlogged.get() + 1;
        self.unlogged.set(events);
        if self.last_logged.get().is_some_and(|last| last.elapsed() < self.interval) {
            return None;
        }
        self.last_logged.set(Some(Instant::now()));
        self.unlogged.set(0);
        Some(events)
    }
}
