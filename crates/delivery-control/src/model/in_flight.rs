//! Attempts and calls in flight. A call carries one attempt or, to an endpoint that takes batches, several.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::event::{AttemptEnd, AttemptOutcome};
use crate::ids::{AttemptId, EndpointId, MessageId, Micros};
use crate::model::Endpoint;

/// Identifies a call; never reused during the life of a controller.
pub(crate) type CallId = u64;

/// Identifies an attempt: its message, and its number among the attempts of that message.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct AttemptKey {
    pub message: MessageId,
    /// Counted from 0.
    pub number: u32,
}

impl From<AttemptId> for AttemptKey {
    fn from(id: AttemptId) -> Self {
        Self { message: id.message_id, number: id.attempt }
    }
}

impl From<AttemptKey> for AttemptId {
    fn from(key: AttemptKey) -> Self {
        Self { message_id: key.message, attempt: key.number }
    }
}

/// An attempt without an outcome yet. Its message may already have ended.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub endpoint: EndpointId,
    pub call: CallId,
    /// In µs on the host's clock.
    pub sent_at: Micros,
    /// Whether the host was asked to cancel it.
    pub cancelled: bool,
    /// Order key of its message.
    pub order_key: Option<String>,
}

/// How an attempt ended, and the call that carried it.
pub(crate) struct AttemptResult {
    pub call: CallId,
    pub endpoint: EndpointId,
    /// Index of the endpoint's zone; `usize::MAX` if the endpoint is no longer known.
    pub zone: usize,
    /// In µs on the host's clock.
    pub sent_at: Micros,
    pub outcome: AttemptOutcome,
    /// The Retry-After of a rejection, in µs from the end of the attempt; 0 if there was none.
    pub retry_after: Micros,
}

impl AttemptResult {
    /// Combines an attempt with its end; `endpoint` is the attempt's endpoint, if it is still known.
    pub fn new(attempt: &Attempt, end: &AttemptEnd, endpoint: Option<&Endpoint>) -> Self {
        Self {
            call: attempt.call,
            endpoint: attempt.endpoint,
            zone: endpoint.map_or(usize::MAX, |endpoint| endpoint.zone),
            sent_at: attempt.sent_at,
            outcome: end.outcome,
            retry_after: end.retry_after,
        }
    }
}

/// A call in flight; it holds one permit of the concurrency limit.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Call {
    pub endpoint: EndpointId,
    /// In µs on the host's clock.
    pub sent_at: Micros,
    /// Number of attempts in the call that have no outcome yet.
    pending_outcomes: usize,
}

/// A call of this turn, to which more messages may be added.
#[derive(Clone, Serialize, Deserialize)]
struct Batch {
    call: CallId,
    /// Number of messages that may be added.
    free: usize,
}

/// All attempts and calls in flight.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct InFlight {
    attempts: BTreeMap<AttemptKey, Attempt>,
    calls: BTreeMap<CallId, Call>,
    /// The latest call of this turn to each endpoint.
    batches: BTreeMap<EndpointId, Batch>,
    /// Identifier of the latest call.
    last_call: CallId,
}

impl InFlight {
    /// Removes all attempts and calls. The identifiers of calls are not used again.
    pub fn clear(&mut self) {
        *self = Self { last_call: self.last_call, ..Self::default() };
    }

    /// Closes the batches of the previous turn.
    pub fn begin_turn(&mut self) {
        self.batches.clear();
    }

    pub fn attempts(&self) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.attempts.iter()
    }

    pub fn calls(&self) -> impl Iterator<Item = &Call> {
        self.calls.values()
    }

    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    pub fn calls_to(&self, endpoint: EndpointId) -> usize {
        self.calls.values().filter(|call| call.endpoint == endpoint).count()
    }

    pub fn has_attempt_of(&self, message: MessageId) -> bool {
        let first = AttemptKey { message, number: 0 };
        let last = AttemptKey { message, number: u32::MAX };
        self.attempts.range(first..=last).next().is_some()
    }

    pub fn has_attempt_to(&self, endpoint: EndpointId) -> bool {
        self.attempts.values().any(|attempt| attempt.endpoint == endpoint)
    }

    /// Whether a call to the endpoint was made in this turn.
    pub fn has_batch(&self, endpoint: EndpointId) -> bool {
        self.batches.contains_key(&endpoint)
    }

    /// Whether a call of this turn to the endpoint can carry another message.
    pub fn has_batch_room(&self, endpoint: EndpointId) -> bool {
        self.batches.get(&endpoint).is_some_and(|batch| batch.free > 0)
    }

    /// Adds a message to the batch of this turn to the endpoint, if it has room; returns its call.
    pub fn join_batch(&mut self, endpoint: EndpointId) -> Option<CallId> {
        let batch = self.batches.get_mut(&endpoint).filter(|batch| batch.free > 0)?;
        batch.free -= 1;
        if let Some(call) = self.calls.get_mut(&batch.call) {
            call.pending_outcomes += 1;
        }
        Some(batch.call)
    }

    /// Starts a call with one message.
    pub fn start_call(&mut self, endpoint: EndpointId, now: Micros) -> CallId {
        self.last_call += 1;
        self.calls.insert(self.last_call, Call { endpoint, sent_at: now, pending_outcomes: 1 });
        self.last_call
    }

    /// Makes a call of this turn a batch that can carry `free` more messages.
    pub fn open_batch(&mut self, endpoint: EndpointId, call: CallId, free: usize) {
        self.batches.insert(endpoint, Batch { call, free });
    }

    pub fn insert_attempt(&mut self, key: AttemptKey, attempt: Attempt) {
        self.attempts.insert(key, attempt);
    }

    pub fn remove_attempt(&mut self, key: AttemptKey) -> Option<Attempt> {
        self.attempts.remove(&key)
    }

    pub fn contains(&self, key: AttemptKey) -> bool {
        self.attempts.contains_key(&key)
    }

    /// Gives an attempt another number, under which it is not cancelled.
    pub fn renumber(&mut self, from: AttemptKey, to: AttemptKey) {
        if let Some(attempt) = self.attempts.remove(&from) {
            self.attempts.insert(to, Attempt { cancelled: false, ..attempt });
        }
    }

    pub fn mark_cancelled(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.cancelled = true;
        }
    }

    /// Counts one outcome of a call; returns whether it was the last one, which ends the call.
    pub fn record_outcome(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        call.pending_outcomes -= 1;
        let ended = call.pending_outcomes == 0;
        if ended {
            self.calls.remove(&id);
        }
        ended
    }
}
