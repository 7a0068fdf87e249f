//! Why an operator's call fails.

use hyper::StatusCode;

/// Why a call fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum OperatorError {
    /// There is no such path.
    #[error("unknown path")]
    UnknownPath,
    /// The path does not allow the method.
    #[error("the method is not allowed")]
    MethodNotAllowed,
    /// The body is longer than any endpoint's name, or broke off.
    #[error("the body is too long or incomplete")]
    Body,
    /// The body is not the name of an endpoint.
    #[error("the body is not the name of an endpoint")]
    EndpointName,
    /// The process does not serve, does not serve yet, or did not answer in time.
    #[error("the process is not available")]
    Unavailable,
    /// No endpoint has that name.
    #[error("unknown endpoint")]
    UnknownEndpoint,
    /// The command could not be stored.
    #[error("the command could not be stored")]
    NotPersisted,
}

impl OperatorError {
    /// The status that the caller gets.
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
