//! Assigns the bytes of a connection to its exchanges, and notices data that belongs to no response.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

use tokio::net::TcpStream;

use super::exchange::Exchange;
use super::socket_state::SocketState;
use crate::instrumented_stream::StreamObserver;

/// Observes what is written and read on a connection, and records it in the current exchange.
#[derive(Default)]
pub struct ByteCounter {
    /// Number of requests that have begun.
    requests: Cell<u64>,
    /// The exchange that has begun and not ended, if any.
    exchange: RefCell<Option<Rc<Exchange>>>,
    /// Whether data has arrived that belongs to no response.
    has_excess_data: Cell<bool>,
}

impl ByteCounter {
    /// Begins the next exchange.
    pub fn begin_exchange(&self, exchange: Rc<Exchange>) {
        self.requests.set(self.requests.get() + 1);
        self.exchange.replace(Some(exchange));
    }

    /// Records that a response has ended. What arrives before the next exchange begins belongs to no response.
    pub fn end_exchange(&self) {
        self.exchange.replace(None);
    }

    /// Records that nothing more will be written of the current request.
    pub fn stop_exchange(&self) {
        if let Some(exchange) = &*self.exchange.borrow() {
            exchange.stop();
        }
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

    /// Whether an exchange has begun whose status line has not arrived yet.
    pub fn awaits_status_line(&self) -> bool {
        self.exchange.borrow().as_ref().is_some_and(|exchange| !exchange.is_status_line_complete())
    }

    /// Whether a byte of the current request was written.
    fn has_written(&self) -> bool {
        self.exchange.borrow().as_ref().is_some_and(|exchange| exchange.bytes_written() > 0)
    }

    /// Allows the first byte of a request on a used connection only if nothing has arrived since the last
    /// response: data that is there before the request would be read as the response to it.
    fn check_before_request(&self, stream: &TcpStream) -> io::Result<()> {
        if self.has_written() || !self.is_reused() {
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

impl StreamObserver for ByteCounter {
    fn read(&self, bytes: &[u8]) {
        match &*self.exchange.borrow() {
            Some(exchange) => exchange.record_read(bytes),
            None if bytes.is_empty() => {}
            None => self.mark_excess_data(),
        }
    }

    fn written(&self, bytes: usize) {
        if let Some(exchange) = &*self.exchange.borrow() {
            exchange.record_written(bytes);
        }
    }

    fn before_write(&self, stream: &TcpStream) -> io::Result<()> {
        self.check_before_request(stream)?;
        if let Some(exchange) = &*self.exchange.borrow() {
            exchange.begin_write();
        }
        Ok(())
    }
}
