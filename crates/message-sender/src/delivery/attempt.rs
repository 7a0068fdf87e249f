//! The input of an attempt, the phases that it reports and its result.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use delivery_control::{AttemptOutcome, DestinationId, EndpointId, LoadReport, Micros};
use hyper::header::HeaderValue;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The scope of a rate limit and of a Retry-After: a whole destination, or a single endpoint if each
/// endpoint of the destination has its own limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, if each endpoint has its own limits.
    pub endpoint: Option<EndpointId>,
}

/// The endpoint and address that an attempt is sent to. A connection is reused only if both are the same,
/// since another endpoint may have taken over the address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The address of the endpoint.
    pub address: SocketAddr,
}

/// Called with each phase before the attempt continues. Returns false if the attempt must stop.
pub type PhaseCallback = Box<dyn Fn(AttemptPhase) -> bool>;

/// Everything that is needed to make one attempt.
pub struct Call {
    /// The endpoint to call.
    pub endpoint: EndpointId,
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// The scope of the rate limit that applies to the endpoint.
    pub route: Route,
    /// The message's identifier.
    pub call_id: HeaderValue,
    /// The message's idempotency key, if it has one.
    pub idempotency_key: Option<HeaderValue>,
    /// The message body.
    pub body: Bytes,
    /// Maximum duration of the attempt, including the time to connect.
    pub timeout: Duration,
    /// When the controller decided on the attempt.
    pub decided_at: Instant,
    /// Latest time to send the first byte: a retry that starts later would fall outside the idempotency
    /// window.
    pub start_deadline: Instant,
    /// Records the attempt's phases in the journal, so that they are known after the process has died.
    pub on_phase: PhaseCallback,
}

impl Call {
    /// The endpoint and address that the attempt is sent to.
    pub fn target(&self) -> Target {
        Target { endpoint: self.endpoint, address: self.address }
    }
}

/// A phase of an attempt that is recorded in the journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptPhase {
    /// The connection is established, and the first byte is sent next.
    Starting,
    /// No byte was sent, although `Starting` was reported.
    NotStarted,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// The Retry-After of a rejection, in microseconds from the end of the attempt; 0 if there was none.
    pub retry_after: Micros,
    /// Whether the message ends with this attempt, so that no other attempt follows.
    pub is_final: bool,
    /// The load report that came with the response.
    pub load_report: Option<LoadReport>,
    /// Whether bytes of the request may have been sent, which the journal then records. Versions that do
    /// not send this field recorded every attempt as started.
    #[serde(default = "request_started_by_default")]
    pub request_started: bool,
}

fn request_started_by_default() -> bool {
    true
}

impl From<AttemptOutcome> for AttemptResult {
    /// The result of an attempt whose request was started and about which nothing but the outcome is known.
    fn from(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            retry_after: 0,
            is_final: outcome == AttemptOutcome::Delivered,
            load_report: None,
            request_started: true,
        }
    }
}

#[cfg(test)]
mod tests;
