//! The rate limit of a route: what the route lists and reports, this sender's own rate, and its recent calls.

use serde::{Deserialize, Serialize};

use crate::{LoadReport, Micros};

/// The limit that a route reported.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct ReportedLimit {
    /// The limit in calls per second of all senders together.
    pub limit: f64,
    /// Fraction of the limit that is left, from 0 to 1.
    pub remaining: f64,
}

/// A rejection by a route, with the values that determine the decrease of the rate.
pub(crate) struct Rejection {
    /// The Retry-After, in µs from the rejection; 0 if there was none.
    pub retry_after: Micros,
    /// Number of senders in the fleet.
    pub sender_count: f64,
    /// See [`RareCallRate::factor`].
    pub rare_call_factor: f64,
    /// Lower estimate of the messages per second that this sender gets for the route.
    pub assured_demand: f64,
    /// Random number in [0, 1) for the jitter of the next permit.
    pub jitter_sample: f64,
}

/// Rate limit that this sender applies to one route.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct RateLimit {
    /// End of the Retry-After, in µs on the host's clock: no call is made before it.
    retry_after_until: Micros,
    /// Rate of this sender in calls per second; `None` if it is unlimited.
    pub rate: Option<f64>,
    /// When the rate permits the next call, in µs on the host's clock.
    pub next_permit_at: Micros,
    /// When the rate was last decreased because of a rejection, in µs on the host's clock.
    pub decreased_at: Option<Micros>,
    /// Times of the recent calls of this sender, in µs on the host's clock, the oldest first.
    pub sent: Vec<Micros>,
    /// Limit in the endpoint list, in calls per second of all senders together.
    listed_limit: Option<f64>,
    /// The latest limit that the route reported.
    pub reported: Option<ReportedLimit>,
    /// Number of rejections since the last delivery. A rejection that the reported limit does not explain
    /// counts as half of the number that is taken for an outage.
    pub consecutive_rejections: u32,
    /// When the first of these rejections came, in µs on the host's clock.
    pub rejected_since: Micros,
}

impl RateLimit {
    /// End of the Retry-After, in µs on the host's clock: no call is made before it.
    pub fn retry_after_until(&self) -> Micros {
        self.retry_after_until
    }

    pub fn extend_retry_after(&mut self, until: Micros) {
        self.retry_after_until = self.retry_after_until.max(until);
    }

    pub fn listed_limit(&self) -> Option<f64> {
        self.listed_limit
    }

    pub fn set_listed_limit(&mut self, limit: Option<f64>) {
        self.listed_limit = limit;
    }

    /// Stores the limit in a load report. Ignores a report that lacks the limit or what is left of it, or has
    /// impossible values.
    pub fn record_load_report(&mut self, report: Option<LoadReport>) {
        let values = report.and_then(|report| Some((report.limit?, report.limit_remaining?)));
        let Some((limit, remaining)) = values else { return };
        if limit.is_finite() && limit > 0.0 && remaining >= 0.0 {
            self.reported = Some(ReportedLimit { limit, remaining: remaining.min(1.0) });
        }
    }

    /// Number of calls made within the last `span` µs.
    pub fn sent_within(&self, now: Micros, span: Micros) -> f64 {
        self.sent.iter().filter(|at| now - **at <= span).count() as f64
    }
}

/// How far a first rejection lowers the rate of a route with few calls; adapted to the outcomes of retries on
/// all routes.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct RareCallRate {
    /// Calls per second to which a first rejection sets the rate, for each call in [`RateLimit::sent`].
    pub factor: f64,
}
