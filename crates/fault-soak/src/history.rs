//! Records of what clients, endpoints and discovery observed, of process events and of incidents. The oracle
//! uses nothing else.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::settings::Class;

/// Result of a submission as its client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitResult {
    /// Status 202 or 200.
    Accepted,
    /// Status 429 or 503: the message was not accepted, and submitting it again is safe.
    Refused,
    /// Any other status, which the field holds.
    Failed(u16),
    /// The client timed out, or closed the connection without waiting for the response.
    Abandoned,
    /// The connection failed or ended without a response while the request was written or after that.
    Closed,
    /// No connection could be established, so nothing was submitted.
    NotConnected,
}

impl SubmitResult {
    /// Returns the result that a response with this status stands for.
    #[must_use]
    pub fn of(status: u16) -> Self {
        match status {
            200 | 202 => Self::Accepted,
            429 | 503 => Self::Refused,
            status => Self::Failed(status),
        }
    }
}

/// What a connection had been used for before a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// Nothing: the request was written right after the connection was established.
    Fresh,
    /// An earlier request, or the connection had been open for long enough to be accepted.
    Accepted,
    /// Nothing for a while, in a run whose faults may keep it from being accepted.
    Rested,
}

/// How a connection ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The client could not write the last byte of its request.
    BeforeLastByte,
    /// The sender closed it after it had read everything, or before the request arrived.
    Closed,
    /// It was reset: something of the request was not read, or the process was killed.
    Reset,
}

/// A request whose connection ended without a complete response.
#[derive(Debug, Clone, Copy)]
pub struct EndedRequest {
    /// Index of the sender.
    pub sender: usize,
    /// What the connection had been used for.
    pub connection_use: ConnectionUse,
    /// Time at which the client began to write the request.
    pub first_byte_at: Instant,
    /// Time at which the client noticed the end.
    pub ended_at: Instant,
    /// How the connection ended.
    pub end: ConnectionEnd,
}

/// A submitted message as its client sees it.
#[derive(Debug, Clone)]
pub struct Message {
    /// Index of the sender that it was submitted to.
    pub sender: usize,
    /// Class of the message.
    pub class: Class,
    /// Number of its destination.
    pub destination: u64,
    /// Its order key and its position among the messages of that key.
    pub order: Option<(String, u64)>,
    /// Time at which its client wrote the last byte of its submission.
    pub submitted_at: Instant,
    /// Time from the submission to its deadline.
    pub budget: Duration,
    /// Result of the submission, and the time at which the client had it.
    pub result: Option<(SubmitResult, Instant)>,
    /// Whether its client submitted it again under the same id later.
    pub is_replayed: bool,
}

impl Message {
    /// Time by which the message must have been delivered or ended by a notice.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.submitted_at + self.budget
    }
}

/// An endpoint's reply to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// Status 200: the message is delivered.
    Delivered,
    /// Status 500: the message may have taken effect.
    Error,
    /// Status 429 with a retry delay, or 503 without one: the message has not taken effect.
    Rejected {
        /// How long the sender must wait before its next call to the destination; `None` for status 503.
        retry_after: Option<Duration>,
    },
    /// Status 504: the message was not processed.
    NotProcessed,
    /// Status 410: the message is over, and nothing more is owed.
    Gone,
    /// No response or part of one, and the connection was reset: the message may have taken effect.
    Reset,
}

/// A call that an endpoint has received completely.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    /// Call id of the message.
    pub call_id: String,
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Number of the destination that the endpoint belongs to.
    pub destination: u64,
    /// Idempotency key in the call.
    pub idempotency_key: String,
    /// Time at which its first byte arrived.
    pub first_byte_at: Instant,
    /// Time at which its last byte arrived.
    pub arrived_at: Instant,
    /// The reply of the endpoint, and its time.
    pub reply: Option<(Reply, Instant)>,
    /// Time at which its connection ended, if that was before the reply.
    pub closed_at: Option<Instant>,
}

impl EndpointCall {
    /// Whether the message may have taken effect by this call.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        !matches!(self.reply, Some((Reply::Rejected { .. } | Reply::NotProcessed | Reply::Gone, _)))
    }

    /// Time at which the call was replied to or its connection ended; `None` while it is in flight.
    #[must_use]
    pub fn ended_at(&self) -> Option<Instant> {
        let replied_at = self.reply.map(|(_, at)| at);
        replied_at.into_iter().chain(self.closed_at).min()
    }
}

