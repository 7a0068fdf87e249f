//! What is known of a route's limits, and the calls that were made on it.

use serde::{Deserialize, Serialize};

use crate::{LoadReport, Micros};

/// What a route reported last about its limit.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct ReportedLimit {
    /// In calls per second, of all senders.
    pub limit: f64,
    /// Fraction that is left.
    pub remaining: f64,
}

/// A rejection by a route, with what the decrease depends on.
pub(crate) struct Rejection {
    pub retry_after: Micros,
    pub sender_count: f64,
    pub rare_call_factor: f64,
    /// Messages per second that this sender is sure to get for the route.
    pub assured_demand: f64,
    /// Random number in [0, 1) for the jitter.
    pub chance: f64,
}

/// Rate limit of one route at this sender.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct RateLimit {
    /// No call before this time, as the route asked.
    retry_after_until: Micros,
    /// Calls per second of this sender; unlimited if absent.
    pub rate: Option<f64>,
    pub next_permit_at: Micros,
    pub decreased_at: Option<Micros>,
    /// When calls were made.
    pub sent: Vec<Micros>,
    /// In calls per second, of all senders.
    listed_limit: Option<f64>,
    pub reported: Option<ReportedLimit>,
    pub consecutive_rejections: u32,
    pub rejected_since: Micros,
}

impl RateLimit {
    /// No call before this time, as the route asked.
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

    /// Takes in a report; one without a limit, or with impossible figures, says nothing.
    pub fn record_load_report(&mut self, report: Option<LoadReport>) {
        let figures = report.and_then(|report| Some((report.limit?, report.limit_remaining?)));
        let Some((limit, remaining)) = figures else { return };
        if limit.is_finite() && limit > 0.0 && remaining >= 0.0 {
            self.reported = Some(ReportedLimit { limit, remaining: remaining.min(1.0) });
        }
    }

    /// Calls made in the latest `span`.
    pub fn sent_within(&self, now: Micros, span: Micros) -> f64 {
        self.sent.iter().filter(|at| now - **at <= span).count() as f64
    }
}

/// What was learned, over all routes, of how low a rate a first rejection calls for where calls are rare.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct RareCallRate {
    /// Calls per second that a first rejection leaves for each call in the history.
    pub factor: f64,
}
