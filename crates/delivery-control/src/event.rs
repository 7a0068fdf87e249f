//! What a host reports to a controller.

use serde::{Deserialize, Serialize};

use crate::ids::{DestinationId, EndpointId, MessageId, Micros};

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The endpoint accepted the message.
    Delivered,
    /// The endpoint answered with an error; the message may have taken effect.
    Error,
    /// The endpoint rejected the message unprocessed, for example because of a rate limit.
    Rejected,
    /// No answer arrived in time; the message may have taken effect.
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
    /// The endpoint answered.
    #[must_use]
    pub fn is_answer(self) -> bool {
        matches!(self, Self::Delivered | Self::Error | Self::Rejected)
    }

    /// The message certainly had no effect at the endpoint.
    #[must_use]
    pub fn had_no_effect(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// State of an endpoint in the endpoint list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListingState {
    /// Listed; says nothing about its health.
    Live,
    /// Draining: no new attempts may go there.
    Draining,
    /// Not listed any more.
    #[default]
    Removed,
}

/// One line of an endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination that it belongs to.
    pub destination: DestinationId,
    /// Its state.
    pub listing: ListingState,
    /// Listed rate limit in calls per second, of all senders together. Meaningful only where
    /// [`crate::Settings::rates_are_listed`] is set.
    pub rate: f64,
    /// Index of its kind; one past the end if the settings do not contain the kind.
    pub kind: usize,
    /// Index of its zone; one past the end if the settings do not contain the zone.
    pub zone: usize,
    /// When it was added, if that was recently.
    pub online_since: Option<Micros>,
}

/// How the entries of an endpoint-list update are to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as last stored on disk, of unknown age.
    Cached,
    /// A request failed or the subscription broke; there are no entries.
    Failed,
}

/// A load report of an endpoint; values that were not reported are absent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Fraction of the rate limit that is left.
    pub limit_remaining: Option<f64>,
    /// The rate limit in calls per second.
    pub limit: Option<f64>,
    /// Requests in progress.
    pub in_flight: Option<f64>,
    /// Requests queued.
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

/// What an operator does with an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceCommand {
    /// The endpoint drains from now on, whatever the endpoint list says.
    Drain,
    /// The endpoint is back in service, and cold.
    Restore,
}

/// A message that a client submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct MessageSubmission {
    /// Its id.
    pub id: MessageId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant, if it belongs to one.
    pub tenant: Option<usize>,
    /// Where it is to be delivered.
    pub destination: DestinationId,
    /// Time left until its deadline.
    pub time_left: Micros,
    /// Expected work at the destination.
    pub work: Option<Micros>,
    /// The key within which ordered classes keep their messages in order.
    pub order_key: Option<String>,
    /// A sender that died had accepted it before.
    pub returned: bool,
    /// The client marked it as a retry of its own.
    pub repeat: bool,
    /// It is a write.
    pub write: bool,
}

/// The first attempt of a message that may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AmbiguousAttempt {
    /// When it was sent.
    pub sent_at: Micros,
    /// Index of the zone of its endpoint.
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
    /// Time since it was sent.
    pub elapsed: Micros,
    /// Its request was begun to be sent; one that was not does not count towards the limit of attempts.
    pub was_started: bool,
    /// The message has ended with it.
    pub is_final: bool,
    /// The Retry-After of a rejection; 0 if there was none.
    pub retry_after: Micros,
    /// The load report that came with the answer.
    pub load_report: Option<LoadReport>,
}

/// Something that happened at the host.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list changed, or could not be fetched.
    EndpointsUpdated {
        /// How to read the entries.
        update: UpdateKind,
        /// Version of the list.
        version: u64,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// An operator drained or restored an endpoint.
    Maintenance {
        /// The endpoint, listed or not.
        endpoint: EndpointId,
        /// What the operator did.
        command: MaintenanceCommand,
    },
    /// A client submitted a message.
    MessageSubmitted(MessageSubmission),
    /// What a predecessor process did for a message; reported in the turn that submits the message again.
    MessageRecovered {
        /// The message.
        id: MessageId,
        /// Attempts made so far; the next one gets this number.
        attempts: u32,
        /// The first attempt that may have taken effect. One that was in flight when the predecessor died may
        /// have.
        first_ambiguous: Option<AmbiguousAttempt>,
    },
    /// A predecessor process gave up an ordered message, and the platform has not acknowledged the notice.
    NoticePending {
        /// The message. Reported in the order in which messages were accepted.
        id: MessageId,
        /// Its order key.
        order_key: String,
    },
    /// The platform acknowledged that a message was rejected or failed: its successors in order may go.
    NoticeAcknowledged {
        /// The message.
        id: MessageId,
    },
    /// A streamed response began; the attempt belongs to the client from now on.
    ResponseStarted {
        /// The message.
        id: MessageId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client withdrew the message.
    MessageWithdrawn {
        /// The message.
        id: MessageId,
    },
    /// A timer fired.
    TimerFired {
        /// The token it was set with.
        token: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// The endpoint that was probed.
        endpoint: EndpointId,
        /// How the probe ended.
        outcome: AttemptOutcome,
        /// Time since it was sent.
        elapsed: Micros,
        /// The load report that came with the answer.
        load_report: Option<LoadReport>,
    },
    /// Another sender sent a note.
    NoteReceived {
        /// Number of that sender.
        from: u32,
        /// The note.
        bytes: Vec<u8>,
    },
}
