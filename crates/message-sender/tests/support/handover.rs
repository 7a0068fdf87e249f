//! A simulated successor process whose steps in the handover protocol each test controls. It can disconnect
//! at any step.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;

use serde::Serialize;

use super::TIMEOUT;

/// Version of the handover protocol that this successor announces.
const PROTOCOL_VERSION: u32 = 3;
/// Length, in bytes, of what precedes the offer's payload: the marker byte that carries the listening socket,
/// and the payload's length.
const OFFER_PREFIX_LENGTH: usize = 5;

/// The frame by which the successor confirms that it is ready to take over.
#[derive(Serialize)]
struct Prepared;

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
    /// state. Returns the frame's payload.
    pub fn read_offer(&mut self) -> Vec<u8> {
        let mut head = [0; OFFER_PREFIX_LENGTH];
        self.stream.read_exact(&mut head).unwrap();
        let length = u32::from_le_bytes(head[1..].try_into().unwrap());
        let mut state = vec![0; length as usize];
        self.stream.read_exact(&mut state).unwrap();
        state
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
        let text = rmp_serde::to_vec_named(frame).unwrap();
        self.stream.write_all(&(text.len() as u32).to_le_bytes()).unwrap();
        self.stream.write_all(&text).unwrap();
    }
}
