//! What a controller asks its host to do.

use crate::backlog::BacklogReport;
use crate::ids::{EndpointId, MessageId, Micros};

/// Something to do. Actions are carried out in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to an endpoint. Attempts of a message are numbered from 0.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Time-out of this attempt.
        timeout: Micros,
        /// The attempt must have begun by then: on a connection that is established later it is not sent.
        begin_by: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: the message had no effect, or repeating it is harmless.
    Reject {
        /// The message.
        id: MessageId,
        /// When the client may submit it again; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: the message was given up, and may or may not have taken effect.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Report [`crate::Event::TimerFired`] at a time.
    SetTimer {
        /// When it is due.
        at: Micros,
        /// Returned with the event.
        token: u64,
    },
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send a note to one sender, or to all.
    SendNote {
        /// Number of the sender; `None` for all.
        to: Option<u32>,
        /// The note.
        bytes: Vec<u8>,
    },
    /// Subscribe to changes of the endpoint list, or unsubscribe.
    Subscribe {
        /// Whether to subscribe.
        on: bool,
    },
    /// Fetch the complete endpoint list once.
    FetchList,
    /// Log what holds back messages past their latency objective.
    ReportBacklog(BacklogReport),
}
