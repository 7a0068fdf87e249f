//! What policies hand to each other: whether, which and when.

use crate::ids::{EndpointId, MessageId, Micros};
use crate::model::AttemptKey;

/// Whether a message may be sent to an endpoint.
pub(crate) enum Eligibility {
    Now,
    NotBefore(Micros),
    /// Not until something happens to the destination.
    No,
    /// Once a permit of the concurrency limit is free.
    NoPermit,
}

impl Eligibility {
    /// Now, if the condition holds.
    pub fn allow_if(condition: bool) -> Self {
        if condition {
            Eligibility::Now
        } else {
            Eligibility::No
        }
    }

    /// Not before a time.
    pub fn not_before(at: Micros, now: Micros) -> Self {
        if at > now {
            Eligibility::NotBefore(at)
        } else {
            Eligibility::Now
        }
    }

    /// The next check's result, if this one allows it.
    pub fn and_then(self, check: impl FnOnce() -> Self) -> Self {
        match self {
            Eligibility::Now => check(),
            other => other,
        }
    }
}

/// A message that could go, with what orders it among others.
pub(crate) struct Candidate {
    pub id: MessageId,
    /// Value that is lost by waiting, for each µs of permit use.
    pub urgency: f64,
    pub objective_at: Micros,
}

/// The cheapest endpoint for a message, and when to look again if there is none.
#[derive(Default)]
pub(crate) struct Choice {
    pub endpoint: Option<EndpointId>,
    pub retry_at: Option<Micros>,
    pub lacks_permit: bool,
}

/// A message to reject early.
pub(crate) struct Shed {
    pub id: MessageId,
    /// When its destination is expected to have caught up.
    pub retry_after: Micros,
    /// Value left at that time.
    pub value: f64,
}

/// An attempt that looks stuck, and from when on it may be cancelled.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StuckAttempt {
    pub overdue_at: Micros,
    pub key: AttemptKey,
}
