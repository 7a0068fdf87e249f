//! Messages without a final answer.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

use serde::{Deserialize, Serialize};

use crate::event::AmbiguousAttempt;
use crate::ids::{DestinationId, MessageId, Micros};

/// A message without a final answer.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct Message {
    /// Index of its class.
    pub class: usize,
    pub destination: DestinationId,
    /// Set only for messages of ordered classes.
    pub order_key: Option<String>,
    /// Its value until the latency objective.
    pub value: f64,
    /// When the latency objective is missed.
    pub objective_at: Micros,
    pub deadline: Micros,
    /// Attempts made so far; the next one gets this number.
    pub attempts: u32,
    /// Attempts made so far without those that the host did not send; the backoff grows with it.
    pub sent_attempts: u32,
    /// Attempts that the host gave up before it began to send them; the limit of attempts leaves them out.
    #[serde(default)]
    pub unstarted_attempts: u32,
    /// An attempt is in flight.
    pub in_flight: bool,
    /// Its response is being streamed to the client.
    pub streaming: bool,
    /// The first attempt that may have taken effect.
    pub first_ambiguous: Option<AmbiguousAttempt>,
    /// No attempt before this time.
    pub ready_at: Micros,
    /// The latest attempt was rejected by the endpoint.
    pub rejected: bool,
    /// A predecessor process accepted it and made no attempt.
    pub recovered_unattempted: bool,
}

impl Message {
    /// The attempts that count towards the limit.
    pub fn counted_attempts(&self) -> u32 {
        self.attempts.saturating_sub(self.unstarted_attempts)
    }

    /// Takes over what a predecessor process did.
    pub fn recover(&mut self, attempts: u32, first_ambiguous: Option<AmbiguousAttempt>, ready_at: Micros) {
        self.attempts = attempts;
        self.sent_attempts = attempts;
        self.recovered_unattempted = attempts == 0;
        self.first_ambiguous = first_ambiguous;
        self.ready_at = ready_at;
    }
}

/// A time at which a message may have to end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct EndCheck {
    at: Micros,
    message: MessageId,
}

/// All messages without a final answer, and when to check whether one must end.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct MessageBuffer {
    messages: BTreeMap<MessageId, Message>,
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

    pub fn len(&self) -> usize {
        self.messages.len()
    }

    pub fn insert(&mut self, id: MessageId, message: Message) {
        self.messages.insert(id, message);
    }

    pub fn remove(&mut self, id: MessageId) -> Option<Message> {
        self.messages.remove(&id)
    }

    /// Notes that the message may have to end at a time.
    pub fn schedule_end_check(&mut self, id: MessageId, at: Micros) {
        self.end_checks.insert(EndCheck { at, message: id });
    }

    /// Takes out the first check that is due; its message may have ended meanwhile.
    pub fn take_due_end_check(&mut self, now: Micros) -> Option<MessageId> {
        let first = self.end_checks.first().copied().filter(|check| check.at <= now)?;
        self.end_checks.remove(&first);
        Some(first.message)
    }

    /// When the next check is due.
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
