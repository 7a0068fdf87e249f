//! What the limiter knows about one connection.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::instrumented_stream::StreamObserver;

/// One time-out for a request's head and body, from the connection's start or from the request's first byte
/// on. A client must get an answer or see the connection closed within 3 s, and may have waited in the
/// backlog before.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2200);
/// A connection without a request may be closed after 2 s. While there is capacity it may stay a little
/// longer: clients that submit often then need no new one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// What happens on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Between requests, or no byte has been received yet.
    Idle,
    /// Part of a request has been received.
    Receiving,
    /// A request has been received completely and is not answered yet.
    Processing,
}

/// Why a connection is closed here, and not by its client or with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// A new connection needs the slot.
    Evicted,
    /// The request was not complete in time, or none came on a new connection.
    RequestTimeout,
    /// No further request came.
    IdleTimeout,
}

/// The slot of one connection.
pub struct ConnectionSlot {
    phase: Cell<Phase>,
    phase_started: Cell<Instant>,
    has_answered: Cell<bool>,
    close_reason: Cell<Option<CloseReason>>,
    /// An error was answered before the request had been read to its end.
    has_unread_request: Cell<bool>,
    /// Wakes the connection's task when the connection is to be closed.
    close: Notify,
    /// Bytes received since the last answer.
    received: Cell<u64>,
    head_end: HeadEnd,
}

impl StreamObserver for ConnectionSlot {
    fn read(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.phase.get() == Phase::Idle {
            self.phase.set(Phase::Receiving);
            // The first request's time has run since the connection's start.
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
            close: Notify::new(),
            received: Cell::new(0),
            head_end: HeadEnd::default(),
        }
    }

    /// A request has been received completely.
    pub fn mark_request_received(&self) {
        self.phase.set(Phase::Processing);
    }

    /// An error was answered, and more of the request or behind it may come.
    pub fn mark_unread_request(&self) {
        self.has_unread_request.set(true);
    }

    /// Whether an error was answered before the request had been read to its end.
    pub fn has_unread_request(&self) -> bool {
        self.has_unread_request.get()
    }

    /// Whether exactly one request has been received: a head, and a body of this length. More is pipelined,
    /// or hidden in what another reader would take for the body; clients send one request at a time.
    pub fn holds_one_request(&self, body_length: u64) -> bool {
        self.head_end.offset().is_some_and(|head_length| self.received.get() <= head_length + body_length)
    }

    /// Part of a request has been received, or all of it, and it is not answered yet.
    pub fn has_pending_request(&self) -> bool {
        self.phase.get() != Phase::Idle
    }

    pub(super) fn mark_answered(&self) {
        self.phase.set(Phase::Idle);
        self.has_answered.set(true);
        self.phase_started.set(Instant::now());
        self.received.set(0);
        self.head_end.reset();
    }

    /// Closes the connection to free its slot; it is not chosen again while it closes.
    pub(super) fn evict(&self) {
        self.phase.set(Phase::Processing);
        self.close(CloseReason::Evicted);
    }

    /// Asks the connection's task to close the connection.
    pub(super) fn close(&self, reason: CloseReason) {
        self.close_reason.set(Some(reason));
        self.close.notify_one();
    }

    /// Why the connection was asked to close, if it was.
    pub(super) fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason.get()
    }

    /// Waits until the connection is to be closed.
    pub(super) async fn wait_until_closed(&self) {
        self.close.notified().await;
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.close_reason.get() == Some(CloseReason::Evicted)
    }

    /// No request has been answered on it yet: the connection was made to send one.
    pub(super) fn awaits_first_answer(&self) -> bool {
        !self.has_answered.get()
    }

    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Since when the connection is idle, or its request is being received.
    pub(super) fn phase_started(&self) -> Instant {
        self.phase_started.get()
    }

    /// The reason to close the connection now, if its time is up.
    pub(super) fn timed_out(&self) -> Option<CloseReason> {
        let (timeout, reason) = match self.phase.get() {
            Phase::Processing => return None,
            Phase::Idle if self.has_answered.get() => (IDLE_TIMEOUT, CloseReason::IdleTimeout),
            Phase::Idle | Phase::Receiving => (REQUEST_TIMEOUT, CloseReason::RequestTimeout),
        };
        (self.phase_started.get().elapsed() >= timeout).then_some(reason)
    }
}

/// Finds the end of a request's head, however its bytes are cut up on the way.
#[derive(Default)]
struct HeadEnd {
    progress: Cell<BlankLine>,
    offset: Cell<Option<u64>>,
}

/// How much of the blank line that ends a head has been received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum BlankLine {
    #[default]
    None,
    /// CR
    LineReturn,
    /// CR LF
    LineEnd,
    /// CR LF CR
    BlankReturn,
}

impl HeadEnd {
    /// Where the head ends, counted from the request's first byte, once that is known.
    fn offset(&self) -> Option<u64> {
        self.offset.get()
    }

    /// Looks at the request's bytes from `start` on, unless the end is known already.
    fn scan(&self, start: u64, bytes: &[u8]) {
        if self.offset.get().is_some() {
            return;
        }
        for (index, byte) in bytes.iter().enumerate() {
            let progress = match (self.progress.get(), byte) {
                (BlankLine::BlankReturn, b'\n') => {
                    self.offset.set(Some(start + index as u64 + 1));
                    return;
                }
                (BlankLine::LineReturn, b'\n') => BlankLine::LineEnd,
                (BlankLine::LineEnd, b'\r') => BlankLine::BlankReturn,
                (_, b'\r') => BlankLine::LineReturn,
                _ => BlankLine::None,
            };
            self.progress.set(progress);
        }
    }

    fn reset(&self) {
        self.progress.set(BlankLine::None);
        self.offset.set(None);
    }
}
