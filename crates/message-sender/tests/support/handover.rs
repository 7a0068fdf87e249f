//! Simulated successor and predecessor processes whose steps in the handover protocol each test controls. They
//! can disconnect at any step.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use serde::Serialize;

use super::TIMEOUT;

/// Version of the handover protocol that this successor announces.
const PROTOCOL_VERSION: u32 = 3;

/// The byte to which a predecessor attaches its listening socket.
pub const LISTENER_MARK: u8 = b'L';

/// The frame by which the successor confirms that it is ready to take over.
#[derive(Serialize)]
struct Prepared;

/// The frame by which the predecessor makes the successor the sender.
#[derive(Serialize)]
struct Commit;

/// The successor's side of a handover. Dropping it closes the connection, as the death of the process does.
pub struct ScriptedSuccessor {
    stream: UnixStream,
}

impl ScriptedSuccessor {
    /// Connects to the process that uses this state directory, without sending anything.
    pub fn connect(state: &Path) -> Self {
        let stream = UnixStream::connect(state.join("handover")).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Self { stream }
    }

    /// Connects and requests a handover.
    pub fn request_handover(state: &Path) -> Self {
        let mut successor = Self::connect(state);
        successor.send(&BTreeMap::from([("relay", Some(PROTOCOL_VERSION))]));
        successor
    }

    /// Reads the offer, which is the marker byte that carries the listening socket, then a frame with the
    /// state. Returns the frame.
    pub fn read_offer(&mut self) -> Vec<u8> {
        let mut mark = [0];
        self.stream.read_exact(&mut mark).unwrap();
        assert_eq!(mark, [LISTENER_MARK]);
        read_frame(&mut self.stream)
    }

    /// Confirms that the successor is ready, upon which the predecessor commits.
    pub fn confirm_prepared(&mut self) {
        self.send(&Prepared);
    }

    /// Checks that the predecessor closes the connection without a commit.
    pub fn assert_abandoned(&mut self) {
        assert_eq!(self.stream.read(&mut [0; 8]).unwrap(), 0);
    }

    fn send(&mut self, frame: &impl Serialize) {
        write_frame(&mut self.stream, frame);
    }
}

/// A simulated process that is the active sender: it holds the lock, and has the clients' listening socket. The
/// journal is what the state directory contains.
pub struct ScriptedPredecessor {
    lock: File,
    handover: UnixListener,
    clients: TcpListener,
}

impl ScriptedPredecessor {
    /// Becomes the active sender of this state directory.
    pub fn start(state: &Path) -> Self {
        let lock = File::create(state.join("lock")).unwrap();
        lock.try_lock().unwrap();
        // The socket of a process that was killed before.
        let _ = std::fs::remove_file(state.join("handover"));
        let handover = UnixListener::bind(state.join("handover")).unwrap();
        handover.set_nonblocking(true).unwrap();
        let clients = TcpListener::bind("127.0.0.1:0").unwrap();
        // A real predecessor has it non-blocking, and the successor relies on that.
        clients.set_nonblocking(true).unwrap();
        Self { lock, handover, clients }
    }

    /// Address of the clients' listening socket.
    pub fn address(&self) -> SocketAddr {
        self.clients.local_addr().unwrap()
    }

    /// Waits for a successor to connect.
    pub fn accept(&self) -> UnixStream {
        let since = Instant::now();
        loop {
            match self.handover.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
                    return stream;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    assert!(since.elapsed() < TIMEOUT, "no successor connected");
                    thread::sleep(Duration::from_millis(1));
                }
                Err(error) => panic!("accepting on the handover socket failed: {error}"),
            }
        }
    }

    /// Sends the listening socket and an offer frame.
    pub fn offer(&self, stream: &mut UnixStream, offer: &[u8]) {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        let descriptors = [self.clients.as_fd()];
        assert!(ancillary.push(SendAncillaryMessage::ScmRights(&descriptors)));
        sendmsg(&*stream, &[IoSlice::new(&[LISTENER_MARK])], &mut ancillary, SendFlags::NOSIGNAL).unwrap();
        stream.write_all(offer).unwrap();
    }

    /// Ends as a process does: its sockets are closed and its lock is released.
    pub fn end(self) {
        let Self { lock, handover, clients } = self;
        drop(handover);
        drop(clients);
        drop(lock);
    }

    /// Offers this state to the successor that connects, commits, and ends.
    pub fn hand_over(self, offer: &[u8]) {
        let mut stream = self.accept();
        read_frame(&mut stream);
        self.offer(&mut stream, offer);
        read_frame(&mut stream);
        self.end();
        write_frame(&mut stream, &Commit);
    }
}

/// Reads a frame; returns its length prefix and its payload.
pub fn read_frame(stream: &mut UnixStream) -> Vec<u8> {
    let mut frame = vec![0; 4];
    stream.read_exact(&mut frame).unwrap();
    let length = u32::from_le_bytes(frame[..4].try_into().unwrap()) as usize;
    frame.resize(4 + length, 0);
    stream.read_exact(&mut frame[4..]).unwrap();
    frame
}

/// Writes a frame with its length prefix.
fn write_frame(stream: &mut UnixStream, frame: &impl Serialize) {
    let payload = rmp_serde::to_vec_named(frame).unwrap();
    stream.write_all(&(payload.len() as u32).to_le_bytes()).unwrap();
    stream.write_all(&payload).unwrap();
}
