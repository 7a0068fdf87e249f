//! The state of one connection, from which the limiter decides when to close it.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::instrumented_stream::StreamObserver;

/// Timeout for receiving a request, head and body together. It runs from the start of the connection for the
/// first request, and from the first byte for each later one. It is shorter than the 3 s within which a
/// client must get an answer or see the connection closed, because the client may have waited in the listen
/// backlog before.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2200);
/// Timeout for a connection between requests. A connection without a request may be closed after 2 s; while
/// there are free slots it is kept a little longer, so that clients that submit often need not reconnect.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// How far the current request of a connection has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No byte of the next request has been received yet.
    Idle,
    /// Part of a request has been received.
    Receiving,
    /// A request has been received completely but not answered yet.
    Processing,
}

/// Why the limiter closes a connection that neither its client nor an answer has closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// A new connection needs the slot.
    Evicted,
    /// The request was not complete in time, or none arrived on a new connection.
    RequestTimeout,
    /// No further request arrived in time.
    IdleTimeout,
    /// The process is about to end.
    ShuttingDown,
    /// Other requests need the memory for the body, or no memory became free for it in time.
    MemoryShortage,
}

/// The memory that is reserved for the body of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReservedBody {
    /// When it was reserved.
    pub since: Instant,
    /// The length of the body, in bytes.
    pub bytes: usize,
}

/// Whether memory is reserved for the body of the current request.
#[derive(Debug, Clone, Copy, Default)]
enum BodyMemoryState {
    /// The body needs no reservation, or none yet.
    #[default]
    NotNeeded,
    /// The body is not read until there is memory for it.
    Awaited,
    /// The body is being received.
    Reserved(ReservedBody),
}

/// The slot that an open connection occupies, with the state of the connection.
pub struct ConnectionSlot {
    phase: Cell<Phase>,
    /// When the connection became idle or its request began to arrive. For the first request, this is the
    /// start of the connection.
    phase_started: Cell<Instant>,
    /// Whether a request on this connection has been answered.
    has_answered: Cell<bool>,
    /// Why the limiter has asked for the connection to be closed, if it has.
    close_reason: Cell<Option<CloseReason>>,
    /// Whether a request was answered while more bytes, of the request or after it, may still arrive.
    has_unread_request: Cell<bool>,
    /// Notifies the connection's task that `close_reason` is set.
    close_requested: Notify,
    /// Number of bytes received since the last answer.
    received: Cell<u64>,
    body_memory: Cell<BodyMemoryState>,
    /// Finds where the head of the current request ends.
    head_end: HeadEndFinder,
}

impl StreamObserver for ConnectionSlot {
    fn read(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.phase.get() == Phase::Idle {
            self.phase.set(Phase::Receiving);
            // The timeout of the first request runs from the start of the connection.
            if self.has_answered.get() {
                self.phase_started.set(Instant::now());
            }
        }
        self.head_end.scan(self.received.get(), bytes);
        self.received.set(self.received.get() + bytes.len() as u64);
    }

    fn written(&self, _: usize) {}
}

impl ConnectionSlot {
    pub(super) fn new() -> Self {
        Self {
            phase: Cell::new(Phase::Idle),
            phase_started: Cell::new(Instant::now()),
            has_answered: Cell::new(false),
            close_reason: Cell::new(None),
            has_unread_request: Cell::new(false),
            close_requested: Notify::new(),
            received: Cell::new(0),
            body_memory: Cell::default(),
            head_end: HeadEndFinder::default(),
        }
    }

    /// Records that a request has been received completely.
    pub fn mark_request_received(&self) {
        self.phase.set(Phase::Processing);
    }

    /// Records that the body of the current request waits for memory.
    pub(super) fn mark_awaiting_memory(&self) {
        self.body_memory.set(BodyMemoryState::Awaited);
    }

    /// Records that memory is reserved for a body of this length, which is being received from now on.
    pub(super) fn mark_body_reserved(&self, bytes: usize) {
        self.body_memory.set(BodyMemoryState::Reserved(ReservedBody { since: Instant::now(), bytes }));
    }

    /// The memory that is reserved for the body of the current request, if any.
    pub(super) fn reserved_body(&self) -> Option<ReservedBody> {
        match self.body_memory.get() {
            BodyMemoryState::Reserved(body) => Some(body),
            BodyMemoryState::NotNeeded | BodyMemoryState::Awaited => None,
        }
    }

    /// Records that a request was answered while more bytes, of the request or after it, may still arrive.
    pub fn mark_unread_request(&self) {
        self.has_unread_request.set(true);
    }

    /// Whether a request was answered while more bytes, of the request or after it, may still arrive.
    pub fn has_unread_request(&self) -> bool {
        self.has_unread_request.get()
    }

    /// Whether no more has been received than one request: a head, and a body of `body_length` bytes. Clients
    /// send one request at a time, so further bytes are a pipelined request, or one that is smuggled in what
    /// another HTTP implementation would read as the body.
    pub fn holds_one_request(&self, body_length: u64) -> bool {
        self.head_end.offset().is_some_and(|head_length| self.received.get() <= head_length + body_length)
    }

