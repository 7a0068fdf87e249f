//! What an attempt is given, the phases it reports, and its result.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use delivery_control::{AttemptOutcome, DestinationId, EndpointId, LoadReport, Micros};
use hyper::header::HeaderValue;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// What a rate limit, and with it a Retry-After, applies to: a destination as a whole, or one of its
/// endpoints if each has limits of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, if its limits are its own.
    pub endpoint: Option<EndpointId>,
}

/// Where an attempt goes. Connections are reused only for the same endpoint at the same address: another
/// endpoint may have taken over the address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The address at which it is called.
    pub address: SocketAddr,
}

/// Reports a phase before the attempt goes on; false if the attempt must not go on.
pub type PhaseCallback = Box<dyn Fn(AttemptPhase) -> bool>;

/// One attempt to make.
pub struct Call {
    /// The endpoint to call.
    pub endpoint: EndpointId,
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// What the limits of the endpoint apply to.
    pub route: Route,
    /// The message's identifier.
    pub call_id: HeaderValue,
    /// The message's idempotency key, if it has one.
    pub idempotency_key: Option<HeaderValue>,
    /// The message.
    pub body: Bytes,
    /// Time from the start of the attempt to its end.
    pub timeout: Duration,
    /// When the attempt was decided on.
    pub decided_at: Instant,
    /// Nothing of the attempt may be sent later than this: a retry would fall outside the idempotency window.
    pub start_deadline: Instant,
    /// Records the attempt's progress for the time after the process's death.
    pub on_phase: PhaseCallback,
}

impl Call {
    /// Where the attempt goes.
    pub fn target(&self) -> Target {
        Target { endpoint: self.endpoint, address: self.address }
    }
}

/// A phase of an attempt that outlasts the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptPhase {
    /// The connection is established, and the first byte goes out next.
    Starting,
    /// No byte went out after all.
    NotStarted,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// The Retry-After of a rejection, from the end of the attempt on; 0 if there was none.
    pub retry_after: Micros,
    /// The message has ended with this attempt.
    pub is_final: bool,
    /// The load report that came with the response.
    pub load_report: Option<LoadReport>,
    /// Bytes of the request may have gone out, and the journal records so. Versions that do not send this
    /// field recorded it for every attempt.
    #[serde(default = "request_started_by_default")]
    pub request_started: bool,
}

fn request_started_by_default() -> bool {
    true
}

impl From<AttemptOutcome> for AttemptResult {
    /// The result of an attempt that ended without further information, after its request was started.
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
