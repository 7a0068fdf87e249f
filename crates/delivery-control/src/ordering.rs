//! Messages of one order key go one at a time, in order. After an attempt that may still run at its endpoint,
//! the key is quarantined for all messages but that attempt's own.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::event::AttemptOutcome;
use crate::ids::{MessageId, Micros};

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
    /// Keys of messages that were given up while the platform has not acknowledged the notice: each holds
    /// its place in the queue until then.
    pending_notices: BTreeMap<MessageId, String>,
}

impl KeyQueues {
    pub fn push(&mut self, key: &str, id: MessageId) {
        self.queues.entry(key.to_owned()).or_default().messages.push_back(id);
    }

    pub fn await_notice(&mut self, id: MessageId, key: String) {
        self.pending_notices.insert(id, key);
    }

    /// Takes in an acknowledgement; returns the key to advance.
    pub fn acknowledge_notice(&mut self, id: MessageId) -> Option<String> {
        self.pending_notices.remove(&id)
    }

    /// Whether a message is the first of its key, or has no key.
    pub fn is_head(&self, key: Option<&String>, id: MessageId) -> bool {
        let queue = key.and_then(|key| self.queues.get(key));
        queue.is_none_or(|queue| queue.messages.front() == Some(&id))
    }

    /// The messages that wait for this one, if it is the first of its key.
    pub fn followers(&self, key: Option<&String>, id: MessageId) -> impl Iterator<Item = MessageId> + '_ {
        let queue = key.and_then(|key| self.queues.get(key));
        let led = queue.filter(|queue| queue.messages.front() == Some(&id));
        led.into_iter().flat_map(|queue| queue.messages.iter().skip(1).copied())
    }

    /// When the quarantine of a message's key ends for it; 0 if there is none.
    pub fn quarantined_until(&self, key: Option<&String>, id: MessageId) -> Micros {
        let queue = key.and_then(|key| self.queues.get(key));
        let quarantine = queue.and_then(|queue| queue.quarantine).filter(|other| other.exempt != id);
        quarantine.map_or(0, |quarantine| quarantine.until)
    }

    /// Takes in how an attempt of a queued message ended: quarantines the key if the attempt may still run.
    /// Returns whether the message is queued.
    pub fn record_attempt_end(
        &mut self,
        key: &str,
        id: MessageId,
        outcome: AttemptOutcome,
        quarantine_until: Micros,
    ) -> bool {
        let queue = self.queues.get_mut(key).filter(|queue| queue.messages.contains(&id));
        let Some(queue) = queue else { return false };
        if matches!(outcome, AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled) {
            queue.quarantine = Some(Quarantine { until: quarantine_until, exempt: id });
        }
        true
    }

    /// Takes a message without attempts in flight out of its queue; returns the new head. Nothing happens
    /// while its notice is pending.
    pub fn advance(&mut self, now: Micros, key: &str, id: MessageId) -> Option<MessageId> {
        if self.pending_notices.contains_key(&id) {
            return None;
        }
        let mut head = None;
        if let Some(queue) = self.queues.get_mut(key) {
            queue.messages.retain(|other| *other != id);
            head = queue.messages.front().copied();
        }
        self.queues.retain(|_, queue| {
            !queue.messages.is_empty() || queue.quarantine.is_some_and(|quarantine| quarantine.until > now)
        });
        head
    }
}
