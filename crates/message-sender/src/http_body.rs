//! Reads the bodies of requests and responses.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Reads a body to its end into one buffer, which holds `expected_length` bytes without growing. The bytes are
/// copied, because each frame is a slice of its connection's buffer and would keep it allocated.
pub async fn read_to_end<B>(mut body: B, expected_length: usize) -> Result<Bytes, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut bytes = Vec::with_capacity(expected_length);
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame?.data_ref() {
            bytes.extend_from_slice(data);
        }
    }
    Ok(bytes.into())
}

/// Reads a body to its end without keeping it. Returns whether it arrived in full.
pub async fn discard<B: Body + Unpin>(mut body: B) -> bool {
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}
