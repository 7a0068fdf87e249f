//! What clients, endpoints and discovery saw: the only thing that the oracle judges by.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::settings::Class;

/// What a client got for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// 202 or 200.
    Accepted,
    /// 429 or 503: submitting it again is harmless.
    Refused,
    /// Any other status.
    Failed(u16),
    /// The client stopped waiting, or left on purpose.
    Abandoned,
    /// The connection ended without an answer, after the request was written to it.
    Closed {
        /// It was the first request of its connection.
        is_fresh: bool,
    },
    /// No connection could be made: nothing was submitted.
    NotConnected,
}

/// A message as its client knows it.
#[derive(Debug, Clone)]
pub struct Message {
    /// The sender that it was handed to.
    pub sender: usize,
    /// Its class.
    pub class: Class,
    /// Where it goes.
    pub destination: u64,
    /// The key within which it keeps its order, with its place there.
    pub order: Option<(String, u64)>,
    /// When its client began to send it.
    pub submitted_at: Instant,
    /// How long it may take from then on.
    pub budget: Duration,
    /// What its client got, and when.
    pub answer: Option<(Answer, Instant)>,
    /// Its client submitted it again under the same id after its end.
    pub is_replayed: bool,
}

impl Message {
    /// When it must have ended.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.submitted_at + self.budget
    }
}

/// What an endpoint did with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// 200: delivered.
    Delivered,
    /// 500: it may have run.
    Error,
    /// 429 with a wait, or 503 without one: it has not run.
    Rejected {
        /// How long to stay away.
        retry_after: Option<Duration>,
    },
    /// Nothing, and the connection was reset: it may have run.
    Reset,
}

/// A call whose last byte has arrived.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    /// The message.
    pub call_id: String,
    /// The endpoint.
    pub endpoint: usize,
    /// Where the endpoint belongs.
    pub destination: u64,
    /// The idempotency key that came with it.
    pub idempotency_key: String,
    /// When its first byte arrived.
    pub first_byte_at: Instant,
    /// When its last byte arrived.
    pub arrived_at: Instant,
    /// What the endpoint did, and when.
    pub reply: Option<(Reply, Instant)>,
    /// When its connection ended, if it did before the reply.
    pub closed_at: Option<Instant>,
}

impl EndpointCall {
    /// Whether the message may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        !matches!(self.reply, Some((Reply::Rejected { .. }, _)))
    }

    /// Since when the call is not out any more.
    #[must_use]
    pub fn ended_at(&self) -> Option<Instant> {
        let replied_at = self.reply.map(|(_, at)| at);
        replied_at.into_iter().chain(self.closed_at).min()
    }
}

/// How a notice says that a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeResult {
    /// `dead`
    Failed,
    /// `bounced`
    Rejected,
}

/// What happened to a sender's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessEvent {
    /// SIGTERM or SIGKILL.
    Ending,
    /// A successor was started, to take over.
    Upgrading,
    /// A process answers clients.
    Ready,
    /// SIGSTOP.
    Paused,
    /// SIGCONT.
    Resumed,
}

/// Something that is wrong without any rule about messages.
#[derive(Debug, Clone)]
pub struct Incident {
    /// The sender.
    pub sender: usize,
    /// What is wrong.
    pub what: String,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Records {
    /// Messages by id.
    pub messages: BTreeMap<String, Message>,
    /// Calls in the order in which they arrived.
    pub calls: Vec<EndpointCall>,
    /// Notices by message, each with the times at which it was acknowledged.
    pub notices: BTreeMap<String, Vec<(NoticeResult, Instant)>>,
    /// What happened to each sender.
    pub processes: Vec<(usize, ProcessEvent, Instant)>,
    /// When a sender was told that an endpoint drains or is gone, and when that it is up.
    pub told: Vec<Told>,
    /// Peers that are no clients: the sender, when they connected, and whether they got an error or a close.
    pub peers: Vec<(usize, Instant, bool)>,
    /// What else is wrong.
    pub incidents: Vec<Incident>,
}

/// A change of the list, written to a sender.
#[derive(Debug, Clone, Copy)]
pub struct Told {
    /// The sender.
    pub sender: usize,
    /// The endpoint.
    pub endpoint: usize,
    /// Whether it takes calls.
    pub is_up: bool,
    /// When that was written.
    pub at: Instant,
}

/// The history of one run, which all stand-ins write.
#[derive(Debug, Default)]
pub struct History {
    records: Mutex<Records>,
}

impl History {
    /// The records, for as long as the guard lives.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what happened to a process, now.
    pub fn process(&self, sender: usize, event: ProcessEvent) {
        self.records().processes.push((sender, event, Instant::now()));
    }

    /// Records that something is wrong with a sender.
    pub fn incident(&self, sender: usize, what: impl Into<String>) {
        self.records().incidents.push(Incident { sender, what: what.into() });
    }
}
