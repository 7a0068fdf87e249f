//! Backlog reports of a controller, for the host's log.

use std::fmt;

use crate::ids::{DestinationId, EndpointId, Micros};

/// Why messages for a destination are late: counts of its backlog and the state of one of its endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct BacklogReport {
    /// The destination with a message past its latency objective.
    pub destination: DestinationId,
    /// Number of messages that wait for the destination.
    pub waiting: usize,
    /// Number of waiting messages that may not be attempted yet: they are in backoff, or were recovered after
    /// a restart and are spread over time.
    pub in_backoff: usize,
    /// Number of waiting messages that are not at the head of the queue of their order key.
    pub behind_others: usize,
    /// One of the destination's available endpoints.
    pub endpoint: EndpointId,
    /// Number of calls to the endpoint in flight.
    pub in_flight: usize,
    /// Rate in calls per second to which this sender limits itself on the endpoint's route; `None` if it is
    /// unlimited.
    pub rate: Option<f64>,
    /// Number of calls that this sender made on the route within the last second.
    pub sent_last_second: f64,
    /// Listed rate limit of the route in calls per second of all senders together.
    pub listed_rate_limit: Option<f64>,
    /// Time in µs until the Retry-After of the route ends; 0 if there is none.
    pub retry_after: Micros,
    /// Health of the endpoint.
    pub health: EndpointHealth,
}

/// Health of an endpoint, as a sender sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointHealth {
    /// It gets calls as the rate limit allows.
    Healthy,
    /// It gets probes only.
    Ejected,
    /// It came back from an outage and is warming up.
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
