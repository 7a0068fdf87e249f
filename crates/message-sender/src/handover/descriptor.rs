//! Passes the listening socket for clients from one process to another. Connections in the socket's accept
//! queue stay there until either process accepts them.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};

use rustix::io::retry_on_intr;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::Interest;
use tokio::net::UnixStream;

use super::error::HandoverError;

/// The byte that is sent together with the descriptor: a stream socket sends no ancillary message without
/// data.
const LISTENER_MARK: u8 = b'L';

/// Sends the descriptor of the listening socket to the other process.
pub async fn send_listener(stream: &UnixStream, listener: &TcpListener) -> Result<(), HandoverError> {
    let send = || send_descriptor(stream, listener);
    stream.async_io(Interest::WRITABLE, send).await.map_err(HandoverError::SendListener)
}

/// Receives the listening socket from the other process, without a time limit.
pub async fn receive_listener(stream: &UnixStream) -> Result<TcpListener, HandoverError> {
    let receive = || receive_descriptor(stream);
    let received = stream.async_io(Interest::READABLE, receive).await;
    let descriptor = received.map_err(HandoverError::ReceiveListener)?;
    descriptor.map(TcpListener::from).ok_or(HandoverError::ListenerMissing)
}

fn send_descriptor(stream: &UnixStream, listener: &TcpListener) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let descriptors = [listener.as_fd()];
    ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
    let mark = [IoSlice::new(&[LISTENER_MARK])];
    retry_on_intr(|| sendmsg(stream, &mark, &mut ancillary, SendFlags::NOSIGNAL))?;
    Ok(())
}

fn receive_descriptor(stream: &UnixStream) -> io::Result<Option<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut mark = [0];
    let mut mark = [IoSliceMut::new(&mut mark)];
    retry_on_intr(|| recvmsg(stream, &mut mark, &mut ancillary, RecvFlags::CMSG_CLOEXEC))?;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(mut descriptors) = message {
            if let Some(descriptor) = descriptors.next() {
                return Ok(Some(descriptor));
            }
        }
    }
    Ok(None)
}
