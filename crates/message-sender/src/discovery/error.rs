//! Errors of requests to discovery.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;

use crate::http_connection::SendError;

/// Why a request to discovery failed.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// No connection could be opened.
    #[error("cannot connect to discovery at {address}: {source}")]
    Connect {
        /// The configured address of discovery.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The request could not be built.
    #[error("invalid request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The request could not be sent, or no complete response head arrived.
    #[error("request failed: {0}")]
    Http(#[from] SendError),
    /// The response body was cut off or longer than the client's limit.
    #[error("cannot read the response body: {0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// No complete response arrived within this time.
    #[error("no complete response within {0:?}")]
    TimedOut(Duration),
    /// The response's status is not the one that means success.
    #[error("unexpected status {0}")]
    UnexpectedStatus(StatusCode),
    /// The response is not an endpoint list.
    #[error("malformed endpoint list: {0}")]
    MalformedList(#[from] serde_json::Error),
}

/// What a failure indicates about discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// No complete response in time: the connection may be dead, which indicates nothing about discovery
    /// itself.
    Timeout,
    /// Any other failure: discovery is unreachable, rejected the request, or sent an unusable response.
    Error,
}

impl DiscoveryError {
    /// What the failure indicates about discovery.
    pub fn kind(&self) -> FailureKind {
        match self {
            Self::TimedOut(_) => FailureKind::Timeout,
            _ => FailureKind::Error,
        }
    }
}
