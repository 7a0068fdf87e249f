//! Records what was written and received in one exchange of a request and its response.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::response_head::{HeadCollector, HeadState, ResponseHead};
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

/// The time before which a response with a certain status cannot be the response to a request. On a connection that
/// has carried other requests, such a response and data that is none belong to an earlier request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarliestResponse {
    /// The status.
    pub status: u16,
    /// Time from the last byte of the request.
    pub response_time: Duration,
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
    /// When the write of the request's last byte began, if it was written.
    last_write_began_at: Cell<Option<Instant>>,
    /// When the write of the request's last byte had ended, if it was written.
    request_written_at: Cell<Option<Instant>>,
    /// Whether the connection has been stopped, so that it writes no more of the request.
    is_stopped: Cell<bool>,
    /// The earliest response with a certain status, if it is known.
    earliest_response: Option<EarliestResponse>,
    /// Whether data has arrived that belongs to no response to this request.
    has_premature_data: Cell<bool>,
    /// Response time of a response that was too early, if there was one.
    premature_response_time: Cell<Option<Duration>>,
    /// Whether any byte has arrived.
    has_received: Cell<bool>,
    status_line: RefCell<StatusLineParser>,
    /// The head of the response, if it follows premature data: the HTTP library cannot find it then.
    head: RefCell<HeadCollector>,
    /// When the status line arrived, if it has.
    status_received_at: Cell<Option<Instant>>,
    /// Notified when a byte of the response has arrived.
    response_started: Notify,
}

impl Exchange {
    /// Creates the record for a request of `request_length` bytes. Increments `written_requests` once they were
    /// written. `earliest_response` is `None` on a new connection, where everything belongs to this request.
    pub fn new(
        request_length: u64,
        written_requests: &Rc<Cell<u64>>,
        earliest_response: Option<EarliestResponse>,
    ) -> Rc<Self> {
        Rc::new(Self {
            request_length: Some(request_length),
            earliest_response,
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

    /// Whether any byte has arrived since the request began.
    pub fn has_received(&self) -> bool {
        self.has_received.get()
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
    /// before the request was written in full, and `None` if it has not arrived. Counted from after the write, so
    /// that an endpoint never counts as slower because this process was held up.
    pub fn response_time(&self) -> Option<Duration> {
        let received_at = self.status_received_at.get()?;
        let written_at = self.request_written_at.get();
        Some(
            written_at.map_or(Duration::ZERO, |written_at| received_at.saturating_duration_since(written_at)),
        )
    }

    /// Longest time that the peer can have had the whole request; zero if it was not written in full. Counted from
    /// before the write, so that it never comes out too short because this process was held up.
    fn max_time_since_request(&self) -> Duration {
        self.last_write_began_at
            .get()
            .filter(|_| self.is_request_written())
            .map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Whether data has arrived that belongs to no response to this request.
    pub fn has_premature_data(&self) -> bool {
        self.has_premature_data.get()
    }

    /// Response time of a response that was too early and that no other has followed. It may have belonged to this
    /// request after all.
    pub fn unreplaced_response_time(&self) -> Option<Duration> {
        self.premature_response_time.get().filter(|_| !self.is_status_line_complete())
    }

    /// The head of the response after premature data, if it has arrived and is well-formed.
    pub fn delayed_head(&self) -> Option<ResponseHead> {
        match self.head.borrow().state() {
            HeadState::Complete(head) => Some(head),
            HeadState::Partial | HeadState::Malformed => None,
        }
    }

    /// Whether the head of the response after premature data has not arrived in full.
    pub(super) fn awaits_delayed_head(&self) -> bool {
        self.head.borrow().state() == HeadState::Partial
    }

    /// Waits until any byte has arrived.
    pub async fn wait_for_response_start(&self) {
        while !self.has_received() {
            self.response_started.notified().await;
        }
    }

    /// Records what has arrived since the request began.
    pub(super) fn record_read(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if !self.has_received.replace(true) {
            self.response_started.notify_one();
        }
        if self.is_premature(bytes) {
            self.has_premature_data.set(true);
            return;
        }
        if self.has_premature_data() {
            self.head.borrow_mut().read(bytes);
        }
        let mut status_line = self.status_line.borrow_mut();
        let was_complete = status_line.is_complete();
        status_line.read(bytes);
        if status_line.is_complete() && !was_complete {
            self.status_received_at.set(Some(Instant::now()));
        }
    }

    /// Whether data belongs to an earlier request: it is no response, or one that is too early.
    fn is_premature(&self, bytes: &[u8]) -> bool {
        let Some(earliest) = self.earliest_response else { return false };
        let response_time = self.max_time_since_request();
        if self.status_line.borrow().has_started() || response_time >= earliest.response_time {
            return false;
        }
        let mut status_line = StatusLineParser::default();
        status_line.read(bytes);
        if status_line.status() == Some(earliest.status) {
            self.premature_response_time.set(Some(response_time));
        }
        status_line.status().is_none_or(|status| status == earliest.status)
    }

    /// Records that a part of the request is about to be written.
    pub(super) fn begin_write(&self) {
        if !self.is_request_written() {
            self.last_write_began_at.set(Some(Instant::now()));
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

#[cfg(test)]
mod tests;
