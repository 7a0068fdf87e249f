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

/// What is unusual so soon after a request on a connection that has carried other requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarlyData {
    /// Time from the last byte of the request within which data is early. Early data that is no response is skipped.
    pub within: Duration,
    /// The status of an early response that is doubted: it belongs to an earlier request if another response follows.
    /// `None` if the peer gives no reason for doubt.
    pub doubted_status: Option<u16>,
}

/// A response that may belong to an earlier request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct DoubtedResponse {
    status: u16,
    response_time: Duration,
}

/// How data that has arrived relates to the request.
enum Arrival {
    /// It belongs to the response.
    Response,
    /// It is early and no response.
    Noise,
    /// It is an early response that may belong to an earlier request.
    Doubted(DoubtedResponse),
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
    /// What is unusual soon after the request, if it is known.
    early_data: Option<EarlyData>,
    /// Whether noise or a doubted response has arrived, so that the response may still follow.
    has_premature_data: Cell<bool>,
    /// The doubted response, if there is one.
    doubted_response: Cell<Option<DoubtedResponse>>,
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
    /// written. `early_data` is `None` on a new connection, where everything belongs to this request.
    pub fn new(
        request_length: u64,
        written_requests: &Rc<Cell<u64>>,
        early_data: Option<EarlyData>,
    ) -> Rc<Self> {
        Rc::new(Self {
            request_length: Some(request_length),
            early_data,
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

    /// The status of the response, known once its status line has arrived, even if the rest cannot be parsed. That of
    /// a doubted response counts unless another response has followed: only that proves that it belongs to an
    /// earlier request.
    pub fn response_status(&self) -> Option<u16> {
        let status = self.status_line.borrow().status();
        status.or_else(|| Some(self.unreplaced_response()?.status))
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

    /// Whether early data has arrived that is no response, or a response that is doubted.
    pub fn has_premature_data(&self) -> bool {
        self.has_premature_data.get()
    }

    /// Whether a response has arrived that may belong to an earlier request.
    pub fn has_doubted_response(&self) -> bool {
        self.doubted_response.get().is_some()
    }

    /// Response time of the doubted response, if no other response has followed, so that it counts.
    pub fn unreplaced_response_time(&self) -> Option<Duration> {
        Some(self.unreplaced_response()?.response_time)
    }

    /// The doubted response, if no other has followed. A request that was not written in full has no response.
    fn unreplaced_response(&self) -> Option<DoubtedResponse> {
        let is_replaced = self.status_line.borrow().status().is_some();
        self.doubted_response.get().filter(|_| !is_replaced && self.is_request_written())
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
        match self.classify(bytes) {
            Arrival::Response => {}
            Arrival::Noise => return self.has_premature_data.set(true),
            Arrival::Doubted(response) => {
                self.has_premature_data.set(true);
                return self.doubted_response.set(Some(response));
            }
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

    /// Tells early data that is no response, or a doubted one, from the response.
    fn classify(&self, bytes: &[u8]) -> Arrival {
        let response_time = self.max_time_since_request();
        let early_data = self.early_data.filter(|early| response_time < early.within);
        let Some(EarlyData { doubted_status, .. }) = early_data else { return Arrival::Response };
        if self.status_line.borrow().has_started() {
            return Arrival::Response;
        }
        let mut status_line = StatusLineParser::default();
        status_line.read(bytes);
        match status_line.status() {
            Some(status) if doubted_status == Some(status) => {
                Arrival::Doubted(DoubtedResponse { status, response_time })
            }
            Some(_) => Arrival::Response,
            None if status_line.may_become_complete() => Arrival::Response,
            None => Arrival::Noise,
        }
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
