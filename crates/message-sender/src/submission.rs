//! A message as a client submits it, and the reply that the client gets.

use bytes::Bytes;
use delivery_control::{DestinationId, Micros};
use serde::{Deserialize, Serialize};

/// A message that a client hands in.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Submission {
    pub call_id: String,
    pub key: Option<String>,
    pub class: usize,
    pub class_name: String,
    pub destination: DestinationId,
    pub tenant: Option<usize>,
    /// What it is about, in a class that keeps its order.
    pub order_key: Option<String>,
    pub time_left: Micros,
    pub returned: bool,
    pub repeat: bool,
    pub body: Bytes,
}

/// What a client hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionReply {
    Accepted,
    /// Not taken on; for how long to stay away, 0 for no advice.
    Rejected(Micros),
    /// No such destination.
    UnknownDestination,
}
