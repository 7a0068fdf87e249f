//! What a controller reports about a backlog, for the host's log.

use std::fmt;

use crate::ids::{DestinationId, EndpointId, Micros};

/// Why messages for a destination are late, as far as one of its endpoints explains it.
#[derive(Debug, Clone, PartialEq)]
pub struct BacklogReport {
    /// The destination with a message past its latency objective.
    pub destination: DestinationId,
    /// Messages that wait for it.
    pub waiting: usize,
    /// Of these, the ones that may not be attempted yet: in backoff, or recovered and spread out.
    pub in_backoff: usize,
    /// Of these, the ones that are not at the head of the queue of their order key.
    pub behind_others: usize,
    /// One of its available endpoints.
    pub endpoint: EndpointId,
    /// Calls to the endpoint in flight.
    pub in_flight: usize,
    /// This sender's rate limit there in calls per second; unlimited if absent.
    pub rate: Option<f64>,
    /// Calls that this sender made there in the latest second.
    pub sent_last_second: f64,
    /// The listed rate limit in calls per second, of all senders.
    pub listed_rate_limit: Option<f64>,
    /// What is left of the Retry-After there.
    pub retry_after: Micros,
    /// Health of the endpoint.
    pub health: EndpointHealth,
}

/// Health of an endpoint, as a sender sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointHealth {
    /// Gets calls as the rate limit allows.
    Healthy,
    /// Gets probes only.
    Ejected,
    /// Came back from an outage and is warming up.
    SlowStart,
}

impl fmt::Display for BacklogReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "latency objective missed: destination {}, {} waiting, {} in backoff, {} behind others of their \
             order key; endpoint {}, {} in flight, rate {:.1?}, {} sent in 1 s, listed rate limit {:.1?}, \
             Retry-After {} us, {:?}",
            self.destination,
            self.waiting,
            self.in_backoff,
            self.behind_others,
            self.endpoint,
            self.in_flight,
            self.rate,
            self.sent_last_second,
            self.listed_rate_limit,
            self.retry_after,
            self.health
        )
    }
}
