//! Invariants that no sender may violate, checked at run time against a separate record of messages and
//! attempts.
//!
//! The policies are designed so that each invariant holds; [`AttemptGuard`] does not use their state. The
//! host asks it right before the first byte of an attempt is sent, when a message ends, and when the
//! journal is audited. A violation is a bug in the program: the attempt is not made, and the host counts
//! and logs the violation.

use std::collections::{BTreeMap, BTreeSet};

use crate::event::{AmbiguousAttempt, AttemptOutcome};
use crate::ids::{DestinationId, MessageId, Micros};
use crate::invariant::Invariant;
use crate::settings::{Idempotency, IdempotencyScope};

/// Allowed time in µs from a decision to the first byte, since the process may be delayed in between.
const MAX_SEND_DELAY: Micros = 200_000;
/// The platform counts a message as lost this long after its deadline, in µs.
const END_GRACE: Micros = 300_000;

/// What the guard must know about a message when the message is accepted or recovered.
#[derive(Debug, Clone)]
pub struct GuardedMessage {
    /// The destination of the message.
    pub destination: DestinationId,
    /// Time by which the message must have ended, in µs on the host's clock.
    pub deadline: Micros,
    /// Whether the message may be sent again after an attempt that may have taken effect.
    pub idempotency: Idempotency,
    /// Which endpoints share the record of idempotency keys.
    pub idempotency_scope: IdempotencyScope,
    /// How long repeats are ignored, in µs from the first ambiguous attempt on.
    pub idempotency_window: Micros,
    /// The order key, if the message is ordered.
    pub order_key: Option<String>,
    /// The first attempt that may have taken effect; initially one of an earlier process, if there was one.
    pub first_ambiguous: Option<AmbiguousAttempt>,
}

/// An attempt that is about to be sent.
#[derive(Debug, Clone, Copy)]
pub struct AttemptStarting {
    /// Identifies the message.
    pub id: MessageId,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
    /// The destination that its endpoint belongs to.
    pub destination: DestinationId,
    /// Index of its endpoint's zone.
    pub zone: usize,
}

/// An open message and its attempt in flight, if any.
#[derive(Debug)]
struct OpenMessage {
    message: GuardedMessage,
    in_flight: Option<InFlightAttempt>,
}

/// An attempt in flight, with its send time and zone.
#[derive(Debug, Clone, Copy)]
struct InFlightAttempt {
    /// Number of the attempt, counted from 0.
    attempt: u32,
    at: AmbiguousAttempt,
}

/// Checks the attempts and ends of messages against the invariants.
#[derive(Debug, Default)]
pub struct AttemptGuard {
    /// Messages without a final answer, by id.
    open: BTreeMap<MessageId, OpenMessage>,
    /// For each order key, its messages that are open or whose notice is not acknowledged.
    order_keys: BTreeMap<String, BTreeSet<MessageId>>,
    /// Order keys of messages whose notice is not acknowledged.
    pending_notices: BTreeMap<MessageId, String>,
}

impl AttemptGuard {
    /// Adds a message that was accepted or recovered.
    pub fn open(&mut self, id: MessageId, message: GuardedMessage) {
        if let Some(key) = &message.order_key {
            self.order_keys.entry(key.clone()).or_default().insert(id);
        }
        self.open.insert(id, OpenMessage { message, in_flight: None });
    }

    /// Checks an attempt that is about to be sent, and records it as in flight. It may be sent only if this
    /// returns `Ok`.
    ///
    /// # Errors
    ///
    /// The invariant that the attempt would violate.
    pub fn start(&mut self, now: Micros, starting: AttemptStarting) -> Result<(), Invariant> {
        let record = self.open.get(&starting.id).ok_or(Invariant::NoAttemptAfterEnd)?;
        if record.in_flight.is_some_and(|started| started.attempt != starting.attempt) {
            return Err(Invariant::OneAttemptAtATime);
        }
        self.check_rules(now, starting, &record.message)?;
        let at = AmbiguousAttempt { sent_at: now, zone: starting.zone };
        if let Some(record) = self.open.get_mut(&starting.id) {
            record.in_flight = Some(InFlightAttempt { attempt: starting.attempt, at });
        }
        Ok(())
    }

