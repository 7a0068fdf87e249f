//! What identifies an attempt, in this process and in a predecessor's.

use delivery_control::MessageId;
use serde::{Deserialize, Serialize};

/// One attempt to deliver one message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The message, as the journal numbers it.
    pub message_id: MessageId,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
}
