//! Counts attempts whose connection failed them, for a periodic log event.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Kinds of failures that are distinguished; further ones are not counted.
const MAX_KINDS: usize = 8;

/// What an attempt failed by. Ordered by reason.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct FailureKind {
    reason: String,
    is_reused: bool,
}

/// Attempts that failed since the last log event.
#[derive(Debug, Default)]
pub struct FailureLog {
    counts: RefCell<BTreeMap<FailureKind, u32>>,
}

impl FailureLog {
    /// Counts a failure, on a connection that had carried an earlier request or not.
    pub fn record(&self, reason: String, is_reused: bool) {
        let kind = FailureKind { reason, is_reused };
        let mut counts = self.counts.borrow_mut();
        if counts.len() < MAX_KINDS || counts.contains_key(&kind) {
            *counts.entry(kind).or_default() += 1;
        }
    }

    /// Whether nothing has failed since the last log event.
    pub fn is_empty(&self) -> bool {
        self.counts.borrow().is_empty()
    }

    /// Logs what has failed since the last log event, with the idle time up to which connections are reused.
    pub fn log(&self, trusted_idle_time: Duration) {
        let failures = self.counts.take();
        let trusted_idle_ms = trusted_idle_time.as_millis();
        tracing::warn!(?failures, trusted_idle_ms, "attempts failed on their connections");
    }
}