    fn check_rules(
        &self,
        now: Micros,
        starting: AttemptStarting,
        message: &GuardedMessage,
    ) -> Result<(), Invariant> {
        if message.destination != starting.destination {
            return Err(Invariant::OwnDestination);
        }
        if now > message.deadline + MAX_SEND_DELAY {
            return Err(Invariant::NoAttemptAfterDeadline);
        }
        let keys = message.order_key.as_ref().and_then(|key| self.order_keys.get(key));
        if keys.and_then(BTreeSet::first).is_some_and(|first| *first < starting.id) {
            return Err(Invariant::OrderOfKey);
        }
        match (message.first_ambiguous, message.idempotency) {
            (None, _) | (_, Idempotency::Always) => Ok(()),
            (Some(_), Idempotency::Never) => Err(Invariant::NoUnsafeRepeat),
            (Some(first), Idempotency::WithKey) => {
                let is_in_window = now <= first.sent_at + message.idempotency_window + MAX_SEND_DELAY;
                let is_key_known =
                    message.idempotency_scope == IdempotencyScope::All || first.zone == starting.zone;
                (is_in_window && is_key_known).then_some(()).ok_or(Invariant::RepeatWithinWindow)
            }
        }
    }

    /// Records that a predecessor process has an attempt of the message in flight.
    pub fn resume_attempt(&mut self, id: MessageId, attempt: u32, at: AmbiguousAttempt) {
        if let Some(record) = self.open.get_mut(&id) {
            record.in_flight = Some(InFlightAttempt { attempt, at });
        }
    }

    /// Records that an attempt ended, or was not sent after all.
    pub fn end_attempt(&mut self, id: MessageId, attempt: u32, outcome: AttemptOutcome) {
        let Some(record) = self.open.get_mut(&id) else { return };
        let Some(started) = record.in_flight.take_if(|started| started.attempt == attempt) else { return };
        if !outcome.had_no_effect() {
            record.message.first_ambiguous.get_or_insert(started.at);
        }
    }

    /// Records that a message ended. With a notice, the later messages of its order key wait until the
    /// notice is acknowledged.
    ///
    /// # Errors
    ///
    /// [`Invariant::EndInTime`] if the message ended too late.
    pub fn close(&mut self, now: Micros, id: MessageId, with_notice: bool) -> Result<(), Invariant> {
        let Some(record) = self.open.remove(&id) else { return Ok(()) };
        if let Some(key) = record.message.order_key {
            if with_notice {
                self.pending_notices.insert(id, key);
            } else {
                self.release_key(&key, id);
            }
        }
        if now > record.message.deadline + END_GRACE {
            return Err(Invariant::EndInTime);
        }
        Ok(())
    }

    /// Adds the pending notice of a message that an earlier process ended.
    pub fn await_notice(&mut self, id: MessageId, order_key: String) {
        self.order_keys.entry(order_key.clone()).or_default().insert(id);
        self.pending_notices.insert(id, order_key);
    }

    /// Records that the platform acknowledged the notice of a message.
    pub fn acknowledge_notice(&mut self, id: MessageId) {
        if let Some(key) = self.pending_notices.remove(&id) {
            self.release_key(&key, id);
        }
    }

    /// Removes a message from those that its order key waits for.
    fn release_key(&mut self, key: &str, id: MessageId) {
        let Some(messages) = self.order_keys.get_mut(key) else { return };
        messages.remove(&id);
        if messages.is_empty() {
            self.order_keys.remove(key);
        }
    }

    /// The open messages.
    pub fn open_messages(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.open.keys().copied()
    }

    /// Whether the message is open.
    #[must_use]
    pub fn is_open(&self, id: MessageId) -> bool {
        self.open.contains_key(&id)
    }

    /// The open messages that the platform has already counted as lost.
    pub fn overdue(&self, now: Micros) -> impl Iterator<Item = MessageId> + '_ {
        let is_overdue = move |record: &OpenMessage| now > record.message.deadline + END_GRACE;
        self.open.iter().filter(move |(_, record)| is_overdue(record)).map(|(id, _)| *id)
    }
}
