//! The relay between two processes after a handover. The predecessor relays the submissions of its clients
//! and the results of its attempts; the successor, now the sender, decides and replies.

mod predecessor;
mod successor;

use delivery_control::AttemptId;
use serde::{Deserialize, Serialize};

pub use self::predecessor::{Predecessor, RelayEnd};
pub use self::successor::{relay_predecessor, RemoteAttempt};
use super::protocol::Frame;
use crate::event::FinishedAttempt;
use crate::submission::{Submission, SubmissionReply};

/// Capacity of each queue of frames: those that the predecessor has read and not handled yet, and those that
/// the successor has yet to write.
const FRAME_QUEUE_CAPACITY: usize = 256;

/// A frame from the predecessor.
#[derive(Serialize, Deserialize)]
enum PredecessorFrame {
    /// A client has submitted a message. The reply refers to the submission by this number.
    Submitted(u64, Box<Submission>),
    /// An attempt that was in flight at the handover has ended.
    AttemptEnded(FinishedAttempt),
    /// The number of client connections that the predecessor has open.
    OpenConnections(usize),
}

/// A frame from the successor.
#[derive(Serialize, Deserialize)]
enum SuccessorFrame {
    /// The reply to the submission with this number.
    Answered(u64, SubmissionReply),
    /// The attempt is to be cancelled. Also sent for an attempt that has ended; the predecessor ignores it
    /// then.
    Cancel(AttemptId),
}

impl Frame for PredecessorFrame {
    const NAME: &'static str = "predecessor's relay frame";
}

impl Frame for SuccessorFrame {
    const NAME: &'static str = "successor's relay frame";
}
