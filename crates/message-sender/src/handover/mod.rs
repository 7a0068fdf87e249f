//! Passing a sender's work from one process to the next without a pause. Whoever holds the lock in the lasting
//! folder is the sender: it alone decides, writes the journal and accepts connections. The kernel frees the lock
//! when its holder dies, at whatever step; what passes beyond the journal only spares the new process the losses of
//! a restart.

pub mod relay;

use std::fs::{File, OpenOptions};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net;
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use delivery_control::Controller;
use delivery_control::{MessageId, Micros};
use deployment_config::Names;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, Interest};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

use crate::endpoint_registry::RegistrySnapshot;
use crate::serving_state::ServingStateControl;

const LOCK: &str = "lock";
const SOCKET: &str = "handover";
/// The system takes no longer path for a socket.
const PATH_MOST: usize = 100;
/// How long the old process stops deciding for a new one that does not go on.
const PATIENCE: Duration = Duration::from_millis(500);
/// How long the new process waits for each word of the old one.
const ASK_PATIENCE: Duration = Duration::from_secs(2);
/// Pause before the lock is tried again.
const PAUSE: Duration = Duration::from_millis(20);
/// No frame is longer: what is known of some hundred messages, or one message with its body.
const FRAME_MOST: usize = 16 * 1024 * 1024;
/// Changes with what two processes say to each other after the commit.
pub const RELAY: u32 = 3;
/// How long a process whose successor has died tries for the lock: the kernel frees it a moment later.
const RECLAIM_PATIENCE: Duration = Duration::from_secs(1);
/// Goes with the listening socket.
const MARK: u8 = b'L';

/// Why a handover did not come about.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    #[error("the other process is gone: {0}")]
    Gone(#[from] io::Error),
    #[error("the other process does not answer")]
    Stalled,
    #[error("what the other process says cannot be read: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
    #[error("a frame cannot be written: {0}")]
    Unwritable(#[from] rmp_serde::encode::Error),
    #[error("a frame of {0} bytes")]
    TooLong(usize),
    #[error("no listening socket came")]
    NoListener,
    #[error("the settings name other classes, tenants, kinds or zones")]
    OtherNames,
}

impl HandoverError {
    /// The old process's state is of no use to this one: only its journal is.
    fn is_about_state(&self) -> bool {
        matches!(self, Self::Unreadable(_) | Self::OtherNames)
    }
}

/// The right to be the sender; freed when dropped.
pub struct OwnershipLock(#[allow(dead_code)] File);

impl OwnershipLock {
    fn try_take(folder: &Path) -> io::Result<Option<Self>> {
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(folder.join(LOCK))?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Self(file))),
            Err(std::fs::TryLockError::WouldBlock) => Ok(None),
            Err(std::fs::TryLockError::Error(error)) => Err(error),
        }
    }
}

/// What the journal does not tell of a sender between two turns.
#[derive(Serialize, Deserialize)]
pub struct HandoverState {
    /// The module's time must not go back.
    pub now: Micros,
    /// What indices stand for.
    pub names: Names,
    pub controller: Controller,
    pub registry: RegistrySnapshot,
    pub timers: Vec<(Micros, u64)>,
    /// Calls that are out, by message and attempt; the old process sees them to their end.
    pub out: Vec<(MessageId, u32)>,
}

#[derive(Serialize, Deserialize)]
struct Hello {
    /// The relay that it understands; `None` where the journal alone is of use to it.
    relay: Option<u32>,
}

#[derive(Serialize, Deserialize)]
struct Offer {
    state: Option<HandoverState>,
}

#[derive(Serialize, Deserialize)]
struct Prepared;

#[derive(Serialize, Deserialize)]
struct Commit;

pub async fn write<T: Serialize>(to: &mut (impl AsyncWrite + Unpin), frame: &T) -> Result<(), HandoverError> {
    let text = rmp_serde::to_vec_named(frame)?;
    let length = u32::try_from(text.len()).map_err(|_| HandoverError::TooLong(text.len()))?;
    to.write_all(&length.to_le_bytes()).await?;
    to.write_all(&text).await?;
    Ok(())
}

