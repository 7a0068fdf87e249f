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

impl Ejection {
    /// The ejection that begins with an outage found now, whose first sign was a call, if any.
    pub fn suspected(since: Micros, call: Option<CallId>) -> Self {
        Self { since, confirmed: false, probe_interval: 0, next_probe_at: since, probe: call }
    }

    /// The ejection for an outage that is certain, with a probe due at a time.
    pub fn confirmed(since: Micros, next_probe_at: Micros) -> Self {
        Self { since, confirmed: true, probe_interval: 0, next_probe_at, probe: None }
    }
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

    /// Whether it is ejected and a probe is in flight.
    pub fn has_probe(&self) -> bool {
        self.ejection().is_some_and(|ejection| ejection.probe.is_some())
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

impl Endpoint {
    /// Notes that an answer arrived, and left its connection idle.
    pub fn record_answer(&mut self, now: Micros) {
        self.answered_at = Some(now);
        self.idle_connections.push(now);
    }

    /// Notes a delivery, and how much it changes the average latency.
    pub fn record_delivery(&mut self, now: Micros, latency_change: f64) {
        self.latency += latency_change;
        self.consecutive_failures = 0;
        self.delivered_at = Some(now);
    }

    /// Whether a connection is idle and has not been closed.
    pub fn has_idle_connection(&self, now: Micros, idle_limit: Micros) -> bool {
        self.idle_connections.iter().any(|since| now - since < idle_limit)
    }

    /// Takes an idle connection, if there is one, and forgets those that have been closed.
    pub fn take_connection(&mut self, now: Micros, idle_limit: Micros) {
        self.idle_connections.retain(|since| now - since < idle_limit);
        self.idle_connections.pop();
    }
}

/// A destination: its available endpoints, the messages that wait for it, and how many were submitted.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct Destination {
    pub endpoints: Vec<EndpointId>,
    pub waiting: BTreeSet<MessageId>,
    pub arrivals: f64,
}
