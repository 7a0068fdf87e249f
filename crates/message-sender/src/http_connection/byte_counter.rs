//! Counts the written bytes of the current request, reads the status line of its response, and notices data that
//! belongs to no response.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::socket_state::SocketState;
use super::status_line::StatusLineParser;
use crate::instrumented_stream::StreamObserver;
use crate::metrics::increment;

/// A counter to increment once a request has been written in full.
struct CompletionTrigger {
    /// Length of the whole request, in bytes.
    request_length: u64,
    counter: Rc<Cell<u64>>,
}

/// Observes what was written and read on a connection since its last request began.
#[derive(Default)]
pub struct ByteCounter {
    /// Number of requests that have begun.
    requests: Cell<u64>,
    /// Whether the last response has ended and no further request has begun.
    is_idle: Cell<bool>,
    /// Whether data has arrived that belongs to no response.
    has_excess_data: Cell<bool>,
    /// Number of bytes of the request that the kernel has accepted.
    written: Cell<u64>,
    /// Set before a request is sent; removed when it fires.
    completion_trigger: RefCell<Option<CompletionTrigger>>,
    status_line: RefCell<StatusLineParser>,
    /// Notified when a byte of the response has arrived.
    response_started: Notify,
}

impl ByteCounter {
    /// Starts over for the next request. A completion trigger that has not fired yet remains set.
    pub fn begin_request(&self) {
        self.requests.set(self.requests.get() + 1);
        self.is_idle.set(false);
        self.written.set(0);
        self.status_line.take();
    }

    /// Records that a response has ended. The counts of its exchange must not be taken for those of the next
    /// request, which may be cancelled before it is sent.
    pub fn end_exchange(&self) {
        self.is_idle.set(true);
        self.written.set(0);
        self.status_line.take();
    }

    /// Whether the connection has carried another request before the current one.
    pub fn is_reused(&self) -> bool {
        self.requests.get() > 1
    }

    /// Whether data has arrived that belongs to no response.
    pub fn has_excess_data(&self) -> bool {
        self.has_excess_data.get()
    }

    /// Records that data has arrived that belongs to no response.
    pub fn mark_excess_data(&self) {
        self.has_excess_data.set(true);
    }

    /// Sets a trigger that increments `counter` once `request_length` bytes of the next request are written.
    pub fn count_when_written(&self, request_length: u64, counter: Rc<Cell<u64>>) {
        self.completion_trigger.replace(Some(CompletionTrigger { request_length, counter }));
    }

    /// Number of bytes of the request that the kernel has accepted.
    pub fn bytes_written(&self) -> u64 {
        self.written.get()
    }

    /// Whether any byte of the response has arrived.
    pub fn has_response(&self) -> bool {
        self.status_line.borrow().has_started()
    }

    /// The status of the response, once its status line is complete.
    pub fn response_status(&self) -> Option<u16> {
        self.status_line.borrow().status()
    }

    /// Waits until a byte of the response has arrived.
    pub async fn wait_for_response_start(&self) {
        while !self.has_response() {
            self.response_started.notified().await;
        }
    }
}

impl StreamObserver for ByteCounter {
    fn read(&self, bytes: &[u8]) {
        if self.is_idle.get() {
            self.has_excess_data.set(self.has_excess_data.get() || !bytes.is_empty());
            return;
        }
        let mut status_line = self.status_line.borrow_mut();
        status_line.read(bytes);
        if status_line.has_started() {
            self.response_started.notify_one();
        }
    }

    fn written(&self, bytes: usize) {
        let written = self.written.get() + bytes as u64;
        self.written.set(written);
        let is_complete = |trigger: &mut CompletionTrigger| written >= trigger.request_length;
        if let Some(trigger) = self.completion_trigger.borrow_mut().take_if(is_complete) {
            increment(&trigger.counter);
        }
    }

    /// Allows the first byte of a request on a used connection only if nothing has arrived since the last
    /// response: data that is there before the request would be read as the response to it.
    fn before_write(&self, stream: &TcpStream) -> io::Result<()> {
        if self.written.get() > 0 || !self.is_reused() {
            return Ok(());
        }
        match SocketState::of(stream) {
            SocketState::Empty => Ok(()),
            SocketState::Ended => Err(io::ErrorKind::ConnectionAborted.into()),
            SocketState::Data => {
                self.mark_excess_data();
                Err(io::ErrorKind::InvalidData.into())
            }
        }
    }
}
