//! The journal's records and their stored form.
//!
//! Records are encoded with postcard, which stores an enum's variant by its position and a struct's fields in
//! their order, without names. Names may change, but positions and order must not, because each version must
//! read what earlier ones wrote. New variants are added at the end. Structs are never extended: a record with
//! new fields becomes a new variant.

use bytes::Bytes;
use delivery_control::{DestinationId, MessageId, Micros};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::machine_clock::MachineTime;
use crate::notice::Notice;

/// One change to the journal's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum Record {
    /// All message ids up to this one have been used. Written by compactions, which drop the ended messages
    /// that used them.
    HighestUsedId(MessageId),
    /// A message was accepted, as versions without order keys stored it. Read only; `Accepted` replaces it.
    AcceptedV1(MessageId, AcceptedMessageV1),
    /// An attempt is about to be sent.
    AttemptStarted(MessageId, AttemptStart),
    /// The last attempt was not processed by its endpoint.
    AttemptUnprocessed(MessageId),
    /// All attempts of the message so far. Written by compactions in place of the records of single attempts.
    History(MessageId, AttemptHistory),
    /// The message ended. Holds the notice to be sent to the platform, if there is one.
    Ended(MessageId, Option<Notice>),
    /// The platform acknowledged the message's notice.
    NoticeAcknowledged(MessageId),
    /// A message was accepted.
    Accepted(MessageId, AcceptedMessage),
    /// An operator drained the endpoint with this name.
    EndpointDrained(String),
    /// An operator restored the endpoint with this name.
    EndpointRestored(String),
    /// The order key of a message whose notice is pending. Written by compactions, which drop the message and
    /// keep its notice.
    PendingNoticeOrderKey(MessageId, String),
    /// No byte of the last attempt was sent, so it does not count as an attempt.
    AttemptUnsent(MessageId),
    /// Reading of the clocks when a process started. Versions that do not know this record skip it.
    ClockReading(ClockReading),
    /// Call ids of messages that ended recently. Written by compactions, which drop the messages themselves.
    /// Versions that do not know this record skip it.
    RecentlyEnded(Vec<String>),
}

/// A simultaneous reading of the journal's clock and of the machine's monotonic clock. From the latter the
/// next process computes how much time has passed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Reading of the machine's monotonic clock.
    pub machine: MachineTime,
    /// Reading of the journal's clock, in which the records' times are stored, in microseconds.
    pub journal_time: Micros,
}

/// A message as it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// The client's id of the message.
    pub call_id: String,
    /// Idempotency key, if the client gave one.
    pub key: Option<String>,
    /// Name of the message's class, not its index: a later configuration may number classes differently.
    pub class: String,
    /// Destination to deliver the message to.
    pub destination: DestinationId,
    /// Ordered classes deliver the messages that share this key in order.
    pub order_key: Option<String>,
    /// Time by which the message must have ended, in microseconds of the journal's clock.
    pub deadline: Micros,
    /// Content to deliver.
    pub body: Body,
}

/// A message as versions without order keys stored it, with the fields of [`AcceptedMessage`] except the
/// order key. Still read, so that these messages survive an upgrade.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct AcceptedMessageV1 {
    pub(super) call_id: String,
    pub(super) key: Option<String>,
    pub(super) class: String,
    pub(super) destination: DestinationId,
    /// In microseconds of the journal's clock.
    pub(super) deadline: Micros,
    pub(super) body: Body,
}

impl From<AcceptedMessageV1> for AcceptedMessage {
    fn from(message: AcceptedMessageV1) -> Self {
        let AcceptedMessageV1 { call_id, key, class, destination, deadline, body } = message;
        Self { call_id, key, class, destination, order_key: None, deadline, body }
    }
}

/// The body of a message, serialized as one byte string instead of a sequence of integers.
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
    /// When the attempt was sent, in microseconds of the journal's clock.
    pub sent_at: Micros,
    /// Index of the zone of the attempt's endpoint.
    pub zone: u64,
}

/// The attempts of a message so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptHistory {
    /// Number of attempts that were made.
    pub attempts: u32,
    /// The first of the ended attempts that may have taken effect.
    pub(super) ambiguous: Option<AttemptStart>,
    /// The last attempt, unless it is known not to have been processed.
    pub(super) in_flight: Option<AttemptStart>,
}

impl AttemptHistory {
    /// The first attempt that may have taken effect, such as one that was in flight when the process crashed.
    pub fn first_ambiguous(&self) -> Option<AttemptStart> {
        self.ambiguous.or(self.in_flight)
    }

    /// The first of the ended attempts that may have taken effect.
    pub fn first_ambiguous_ended(&self) -> Option<AttemptStart> {
        self.ambiguous
    }

    /// The last attempt, unless it is known not to have been processed.
    pub fn last_started(&self) -> Option<AttemptStart> {
        self.in_flight
    }

    /// Adds an attempt that is about to be sent. No record about the previous attempt can follow, so that
    /// attempt stays ambiguous unless it is already known not to have been processed.
    pub(super) fn start_attempt(&mut self, attempt: AttemptStart) {
        self.ambiguous = self.first_ambiguous();
        self.in_flight = Some(attempt);
        self.attempts += 1;
    }

    /// Marks the last attempt as not processed by its endpoint.
    pub(super) fn mark_unprocessed(&mut self) {
        self.in_flight = None;
    }

    /// Removes the last attempt, which was not sent, from the count.
    pub(super) fn mark_unsent(&mut self) {
        self.in_flight = None;
        self.attempts = self.attempts.saturating_sub(1);
    }
}
