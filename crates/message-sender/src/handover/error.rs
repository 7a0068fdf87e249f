//! Why a handover did not come about.

use std::io;
use std::path::PathBuf;

/// A step of a handover, or of the relay after it, that failed.
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
    /// The handover socket gives no connection.
    #[error("cannot accept a connection on the handover socket: {0}")]
    Accept(#[source] io::Error),
    /// The other process disconnected while a frame was awaited.
    #[error("cannot read the {frame}: {source}")]
    Read {
        /// Which frame.
        frame: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// The other process disconnected before a frame was written.
    #[error("cannot write the {frame}: {source}")]
    Write {
        /// Which frame.
        frame: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// A frame cannot be decoded by this version.
    #[error("cannot decode the {frame}: {source}")]
    Decode {
        /// Which frame.
        frame: &'static str,
        /// The codec's error.
        source: rmp_serde::decode::Error,
    },
    /// A frame cannot be encoded.
    #[error("cannot encode the {frame}: {source}")]
    Encode {
        /// Which frame.
        frame: &'static str,
        /// The codec's error.
        source: rmp_serde::encode::Error,
    },
    /// A frame is longer than the limit.
    #[error("the {frame} has {length} bytes, which is too long")]
    FrameTooLong {
        /// Which frame.
        frame: &'static str,
        /// Its length in bytes.
        length: usize,
    },
    /// The other process did not respond in time.
    #[error("timed out waiting for the {awaited}")]
    Timeout {
        /// What was awaited.
        awaited: &'static str,
    },
    /// The listening socket cannot be sent.
    #[error("cannot send the listening socket: {0}")]
    SendListener(#[source] io::Error),
    /// The other process disconnected before it sent its listening socket.
    #[error("cannot receive the listening socket: {0}")]
    ReceiveListener(#[source] io::Error),
    /// The predecessor's message came without a descriptor.
    #[error("no listening socket came with the offer")]
    ListenerMissing,
    /// Indices in the offered state do not mean what they mean here.
    #[error("the predecessor's settings name other classes, tenants, kinds or zones")]
    DifferentNames,
}

impl HandoverError {
    /// Whether the predecessor's state is of no use to this process, so that only its journal is.
    pub(super) fn is_about_state(&self) -> bool {
        matches!(self, Self::Decode { .. } | Self::DifferentNames)
    }
}
