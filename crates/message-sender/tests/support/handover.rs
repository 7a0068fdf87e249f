//! A successor process that speaks the handover protocol by a script, and may disappear at any step.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;

use serde::Serialize;

use super::TIMEOUT;

/// Version of the relay between the two processes that this successor understands.
const RELAY_VERSION: u32 = 3;
/// The mark that goes with the listening socket, and the length of the frame.
const OFFER_HEAD: usize = 5;

/// The successor's confirmation that it is ready to take over.
#[derive(Serialize)]
struct Prepared;

/// The successor's end of a handover; it disappears when the value is dropped.
pub struct ScriptedSuccessor {
    stream: UnixStream,
}

impl ScriptedSuccessor {
    /// Connects to the process that uses this state directory, and sends nothing.
    pub fn connect(state: &Path) -> Self {
        let stream = UnixStream::connect(state.join("handover")).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Self { stream }
    }

    /// Connects and asks to take over.
    pub fn request_handover(state: &Path) -> Self {
        let mut successor = Self::connect(state);
        successor.send(&BTreeMap::from([("relay", Some(RELAY_VERSION))]));
        successor
    }

    /// Reads the offer: the mark that goes with the listening socket, and a frame with the state.
    pub fn read_offer(&mut self) -> Vec<u8> {
        let mut head = [0; OFFER_HEAD];
        self.stream.read_exact(&mut head).unwrap();
        let length = u32::from_le_bytes(head[1..].try_into().unwrap());
        let mut state = vec![0; length as usize];
        self.stream.read_exact(&mut state).unwrap();
        state
    }

    /// Confirms that it is ready, after which the predecessor commits.
    pub fn confirm_prepared(&mut self) {
        self.send(&Prepared);
    }

    /// The predecessor closes the connection without a commit.
    pub fn assert_abandoned(&mut self) {
        assert_eq!(self.stream.read(&mut [0; 8]).unwrap(), 0);
    }

    fn send(&mut self, frame: &impl Serialize) {
        let text = rmp_serde::to_vec_named(frame).unwrap();
        self.stream.write_all(&(text.len() as u32).to_le_bytes()).unwrap();
        self.stream.write_all(&text).unwrap();
    }
}
