//! Records what was written and received in one exchange of a request and its response.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::delayed_response::{DelayedResponse, HeadState, ResponseHead};
use super::status_line::StatusLineParser;
use crate::metrics::increment;

/// Proof that a request was not written in full and never will be, so that its peer has not processed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncompleteRequest(());

impl IncompleteRequest {
    /// The proof for a request that was never passed to a connection.
    pub fn never_passed_to_a_connection() -> Self {
        Self(())
    }
}

/// What was written of a request and received of its response. Each exchange has a record of its own, which its
/// connection updates only until the exchange has ended: nothing that happens later can change it.
#[derive(Default)]
pub struct Exchange {
    /// Length of the whole request in bytes, if it is known.
    request_length: Option<u64>,
    /// Incremented once the request was written in full.
    written_requests: Rc<Cell<u64>>,
    /// Number of bytes of the request that the kernel has accepted.
    bytes_written: Cell<u64>,
    /// When the last byte of the request was written, if it was.
    request_written_at: Cell<Option<Instant>>,
    /// Whether the connection has been stopped, so that it writes no more of the request.
    is_stopped: Cell<bool>,
    /// The response that is awaited, if one to an earlier request has arrived in its place.
    delayed_response: RefCell<Option<DelayedResponse>>,
    /// Whether any byte of the response has arrived.
    has_response: Cell<bool>,
    status_line: RefCell<StatusLineParser>,
    /// When the status line arrived, if it has.
    status_received_at: Cell<Option<Instant>>,
    /// Notified when a byte of the response has arrived.
    response_started: Notify,
}

impl Exchange {
    /// Creates the record for a request of `request_length` bytes. Increments `written_requests` once they were
    /// written.
    pub fn new(request_length: u64, written_requests: &Rc<Cell<u64>>) -> Rc<Self> {
        Rc::new(Self {
            request_length: Some(request_length),
            written_requests: written_requests.clone(),
            ..Self::default()
        })
    }

    /// Number of bytes of the request that the kernel has accepted.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.get()
    }

    /// Whether the last byte of the request was written.
    pub fn is_request_written(&self) -> bool {
        self.request_length.is_some_and(|length| self.bytes_written() >= length)
    }

    /// The proof that the request was not written in full, if its connection has been stopped before.
    pub fn incomplete_request(&self) -> Option<IncompleteRequest> {
        let length = self.request_length?;
        let is_incomplete = self.is_stopped.get() && self.bytes_written() < length;
        is_incomplete.then_some(IncompleteRequest(()))
    }

    /// Whether any byte of the response has arrived.
    pub fn has_response(&self) -> bool {
        self.has_response.get()
    }

    /// The status of the response, known once its status line has arrived, even if the rest cannot be parsed.
    pub fn response_status(&self) -> Option<u16> {
        self.status_line.borrow().status()
    }

    /// Whether the status line of the response has arrived, even if it is malformed.
    pub fn is_status_line_complete(&self) -> bool {
        self.status_line.borrow().is_complete()
    }

    /// Time from the last byte of the request to the end of the response's status line; zero if that arrived
    /// before the request was written in full, and `None` if it has not arrived.
    pub fn response_time(&self) -> Option<Duration> {
        let received_at = self.status_received_at.get()?;
        let written_at = self.request_written_at.get().unwrap_or(received_at);
        Some(received_at.saturating_duration_since(written_at))
    }

    /// Discards the response, because it belongs to an earlier request on the connection, and its further copies
    /// that arrive before `min_response_time` has passed since the last byte of the request.
    pub fn discard_response(&self, min_response_time: Duration) {
        let earlier_status = self.response_status();
        self.has_response.set(false);
        self.status_line.take();
        self.status_received_at.set(None);
        let written_at = self.request_written_at.get().unwrap_or_else(Instant::now);
        let delayed_response = DelayedResponse::new(earlier_status, written_at + min_response_time);
        self.delayed_response.replace(Some(delayed_response));
    }

    /// The head of the response after a discarded one, if it has arrived and is well-formed.
    pub fn delayed_head(&self) -> Option<ResponseHead> {
        match self.delayed_response.borrow().as_ref()?.head() {
            HeadState::Complete(head) => Some(head),
            HeadState::Partial | HeadState::Malformed => None,
        }
    }

    /// Whether the response after a discarded one is still awaited.
    pub(super) fn awaits_delayed_head(&self) -> bool {
        let delayed_response = self.delayed_response.borrow();
        delayed_response.as_ref().is_some_and(|response| response.head() == HeadState::Partial)
    }

    /// Waits until a byte of the response has arrived.
    pub async fn wait_for_response_start(&self) {
        while !self.has_response() {
            self.response_started.notified().await;
        }
    }

    /// Records bytes of the response.
    pub(super) fn record_read(&self, bytes: &[u8]) {
        if self.delayed_response.borrow_mut().as_mut().is_some_and(|response| !response.read(bytes)) {
            return;
        }
        let mut status_line = self.status_line.borrow_mut();
        let was_complete = status_line.is_complete();
        status_line.read(bytes);
        if status_line.is_complete() && !was_complete {
            self.status_received_at.set(Some(Instant::now()));
        }
        if !bytes.is_empty() && !self.has_response.replace(true) {
            self.response_started.notify_one();
        }
    }

    /// Records that the kernel has accepted `bytes` more bytes of the request.
    pub(super) fn record_written(&self, bytes: usize) {
        let was_written = self.is_request_written();
        self.bytes_written.set(self.bytes_written() + bytes as u64);
        if self.is_request_written() && !was_written {
            self.request_written_at.set(Some(Instant::now()));
            increment(&self.written_requests);
        }
    }

    /// Records that the connection writes no more of the request.
    pub(super) fn stop(&self) {
        self.is_stopped.set(true);
    }
}
