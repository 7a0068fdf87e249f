//! Messages without a final answer.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

use serde::{Deserialize, Serialize};

use crate::event::AmbiguousAttempt;
use crate::ids::{DestinationId, MessageId, Micros};

/// A message without a final answer.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct Message {
    /// Index of its class in the settings.
    pub class: usize,
    pub destination: DestinationId,
    /// Set only for messages of ordered classes.
    pub order_key: Option<String>,
    /// Value of a delivery within the latency objective.
    pub value: f64,
    /// When the latency objective ends, in µs on the host's clock; a later delivery has less value.
    pub objective_at: Micros,
    /// In µs on the host's clock.
    pub deadline: Micros,
    /// Number of attempts made so far; the next attempt gets this number.
    pub attempts: u32,
    /// Number of attempts that have ended, except those that the host did not send. The backoff grows with
    /// this number.
    pub sent_attempts: u32,
    /// Number of attempts that ended before the host began to send the request; they do not count towards the
    /// limit of attempts.
    #[serde(default)]
    pub unstarted_attempts: u32,
    /// Whether an attempt is in flight.
    pub in_flight: bool,
    /// Whether its response is being streamed to the client.
    pub streaming: bool,
    /// The first attempt that may have taken effect.
    pub first_ambiguous: Option<AmbiguousAttempt>,
    /// Earliest time of the next attempt, in µs on the host's clock.
    pub ready_at: Micros,
    /// Whether the endpoint rejected the latest attempt that has ended.
    pub rejected: bool,
    /// Whether a predecessor process accepted the message and no attempt has been made since.
    pub recovered_unattempted: bool,
}

impl Message {
    /// Number of attempts that count towards the limit of attempts.
    pub fn counted_attempts(&self) -> u32 {
        self.attempts.saturating_sub(self.unstarted_attempts)
    }

    /// Restores what a predecessor process recorded about the message's attempts.
    pub fn recover(&mut self, attempts: u32, first_ambiguous: Option<AmbiguousAttempt>, ready_at: Micros) {
        self.attempts = attempts;
        self.sent_attempts = attempts;
        self.recovered_unattempted = attempts == 0;
        self.first_ambiguous = first_ambiguous;
        self.ready_at = ready_at;
    }
}

/// A time at which to check whether a message must end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct EndCheck {
    /// In µs on the host's clock.
    at: Micros,
    message: MessageId,
}

/// All messages without a final answer, and when to check whether one must end.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct MessageBuffer {
    messages: BTreeMap<MessageId, Message>,
    /// Scheduled checks, the earliest first.
    end_checks: BTreeSet<EndCheck>,
}

impl MessageBuffer {
    pub fn get(&self, id: MessageId) -> Option<&Message> {
        self.messages.get(&id)
    }

    pub fn get_mut(&mut self, id: MessageId) -> Option<&mut Message> {
        self.messages.get_mut(&id)
    }

    pub fn contains(&self, id: MessageId) -> bool {
        self.messages.contains_key(&id)
    }

    pub fn ids(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.messages.keys().copied()
    }

    pub fn len(&self) -> usize {
        self.messages.len()
    }

    pub fn insert(&mut self, id: MessageId, message: Message) {
        self.messages.insert(id, message);
    }

    pub fn remove(&mut self, id: MessageId) -> Option<Message> {
        self.messages.remove(&id)
    }

    /// Schedules a check of whether the message must end.
    pub fn schedule_end_check(&mut self, id: MessageId, at: Micros) {
        self.end_checks.insert(EndCheck { at, message: id });
    }

    /// Removes the earliest check if it is due, and returns its message, which may have ended since the check
    /// was scheduled.
    pub fn take_due_end_check(&mut self, now: Micros) -> Option<MessageId> {
        let first = self.end_checks.first().copied().filter(|check| check.at <= now)?;
        self.end_checks.remove(&first);
        Some(first.message)
    }

    /// When the earliest check is due.
    pub fn next_end_check(&self) -> Option<Micros> {
        self.end_checks.first().map(|check| check.at)
    }
}

impl Index<MessageId> for MessageBuffer {
    type Output = Message;

    fn index(&self, id: MessageId) -> &Message {
        &self.messages[&id]
    }
}
