//! Between two processes after a handover: the predecessor relays what it still reads from its clients and
//! how its attempts end; the successor, the sender now, decides and answers.

mod predecessor;
mod successor;

use serde::{Deserialize, Serialize};

pub use self::predecessor::{Predecessor, RelayEnd};
pub use self::successor::{relay_predecessor, RemoteCall};
use super::protocol::Frame;
use crate::attempt_id::AttemptId;
use crate::event::FinishedAttempt;
use crate::submission::{Submission, SubmissionReply};

/// Frames that wait to be written, or to be handled.
const FRAME_QUEUE_CAPACITY: usize = 256;

/// What the predecessor sends.
#[derive(Serialize, Deserialize)]
enum PredecessorFrame {
    /// A message that a client submits, under a number that the answer names.
    Submitted(u64, Box<Submission>),
    /// An attempt that was in flight at the handover has ended.
    AttemptEnded(FinishedAttempt),
    /// So many client connections are still open there.
    OpenConnections(usize),
}

/// What the successor sends.
#[derive(Serialize, Deserialize)]
enum SuccessorFrame {
    /// The reply to the submission with this number.
    Answered(u64, SubmissionReply),
    /// The attempt is to be called off. Also sent for one that has ended, which the predecessor then passes
    /// over.
    Cancel(AttemptId),
}

impl Frame for PredecessorFrame {
    const NAME: &'static str = "predecessor's relay frame";
}

impl Frame for SuccessorFrame {
    const NAME: &'static str = "successor's relay frame";
}