    /// Whether a request has been received, at least in part, and is not answered yet.
    pub fn has_pending_request(&self) -> bool {
        self.phase.get() != Phase::Idle
    }

    /// Records that the request has been answered, and prepares for the next one.
    pub(super) fn mark_answered(&self) {
        self.phase.set(Phase::Idle);
        self.has_answered.set(true);
        self.phase_started.set(Instant::now());
        self.received.set(0);
        self.body_memory.take();
        self.head_end.reset();
    }

    /// Asks the connection's task to close the connection, unless that was done before. The task first sees to
    /// it that a request on the connection gets an answer.
    pub(super) fn close(&self, reason: CloseReason) {
        if self.close_reason.get().is_none() {
            self.close_reason.set(Some(reason));
            self.close_requested.notify_one();
            self.log_close();
        }
    }

    /// Whether the limiter has asked for the connection to be closed.
    pub fn is_closing(&self) -> bool {
        self.close_reason.get().is_some()
    }

    /// Logs why the limiter closes the connection, and how much of a request has been received on it.
    fn log_close(&self) {
        tracing::debug!(
            reason = ?self.close_reason.get(),
            phase = ?self.phase.get(),
            phase_ms = self.phase_started.get().elapsed().as_millis(),
            received_bytes = self.received.get(),
            has_answered = self.has_answered.get(),
            "connection closed by the limiter"
        );
    }

    /// Waits until the limiter asks for the connection to be closed, and returns the reason.
    pub async fn wait_for_close_request(&self) -> CloseReason {
        loop {
            if let Some(reason) = self.close_reason.get() {
                return reason;
            }
            self.close_requested.notified().await;
        }
    }

    /// Waits until the limiter asks for the connection to be closed because a new one needs its slot.
    pub async fn wait_for_eviction(&self) {
        while !self.is_evicted() {
            self.close_requested.notified().await;
        }
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.close_reason.get() == Some(CloseReason::Evicted)
    }

    /// Whether no request on this connection has been answered yet. Its client opened it to send one.
    pub(super) fn awaits_first_answer(&self) -> bool {
        !self.has_answered.get()
    }

    /// How far the current request has got.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// When the connection became idle or its request began to arrive; the start of the connection for its
    /// first request.
    pub(super) fn phase_started(&self) -> Instant {
        self.phase_started.get()
    }

    /// The timeout that has expired, if any, as the reason to close the connection.
    pub(super) fn timed_out(&self) -> Option<CloseReason> {
        let (timeout, reason) = match self.phase.get() {
            Phase::Processing => return None,
            Phase::Idle if self.has_answered.get() => (IDLE_TIMEOUT, CloseReason::IdleTimeout),
            Phase::Idle | Phase::Receiving => (REQUEST_TIMEOUT, self.request_timeout_reason()),
        };
        (self.phase_started.get().elapsed() >= timeout).then_some(reason)
    }

    /// Why a request was not received in time: its client is not to blame if its body was not read.
    fn request_timeout_reason(&self) -> CloseReason {
        match self.body_memory.get() {
            BodyMemoryState::Awaited => CloseReason::MemoryShortage,
            BodyMemoryState::NotNeeded | BodyMemoryState::Reserved(_) => CloseReason::RequestTimeout,
        }
    }
}

/// Finds the end of a request's head, in whatever pieces its bytes arrive.
#[derive(Default)]
struct HeadEndFinder {
    /// How much of the blank line the bytes scanned last have matched.
    progress: Cell<BlankLineProgress>,
    /// Length of the head in bytes, with its blank line, once it is known.
    offset: Cell<Option<u64>>,
}

/// How much of the `CR LF CR LF` that ends a head has been received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum BlankLineProgress {
    #[default]
    None,
    Cr,
    CrLf,
    CrLfCr,
}

impl HeadEndFinder {
    /// The offset at which the head ends, in bytes from the start of the request, once it is known.
    fn offset(&self) -> Option<u64> {
        self.offset.get()
    }

    /// Scans the bytes of the request that begin at offset `start`, unless the end of the head is known
    /// already.
    fn scan(&self, start: u64, bytes: &[u8]) {
        if self.offset.get().is_some() {
            return;
        }
        for (index, byte) in bytes.iter().enumerate() {
            let progress = match (self.progress.get(), byte) {
                (BlankLineProgress::CrLfCr, b'\n') => {
                    self.offset.set(Some(start + index as u64 + 1));
                    return;
                }
                (BlankLineProgress::Cr, b'\n') => BlankLineProgress::CrLf,
                (BlankLineProgress::CrLf, b'\r') => BlankLineProgress::CrLfCr,
                (_, b'\r') => BlankLineProgress::Cr,
                _ => BlankLineProgress::None,
            };
            self.progress.set(progress);
        }
    }

    fn reset(&self) {
        self.progress.set(BlankLineProgress::None);
        self.offset.set(None);
    }
}
