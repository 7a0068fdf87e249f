//! What a controller asks its host to do.

use crate::backlog::BacklogReport;
use crate::ids::{EndpointId, MessageId, Micros};

/// An instruction to the host, which carries out actions in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Make an attempt: send a message to an endpoint.
    Send {
        /// The message.
        id: MessageId,
        /// Number of the attempt. The attempts of a message are numbered from 0, by the controller alone.
        attempt: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// Timeout of this attempt in µs, including the time to connect.
        timeout: Micros,
        /// Latest time at which sending may begin, in µs on the host's clock. Nothing is sent on a connection
        /// that is established later.
        start_deadline: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
    },
    /// Final answer: the message is rejected. It had no effect, or repeating it is harmless.
    Reject {
        /// The message.
        id: MessageId,
        /// Time in µs after which the client may submit the message again; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: the message failed. It was given up, and may or may not have taken effect.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Set a timer that reports [`crate::Event::TimerFired`].
    SetTimer {
        /// When the timer fires, in µs on the host's clock.
        at: Micros,
        /// Value that the event returns.
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
        /// Ordinal of the sender; `None` for all senders.
        to: Option<u32>,
        /// Content of the note.
        bytes: Vec<u8>,
    },
    /// Subscribe to changes of the endpoint list, or unsubscribe.
    Subscribe {
        /// `true` to subscribe, `false` to unsubscribe.
        on: bool,
    },
    /// Fetch the complete endpoint list once.
    FetchList,
    /// Log a report on why messages are past their latency objective.
    ReportBacklog(BacklogReport),
}
