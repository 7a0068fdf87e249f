//! Identifiers and the time type that all modules share.

use serde::{Deserialize, Serialize};

/// A point in time on the host's clock, or a duration, in microseconds.
pub type Micros = i64;
/// Identifies a message; not reused during the life of a controller.
pub type MessageId = u64;
/// Identifies an endpoint to a controller; assigned by the host.
pub type EndpointId = u64;
/// Identifies a destination.
pub type DestinationId = u64;

/// Identifies one attempt to deliver one message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The message.
    pub message_id: MessageId,
    /// Number of the attempt, counted from 0. The controller assigns it.
    pub attempt: u32,
}
