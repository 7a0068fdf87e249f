//! The queues of all order keys.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{MessageId, Micros};

/// A span in which only one message of a key may be sent.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct Quarantine {
    until: Micros,
    exempt: MessageId,
}

/// The messages of one key in order.
#[derive(Default, Clone, Serialize, Deserialize)]
struct KeyQueue {
    messages: VecDeque<MessageId>,
    quarantine: Option<Quarantine>,
}

/// The queues of all order keys.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct KeyQueues {
    queues: BTreeMap<String, KeyQueue>,
    /// Keys of messages that were given up while the platform has not acknowledged the notice: each keeps its
    /// place in the queue until then.
    pending_notices: BTreeMap<MessageId, String>,
}

impl KeyQueues {
    pub fn push(&mut self, key: &str, id: MessageId) {
        self.queues.entry(key.to_owned()).or_default().messages.push_back(id);
    }

    /// Has a message, if it has a key, keep its place until its notice is acknowledged.
    pub fn await_notice(&mut self, id: MessageId, key: Option<&String>) {
        if let Some(key) = key {
            self.pending_notices.insert(id, key.clone());
        }
    }

    /// Takes in an acknowledgement; returns the message's key.
    pub fn acknowledge_notice(&mut self, id: MessageId) -> Option<String> {
        self.pending_notices.remove(&id)
    }

    pub fn is_notice_pending(&self, id: MessageId) -> bool {
        self.pending_notices.contains_key(&id)
    }

    fn get(&self, key: Option<&String>) -> Option<&KeyQueue> {
        self.queues.get(key?)
    }

    /// Whether a message is the first of its key, or has no queue.
    pub fn is_head(&self, key: Option<&String>, id: MessageId) -> bool {
        self.get(key).is_none_or(|queue| queue.messages.front() == Some(&id))
    }

    /// The messages that wait for this one, if it is the first of its key.
    pub fn followers(&self, key: Option<&String>, id: MessageId) -> impl Iterator<Item = MessageId> + '_ {
        let led = self.get(key).filter(|queue| queue.messages.front() == Some(&id));
        led.into_iter().flat_map(|queue| queue.messages.iter().skip(1).copied())
    }

    pub fn contains(&self, key: &str, id: MessageId) -> bool {
        self.queues.get(key).is_some_and(|queue| queue.messages.contains(&id))
    }

    /// When the quarantine of a message's key ends for it; 0 if there is none.
    pub fn quarantined_until(&self, key: Option<&String>, id: MessageId) -> Micros {
        let quarantine = self.get(key).and_then(|queue| queue.quarantine);
        quarantine.filter(|other| other.exempt != id).map_or(0, |quarantine| quarantine.until)
    }

    /// Quarantines a key for all messages but one.
    pub fn quarantine(&mut self, key: &str, exempt: MessageId, until: Micros) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.quarantine = Some(Quarantine { until, exempt });
        }
    }

    /// Takes a message out of its queue; returns the head of the queue.
    pub fn remove(&mut self, key: &str, id: MessageId) -> Option<MessageId> {
        let queue = self.queues.get_mut(key)?;
        queue.messages.retain(|other| *other != id);
        queue.messages.front().copied()
    }

    /// Drops queues without messages whose quarantine is over.
    pub fn drop_idle(&mut self, now: Micros) {
        self.queues.retain(|_, queue| {
            !queue.messages.is_empty() || queue.quarantine.is_some_and(|quarantine| quarantine.until > now)
        });
    }
}
