//! Log texts on what holds back messages past their latency objective.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::model::{Destination, View, SECOND};
use crate::{DestinationId, EndpointId, Micros};

/// Reports come no more often than this, so that a long outage doesn't flood the log.
const REPORT_INTERVAL: Micros = 5 * SECOND;
/// Destinations in a report: those with the longest backlogs tell enough.
const MAX_REPORTED_DESTINATIONS: usize = 4;

/// Reports the longest backlogs in which a message is past its latency objective.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct BacklogReporter {
    reported_at: Micros,
}

impl BacklogReporter {
    /// One line for each endpoint of the reported destinations.
    pub fn report(&mut self, view: &View) -> Vec<String> {
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
        let mut lines = Vec::new();
        for (id, destination) in late.into_iter().take(MAX_REPORTED_DESTINATIONS) {
            let backlog = describe_backlog(view, id, destination);
            for endpoint in &destination.endpoints {
                lines.push(format!("{backlog}; {}", describe_endpoint(view, *endpoint)));
            }
        }
        lines
    }
}

fn is_late(view: &View, destination: &Destination) -> bool {
    let oldest = destination.waiting.first();
    oldest.is_some_and(|id| view.state.messages[*id].objective_at < view.context.now)
}

fn describe_backlog(view: &View, id: DestinationId, destination: &Destination) -> String {
    let waiting = destination.waiting.len();
    let mut in_backoff = 0;
    let mut behind_others = 0;
    for id in &destination.waiting {
        let message = &view.state.messages[*id];
        in_backoff += usize::from(message.ready_at > view.context.now);
        behind_others += usize::from(!view.state.queues.is_head(message.order_key.as_ref(), *id));
    }
    format!(
        "latency objective missed: destination {id}, {waiting} waiting, {in_backoff} in backoff, \
         {behind_others} behind others of their order key"
    )
}

fn describe_endpoint(view: &View, id: EndpointId) -> String {
    let now = view.context.now;
    let endpoint = &view.state.endpoints[id];
    let health = endpoint.health_now(view.context);
    let in_flight = view.state.in_flight.calls_to(id);
    let rate_limit = view.state.endpoints.rate_limit(endpoint.route).cloned().unwrap_or_default();
    let rate = rate_limit.rate;
    let listed = rate_limit.listed_limit();
    let sent = rate_limit.sent_within(now, SECOND);
    let retry_after_us = (rate_limit.retry_after_until() - now).max(0);
    format!(
        "endpoint {id}, {in_flight} in flight, rate {rate:.1?}, {sent} sent in 1 s, \
         listed rate limit {listed:.1?}, Retry-After {retry_after_us} us, {health:?}"
    )
}
