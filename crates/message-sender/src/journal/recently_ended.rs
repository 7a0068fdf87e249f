//! The call ids of recently ended messages, so that a message that is submitted again is not sent again.

use std::collections::{HashSet, VecDeque};

/// Maximum number of ids, which bounds the memory that they take.
const CAPACITY: usize = 4_096;

/// The last messages that were delivered or failed after attempts, by their call ids. Rejected messages are
/// not included, because their clients may submit them again.
#[derive(Debug, Default)]
pub(super) struct RecentlyEnded {
    /// The ids, for lookup.
    call_ids: HashSet<String>,
    /// The same ids in the order in which their messages ended.
    oldest_first: VecDeque<String>,
}

impl RecentlyEnded {
    /// Adds a message that has just ended, and drops the oldest one beyond the capacity.
    pub(super) fn insert(&mut self, call_id: String) {
        if !self.call_ids.insert(call_id.clone()) {
            return;
        }
        self.oldest_first.push_back(call_id);
        if self.oldest_first.len() > CAPACITY {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.call_ids.remove(&oldest);
            }
        }
    }

    /// Whether a message with this id ended recently.
    pub(super) fn contains(&self, call_id: &str) -> bool {
        self.call_ids.contains(call_id)
    }

    /// The newest ids that together take no more than this many bytes, oldest first.
    pub(super) fn newest_within(&self, max_bytes: u64) -> Vec<String> {
        let mut bytes = 0;
        let fits = |call_id: &&String| {
            bytes += call_id.len() as u64 + 1;
            bytes <= max_bytes
        };
        let newest_first: Vec<_> = self.oldest_first.iter().rev().take_while(fits).cloned().collect();
        newest_first.into_iter().rev().collect()
    }
}
