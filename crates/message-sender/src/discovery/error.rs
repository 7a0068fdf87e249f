//! What can go wrong with a request to discovery.

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
        /// Where discovery was expected.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The request could not be built.
    #[error("invalid request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The request could not be sent, or no response head came.
    #[error("request failed: {0}")]
    Http(#[from] SendError),
    /// The response body broke off or was too long.
    #[error("cannot read the response body: {0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// No complete response came in time.
    #[error("no complete response within {0:?}")]
    TimedOut(Duration),
    /// The response has another status than the one that means success.
    #[error("unexpected status {0}")]
    UnexpectedStatus(StatusCode),
    /// The response is not an endpoint list.
    #[error("malformed endpoint list: {0}")]
    MalformedList(#[from] serde_json::Error),
}

/// What a failure says about discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// No response: says nothing about discovery, only that the connection may be dead.
    Timeout,
    /// Anything else: discovery cannot be reached, rejected the request, or sent a response of no use.
    Error,
}

impl DiscoveryError {
    /// What the failure says about discovery.
    pub fn kind(&self) -> FailureKind {
        match self {
            Self::TimedOut(_) => FailureKind::Timeout,
            _ => FailureKind::Error,
        }
    }
}
