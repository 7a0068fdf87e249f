//! How far a graceful shutdown has come.

use std::time::Duration;

use tokio::time::Instant;

use crate::drain::{DRAIN_DEADLINE, LAST_ATTEMPT_AFTER, MINIMUM_DRAIN};

/// The graceful shutdown of this process, once it has been requested.
#[derive(Default)]
pub struct Shutdown {
    requested_at: Option<Instant>,
}

impl Shutdown {
    /// Begins the shutdown. A second request changes nothing.
    pub fn request(&mut self) {
        self.requested_at.get_or_insert_with(Instant::now);
    }

    /// When it was requested, if it was.
    pub fn requested_at(&self) -> Option<Instant> {
        self.requested_at
    }

    /// Whether it was requested.
    pub fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }

    /// Whether no further attempt may be started: open messages stay in the journal for the next process.
    pub fn attempts_have_stopped(&self) -> bool {
        self.elapsed().is_some_and(|elapsed| elapsed >= LAST_ATTEMPT_AFTER)
    }

    /// Whether the process ends now. Before the deadline it does so only when it is idle, and not at once.
    pub fn is_complete(&self, is_idle: impl FnOnce() -> bool) -> bool {
        let Some(elapsed) = self.elapsed() else { return false };
        elapsed >= DRAIN_DEADLINE || (elapsed >= MINIMUM_DRAIN && is_idle())
    }

    fn elapsed(&self) -> Option<Duration> {
        self.requested_at.map(|requested_at| requested_at.elapsed())
    }
}
