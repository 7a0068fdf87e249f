//! Reports on why messages are past their latency objective.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::backlog::{BacklogReport, EndpointHealth};
use crate::model::{Destination, Health, View, SECOND};
use crate::{DestinationId, EndpointId, Micros};

/// Minimum time between reports in µs, so that a long outage does not flood the log.
const REPORT_INTERVAL: Micros = 5 * SECOND;
/// Maximum number of destinations that are reported at a time. Those with the longest backlogs are enough to
/// find the cause.
const MAX_REPORTED_DESTINATIONS: usize = 4;

/// Reports the longest backlogs whose oldest message is past its latency objective.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct BacklogReporter {
    /// When backlogs were last reported, in µs on the host's clock.
    reported_at: Micros,
}

impl BacklogReporter {
    /// Returns one report for each available endpoint of the late destinations with the longest backlogs, or
    /// none within [`REPORT_INTERVAL`] of the last reports.
    pub fn report(&mut self, view: &View) -> Vec<BacklogReport> {
        let now = view.context.now;
        if now - self.reported_at < REPORT_INTERVAL {
            return Vec::new();
        }
        let mut late: Vec<_> = view
            .state
            .endpoints
            .destinations()
            .filter(|(_, destination)| is_late(view, destination))
            .collect();
        if late.is_empty() {
            return Vec::new();
        }
        self.reported_at = now;
        late.sort_by_key(|(_, destination)| Reverse(destination.waiting.len()));
        let mut reports = Vec::new();
        for (id, destination) in late.into_iter().take(MAX_REPORTED_DESTINATIONS) {
            let backlog = Backlog::of(view, id, destination);
            for endpoint in &destination.endpoints {
                reports.push(backlog.report(view, *endpoint));
            }
        }
        reports
    }
}

/// Whether the oldest message that waits for a destination is past its latency objective.
fn is_late(view: &View, destination: &Destination) -> bool {
    let oldest = destination.waiting.first();
    oldest.is_some_and(|id| view.state.messages[*id].objective_at < view.context.now)
}

/// Counts of the messages that wait for a destination; the fields are those of [`BacklogReport`].
struct Backlog {
    destination: DestinationId,
    waiting: usize,
    in_backoff: usize,
    behind_others: usize,
}

impl Backlog {
    fn of(view: &View, id: DestinationId, destination: &Destination) -> Self {
        let mut in_backoff = 0;
        let mut behind_others = 0;
        for id in &destination.waiting {
            let message = &view.state.messages[*id];
            in_backoff += usize::from(message.ready_at > view.context.now);
            behind_others += usize::from(!view.state.queues.is_head(message.order_key.as_ref(), *id));
        }
        Self { destination: id, waiting: destination.waiting.len(), in_backoff, behind_others }
    }

    /// Combines the backlog with the state of one of the destination's endpoints.
    fn report(&self, view: &View, id: EndpointId) -> BacklogReport {
        let now = view.context.now;
        let endpoint = &view.state.endpoints[id];
        let rate_limit = view.state.endpoints.rate_limit(endpoint.route).cloned().unwrap_or_default();
        BacklogReport {
            destination: self.destination,
            waiting: self.waiting,
            in_backoff: self.in_backoff,
            behind_others: self.behind_others,
            endpoint: id,
            in_flight: view.state.in_flight.calls_to(id),
            rate: rate_limit.rate,
            sent_last_second: rate_limit.sent_within(now, SECOND),
            listed_rate_limit: rate_limit.listed_limit(),
            retry_after: (rate_limit.retry_after_until() - now).max(0),
            health: match endpoint.health_now(view.context) {
                Health::Healthy => EndpointHealth::Healthy,
                Health::Ejected(_) => EndpointHealth::Ejected,
                Health::SlowStart(_) => EndpointHealth::SlowStart,
            },
        }
    }
}
