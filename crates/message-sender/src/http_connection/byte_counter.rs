//! Counts the written bytes of the current request and reads the status line of its response.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::Notify;

use super::status_line::StatusLineParser;
use crate::instrumented_stream::StreamObserver;
use crate::metrics::increment;

/// A counter to increment once a request has been written in full.
struct CompletionTrigger {
    /// Length of the whole request, in bytes.
    request_length: u64,
    counter: Rc<Cell<u64>>,
}

/// Observes what was written and read on a connection since the last reset, which precedes each request.
#[derive(Default)]
pub struct ByteCounter {
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
    pub fn reset(&self) {
        self.written.set(0);
        self.status_line.take();
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
}
