//! Responses to clients. No response has a body.

use bytes::Bytes;
use delivery_control::Micros;
use http_body_util::Empty;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::submission::SubmissionReply;

const MICROS_PER_SECOND: f64 = 1e6;

/// The reply to a request that is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The status of a health check.
    Health(StatusCode),
    /// The reply to the submission of a message.
    Submission(SubmissionReply),
}

impl Reply {
    /// Converts the reply to the HTTP response for the client.
    pub fn into_response(self) -> Response<Empty<Bytes>> {
        match self {
            Self::Health(status) => empty(status),
            Self::Submission(SubmissionReply::Accepted) => empty(StatusCode::ACCEPTED),
            Self::Submission(SubmissionReply::UnknownDestination) => empty(StatusCode::NOT_FOUND),
            Self::Submission(SubmissionReply::Rejected(retry_after)) => rejected(retry_after),
            Self::Submission(SubmissionReply::Undetermined) => empty(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

/// A response that consists of a status only.
pub fn empty(status: StatusCode) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    *response.status_mut() = status;
    response
}

/// The response to a rejected submission. `retry_after` is in microseconds; 0 adds no `Retry-After` header.
fn rejected(retry_after: Micros) -> Response<Empty<Bytes>> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    if retry_after > 0 {
        let seconds = format!("{:.3}", retry_after as f64 / MICROS_PER_SECOND);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
