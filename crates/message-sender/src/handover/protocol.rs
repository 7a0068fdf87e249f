//! The frames of a handover, and how frames are read and written.

use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use super::error::HandoverError;
use super::state::HandoverState;
use super::stream::HandoverStream;

/// The version of the handover protocol. It must change whenever the fields of the state change, or the
/// frames that two processes exchange after the commit.
pub const PROTOCOL_VERSION: u32 = 3;
/// Maximum length of a frame, in bytes. The state with some hundred messages, or one message with its body,
/// is far shorter.
const MAX_FRAME_LENGTH: usize = 16 * 1024 * 1024;

/// A value that is sent as a frame.
pub trait Frame {
    /// The name of the frame in error messages.
    const NAME: &'static str;
}

/// The successor's first frame.
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// The protocol version that the successor supports; `None` if it can use only the journal.
    #[serde(rename = "relay")]
    pub protocol_version: Option<u32>,
}

/// The predecessor's answer to the hello, sent after its listening socket.
#[derive(Serialize, Deserialize)]
pub struct Offer {
    /// The predecessor's state; `None` if the predecessor drains and leaves only its journal.
    pub state: Option<HandoverState>,
}

/// The successor's confirmation that it has read the offered state.
#[derive(Serialize, Deserialize)]
pub struct Prepared;

/// The predecessor's notification that it has released the lock and is no longer the sender.
#[derive(Serialize, Deserialize)]
pub struct Commit;

impl Frame for Hello {
    const NAME: &'static str = "hello frame";
}

impl Frame for Offer {
    const NAME: &'static str = "offer frame";
}

impl Frame for Prepared {
    const NAME: &'static str = "prepared frame";
}

impl Frame for Commit {
    const NAME: &'static str = "commit frame";
}

/// Writes a frame, preceded by its length.
pub async fn write_frame<T: Frame + Serialize>(
    writer: &mut (impl AsyncWrite + Unpin),
    frame: &T,
) -> Result<(), HandoverError> {
    let write_error = |source| HandoverError::Write { frame: T::NAME, source };
    let payload =
        rmp_serde::to_vec_named(frame).map_err(|source| HandoverError::Encode { frame: T::NAME, source })?;
    let length = u32::try_from(payload.len())
        .map_err(|_| HandoverError::FrameTooLong { frame: T::NAME, length: payload.len() })?;
    writer.write_all(&length.to_le_bytes()).await.map_err(write_error)?;
    writer.write_all(&payload).await.map_err(write_error)
}

/// Reads a frame, preceded by its length. Fails if the frame is longer than [`MAX_FRAME_LENGTH`].
pub async fn read_frame<T: Frame + DeserializeOwned>(
    reader: &mut (impl AsyncRead + Unpin),
) -> Result<T, HandoverError> {
    let read_error = |source| HandoverError::Read { frame: T::NAME, source };
    let length = reader.read_u32_le().await.map_err(read_error)? as usize;
    if length > MAX_FRAME_LENGTH {
        return Err(HandoverError::FrameTooLong { frame: T::NAME, length });
    }
    let mut payload = vec![0; length];
    reader.read_exact(&mut payload).await.map_err(read_error)?;
    rmp_serde::from_slice(&payload).map_err(|source| HandoverError::Decode { frame: T::NAME, source })
}

/// Reads a frame, and fails if that takes longer than `limit`.
pub async fn read_frame_within<T: Frame + DeserializeOwned>(
    stream: &mut HandoverStream,
    limit: Duration,
) -> Result<T, HandoverError> {
    match timeout(limit, read_frame(stream)).await {
        Ok(read) => read,
        Err(_) => Err(HandoverError::Timeout { awaited: T::NAME }),
    }
}
