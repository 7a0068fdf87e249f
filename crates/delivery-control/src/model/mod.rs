//! Data structures that the policies read and update. This module makes no decisions.

mod choice;
mod endpoint;
mod endpoints;
mod in_flight;
mod key_queues;
mod message;
mod policy_state;
mod rate_limit;
mod state;
mod wake_ups;

pub(crate) use choice::{DispatchCandidate, Eligibility, EndpointChoice, ShedCandidate, StuckAttempt};
pub(crate) use endpoint::{Destination, Ejection, Endpoint, Health, RouteKey, SlowStart};
pub(crate) use endpoints::Endpoints;
pub(crate) use in_flight::{Attempt, AttemptKey, AttemptResult, CallId, InFlight};
pub(crate) use key_queues::KeyQueues;
pub(crate) use message::{Message, MessageBuffer};
pub(crate) use policy_state::{Subscription, TenantQuotas};
pub(crate) use rate_limit::{RareCallRate, RateLimit, Rejection, ReportedLimit};
pub(crate) use state::{State, View};
pub(crate) use wake_ups::WakeUps;

use crate::ids::Micros;
use crate::settings::{Idempotency, MessageClass, Settings};

/// Microseconds in a second.
pub(crate) const SECOND: Micros = 1_000_000;

/// What every policy may read: the time of the turn, in µs on the host's clock, and the settings.
#[derive(Clone, Copy)]
pub(crate) struct Context<'a> {
    pub now: Micros,
    pub settings: &'a Settings,
}

impl<'a> Context<'a> {
    /// The class of a message.
    pub fn class(&self, message: &Message) -> &'a MessageClass {
        &self.settings.classes[message.class]
    }

    /// Whether the message must not be sent again once an attempt may have taken effect.
    pub fn is_unrepeatable(&self, message: &Message) -> bool {
        self.class(message).idempotency == Idempotency::Never
    }

    /// Number of senders in the fleet, as a floating-point number.
    pub fn sender_count(&self) -> f64 {
        f64::from(self.settings.sender_count)
    }
}
