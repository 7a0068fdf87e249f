//! Rate-limited log lines about failed polls and notices.

use std::time::Duration;

use super::error::DiscoveryError;
use crate::log_limit::LogLimit;

/// Minimum time between two log lines about failures.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs failed polls or notices, at most one line per [`LOG_INTERVAL`], each with the number of failures
/// since the line before.
pub struct FailureLog {
    limit: LogLimit,
}

impl Default for FailureLog {
    fn default() -> Self {
        Self { limit: LogLimit::new(LOG_INTERVAL) }
    }
}

impl FailureLog {
    /// Counts a failed poll, and logs it unless a failure was logged less than [`LOG_INTERVAL`] ago.
    pub fn record_poll(&self, error: &DiscoveryError) {
        if let Some(failures) = self.limit.count() {
            tracing::info!(%error, failures, "discovery poll failed");
        }
    }

    /// Counts a failed request with this number of notices, and logs it under the same condition.
    pub fn record_notices(&self, error: &DiscoveryError, notices: usize) {
        if let Some(failures) = self.limit.count() {
            tracing::warn!(%error, notices, failures, "notices not acknowledged");
        }
    }
}