pub async fn read<T: DeserializeOwned>(from: &mut (impl AsyncRead + Unpin)) -> Result<T, HandoverError> {
    let length = from.read_u32_le().await? as usize;
    if length > FRAME_MOST {
        return Err(HandoverError::TooLong(length));
    }
    let mut text = vec![0; length];
    from.read_exact(&mut text).await?;
    Ok(rmp_serde::from_slice(&text)?)
}

async fn read_within<T: DeserializeOwned>(
    from: &mut UnixStream,
    patience: Duration,
) -> Result<T, HandoverError> {
    timeout(patience, read(from)).await.map_err(|_| HandoverError::Stalled)?
}

/// Passes a listening socket on: connections in its queue stay there, whoever accepts them.
async fn send_listener(stream: &UnixStream, listener: &net::TcpListener) -> io::Result<()> {
    let send = || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        let listeners = [listener.as_fd()];
        ancillary.push(SendAncillaryMessage::ScmRights(&listeners));
        Ok(sendmsg(stream, &[IoSlice::new(&[MARK])], &mut ancillary, SendFlags::NOSIGNAL)?)
    };
    stream.async_io(Interest::WRITABLE, send).await.map(drop)
}

async fn receive_listener(stream: &UnixStream) -> Result<net::TcpListener, HandoverError> {
    let receive = || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let mut mark = [0];
        recvmsg(stream, &mut [IoSliceMut::new(&mut mark)], &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
        let mut sockets = ancillary.drain().filter_map(|message| match message {
            RecvAncillaryMessage::ScmRights(mut sockets) => sockets.next(),
            _ => None,
        });
        Ok::<Option<OwnedFd>, io::Error>(sockets.next())
    };
    let received = timeout(ASK_PATIENCE, stream.async_io(Interest::READABLE, receive)).await;
    let socket = received.map_err(|_| HandoverError::Stalled)??.ok_or(HandoverError::NoListener)?;
    Ok(socket.into())
}

/// The socket's path; a long one goes by way of a descriptor of its folder, which must be kept meanwhile.
fn socket(folder: &Path) -> io::Result<(PathBuf, Option<File>)> {
    let path = folder.join(SOCKET);
    if path.as_os_str().as_bytes().len() <= PATH_MOST {
        return Ok((path, None));
    }
    let folder = File::open(folder)?;
    Ok((format!("/proc/self/fd/{}/{SOCKET}", folder.as_raw_fd()).into(), Some(folder)))
}

/// A process that has become the sender.
pub struct Ownership {
    pub lock: OwnershipLock,
    /// The clients' socket, where a predecessor passed it on.
    pub listener: Option<net::TcpListener>,
    /// What it knew, and the way to it: it still has calls out, and clients.
    pub inherited: Option<(Box<HandoverState>, UnixStream)>,
}

/// Becomes the sender: at once where there is none, else by a handover, or by the end of whoever is.
pub async fn acquire_ownership(folder: &Path, names: &Names) -> io::Result<Ownership> {
    std::fs::create_dir_all(folder)?;
    let (mut reads_state, mut passed, mut said) = (true, None, String::new());
    loop {
        if let Some(lock) = OwnershipLock::try_take(folder)? {
            return Ok(Ownership { lock, listener: passed, inherited: None });
        }
        // Once the old process drains for it, only its end is left to wait for.
        if passed.is_none() {
            match ask(folder, names, reads_state).await {
                Ok((listener, None)) => passed = Some(listener),
                Ok((listener, Some(inherited))) => {
                    // Freed before the commit was said. Another that was quicker is the sender now.
                    if let Some(lock) = OwnershipLock::try_take(folder)? {
                        let inherited = Some(inherited);
                        return Ok(Ownership { lock, listener: Some(listener), inherited });
                    }
                }
                Err(error) => {
                    let why = error.to_string();
                    if said != why {
                        tracing::info!(%error, "no handover yet");
                        said = why;
                    }
                    reads_state &= !error.is_about_state();
                }
            }
        }
        sleep(PAUSE).await;
    }
}

