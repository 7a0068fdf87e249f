//! Results that one policy computes for another: eligibility, candidates, and the chosen endpoint, message or
//! attempt.

use crate::ids::{EndpointId, MessageId, Micros};
use crate::model::AttemptKey;

/// Whether a message may be sent to an endpoint.
pub(crate) enum Eligibility {
    Now,
    /// Not before this time.
    NotBefore(Micros),
    /// Not until an event changes the state of the destination.
    No,
    /// Not until a permit of the concurrency limit is free.
    NoPermit,
}

impl Eligibility {
    /// `Now` if the condition holds, otherwise `No`.
    pub fn allow_if(condition: bool) -> Self {
        if condition {
            Eligibility::Now
        } else {
            Eligibility::No
        }
    }

    /// `NotBefore` if the time `at`, in µs on the host's clock, is yet to come, otherwise `Now`.
    pub fn not_before(at: Micros, now: Micros) -> Self {
        if at > now {
            Eligibility::NotBefore(at)
        } else {
            Eligibility::Now
        }
    }

    /// Runs the next check if this one allows the message to be sent now; otherwise keeps this result.
    pub fn and_then(self, check: impl FnOnce() -> Self) -> Self {
        match self {
            Eligibility::Now => check(),
            other => other,
        }
    }
}

/// A message that waits to be sent, with the values that determine its rank among others.
pub(crate) struct DispatchCandidate {
    pub id: MessageId,
    /// Value that is lost by waiting, divided by the µs for which the message is expected to use its permit.
    pub urgency: f64,
    /// When the message's latency objective ends, in µs on the host's clock; breaks ties.
    pub objective_at: Micros,
}

/// The choice of an endpoint for a message.
#[derive(Default)]
pub(crate) struct EndpointChoice {
    /// The cheapest endpoint to which the message may be sent now.
    pub endpoint: Option<EndpointId>,
    /// Earliest time at which one of the endpoints that are not eligible yet may become eligible, in µs on
    /// the host's clock.
    pub retry_at: Option<Micros>,
    /// Whether an endpoint would be eligible if a permit were free.
    pub lacks_permit: bool,
}

/// A message that may be shed, which means that it is rejected before its deadline.
pub(crate) struct ShedCandidate {
    pub id: MessageId,
    /// Time in µs after which its destination is expected to have worked off its backlog.
    pub retry_after: Micros,
    /// Value that a delivery after that time would have.
    pub value: f64,
}

/// An attempt that gets no response although its endpoint has responded to others since, or whose endpoint is
/// ejected.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StuckAttempt {
    /// Time after which the attempt may be cancelled, in µs on the host's clock.
    pub overdue_at: Micros,
    pub key: AttemptKey,
}
