//! What the tasks on sockets report to the event loop.

use delivery_control::{EndpointId, MessageId, Micros};
use tokio::sync::oneshot;

use crate::delivery::AttemptResult;
use crate::endpoint_list::EndpointList;
use crate::submission::{Submission, SubmissionReply};

/// Something that happened on a socket.
pub enum SenderEvent {
    /// A client submitted a message and waits for the reply.
    Submitted(Box<Submission>, oneshot::Sender<SubmissionReply>),
    /// An attempt ended.
    AttemptEnded { id: MessageId, attempt: u32, endpoint: EndpointId, elapsed: Micros, result: AttemptResult },
    /// Discovery sent an endpoint list.
    EndpointListReceived(EndpointList),
    /// The platform acknowledged the notices of these messages.
    NoticesAcknowledged(Vec<MessageId>),
    /// The process was told to end.
    ShutdownRequested,
}