/// Becomes the sender again after the successor's death. `None` if somebody else is: two old versions must not
/// pass the work to and fro.
pub async fn reacquire_ownership(folder: &Path) -> io::Result<Option<Ownership>> {
    let since = Instant::now();
    while since.elapsed() < RECLAIM_PATIENCE {
        if let Some(lock) = OwnershipLock::try_take(folder)? {
            return Ok(Some(Ownership { lock, listener: None, inherited: None }));
        }
        sleep(PAUSE).await;
    }
    Ok(None)
}

type Passed = (net::TcpListener, Option<(Box<HandoverState>, UnixStream)>);

async fn ask(folder: &Path, names: &Names, reads_state: bool) -> Result<Passed, HandoverError> {
    let (path, _folder) = socket(folder)?;
    let mut stream = UnixStream::connect(path).await?;
    write(&mut stream, &Hello { relay: reads_state.then_some(RELAY) }).await?;
    let listener = receive_listener(&stream).await?;
    let offer: Offer = read_within(&mut stream, ASK_PATIENCE).await?;
    let Some(state) = offer.state.map(Box::new) else { return Ok((listener, None)) };
    if state.names != *names {
        return Err(HandoverError::OtherNames);
    }
    write(&mut stream, &Prepared).await?;
    // Whatever else comes, or nothing: the old process is the sender still, or dead, which the lock tells.
    let Commit = read_within(&mut stream, ASK_PATIENCE).await?;
    Ok((listener, Some((state, stream))))
}

/// A new process that asks to become the sender.
pub struct Successor {
    stream: UnixStream,
    reads_state: bool,
    listener: Rc<net::TcpListener>,
    serving_state: Rc<ServingStateControl>,
}

impl Successor {
    /// Whether it wants to know more than the journal tells.
    pub fn reads_state(&self) -> bool {
        self.reads_state
    }

    /// Offers it the state, and the listening socket. It has read both once this returns; until the commit nothing
    /// has changed. Without a state it waits for this process's end, and clients are sent away.
    pub async fn offer(mut self, state: Option<HandoverState>) -> Result<UnixStream, HandoverError> {
        let offered = async {
            send_listener(&self.stream, &self.listener).await?;
            let whole = state.is_some();
            write(&mut self.stream, &Offer { state }).await?;
            if whole {
                let Prepared = read(&mut self.stream).await?;
            } else {
                self.serving_state.shut_down();
            }
            Ok(self.stream)
        };
        timeout(PATIENCE, offered).await.map_err(|_| HandoverError::Stalled)?
    }
}

/// Gives up being the sender. Should the word not reach the new process, it is dead, and this one will know.
pub async fn commit(stream: &mut UnixStream, lock: OwnershipLock) {
    drop(lock);
    if let Err(error) = write(stream, &Commit).await {
        tracing::warn!(%error, "the new process is gone");
    }
}

/// Waits for successors, one at a time. Only the sender does.
pub struct HandoverListener(UnixListener);

impl HandoverListener {
    pub fn bind(folder: &Path) -> io::Result<Self> {
        let (path, _folder) = socket(folder)?;
        match std::fs::remove_file(&path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        Ok(Self(UnixListener::bind(path)?))
    }

    pub async fn serve(
        self,
        listener: Rc<net::TcpListener>,
        serving_state: Rc<ServingStateControl>,
        successors: mpsc::Sender<Successor>,
    ) {
        loop {
            let came = async {
                let (mut stream, _) = self.0.accept().await?;
                let Hello { relay } = read_within(&mut stream, PATIENCE).await?;
                let reads_state = relay == Some(RELAY);
                let (listener, serving_state) = (listener.clone(), serving_state.clone());
                Ok::<_, HandoverError>(Successor { stream, reads_state, listener, serving_state })
            };
            match came.await {
                Ok(successor) => {
                    if successors.send(successor).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    tracing::warn!(%error, "a new process did not come through");
                    sleep(PAUSE).await;
                }
            }
        }
    }
}
