//! Events that socket tasks report to the event loop.

use delivery_control::{AttemptId, EndpointId, MessageId, Micros};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::delivery::AttemptResult;
use crate::endpoint_list::EndpointList;
use crate::submission::{Submission, SubmissionReply};

/// The end of an attempt. It is also sent over the relay between two processes, in this form.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FinishedAttempt {
    /// The attempt that ended.
    pub attempt_id: AttemptId,
    /// The endpoint that was called.
    pub endpoint: EndpointId,
    /// Time from the attempt's start to its end, in microseconds.
    pub elapsed: Micros,
    /// How it ended.
    pub result: AttemptResult,
}

/// An event that a socket task reports, or a request to shut down.
pub enum SenderEvent {
    /// A client submitted a message and waits for the reply. If the client disconnects, the reply channel is
    /// closed.
    Submitted(Box<Submission>, oneshot::Sender<SubmissionReply>),
    /// An attempt ended.
    AttemptEnded(FinishedAttempt),
    /// Discovery sent an endpoint list.
    EndpointListReceived(EndpointList),
    /// The platform acknowledged the notices of these messages.
    NoticesAcknowledged(Vec<MessageId>),
    /// The process was requested to shut down.
    ShutdownRequested,
}
