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
    /// The endpoint, if it is a route of its own.
    pub endpoint: Option<EndpointId>,
}

/// State of an ejected endpoint, which gets probes only.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct Ejection {
    /// Estimated start of the outage, in µs on the host's clock.
    pub since: Micros,
    /// Whether the outage is certain: a call failed or was rejected, or an operator drained the endpoint.
    /// `false` if calls have merely had no response yet.
    pub confirmed: bool,
    /// Latest interval between probes in µs, before jitter; 0 if there has been no interval yet.
    pub probe_interval: Micros,
    /// Earliest time of the next probe, in µs on the host's clock.
    pub next_probe_at: Micros,
    /// The probe in flight, if any.
    pub probe: Option<CallId>,
}

impl Ejection {
    /// An ejection for an outage that is not confirmed. `call` is the failed or rejected call that revealed
    /// the outage, and takes the place of a probe; it is `None` if calls had no response.
    pub fn suspected(since: Micros, call: Option<CallId>) -> Self {
        Self { since, confirmed: false, probe_interval: 0, next_probe_at: since, probe: call }
    }

    /// An ejection for an outage that is certain, with the first probe due at `next_probe_at`.
    pub fn confirmed(since: Micros, next_probe_at: Micros) -> Self {
        Self { since, confirmed: true, probe_interval: 0, next_probe_at, probe: None }
    }
}

/// State of an endpoint that came back from an outage and may be cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct SlowStart {
    /// When the endpoint came back, in µs on the host's clock.
    pub since: Micros,
    /// Estimated number of senders that had messages for the endpoint when it came back.
    pub competing_senders: f64,
    /// Earliest time of this sender's next call, in µs on the host's clock.
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
    /// The ejection, if the endpoint is ejected.
    pub fn ejection(&self) -> Option<&Ejection> {
        match self {
            Health::Ejected(ejection) => Some(ejection),
            Health::Healthy | Health::SlowStart(_) => None,
        }
    }

    pub fn is_ejected(&self) -> bool {
        self.ejection().is_some()
    }

    /// Whether the endpoint is ejected and a probe is in flight.
    pub fn has_probe(&self) -> bool {
        self.ejection().is_some_and(|ejection| ejection.probe.is_some())
    }
}

/// An endpoint that is or was listed.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    pub route: RouteKey,
    /// Index of its zone in the settings.
    pub zone: usize,
    /// Maximum number of messages in one call.
    pub batch_size: usize,
    pub listing: ListingState,
    /// Whether it is listed as live and not drained by an operator.
    pub available: bool,
    /// Moving average in µs of the time from sending a call to its delivery.
    pub latency: f64,
    /// Number of failures since the last delivery. Timeouts of calls that were merely slow do not count.
    pub consecutive_failures: u32,
    /// When the latest response arrived, in µs on the host's clock.
    pub answered_at: Option<Micros>,
    /// When the latest delivery was confirmed, in µs on the host's clock.
    pub delivered_at: Option<Micros>,
    pub health: Health,
    /// For each idle connection, since when it has been idle, in µs on the host's clock.
    pub idle_connections: Vec<Micros>,
}

impl Endpoint {
    /// Records that a response arrived and its connection is idle now.
    pub fn record_response(&mut self, now: Micros) {
        self.answered_at = Some(now);
        self.idle_connections.push(now);
    }

    /// Records a delivery, which changes the average latency by `latency_change` µs.
    pub fn record_delivery(&mut self, now: Micros, latency_change: f64) {
        self.latency += latency_change;
        self.consecutive_failures = 0;
        self.delivered_at = Some(now);
    }

    /// Whether a connection has been idle for less than `idle_limit` µs, and so has not been closed.
    pub fn has_idle_connection(&self, now: Micros, idle_limit: Micros) -> bool {
        self.idle_connections.iter().any(|since| now - since < idle_limit)
    }

    /// Takes an idle connection, if there is one, and removes those that have been idle for `idle_limit` µs
    /// and so have been closed.
    pub fn take_connection(&mut self, now: Micros, idle_limit: Micros) {
        self.idle_connections.retain(|since| now - since < idle_limit);
        self.idle_connections.pop();
    }
}

/// A destination with its available endpoints and waiting messages.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct Destination {
    /// Available endpoints.
    pub endpoints: Vec<EndpointId>,
    /// Messages that wait for an attempt, from the lowest identifier to the highest.
    pub waiting: BTreeSet<MessageId>,
    /// Number of messages submitted for this destination, as counted by [`super::Endpoints::count_arrival`].
    pub arrivals: f64,
}
