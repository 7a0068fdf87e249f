//! An HTTP/1.1 client connection on an instrumented stream.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::byte_counter::ByteCounter;
use super::exchange::Exchange;
use super::socket_state::SocketState;
use crate::http_body::discard;
use crate::instrumented_stream::{should_retry_io, InstrumentedStream, StreamObserver};

/// Maximum size of the connection's buffers in bytes. It limits the head of a response, which could
/// otherwise be endless.
const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// Size of the buffer that responses are read into past the HTTP library, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Maximum number of reads of the rest of a status line when an exchange is stopped; interim responses may
/// precede it.
const MAX_STATUS_READS: usize = 16;
/// Maximum time from the first byte of a response to the end of its head.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time from the end of a response's head to the end of its body.
const RESPONSE_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was written, so the peer has not received any of it.
    #[error("the connection was closed before the request was sent")]
    NotSent,
    /// A response started, but its head was not complete in time.
    #[error("the response head was not complete in time")]
    HeadTimeout,
    /// The connection broke, or the response could not be parsed.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
}

/// How the rest of a response after its head was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseRemainder {
    /// The rest arrived in full, and the connection can carry another request.
    Complete,
    /// The rest arrived in full, and the connection was closed.
    CompleteAndClosed,
    /// The rest arrived in full but was followed by bytes that belong to no response.
    ExcessData,
    /// The rest did not arrive in full.
    Incomplete,
}

/// What has happened on a connection since its last response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    /// Nothing; it can carry another request.
    Reusable,
    /// It has ended.
    Ended,
    /// Data has arrived that belongs to no response.
    ExcessData,
}

/// An open connection. Dropping it closes the socket, which is the only way to cancel a request.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<hyper::Result<()>>,
    stream: Rc<TcpStream>,
    byte_counter: Rc<ByteCounter>,
}

