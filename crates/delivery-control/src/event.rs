//! What a host reports to a controller.

use serde::{Deserialize, Serialize};

use crate::ids::{DestinationId, EndpointId, MessageId, Micros};

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The endpoint accepted the message.
    Delivered,
    /// The endpoint responded with an error; the message may have taken effect.
    Error,
    /// The endpoint rejected the message without processing it, for example because of a rate limit.
    Rejected,
    /// No response arrived before the timeout; the message may have taken effect.
    Timeout,
    /// No connection was established; the message was never sent.
    ConnectFailed,
    /// The connection broke; the message may have taken effect.
    Reset,
    /// The controller cancelled the attempt; the message may have taken effect.
    Cancelled,
    /// The host did not send the message.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the endpoint responded.
    #[must_use]
    pub fn is_response(self) -> bool {
        matches!(self, Self::Delivered | Self::Error | Self::Rejected)
    }

    /// Whether it is certain that the message had no effect at the endpoint.
    #[must_use]
    pub fn had_no_effect(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// State of an endpoint in the endpoint list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListingState {
    /// Listed as in service, which says nothing about the endpoint's health.
    Live,
    /// Listed as draining: no new attempts may go there.
    Draining,
    /// No longer listed.
    #[default]
    Removed,
}

/// One entry of an endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination that the endpoint belongs to.
    pub destination: DestinationId,
    /// State of the endpoint in the list.
    pub listing: ListingState,
    /// Listed rate limit in calls per second of all senders together; 0 if none is listed. Used only if
    /// [`crate::Settings::rates_are_listed`] is set.
    pub rate: f64,
    /// Index of the endpoint's kind in the settings; one past the end if they do not list the kind.
    pub kind: usize,
    /// Index of the endpoint's zone in the settings; one past the end if they do not list the zone.
    pub zone: usize,
    /// When the endpoint came online, in µs on the host's clock, if that is known.
    pub online_since: Option<Micros>,
}

/// How the entries of an endpoint-list update are interpreted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as last stored on disk, of unknown age.
    Cached,
    /// A fetch failed or the subscription broke; there are no entries.
    Failed,
}

/// A load report of an endpoint; values that it did not report are `None`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Fraction of the rate limit that is left, from 0 to 1.
    pub limit_remaining: Option<f64>,
    /// The rate limit in calls per second of all senders together.
    pub limit: Option<f64>,
    /// Number of requests in progress.
    pub in_flight: Option<f64>,
    /// Number of queued requests.
    pub queue: Option<f64>,
    /// Fraction of the processor in use.
    pub utilization: Option<f64>,
    /// Recent service time, in microseconds.
    pub latency: Option<f64>,
    /// Requests served per second.
    pub rate: Option<f64>,
    /// Errors per second.
    pub error_rate: Option<f64>,
}

/// A maintenance command of an operator for an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceCommand {
    /// Drain the endpoint from now on, whatever the endpoint list says.
    Drain,
    /// Put the endpoint back into service; it is assumed to be cold.
    Restore,
}

/// A message that a client submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct MessageSubmission {
    /// Identifier of the message.
    pub id: MessageId,
    /// Index of the message's class in the settings.
    pub class: usize,
    /// Index of the message's tenant in the settings, if it belongs to one.
    pub tenant: Option<usize>,
    /// The destination to deliver the message to.
    pub destination: DestinationId,
    /// Time left until the message's deadline, in µs.
    pub time_left: Micros,
    /// Expected processing time at the destination in µs, if known; it lengthens the latency objective.
    pub work: Option<Micros>,
    /// Messages of an ordered class with the same order key are delivered in order.
    pub order_key: Option<String>,
    /// Whether the message had been accepted before by a sender that died.
    pub returned: bool,
    /// Whether the client marked the submission as a retry of its own.
    pub repeat: bool,
    /// Whether the message changes data at the destination.
    pub write: bool,
}

/// The first attempt of a message that may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AmbiguousAttempt {
    /// When the attempt was sent, in µs on the host's clock.
    pub sent_at: Micros,
    /// Index of the zone of the endpoint that was called.
    pub zone: usize,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnd {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
    /// The endpoint that was called.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time from the start of the attempt to its end, in µs.
    pub elapsed: Micros,
    /// Whether the host began to send the request. If not, the attempt does not count towards the limit of
    /// attempts.
    pub was_started: bool,
    /// Whether the message has ended with this attempt.
    pub is_final: bool,
    /// The Retry-After of a rejection, in µs from the end of the attempt; 0 if there was none.
    pub retry_after: Micros,
    /// The load report that came with the response, if any.
    pub load_report: Option<LoadReport>,
}

/// Something that happened at the host.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list changed, or could not be fetched.
    EndpointsUpdated {
        /// How the entries are interpreted.
        update: UpdateKind,
        /// Version of the list.
        version: u64,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// An operator drained or restored an endpoint.
    Maintenance {
        /// The endpoint, which need not be listed.
        endpoint: EndpointId,
        /// The operator's command.
        command: MaintenanceCommand,
    },
    /// A client submitted a message.
    MessageSubmitted(MessageSubmission),
    /// A message that a predecessor process had accepted was recovered. Reported after the message's
    /// [`Event::MessageSubmitted`], in the same turn.
    MessageRecovered {
        /// The message.
        id: MessageId,
        /// Number of attempts that the predecessor made; the next attempt gets this number.
        attempts: u32,
        /// The first attempt that may have taken effect. An attempt that was in flight when the predecessor
        /// died counts as such.
        first_ambiguous: Option<AmbiguousAttempt>,
    },
    /// Another process that was the sender has ended. Its attempts may still be running at their endpoints.
    PredecessorEnded,
    /// A predecessor process gave up an ordered message, and the platform has not acknowledged the notice of
    /// it. Reported in the order in which the messages were accepted.
    NoticePending {
        /// The message.
        id: MessageId,
        /// Order key of the message.
        order_key: String,
    },
    /// The platform acknowledged the notice that a message was rejected or failed. The next message of its
    /// order key may be sent.
    NoticeAcknowledged {
        /// The message.
        id: MessageId,
    },
    /// A streamed response began. From now on the message is not sent again, its attempt is not cancelled,
    /// and the message does not end at its deadline.
    ResponseStarted {
        /// The message.
        id: MessageId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client withdrew a message.
    MessageWithdrawn {
        /// The message.
        id: MessageId,
    },
    /// A timer fired. The event only has to cause a turn, which then does all work that is due.
    TimerFired {
        /// The token that the timer was set with.
        token: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// The endpoint that was probed.
        endpoint: EndpointId,
        /// How the probe ended.
        outcome: AttemptOutcome,
        /// Time from the start of the probe to its end, in µs.
        elapsed: Micros,
        /// The load report that came with the response, if any.
        load_report: Option<LoadReport>,
    },
    /// Another sender sent a note.
    NoteReceived {
        /// Ordinal of the sender that sent the note.
        from: u32,
        /// Content of the note.
        bytes: Vec<u8>,
    },
}
