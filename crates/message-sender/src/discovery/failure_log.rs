//! Log lines on failed polls, at a limited rate.

use std::time::Duration;

use tokio::time::Instant;

use super::error::DiscoveryError;

/// Least time between log lines on failed polls.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs failed polls, at most one line per [`LOG_INTERVAL`] with the number of failures since the last line.
#[derive(Default)]
pub struct FailureLog {
    unlogged_failures: u32,
    last_logged: Option<Instant>,
}

impl FailureLog {
    /// Counts a failure, and logs it unless a line was logged a moment ago.
    pub fn record(&mut self, error: &DiscoveryError) {
        self.unlogged_failures += 1;
        if self.last_logged.is_some_and(|logged| logged.elapsed() < LOG_INTERVAL) {
            return;
        }
        tracing::info!(%error, failures = self.unlogged_failures, "discovery poll failed");
        self.unlogged_failures = 0;
        self.last_logged = Some(Instant::now());
    }
}
