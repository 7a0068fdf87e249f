//! A TCP stream that reports the bytes read from and written to it. Only this layer knows what has been on
//! the wire, since the HTTP library buffers in both directions.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a call on a non-blocking socket had no effect and must be repeated: immediately if it was
/// interrupted, otherwise once the socket is ready.
pub fn should_retry_io(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Observes the bytes that are read from and written to a stream.
pub trait StreamObserver {
    /// Called with the bytes that were read from the kernel; empty at the end of the stream.
    fn read(&self, bytes: &[u8]);
    /// Called with the number of bytes that the kernel has accepted.
    fn written(&self, bytes: usize);
    /// Called right before each write. If it returns an error, nothing is written.
    fn before_write(&self, _stream: &TcpStream) -> io::Result<()> {
        Ok(())
    }
}

/// A stream with its observer. The stream is shared, so that its owner can inspect the socket.
pub struct InstrumentedStream<O> {
    stream: Rc<TcpStream>,
    observer: Rc<O>,
}

impl<O> InstrumentedStream<O> {
    /// Wraps a stream and reports its bytes to `observer` from now on.
    pub fn new(stream: Rc<TcpStream>, observer: Rc<O>) -> Self {
        Self { stream, observer }
    }
}

impl<O: StreamObserver> InstrumentedStream<O> {
    /// Writes as soon as the socket accepts data, and reports the number of bytes to the observer.
    fn poll_try_write(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            self.observer.before_write(&self.stream)?;
            match write(&self.stream) {
                Err(error) if should_retry_io(&error) => {}
                written => {
                    if let Ok(bytes) = written {
                        self.observer.written(bytes);
                    }
                    return Poll::Ready(written);
                }
            }
        }
    }
}

impl<O: StreamObserver> AsyncRead for InstrumentedStream<O> {
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
                    let filled_before = buffer.filled().len();
                    buffer.advance(bytes);
                    self.observer.read(&buffer.filled()[filled_before..]);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl<O: StreamObserver> AsyncWrite for InstrumentedStream<O> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_try_write(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
