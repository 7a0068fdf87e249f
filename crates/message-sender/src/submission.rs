//! A message as a client submits it, and the reply that the client gets.
//!
//! Both also cross the relay between two processes, which encodes fields by name.

use bytes::Bytes;
use delivery_control::{DestinationId, Micros};
use serde::{Deserialize, Serialize};

/// A message that a client submits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Submission {
    /// The id by which the client names the message; submitting it again names the same message.
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
    /// Time left until the deadline.
    pub time_left: Micros,
    /// A sender that died had accepted the message before.
    pub returned: bool,
    /// The client marked it as a retry of its own.
    pub repeat: bool,
    /// The body, passed on as it is.
    pub body: Bytes,
}

/// The reply to a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionReply {
    /// The sender has accepted the message and will report how it ends.
    Accepted,
    /// The message was not accepted. When to submit it again, counted from now; 0 for no advice.
    Rejected(Micros),
    /// There is no such destination.
    UnknownDestination,
    /// Nobody knows whether the message was accepted: it must not be submitted again.
    Undetermined,
}
