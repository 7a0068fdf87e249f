//! Errors of a handover and of the relay that follows it.

use std::io;
use std::path::PathBuf;

/// The failure of a step of a handover, or of the relay after it.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// No process listens on the handover socket, or it cannot be reached.
    #[error("cannot connect to the handover socket in {}: {source}", path.display())]
    Connect {
        /// The state folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A connection on the handover socket cannot be accepted.
    #[error("cannot accept a connection on the handover socket: {0}")]
    Accept(#[source] io::Error),
    /// A frame cannot be read, as a rule because the other process disconnected.
    #[error("cannot read the {frame}: {source}")]
    Read {
        /// The name of the frame.
        frame: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// A frame cannot be written, as a rule because the other process disconnected.
    #[error("cannot write the {frame}: {source}")]
    Write {
        /// The name of the frame.
        frame: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// A frame cannot be decoded by this version.
    #[error("cannot decode the {frame}: {source}")]
    Decode {
        /// The name of the frame.
        frame: &'static str,
        /// The decoder's error.
        source: rmp_serde::decode::Error,
    },
    /// A frame cannot be encoded.
    #[error("cannot encode the {frame}: {source}")]
    Encode {
        /// The name of the frame.
        frame: &'static str,
        /// The encoder's error.
        source: rmp_serde::encode::Error,
    },
    /// A frame is longer than the limit.
    #[error("the {frame} has {length} bytes, which is too long")]
    FrameTooLong {
        /// The name of the frame.
        frame: &'static str,
        /// The frame's length in bytes.
        length: usize,
    },
    /// The other process did not respond in time.
    #[error("timed out waiting for the {awaited}")]
    Timeout {
        /// The frame or step that this process waited for.
        awaited: &'static str,
    },
    /// The listening socket cannot be sent.
    #[error("cannot send the listening socket: {0}")]
    SendListener(#[source] io::Error),
    /// The listening socket cannot be received, as a rule because the other process disconnected.
    #[error("cannot receive the listening socket: {0}")]
    ReceiveListener(#[source] io::Error),
    /// The predecessor sent the byte that accompanies the listening socket, but no descriptor.
    #[error("the predecessor sent no listening socket")]
    ListenerMissing,
    /// The names in the offered state differ from those of this process, so that the state's indices stand
    /// for something else here.
    #[error("the predecessor's settings have different classes, tenants, kinds or zones")]
    DifferentNames,
}

impl HandoverError {
    /// Whether this process cannot use the predecessor's state, so that it has to request the journal alone.
    pub(super) fn makes_state_unusable(&self) -> bool {
        matches!(self, Self::Decode { .. } | Self::DifferentNames)
    }
}
