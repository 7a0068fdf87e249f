//! The progress of a graceful shutdown.

use std::time::Duration;

use tokio::time::Instant;

use crate::drain::{ATTEMPTS_STOP_AFTER, DRAIN_DEADLINE, MINIMUM_DRAIN};

/// The state of this process's graceful shutdown; without a request, none is in progress.
#[derive(Default)]
pub struct Shutdown {
    requested_at: Option<Instant>,
}

impl Shutdown {
    /// Starts the shutdown. A second request has no effect.
    pub fn request(&mut self) {
        self.requested_at.get_or_insert_with(Instant::now);
    }

    /// Time since the request to shut down, for the log; zero if there was none.
    pub fn elapsed_or_zero(&self) -> Duration {
        self.elapsed().unwrap_or_default()
    }

    /// When the shutdown was requested, if it was.
    pub fn requested_at(&self) -> Option<Instant> {
        self.requested_at
    }

    /// Whether the shutdown was requested.
    pub fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }

    /// Whether no further attempt may be started: open messages stay in the journal for the next process.
    pub fn attempts_have_stopped(&self) -> bool {
        self.elapsed().is_some_and(|elapsed| elapsed >= ATTEMPTS_STOP_AFTER)
    }

    /// Whether the process ends now: at the deadline in any case, before it only if the process is idle and
    /// the minimum time has passed.
    pub fn is_complete(&self, is_idle: impl FnOnce() -> bool) -> bool {
        let Some(elapsed) = self.elapsed() else { return false };
        elapsed >= DRAIN_DEADLINE || (elapsed >= MINIMUM_DRAIN && is_idle())
    }

    fn elapsed(&self) -> Option<Duration> {
        self.requested_at.map(|requested_at| requested_at.elapsed())
    }
}
