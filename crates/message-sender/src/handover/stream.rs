//! The connection between two processes of a handover.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::UnixStream;

use crate::instrumented_stream::should_retry_io;

/// A connection whose reads and writes go on after an interruption, which the runtime's own do not, and which
/// takes a short read for what it is: more may have arrived already.
pub struct HandoverStream {
    stream: Rc<UnixStream>,
}

impl HandoverStream {
    /// The socket itself, for its descriptors.
    pub fn socket(&self) -> &UnixStream {
        &self.stream
    }

    /// The two directions, to be used apart.
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

/// The direction to the other process, which sees its end when this is dropped.
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
        // Fails only where the connection has ended.
        let _ = SockRef::from(self.stream.socket()).shutdown(Shutdown::Write);
    }
}
