//! The ids of messages that have ended a while ago, so that one that comes again is not sent again.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

/// Ids are remembered for so long: far longer than a client waits for its answer.
const MEMORY: Duration = Duration::from_secs(60);
/// Ids that are remembered at most, which bounds the memory that they take.
const CAPACITY: usize = 4_096;

/// Ids of messages that were delivered, or that failed. Those that were rejected are not among them: their
/// clients may submit them again.
#[derive(Default)]
pub struct RecentlyEnded {
    call_ids: HashSet<String>,
    oldest_first: VecDeque<(Instant, String)>,
}

impl RecentlyEnded {
    /// Remembers a message that has ended just now.
    pub fn insert(&mut self, call_id: String) {
        self.expire();
        if self.call_ids.insert(call_id.clone()) {
            self.oldest_first.push_back((Instant::now(), call_id));
        }
    }

    /// Whether a message of this id has ended a while ago.
    pub fn contains(&self, call_id: &str) -> bool {
        self.call_ids.contains(call_id)
    }

    fn expire(&mut self) {
        while let Some((ended_at, call_id)) = self.oldest_first.front() {
            if ended_at.elapsed() < MEMORY && self.oldest_first.len() < CAPACITY {
                return;
            }
            self.call_ids.remove(call_id);
            self.oldest_first.pop_front();
        }
    }
}
