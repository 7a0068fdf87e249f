//! The queues of messages with the same order key.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{MessageId, Micros};

/// A time during which only one message of an order key may be sent.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct Quarantine {
    /// When it ends, in µs on the host's clock.
    until: Micros,
    /// The message that may be sent.
    exempt: MessageId,
}

/// The queue of one order key.
#[derive(Default, Clone, Serialize, Deserialize)]
struct KeyQueue {
    /// Messages in the order in which they are to be delivered.
    messages: VecDeque<MessageId>,
    quarantine: Option<Quarantine>,
}

/// The queues of all order keys.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct KeyQueues {
    queues: BTreeMap<String, KeyQueue>,
    /// Order keys of messages that were given up and whose notice the platform has not acknowledged. Each
    /// message keeps its place in the queue until then.
    pending_notices: BTreeMap<MessageId, String>,
    /// When the quarantine of all order keys ends, in µs on the host's clock.
    #[serde(default)]
    all_quarantined_until: Micros,
}

impl KeyQueues {
    pub fn push(&mut self, key: &str, id: MessageId) {
        self.queues.entry(key.to_owned()).or_default().messages.push_back(id);
    }

    /// Keeps the place of a message that was given up until its notice is acknowledged. Does nothing without
    /// an order key.
    pub fn await_notice(&mut self, id: MessageId, key: Option<&String>) {
        if let Some(key) = key {
            self.pending_notices.insert(id, key.clone());
        }
    }

    /// Records that a notice was acknowledged; returns the order key of its message if it was pending.
    pub fn acknowledge_notice(&mut self, id: MessageId) -> Option<String> {
        self.pending_notices.remove(&id)
    }

    pub fn is_notice_pending(&self, id: MessageId) -> bool {
        self.pending_notices.contains_key(&id)
    }

    fn get(&self, key: Option<&String>) -> Option<&KeyQueue> {
        self.queues.get(key?)
    }

    /// Whether a message is at the head of its order key's queue. Also true if it has no order key or the key
    /// has no queue.
    pub fn is_head(&self, key: Option<&String>, id: MessageId) -> bool {
        self.get(key).is_none_or(|queue| queue.messages.front() == Some(&id))
    }

    /// The messages behind this one if it is at the head of its order key's queue; none otherwise.
    pub fn followers(&self, key: Option<&String>, id: MessageId) -> impl Iterator<Item = MessageId> + '_ {
        let queue = self.get(key).filter(|queue| queue.messages.front() == Some(&id));
        queue.into_iter().flat_map(|queue| queue.messages.iter().skip(1).copied())
    }

    pub fn contains(&self, key: &str, id: MessageId) -> bool {
        self.queues.get(key).is_some_and(|queue| queue.messages.contains(&id))
    }

    /// When the quarantine of a message's order key ends, in µs on the host's clock; 0 if it has no key.
    pub fn quarantined_until(&self, key: Option<&String>, id: MessageId) -> Micros {
        if key.is_none() {
            return 0;
        }
        let quarantine = self.get(key).and_then(|queue| queue.quarantine);
        let of_key = quarantine.filter(|quarantine| quarantine.exempt != id);
        self.all_quarantined_until.max(of_key.map_or(0, |quarantine| quarantine.until))
    }

    /// Quarantines all order keys, without an exemption.
    pub fn quarantine_all(&mut self, until: Micros) {
        self.all_quarantined_until = until;
    }

    /// Quarantines an order key for all messages but `exempt`.
    pub fn quarantine(&mut self, key: &str, exempt: MessageId, until: Micros) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.quarantine = Some(Quarantine { until, exempt });
        }
    }

    /// Removes a message from its queue; returns the new head of the queue.
    pub fn remove(&mut self, key: &str, id: MessageId) -> Option<MessageId> {
        let queue = self.queues.get_mut(key)?;
        queue.messages.retain(|other| *other != id);
        queue.messages.front().copied()
    }

    /// Removes queues that have no messages and no quarantine that still holds.
    pub fn drop_idle(&mut self, now: Micros) {
        self.queues.retain(|_, queue| {
            !queue.messages.is_empty() || queue.quarantine.is_some_and(|quarantine| quarantine.until > now)
        });
    }
}
