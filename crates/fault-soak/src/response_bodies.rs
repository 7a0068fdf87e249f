//! Responses whose bodies are unusual: as long as the protocol permits, longer, or in chunks of all kinds.

use crate::settings::MAX_BODY_BYTES;

/// Lengths of bodies that are drawn.
const LENGTHS: [usize; 5] = [0, 1, MAX_BODY_BYTES, MAX_BODY_BYTES + 1, MAX_BODY_BYTES + 6 * 1024];
/// Number of body bytes in one chunk.
const CHUNK_BYTES: usize = 14 * 1024;

/// A response in two parts, between which an endpoint may pause.
pub(crate) struct PartedResponse {
    /// Everything up to the end of the body, or the last chunk but one.
    pub start: Vec<u8>,
    /// The last chunk with its trailers; empty if the length is stated.
    pub end: Vec<u8>,
}

/// Draws a body for a response with this head, which ends with its last header.
pub(crate) fn draw_body(head: &str) -> PartedResponse {
    let body = vec![b'e'; LENGTHS[fastrand::usize(0..LENGTHS.len())]];
    if fastrand::bool() {
        let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
        return PartedResponse { start: [head.as_bytes(), &body].concat(), end: Vec::new() };
    }
    let (extension, trailers) = if fastrand::bool() { (";name=value", "Checksum: 1\r\n") } else { ("", "") };
    let mut start = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    for chunk in body.chunks(CHUNK_BYTES) {
        start.extend(format!("{:x}{extension}\r\n", chunk.len()).into_bytes());
        start.extend(chunk);
        start.extend(b"\r\n");
    }
    PartedResponse { start, end: format!("0\r\n{trailers}\r\n").into_bytes() }
}
