//! Reads the head of a response that was preceded by a second copy of an earlier response.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::StatusCode;
use tokio::time::Instant;

use super::status_line::StatusLineParser;

/// Maximum length of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 100;

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
}

/// The result of reading a response head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum HeadState {
    /// Its end has not arrived yet.
    Partial,
    /// It has arrived.
    Complete(ResponseHead),
    /// It is malformed or too long.
    Malformed,
}

/// Skips further copies of an earlier response, and collects the head of the response after them.
pub(super) struct DelayedResponse {
    /// Status of the earlier response.
    earlier_status: Option<u16>,
    /// Until when a response with that status is a copy of the earlier one.
    copies_until: Instant,
    head: Vec<u8>,
}

impl DelayedResponse {
    /// Expects a response after copies of a response with `earlier_status`, which may arrive up to
    /// `copies_until`.
    pub(super) fn new(earlier_status: Option<u16>, copies_until: Instant) -> Self {
        Self { earlier_status, copies_until, head: Vec::new() }
    }

    /// Reads data that has arrived. Returns whether it belongs to the response.
    pub(super) fn read(&mut self, bytes: &[u8]) -> bool {
        if self.head.is_empty() && Instant::now() < self.copies_until && self.is_copy(bytes) {
            return false;
        }
        let free_bytes = MAX_HEAD_BYTES - self.head.len();
        self.head.extend(bytes.iter().take(free_bytes));
        true
    }

    /// Whether data is a copy of the earlier response, or a part of one.
    fn is_copy(&self, bytes: &[u8]) -> bool {
        let mut status_line = StatusLineParser::default();
        status_line.read(bytes);
        status_line.status().is_none() || status_line.status() == self.earlier_status
    }

    /// The head of the response, as far as it has arrived.
    pub(super) fn head(&self) -> HeadState {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(&self.head) {
            Ok(httparse::Status::Complete(_)) => {
                response_head(&response).map_or(HeadState::Malformed, HeadState::Complete)
            }
            Ok(httparse::Status::Partial) if self.head.len() < MAX_HEAD_BYTES => HeadState::Partial,
            Ok(httparse::Status::Partial) | Err(_) => HeadState::Malformed,
        }
    }
}

fn response_head(response: &httparse::Response<'_, '_>) -> Option<ResponseHead> {
    let status = StatusCode::from_u16(response.code?).ok()?;
    let mut headers = HeaderMap::new();
    for header in response.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(ResponseHead { status, headers })
}

#[cfg(test)]
mod tests;
