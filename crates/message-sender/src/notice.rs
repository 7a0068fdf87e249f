//! The notice that reports a message's final outcome to the platform.

use delivery_control::Micros;
use serde::{Deserialize, Serialize};

/// A message's final outcome that the platform has not acknowledged yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// The client's id of the message.
    pub call_id: String,
    /// The message's final outcome.
    pub result: NoticeResult,
}

/// The final outcome of a message that was not delivered. The journal stores variants by position, so new
/// ones must be added at the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeResult {
    /// The message was given up and may or may not have taken effect.
    Failed,
    /// The message had no effect, or submitting it again is harmless.
    Rejected {
        /// Time in microseconds after which to submit the message again; 0 for no advice.
        retry_after: Micros,
    },
}
