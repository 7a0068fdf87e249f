//! The ids of messages that have ended, so that one that comes again is not sent again.

use std::collections::{HashSet, VecDeque};

/// Ids that are remembered at most, which bounds the memory that they take.
const CAPACITY: usize = 4_096;

/// The last messages that were delivered, or that failed after attempts, by the ids that their clients gave.
/// Those that were rejected are not among them: their clients may submit them again.
#[derive(Debug, Default)]
pub(super) struct RecentlyEnded {
    call_ids: HashSet<String>,
    oldest_first: VecDeque<String>,
}

impl RecentlyEnded {
    /// Remembers a message that has ended just now.
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

    /// Whether a message of this id has ended a while ago.
    pub(super) fn contains(&self, call_id: &str) -> bool {
        self.call_ids.contains(call_id)
    }

    /// The last ids that take no more than this many bytes, oldest first.
    pub(super) fn last(&self, max_bytes: u64) -> Vec<String> {
        let mut bytes = 0;
        let fits = |call_id: &&String| {
            bytes += call_id.len() as u64 + 1;
            bytes <= max_bytes
        };
        let newest_first: Vec<_> = self.oldest_first.iter().rev().take_while(fits).cloned().collect();
        newest_first.into_iter().rev().collect()
    }
}
