//! Endpoints, their health, and destinations.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::event::ListingState;
use crate::ids::{DestinationId, EndpointId, MessageId, Micros};
use crate::model::CallId;

/// Identifies a route, the unit of rate limits: a destination, or one endpoint of it where the destination's
/// kind has limits for each endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct RouteKey {
    pub destination: DestinationId,
    /// Set where the endpoint is a route of its own.
    pub endpoint: Option<EndpointId>,
}

/// An endpoint that gets probes only.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct Ejection {
    /// When the outage began, as far as is known.
    pub since: Micros,
    /// A call failed or was rejected, as opposed to calls without an answer yet.
    pub confirmed: bool,
    /// The latest interval between probes, without jitter.
    pub probe_interval: Micros,
    /// No probe before this time.
    pub next_probe_at: Micros,
    /// The probe in flight.
    pub probe: Option<CallId>,
}

/// An endpoint that came back from an outage and may be cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct SlowStart {
    pub since: Micros,
    /// Senders that were estimated to have messages for it when it came back.
    pub competing_senders: f64,
    /// No call of this sender before this time.
    pub next_call_at: Micros,
}

/// Health of an endpoint as this sender sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub(crate) enum Health {
    #[default]
    Healthy,
    Ejected(Ejection),
    SlowStart(SlowStart),
}

impl Health {
    /// The ejection, if it is ejected.
    pub fn ejection(&self) -> Option<&Ejection> {
        match self {
            Health::Ejected(ejection) => Some(ejection),
            Health::Healthy | Health::SlowStart(_) => None,
        }
    }

    pub fn is_ejected(&self) -> bool {
        self.ejection().is_some()
    }
}

/// An endpoint that is or was listed.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    pub route: RouteKey,
    /// Index of its zone.
    pub zone: usize,
    /// Messages that one call may carry.
    pub batch_size: usize,
    pub listing: ListingState,
    /// Listed as live, and not drained by an operator.
    pub available: bool,
    /// Moving average of the answer time, in µs.
    pub latency: f64,
    /// Failures since the last delivery.
    pub consecutive_failures: u32,
    /// When the latest answer arrived.
    pub answered_at: Option<Micros>,
    /// When the latest delivery ended.
    pub delivered_at: Option<Micros>,
    pub health: Health,
    /// Since when each idle connection has been idle.
    pub idle_connections: Vec<Micros>,
}

/// A destination: its available endpoints, the messages that wait for it, and how many were submitted.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct Destination {
    pub endpoints: Vec<EndpointId>,
    pub waiting: BTreeSet<MessageId>,
    pub arrivals: f64,
}
