//! The records and their stored form.
//!
//! Records are encoded with postcard: variants of an enum are stored by position, fields of a struct by
//! order, and neither by name. Names may change; positions and orders must not, since a version must read
//! what earlier ones wrote. New variants go to the end, a struct is never extended: a record with new fields
//! becomes a new variant.

use bytes::Bytes;
use delivery_control::{DestinationId, MessageId, Micros};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::machine_clock::MachineTime;
use crate::notice::Notice;

/// One change of the journal's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum Record {
    /// Ids up to this one have been used. Written by compactions, which drop the messages that had them.
    HighestUsedId(MessageId),
    /// A message was accepted, as versions without order keys wrote it. Only read; now `Accepted`.
    AcceptedV1(MessageId, AcceptedMessageV1),
    /// An attempt is about to be sent.
    AttemptStarted(MessageId, AttemptStart),
    /// The last attempt was not processed by its endpoint.
    AttemptUnprocessed(MessageId),
    /// All attempts so far. Written by compactions, in place of the records of the attempts.
    History(MessageId, AttemptHistory),
    /// The message ended, with the notice that the platform must get, if any.
    Ended(MessageId, Option<Notice>),
    /// The platform acknowledged the notice.
    NoticeAcknowledged(MessageId),
    /// A message was accepted.
    Accepted(MessageId, AcceptedMessage),
    /// An operator drained the endpoint of this name.
    EndpointDrained(String),
    /// An operator restored the endpoint of this name.
    EndpointRestored(String),
    /// The order key of a message whose notice is pending. Written by compactions, which drop the message
    /// itself.
    PendingNoticeOrderKey(MessageId, String),
    /// No byte of the last attempt was sent: it does not count as an attempt.
    AttemptUnsent(MessageId),
    /// What the clocks showed when a process began. Earlier versions skip it.
    ClockReading(ClockReading),
    /// Ids of messages that ended lately. Written by compactions, which drop the messages. Earlier versions
    /// skip it.
    RecentlyEnded(Vec<String>),
}

/// A reading of the clock in which the journal's times are told, together with the machine's own clock, by
/// which the next process knows how much time has passed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// The machine's clock.
    pub machine: MachineTime,
    /// The journal's clock at the same moment.
    pub journal_time: Micros,
}

/// A message as it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// The message, as its client names it.
    pub call_id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Name of its class: a later configuration may number classes otherwise.
    pub class: String,
    /// Where it is to be delivered.
    pub destination: DestinationId,
    /// The key within which ordered classes keep their messages in order.
    pub order_key: Option<String>,
    /// When it must have ended, by the journal's clock.
    pub deadline: Micros,
    /// What is to be delivered.
    pub body: Body,
}

/// A message as versions without order keys wrote it. Their messages must survive an upgrade.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct AcceptedMessageV1 {
    pub(super) call_id: String,
    pub(super) key: Option<String>,
    pub(super) class: String,
    pub(super) destination: DestinationId,
    pub(super) deadline: Micros,
    pub(super) body: Body,
}

impl From<AcceptedMessageV1> for AcceptedMessage {
    fn from(message: AcceptedMessageV1) -> Self {
        let AcceptedMessageV1 { call_id, key, class, destination, deadline, body } = message;
        Self { call_id, key, class, destination, order_key: None, deadline, body }
    }
}

/// The body of a message, stored as one string of bytes rather than as a sequence of numbers.
#[derive(Debug, Clone, PartialEq)]
pub struct Body(pub Bytes);

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = <&[u8]>::deserialize(deserializer)?;
        Ok(Self(Bytes::copy_from_slice(bytes)))
    }
}

/// When and in which zone an attempt was sent.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AttemptStart {
    /// When it was sent, by the journal's clock.
    pub sent_at: Micros,
    /// Index of its endpoint's zone.
    pub zone: u64,
}

/// The attempts of a message so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptHistory {
    /// How many attempts were made.
    pub attempts: u32,
    /// The first attempt that may have taken effect, of those that have ended.
    pub(super) ambiguous: Option<AttemptStart>,
    /// The last attempt, unless it is known not to have been processed.
    pub(super) in_flight: Option<AttemptStart>,
}

impl AttemptHistory {
    /// The first attempt that may have taken effect. One that was in flight when the process died may have.
    pub fn first_ambiguous(&self) -> Option<AttemptStart> {
        self.ambiguous.or(self.in_flight)
    }

    /// The first attempt that may have taken effect, of those that have ended.
    pub fn first_ambiguous_ended(&self) -> Option<AttemptStart> {
        self.ambiguous
    }

    /// The last attempt, unless it is known not to have been processed.
    pub fn last_started(&self) -> Option<AttemptStart> {
        self.in_flight
    }

    /// An attempt is about to be sent. Whatever the one before it did is not going to be recorded any more.
    pub(super) fn start_attempt(&mut self, attempt: AttemptStart) {
        self.ambiguous = self.first_ambiguous();
        self.in_flight = Some(attempt);
        self.attempts += 1;
    }

    /// The last attempt was not processed.
    pub(super) fn mark_unprocessed(&mut self) {
        self.in_flight = None;
    }

    /// The last attempt was not sent: it does not count.
    pub(super) fn mark_unsent(&mut self) {
        self.in_flight = None;
        self.attempts = self.attempts.saturating_sub(1);
    }
}
