//! Log lines on failed polls and notices, at a limited rate.

use std::time::Duration;

use super::error::DiscoveryError;
use crate::log_limit::LogLimit;

/// Least time between log lines on failures.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs failed polls or notices, one line per [`LOG_INTERVAL`] at most, with the number of failures since the
/// last line.
pub struct FailureLog {
    limit: LogLimit,
}

impl Default for FailureLog {
    fn default() -> Self {
        Self { limit: LogLimit::new(LOG_INTERVAL) }
    }
}

impl FailureLog {
    /// Counts a failure, and logs it unless a line was logged a moment ago.
    pub fn record_poll(&self, error: &DiscoveryError) {
        if let Some(failures) = self.limit.count() {
            tracing::info!(%error, failures, "discovery poll failed");
        }
    }

    /// The same for notices, of which so many were not acknowledged.
    pub fn record_notices(&self, error: &DiscoveryError, notices: usize) {
        if let Some(failures) = self.limit.count() {
            tracing::warn!(%error, notices, failures, "notices not acknowledged");
        }
    }
}
