//! Counts attempts that failed because of their connection, for a periodic log line.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of different failures per log line; failures of further kinds are not counted.
const MAX_KINDS: usize = 8;

/// How an attempt failed. Ordered by reason.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct FailureKind {
    reason: String,
    is_reused: bool,
}

/// Counts the attempts that failed since the last log line, by kind of failure.
#[derive(Debug, Default)]
pub struct FailureLog {
    counts: RefCell<BTreeMap<FailureKind, u32>>,
}

impl FailureLog {
    /// Counts a failure. `is_reused` tells whether the connection had carried an earlier request.
    pub fn record(&self, reason: String, is_reused: bool) {
        let kind = FailureKind { reason, is_reused };
        let mut counts = self.counts.borrow_mut();
        if counts.len() < MAX_KINDS || counts.contains_key(&kind) {
            *counts.entry(kind).or_default() += 1;
        }
    }

    /// Whether no failure was counted since the last log line.
    pub fn is_empty(&self) -> bool {
        self.counts.borrow().is_empty()
    }

    /// Logs the failures since the last log line, with the idle time up to which connections are reused.
    pub fn log(&self, trusted_idle_time: Duration) {
        let failures = self.counts.take();
        let trusted_idle_ms = trusted_idle_time.as_millis();
        tracing::warn!(?failures, trusted_idle_ms, "attempts failed on their connections");
    }
}
