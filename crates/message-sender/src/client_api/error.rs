//! Errors for which a client's request is rejected.

use hyper::StatusCode;

/// Why a request is rejected before a message is submitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The body has a transfer encoding, such as chunked.
    #[error("the body is chunked")]
    ChunkedBody,
    /// The body is longer than the protocol allows.
    #[error("the body is too long")]
    BodyTooLong,
    /// The body could not be read completely.
    #[error("the body is incomplete")]
    IncompleteBody,
    /// More bytes have been received than the head and a body of the length that the head states.
    #[error("bytes follow the request")]
    TrailingBytes,
    /// A header is missing, empty or repeated, or has an invalid value.
    #[error("header {0} is missing or malformed")]
    Header(&'static str),
    /// The order key is too long.
    #[error("the order key is too long")]
    OrderKeyTooLong,
    /// The settings list no class with this name.
    #[error("unknown class")]
    UnknownClass,
    /// The path does not allow the method.
    #[error("the method is not allowed")]
    MethodNotAllowed,
    /// The event loop has ended, because the process is about to end.
    #[error("the event loop has ended")]
    Unavailable,
}

impl RequestError {
    /// The HTTP status that the client receives.
    pub fn status(self) -> StatusCode {
        match self {
            Self::ChunkedBody => StatusCode::NOT_IMPLEMENTED,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::IncompleteBody | Self::TrailingBytes | Self::Header(_) | Self::OrderKeyTooLong => {
                StatusCode::BAD_REQUEST
            }
            Self::UnknownClass => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
