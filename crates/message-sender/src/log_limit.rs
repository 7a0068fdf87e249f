//! Limits how often a kind of event is logged: an outage must not flood the log.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Lets one event through in each interval, and counts those in between.
pub struct LogLimit {
    interval: Duration,
    last: Cell<Option<Instant>>,
    unlogged: Cell<u32>,
}

impl LogLimit {
    /// Lets the first event through.
    pub const fn new(interval: Duration) -> Self {
        Self { interval, last: Cell::new(None), unlogged: Cell::new(0) }
    }

    /// Counts an event. If it is to be logged, returns how many there were since the last one that was.
    pub fn count(&self) -> Option<u32> {
        let events = self.unlogged.get() + 1;
        self.unlogged.set(events);
        if self.last.get().is_some_and(|last| last.elapsed() < self.interval) {
            return None;
        }
        self.last.set(Some(Instant::now()));
        self.unlogged.set(0);
        Some(events)
    }
}
