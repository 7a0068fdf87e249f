//! The predecessor's side of a handover, up to the commit.

use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UnixListener;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::descriptor::send_listener;
use super::error::HandoverError;
use super::ownership::OwnershipLock;
use super::protocol::{
    read_frame, read_frame_within, write_frame, Commit, Hello, Offer, Prepared, PROTOCOL_VERSION,
};
use super::socket_path::SocketPath;
use super::state::HandoverState;
use super::stream::HandoverStream;
use crate::serving_state::ServingStateControl;

/// Time limit for a successor's hello, and for an offer up to the successor's confirmation. During an offer
/// the predecessor makes no decisions.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed handover request: its cause, such as a lack of descriptors, may persist.
const FAILURE_PAUSE: Duration = Duration::from_millis(20);

/// A process that requests to become the sender.
pub struct Successor {
    stream: HandoverStream,
    reads_state: bool,
    listener: Rc<TcpListener>,
    serving_state: Rc<ServingStateControl>,
}

impl Successor {
    /// Whether the successor requested the state in addition to the journal, with this process's protocol
    /// version.
    pub fn reads_state(&self) -> bool {
        self.reads_state
    }

    /// Offers the successor the listening socket and the state. With a state, this returns when the successor
    /// has read both, and nothing changes for this process before the commit. Without a state, this process
    /// stops serving clients, and the successor waits for its end.
    pub async fn offer(self, state: Option<HandoverState>) -> Result<HandoverStream, HandoverError> {
        match timeout(SUCCESSOR_TIMEOUT, self.send_offer(state)).await {
            Ok(offered) => offered,
            Err(_) => Err(HandoverError::Timeout { awaited: "successor to read the offer" }),
        }
    }

    async fn send_offer(mut self, state: Option<HandoverState>) -> Result<HandoverStream, HandoverError> {
        send_listener(self.stream.socket(), &self.listener).await?;
        let has_state = state.is_some();
        write_frame(&mut self.stream, &Offer { state }).await?;
        if has_state {
            let Prepared = read_frame(&mut self.stream).await?;
        } else {
            self.serving_state.shut_down();
        }
        Ok(self.stream)
    }
}

/// Releases the lock and sends the commit, which makes the successor the sender. If the commit cannot be
/// written, the successor has died, and the relay will notice.
pub async fn commit(stream: &mut HandoverStream, lock: OwnershipLock) {
    // The successor takes the lock as soon as it has read the commit.
    drop(lock);
    if let Err(error) = write_frame(stream, &Commit).await {
        tracing::warn!(%error, "successor lost");
    }
}

/// Accepts connections of successors, one at a time. Only the sender listens for them.
pub struct HandoverListener {
    socket: UnixListener,
}

impl HandoverListener {
    /// Binds the handover socket in this state folder, and replaces the socket of an earlier process.
    pub fn bind(folder: &Path) -> io::Result<Self> {
        let path = SocketPath::in_folder(folder)?;
        match std::fs::remove_file(path.as_path()) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        Ok(Self { socket: UnixListener::bind(path.as_path())? })
    }

    /// Accepts successors and passes them to the event loop, until the receiver is dropped.
    pub async fn serve(
        self,
        listener: Rc<TcpListener>,
        serving_state: Rc<ServingStateControl>,
        successors: mpsc::Sender<Successor>,
    ) {
        loop {
            let (stream, hello) = match self.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::warn!(%error, "handover request failed");
                    sleep(FAILURE_PAUSE).await;
                    continue;
                }
            };
            let successor = Successor {
                stream,
                reads_state: hello.protocol_version == Some(PROTOCOL_VERSION),
                listener: listener.clone(),
                serving_state: serving_state.clone(),
            };
            if successors.send(successor).await.is_err() {
                return;
            }
        }
    }

    async fn accept(&self) -> Result<(HandoverStream, Hello), HandoverError> {
        let (stream, _) = self.socket.accept().await.map_err(HandoverError::Accept)?;
        let mut stream = HandoverStream::from(stream);
        let hello = read_frame_within(&mut stream, SUCCESSOR_TIMEOUT).await?;
        Ok((stream, hello))
    }
}
