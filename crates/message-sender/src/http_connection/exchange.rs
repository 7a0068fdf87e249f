//! Records what was written and received in one exchange of a request and its response.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::Notify;

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
    /// Whether the connection has been stopped, so that it writes no more of the request.
    is_stopped: Cell<bool>,
    status_line: RefCell<StatusLineParser>,
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
        self.status_line.borrow().has_started()
    }

    /// The status of the response, known once its status line has arrived, even if the rest cannot be parsed.
    pub fn response_status(&self) -> Option<u16> {
        self.status_line.borrow().status()
    }

    /// Waits until a byte of the response has arrived.
    pub async fn wait_for_response_start(&self) {
        while !self.has_response() {
            self.response_started.notified().await;
        }
    }

    /// Records bytes of the response.
    pub(super) fn record_read(&self, bytes: &[u8]) {
        self.status_line.borrow_mut().read(bytes);
        if self.has_response() {
            self.response_started.notify_one();
        }
    }

    /// Records that the kernel has accepted `bytes` more bytes of the request.
    pub(super) fn record_written(&self, bytes: usize) {
        let was_written = self.is_request_written();
        self.bytes_written.set(self.bytes_written() + bytes as u64);
        if self.is_request_written() && !was_written {
            increment(&self.written_requests);
        }
    }

    /// Records that the connection writes no more of the request.
    pub(super) fn stop(&self) {
        self.is_stopped.set(true);
    }
}
