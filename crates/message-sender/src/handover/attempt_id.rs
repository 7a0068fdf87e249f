//! What names an attempt in both processes.

use delivery_control::MessageId;
use serde::{Deserialize, Serialize};

/// One attempt to deliver one message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The message, as the journal numbers it.
    pub message_id: MessageId,
    /// The number of the attempt, 0 for the first.
    pub attempt: u32,
}

impl From<(MessageId, u32)> for AttemptId {
    fn from((message_id, attempt): (MessageId, u32)) -> Self {
        Self { message_id, attempt }
    }
}
