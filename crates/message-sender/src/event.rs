//! What the tasks on sockets report to the event loop.

use delivery_control::{EndpointId, MessageId, Micros};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::attempt_id::AttemptId;
use crate::delivery::AttemptResult;
use crate::endpoint_list::EndpointList;
use crate::submission::{Submission, SubmissionReply};

/// The end of an attempt. It crosses the relay between two processes as it is.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FinishedAttempt {
    /// The attempt.
    pub attempt_id: AttemptId,
    /// The endpoint that was called.
    pub endpoint: EndpointId,
    /// Time since the attempt was started.
    pub elapsed: Micros,
    /// How it ended.
    pub result: AttemptResult,
}

/// Something that happened on a socket.
pub enum SenderEvent {
    /// A client submitted a message and waits for the reply. A client that goes away closes the channel.
    Submitted(Box<Submission>, oneshot::Sender<SubmissionReply>),
    /// An attempt ended.
    AttemptEnded(FinishedAttempt),
    /// Discovery sent an endpoint list.
    EndpointListReceived(EndpointList),
    /// The platform acknowledged the notices of these messages.
    NoticesAcknowledged(Vec<MessageId>),
    /// The process was asked to end.
    ShutdownRequested,
}