/// Result of a message in a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeResult {
    /// `dead` on the wire.
    Failed,
    /// `bounced` on the wire.
    Rejected,
}

/// An event in the life of a sender's processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessEvent {
    /// A process is about to get SIGTERM or SIGKILL, or a successor is about to start that will be killed.
    Ending,
    /// A successor is about to start and take over.
    Upgrading,
    /// A process is ready for clients, or its start timed out.
    Ready,
    /// The processes were suspended with SIGSTOP.
    Paused,
    /// The processes were continued with SIGCONT.
    Resumed,
    /// The processes are about to get SIGKILL.
    Killed,
}

/// A failure of a sender that is independent of the rules about messages, such as a crash.
#[derive(Debug, Clone)]
pub struct Incident {
    /// Index of the sender.
    pub sender: usize,
    /// Description of the failure.
    pub description: String,
}

/// Everything that was recorded in a run.
#[derive(Debug, Default)]
pub struct Records {
    /// Submitted messages by call id.
    pub messages: BTreeMap<String, Message>,
    /// Requests whose connection ended without a complete response, by call id. A request that is sent again
    /// on a new connection may be here and get a response.
    pub ended_requests: Vec<(String, EndedRequest)>,
    /// Times from SIGTERM to the end of the process.
    pub shutdown_times: Vec<Duration>,
    /// Whether faults of the run keep senders from accepting connections at once.
    pub accepts_may_stall: bool,
    /// Whether crowds occupy senders in the run, so that new connections may be closed unread.
    pub is_crowded: bool,
    /// Calls in the order of their arrival.
    pub calls: Vec<EndpointCall>,
    /// Notices by call id, each with its result and the time at which it was acknowledged.
    pub notices: BTreeMap<String, Vec<(NoticeResult, Instant)>>,
    /// Times at which notices were refused, by call id. The protocol says that discovery takes each of them at once.
    pub refused_notices: BTreeMap<String, Vec<Instant>>,
    /// Process events, each with the index of the sender and its time.
    pub process_events: Vec<(usize, ProcessEvent, Instant)>,
    /// Endpoint statuses that were sent to senders by discovery, in the order of sending.
    pub status_updates: Vec<StatusUpdate>,
    /// Operators' commands that were carried out, in the order of their answers.
    pub operator_commands: Vec<OperatorCommand>,
    /// Number of times that endpoints sent data after a response while no request waited.
    pub excess_sent: usize,
    /// Connections of peers that send incomplete or invalid requests: index of the sender, time of the
    /// connection attempt, and whether the sender answered or closed the connection in time.
    pub peers: Vec<(usize, Instant, bool)>,
    /// Highest memory of the processes of each sender, in KiB, by the index of the sender.
    pub peak_memory_kib: BTreeMap<usize, u64>,
    /// Failures of senders other than violated rules about messages.
    pub incidents: Vec<Incident>,
}

/// The status of one endpoint, as discovery sent it to a sender.
#[derive(Debug, Clone, Copy)]
pub struct StatusUpdate {
    /// Index of the sender.
    pub sender: usize,
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Whether the endpoint is listed as up, rather than as draining or removed.
    pub is_up: bool,
    /// Time at which the response was prepared.
    pub at: Instant,
}

/// An operator's command that a sender has carried out.
#[derive(Debug, Clone, Copy)]
pub struct OperatorCommand {
    /// Index of the sender.
    pub sender: usize,
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Whether the endpoint was drained, rather than restored.
    pub is_drained: bool,
    /// From when on calls may be judged by it: the time of the answer if the endpoint was drained, and the time
    /// before the first call of the command if it was restored.
    pub at: Instant,
}

/// The records of one run, which clients, endpoints, discovery and process control append to.
#[derive(Debug, Default)]
pub struct History {
    records: Mutex<Records>,
}

impl History {
    /// Locks the records for as long as the guard lives.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a process event of a sender with the current time.
    pub fn record_process_event(&self, sender: usize, event: ProcessEvent) {
        self.records().process_events.push((sender, event, Instant::now()));
    }

    /// Records a failure of a sender.
    pub fn record_incident(&self, sender: usize, description: impl Into<String>) {
        self.records().incidents.push(Incident { sender, description: description.into() });
    }
}
