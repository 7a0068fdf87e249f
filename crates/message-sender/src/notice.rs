//! The notice that reports a message's final outcome to the platform.

use delivery_control::Micros;
use serde::{Deserialize, Serialize};

/// A final outcome that the platform has yet to acknowledge.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// The message, as its client names it.
    pub call_id: String,
    /// Its final outcome.
    pub result: NoticeResult,
}

/// The final outcome of a message that was not delivered. The journal stores variants by position: new ones
/// go to the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeResult {
    /// Given up; it may or may not have taken effect.
    Failed,
    /// It had no effect, or submitting it again is harmless.
    Rejected {
        /// When to submit it again; 0 for no advice.
        retry_after: Micros,
    },
}
