//! Parses the head of a response that was read past the HTTP library.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::StatusCode;

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

/// The result of parsing a response head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum HeadState {
    /// Its end has not arrived yet.
    Partial,
    /// It has arrived.
    Complete(ResponseHead),
    /// It is malformed or too long.
    Malformed,
}

/// Collects the head of a response. Further bytes are discarded.
#[derive(Debug, Default)]
pub(super) struct HeadCollector {
    bytes: Vec<u8>,
}

impl HeadCollector {
    /// Adds the next bytes of the response.
    pub(super) fn read(&mut self, bytes: &[u8]) {
        let free_bytes = MAX_HEAD_BYTES - self.bytes.len();
        self.bytes.extend(bytes.iter().take(free_bytes));
    }

    /// The head, as far as it has arrived.
    pub(super) fn state(&self) -> HeadState {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(&self.bytes) {
            Ok(httparse::Status::Complete(_)) => {
                response_head(&response).map_or(HeadState::Malformed, HeadState::Complete)
            }
            Ok(httparse::Status::Partial) if self.bytes.len() < MAX_HEAD_BYTES => HeadState::Partial,
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
