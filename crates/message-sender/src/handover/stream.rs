//! The connection between the two processes of a handover.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::UnixStream;

use crate::instrumented_stream::should_retry_io;

/// A connection that, unlike the runtime's own streams, retries reads and writes that were interrupted, and
/// does not conclude from a short read that no more data has arrived.
pub struct HandoverStream {
    stream: Rc<UnixStream>,
}

impl HandoverStream {
    /// The underlying socket, over which descriptors are passed.
    pub fn socket(&self) -> &UnixStream {
        &self.stream
    }

    /// Splits the connection into its reading and its writing side, for separate tasks.
    pub fn split(self) -> (HandoverStream, HandoverWriter) {
        let writer = HandoverWriter { stream: Self { stream: self.stream.clone() } };
        (self, writer)
    }
}

impl From<UnixStream> for HandoverStream {
    fn from(stream: UnixStream) -> Self {
        Self { stream: Rc::new(stream) }
    }
}

impl AsyncRead for HandoverStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Err(error) if should_retry_io(&error) => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(bytes) => {
                    buffer.advance(bytes);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for HandoverStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match self.stream.try_write(bytes) {
                Err(error) if should_retry_io(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}

/// The writing side of a connection. When it is dropped, the other process reads the end of the stream.
pub struct HandoverWriter {
    stream: HandoverStream,
}

impl HandoverWriter {
    /// The connection to write to.
    pub fn stream(&mut self) -> &mut HandoverStream {
        &mut self.stream
    }
}

impl Drop for HandoverWriter {
    fn drop(&mut self) {
        // Fails only if the connection has ended.
        let _ = SockRef::from(self.stream.socket()).shutdown(Shutdown::Write);
    }
}
