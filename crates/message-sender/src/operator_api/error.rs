//! Errors of operators' requests.

use hyper::StatusCode;

/// Why an operator's request fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum OperatorError {
    /// There is no such path.
    #[error("unknown path")]
    UnknownPath,
    /// The path does not allow the method.
    #[error("the method is not allowed")]
    MethodNotAllowed,
    /// The body is longer than an endpoint's name may be, or incomplete.
    #[error("the body is too long or incomplete")]
    Body,
    /// The body is not the name of an endpoint: it is empty, not UTF-8, or contains control characters.
    #[error("the body is not the name of an endpoint")]
    EndpointName,
    /// The process does not serve, is not ready yet, is shutting down, or did not answer in time.
    #[error("the process is not available")]
    Unavailable,
    /// No endpoint has that name.
    #[error("unknown endpoint")]
    UnknownEndpoint,
    /// The journal could not store the command.
    #[error("the command could not be stored")]
    NotPersisted,
}

impl OperatorError {
    /// The HTTP status that the caller receives.
    pub fn status(self) -> StatusCode {
        match self {
            Self::UnknownPath | Self::UnknownEndpoint => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::Body => StatusCode::PAYLOAD_TOO_LARGE,
            Self::EndpointName => StatusCode::BAD_REQUEST,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::NotPersisted => StatusCode::INSUFFICIENT_STORAGE,
        }
    }
}
