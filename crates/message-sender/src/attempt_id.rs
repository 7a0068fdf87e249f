//! The identifier of an attempt, in this process and in a predecessor process.

use delivery_control::MessageId;
use serde::{Deserialize, Serialize};

/// Identifies one attempt to deliver one message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The message's id in the journal.
    pub message_id: MessageId,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
}
