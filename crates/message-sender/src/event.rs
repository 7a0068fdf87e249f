//! What the tasks on sockets report to the event loop.

use delivery_control::{EndpointId, MessageId, Micros};
use tokio::sync::oneshot;

use crate::delivery::AttemptResult;
use crate::endpoint_list::EndpointList;
use crate::submission::{Submission, SubmissionReply};

/// Something that happened on a socket.
pub enum SenderEvent {
    /// A client submitted a message and waits for the reply. A client that goes away closes the channel.
    Submitted(Box<Submission>, oneshot::Sender<SubmissionReply>),
    /// An attempt ended.
    AttemptEnded {
        /// The message.
        id: MessageId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
        /// The endpoint that was called.
        endpoint: EndpointId,
        /// Time since the attempt was started.
        elapsed: Micros,
        /// How it ended.
        result: AttemptResult,
    },
    /// Discovery sent an endpoint list.
    EndpointListReceived(EndpointList),
    /// The platform acknowledged the notices of these messages.
    NoticesAcknowledged(Vec<MessageId>),
    /// The process was asked to end.
    ShutdownRequested,
}