impl Connection {
    /// Connects to `address`. Has no timeout other than that of the operating system.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = Rc::new(TcpStream::connect(address).await?);
        stream.set_nodelay(true)?;
        let byte_counter = Rc::new(ByteCounter::default());
        let io = TokioIo::new(InstrumentedStream::new(stream.clone(), byte_counter.clone()));
        let mut client = http1::Builder::new();
        client.max_buf_size(MAX_BUFFER_BYTES);
        let (sender, connection) = client.handshake(io).await.map_err(io::Error::other)?;
        // Nothing needs to watch this task: a broken connection fails the request that is on it, and a
        // closed idle connection is detected before its next use.
        let task = tokio::task::spawn_local(connection);
        Ok(Self { sender, task, stream, byte_counter })
    }

    /// Sends one request, whose exchange is recorded in `exchange`, and returns the head of its response. Never
    /// retries. On a used connection nothing is written if anything has arrived before the first byte.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        exchange: &Rc<Exchange>,
    ) -> Result<Response<Incoming>, SendError> {
        self.byte_counter.begin_exchange(exchange.clone());
        let sent = tokio::select! {
            biased;
            sent = self.sender.try_send_request(request) => sent,
            () = head_timeout(exchange) => return Err(SendError::HeadTimeout),
        };
        match sent {
            Ok(_) if exchange.bytes_written() == 0 => {
                // It arrived before the request, so it is the response to none.
                self.byte_counter.mark_excess_data();
                Err(SendError::NotSent)
            }
            Ok(response) => Ok(response),
            Err(_) if exchange.bytes_written() == 0 => Err(SendError::NotSent),
            Err(error) => Err(SendError::Broken(error.into_error())),
        }
    }

    /// Reads a response to its end. A body that is longer than `max_bytes`, or not received within
    /// `RESPONSE_BODY_TIMEOUT`, counts as incomplete.
    pub async fn read_remainder(&mut self, body: Incoming, max_bytes: usize) -> ResponseRemainder {
        if body.size_hint().lower() > max_bytes as u64 {
            return ResponseRemainder::Incomplete;
        }
        let read = async {
            let is_complete = discard(Limited::new(body, max_bytes)).await;
            let remainder = self.finish_exchange().await;
            if is_complete {
                remainder
            } else {
                ResponseRemainder::Incomplete
            }
        };
        timeout(RESPONSE_BODY_TIMEOUT, read).await.unwrap_or(ResponseRemainder::Incomplete)
    }

    /// Waits until a response whose body was read to its end is over, and determines whether the connection
    /// can carry another request. Unexpected bytes end a connection with an error, a close does not.
    pub async fn finish_exchange(&mut self) -> ResponseRemainder {
        if self.sender.ready().await.is_ok() {
            self.byte_counter.end_exchange();
            return ResponseRemainder::Complete;
        }
        match (&mut self.task).await {
            Ok(Ok(())) => ResponseRemainder::CompleteAndClosed,
            Ok(Err(_)) | Err(_) => ResponseRemainder::ExcessData,
        }
    }

    /// Whether another request can be sent, as far as what has arrived was read. What was not read yet is
    /// noticed when the request is written.
    pub fn idle_state(&self) -> IdleState {
        if self.byte_counter.has_excess_data() {
            IdleState::ExcessData
        } else if self.sender.is_ready() {
            IdleState::Reusable
        } else {
            IdleState::Ended
        }
    }

    /// Whether another request can be sent. Unlike [`Self::idle_state`], looks at the socket.
    pub fn inspect(&self) -> IdleState {
        match SocketState::of(&self.stream) {
            SocketState::Empty => self.idle_state(),
            SocketState::Ended => IdleState::Ended,
            SocketState::Data => IdleState::ExcessData,
        }
    }

    /// Whether data has arrived that belongs to no response.
    pub fn has_excess_data(&self) -> bool {
        self.byte_counter.has_excess_data()
    }

    /// Whether the connection has carried another request before the current one.
    pub fn is_reused(&self) -> bool {
        self.byte_counter.is_reused()
    }

    /// Ends the exchange on this connection and reads what has arrived of its response, so that the status is
    /// known even if the process was suspended or busy when it arrived. The socket stays open.
    pub async fn stop(&mut self) {
        if !self.task.is_finished() {
            self.task.abort();
            // The only possible error is that the task was aborted.
            let _ = (&mut self.task).await;
        }
        self.byte_counter.stop_exchange();
        self.read_arrived_status();
    }

    /// Reads up to the end of the status line, as far as it has arrived.
    fn read_arrived_status(&self) {
        let socket = SockRef::from(&*self.stream);
        for _ in 0..MAX_STATUS_READS {
            if !self.byte_counter.awaits_status_line() {
                return;
            }
            match self.record_read(|buffer| (&*socket).read(buffer)) {
                Ok(bytes) if bytes > 0 => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Nothing has arrived, or the connection has ended.
                Ok(_) | Err(_) => return,
            }
        }
    }

    /// Reads once from the socket, past the HTTP library, and records what was read. Returns its length.
    fn record_read(&self, read: impl FnOnce(&mut [u8]) -> io::Result<usize>) -> io::Result<usize> {
        let mut buffer = [0; READ_BYTES];
        let bytes = read(&mut buffer)?;
        self.byte_counter.read(&buffer[..bytes]);
        Ok(bytes)
    }

    /// Waits until the head of the response after premature data has arrived or the connection has ended. The
    /// connection must have been stopped.
    pub async fn wait_for_delayed_head(&self, exchange: &Exchange) {
        while exchange.awaits_delayed_head() {
            if self.stream.readable().await.is_err() {
                return;
            }
            match self.record_read(|buffer| self.stream.try_read(buffer)) {
                Ok(bytes) if bytes > 0 => {}
                Err(error) if should_retry_io(&error) => {}
                // The connection has ended.
                Ok(_) | Err(_) => return,
            }
        }
    }

    /// Closes the socket before returning, so that anything that is sent afterwards follows the
    /// connection's close.
    pub async fn close(mut self) {
        self.stop().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Completes once `RESPONSE_HEAD_TIMEOUT` has passed since a response started.
async fn head_timeout(exchange: &Exchange) {
    exchange.wait_for_response_start().await;
    sleep(RESPONSE_HEAD_TIMEOUT).await;
}
