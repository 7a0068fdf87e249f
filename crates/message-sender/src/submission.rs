//! A message as a client submits it, and the reply that the client gets.
//!
//! Both are also sent over the relay between two processes, which encodes fields by name.

use std::rc::Rc;

use bytes::Bytes;
use delivery_control::{DestinationId, Micros};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::connection_limiter::BodyReservation;

/// A message that a client submits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Submission {
    /// The id that the client gave the message. Another submission with this id is of the same message.
    pub call_id: String,
    /// The idempotency key, sent along with each attempt.
    pub key: Option<String>,
    /// Index of the message class in the settings.
    pub class: usize,
    /// Name of the message class.
    pub class_name: String,
    /// Where the message is to be delivered.
    pub destination: DestinationId,
    /// Index of the tenant in the settings, if the message belongs to one.
    pub tenant: Option<usize>,
    /// The key within which ordered classes keep their messages in order.
    pub order_key: Option<String>,
    /// Time left until the deadline when the message was received, in microseconds.
    pub time_left: Micros,
    /// When this process had received the message completely. A relayed one counts from its arrival there.
    #[serde(skip, default = "Instant::now")]
    pub received_at: Instant,
    /// Whether a sender that died had accepted the message before.
    pub returned: bool,
    /// Whether the client marked the submission as a retry of its own.
    pub repeat: bool,
    /// The body, passed on unchanged.
    pub body: Bytes,
    /// The memory that is reserved for the body until the message is accepted or rejected. A relayed body is
    /// limited by what its predecessor may reserve.
    #[serde(skip)]
    pub reservation: Option<Rc<BodyReservation>>,
}

/// The reply to a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionReply {
    /// The sender has accepted the message and will report how it ends.
    Accepted,
    /// The message was not accepted. Holds the time, in microseconds from now, after which to submit it
    /// again; 0 for no advice.
    Rejected(Micros),
    /// The message's destination does not exist.
    UnknownDestination,
    /// It is unknown whether the message was accepted, so it must not be submitted again.
    Undetermined,
}
