//! Builds the HTTP request of an attempt and computes its length on the wire.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::{Method, Request, Uri};

use super::attempt::Call;

const PATH: &str = "/receive";
const CALL_ID: HeaderName = HeaderName::from_static("x-call-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with the attempt's timeout, in milliseconds.
const BUDGET_MS: HeaderName = HeaderName::from_static("x-budget-ms");

/// A request whose length on the wire is known, so that the caller can determine whether the request
/// was written in full.
pub struct PreparedRequest {
    headers: HeaderMap,
    body: Bytes,
    wire_length: u64,
}

impl PreparedRequest {
    /// Prepares the request for a call.
    pub fn new(call: &Call) -> Self {
        let headers = headers(call);
        let wire_length = (head_length(&headers) + call.body.len()) as u64;
        Self { headers, body: call.body.clone(), wire_length }
    }

    /// Length of the whole request on the wire, in bytes.
    pub fn wire_length(&self) -> u64 {
        self.wire_length
    }

    /// Creates a copy of the request for sending. All copies are identical.
    pub fn to_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(PATH);
        *request.headers_mut() = self.headers.clone();
        request
    }
}

/// All headers of the request, so that the HTTP library adds none, which would change the computed length.
fn headers(call: &Call) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CALL_ID, call.call_id.clone());
    if let Some(key) = &call.idempotency_key {
        headers.insert(IDEMPOTENCY_KEY, key.clone());
    }
    let budget_ms = u64::try_from(call.timeout.as_millis()).unwrap_or(u64::MAX);
    headers.insert(BUDGET_MS, budget_ms.into());
    headers.insert(CONTENT_LENGTH, call.body.len().into());
    if let Ok(host) = HeaderValue::from_str(&call.address.to_string()) {
        headers.insert(HOST, host);
    }
    headers
}

fn head_length(headers: &HeaderMap) -> usize {
    let mut length = "POST  HTTP/1.1\r\n\r\n".len() + PATH.len();
    for (name, value) in headers {
        length += name.as_str().len() + ": ".len() + value.len() + "\r\n".len();
    }
    length
}

#[cfg(test)]
mod tests;
