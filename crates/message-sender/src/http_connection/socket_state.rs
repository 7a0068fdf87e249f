//! What has arrived on a socket between two exchanges.

use std::io;
use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::net::TcpStream;

/// What has arrived on a socket and was not read yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SocketState {
    /// Nothing.
    Empty,
    /// Data. Between two exchanges it belongs to no response.
    Data,
    /// The end of the connection, or an error.
    Ended,
}

impl SocketState {
    /// Looks at what has arrived on a socket without reading it.
    pub(super) fn of(stream: &TcpStream) -> Self {
        let socket = SockRef::from(stream);
        loop {
            match socket.peek(&mut [MaybeUninit::uninit()]) {
                Ok(0) => return Self::Ended,
                Ok(_) => return Self::Data,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Self::Empty,
                Err(_) => return Self::Ended,
            }
        }
    }
}
