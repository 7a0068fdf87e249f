//! The successor's side of a handover, up to the commit.

use std::net::TcpListener;
use std::path::Path;
use std::time::Duration;

use deployment_config::Names;
use tokio::net::UnixStream;
use tokio::time::timeout;

use super::descriptor::receive_listener;
use super::error::HandoverError;
use super::protocol::{read_frame_within, write_frame, Commit, Hello, Offer, Prepared, PROTOCOL_VERSION};
use super::socket_path::SocketPath;
use super::state::HandoverState;
use super::stream::HandoverStream;

/// How long the successor waits for the listening socket, and for each frame of the predecessor.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// What a successor requests from the predecessor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestedTransfer {
    /// The state, in addition to the journal.
    State,
    /// Only the journal, once the predecessor has drained.
    JournalOnly,
}

/// The state of a predecessor that may still have attempts in flight and clients.
pub struct InheritedState {
    /// The predecessor's state at the commit.
    pub state: Box<HandoverState>,
    /// The connection to the predecessor, for the relay.
    pub stream: HandoverStream,
}

/// What a successor receives from its predecessor.
pub struct GrantedHandover {
    /// The listening socket for clients.
    pub listener: TcpListener,
    /// The predecessor's state if it has committed; `None` if it drains.
    pub inherited: Option<InheritedState>,
}

/// Requests a handover from the current sender. If the result has an inherited state, the current sender has
/// released the lock.
pub async fn request_handover(
    folder: &Path,
    names: &Names,
    transfer: RequestedTransfer,
) -> Result<GrantedHandover, HandoverError> {
    let mut stream = connect(folder).await?;
    let protocol_version = match transfer {
        RequestedTransfer::State => Some(PROTOCOL_VERSION),
        RequestedTransfer::JournalOnly => None,
    };
    write_frame(&mut stream, &Hello { protocol_version }).await?;
    let listener = receive_listener_within(stream.socket(), RESPONSE_TIMEOUT).await?;
    let offer: Offer = read_frame_within(&mut stream, RESPONSE_TIMEOUT).await?;
    let Some(state) = offer.state.map(Box::new) else {
        return Ok(GrantedHandover { listener, inherited: None });
    };
    if state.names != *names {
        return Err(HandoverError::DifferentNames);
    }
    write_frame(&mut stream, &Prepared).await?;
    // Without a commit, the predecessor either is still the sender or has died; the lock shows which.
    let Commit = read_frame_within(&mut stream, RESPONSE_TIMEOUT).await?;
    Ok(GrantedHandover { listener, inherited: Some(InheritedState { state, stream }) })
}

async fn connect(folder: &Path) -> Result<HandoverStream, HandoverError> {
    let connect_error = |source| HandoverError::Connect { path: folder.to_owned(), source };
    let socket = SocketPath::in_folder(folder).map_err(connect_error)?;
    UnixStream::connect(socket.as_path()).await.map(HandoverStream::from).map_err(connect_error)
}

async fn receive_listener_within(stream: &UnixStream, limit: Duration) -> Result<TcpListener, HandoverError> {
    match timeout(limit, receive_listener(stream)).await {
        Ok(received) => received,
        Err(_) => Err(HandoverError::Timeout { awaited: "listening socket" }),
    }
}
