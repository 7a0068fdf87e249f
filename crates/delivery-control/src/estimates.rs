//! Estimates from what this sender observes: the demand of all senders, the capacity of an endpoint, the
//! call interval of a slow start, and the expected wait for a destination.

use crate::model::{Destination, Endpoint, Health, RateLimit, View, SECOND};
use crate::Micros;

/// Fraction of the tolerated overload that a slow start uses; the rest absorbs random variation.
const SLOW_START_SHARE: f64 = 0.9;
/// With a known limit, the estimated capacity is at most this multiple of the demand, or half of the limit
/// if that is more.
const LIMITED_CAPACITY: f64 = 2.5;
/// Without a known limit, the estimated capacity is this multiple of the demand: little more than it, as
/// the route has met the demand so far.
const UNLIMITED_CAPACITY: f64 = 1.05;
/// Minimum of a route's estimated capacity, in calls per second of all senders.
const MIN_CAPACITY: f64 = 0.5;
/// Weight of the average destination in the estimate of demand, in messages.
const DEMAND_PRIOR: f64 = 1.0;
/// Minimum time in µs over which demand is averaged, so that a burst is not taken for steady demand.
const DEMAND_SPAN: Micros = 5 * SECOND;
/// Upper bound in µs of the expected wait for an endpoint; also assumed if none is available.
const MAX_WAIT: f64 = 29e6;

impl View<'_> {
    /// Messages per second by which a destination's backlog has grown since its oldest message was
    /// submitted. A new process has no other measure of the demand at first.
    fn backlog_growth(&self, destination: &Destination) -> f64 {
        let oldest = destination.waiting.first().and_then(|id| self.state.messages.get(*id));
        let Some(oldest) = oldest else { return 0.0 };
        let submitted_at = oldest.deadline - self.context.class(oldest).deadline;
        let age = (self.context.now - submitted_at).max(DEMAND_SPAN);
        destination.waiting.len() as f64 * SECOND as f64 / age as f64
    }

    /// Messages per second that all senders get for an endpoint's route, estimated from this sender's own
    /// count. As long as the count is small, the estimate is drawn towards that of an average destination.
    fn demand(&self, endpoint: &Endpoint) -> f64 {
        let mean = self.state.endpoints.mean_arrivals();
        let Some(destination) = self.destination_of(endpoint) else { return 0.0 };
        let seconds = self.state.endpoints.counted_seconds(self.context.now, 1);
        let own = (destination.arrivals + DEMAND_PRIOR) * mean / ((mean + DEMAND_PRIOR) * seconds);
        own.max(self.backlog_growth(destination)) * self.context.sender_count()
            / route_count(endpoint, destination)
    }

    /// Messages per second that this sender is sure to get for an endpoint's route, up to its fair share of
    /// a limit. Zero for an ejected endpoint, since many senders share its probes.
    pub fn assured_demand(&self, endpoint: &Endpoint) -> f64 {
        if endpoint.health.is_ejected() {
            return 0.0;
        }
        let Some(destination) = self.destination_of(endpoint) else { return 0.0 };
        let sender_count = self.context.sender_count();
        let fair_share = self.rate_limit_of(endpoint).and_then(|limit| limit.fair_share(sender_count));
        let seconds = self.state.endpoints.counted_seconds(self.context.now, DEMAND_SPAN);
        let counted = destination.arrivals / seconds;
        let own = counted.max(self.backlog_growth(destination)) / route_count(endpoint, destination);
        own.min(fair_share.unwrap_or(f64::MAX))
    }

    /// Estimated number of senders that have messages buffered for an endpoint after an outage of `span`
    /// µs.
    pub fn competing_senders(&self, endpoint: &Endpoint, span: Micros) -> f64 {
        (self.demand(endpoint) * span as f64 / SECOND as f64).clamp(1.0, self.context.sender_count())
    }

    /// Estimated capacity of an endpoint, in calls per second of all senders.
    fn capacity(&self, endpoint: &Endpoint) -> f64 {
        let demand = self.demand(endpoint);
        let limit = self.rate_limit_of(endpoint).and_then(RateLimit::limit);
        let limited = |limit: f64| limit.min((LIMITED_CAPACITY * demand).max(limit / 2.0));
        let route_capacity = limit.map_or(UNLIMITED_CAPACITY * demand, limited).max(MIN_CAPACITY);
        let available = self.state.endpoints.available(endpoint.route.destination).len().max(1);
        route_capacity / endpoint.route.endpoint.map_or(available, |_| 1) as f64
    }

    /// Calls per µs of all senders that would not overload an endpoint at full capacity.
    pub fn admissible_rate(&self, endpoint: &Endpoint) -> f64 {
        let overload = (self.context.settings.rules.overload_factor * SLOW_START_SHARE).max(0.1);
        overload * self.capacity(endpoint) / SECOND as f64
    }

    /// Fraction of the admissible rate that applies right after an outage.
    pub fn initial_share(&self) -> f64 {
        self.context.settings.rules.initial_capacity.max(0.01)
    }

    /// Time in µs until this sender's next call to an endpoint that recovered `elapsed` µs ago. It is such
    /// that the calls of all competing `senders` together use the tolerated overload while the capacity
    /// grows.
    pub fn slow_start_interval(&self, endpoint: &Endpoint, elapsed: Micros, senders: f64) -> Micros {
        let rules = &self.context.settings.rules;
        let growth = ((1.0 - rules.initial_capacity) / rules.warm_up_time.max(1) as f64).max(1e-12);
        let share = self.initial_share() + growth * elapsed as f64;
        // The call is due once the integral of this sender's growing rate reaches one.
        let squared = share * share + 2.0 * growth * senders / self.admissible_rate(endpoint);
        ((squared.sqrt() - share) / growth).min(rules.warm_up_time as f64) as Micros
    }

    /// Expected time in µs until the delivery of a message that is enqueued for a destination now.
    pub fn expected_wait(&self, destination: &Destination) -> Micros {
        let backlog = destination.waiting.len() as f64;
        let endpoints = destination.endpoints.iter().map(|id| &self.state.endpoints[*id]);
        let waits = endpoints.map(|endpoint| self.endpoint_wait(endpoint, backlog));
        SECOND + waits.fold(MAX_WAIT, f64::min) as Micros
    }

    /// Expected time in µs until all messages of a destination's `backlog` have been sent to this endpoint.
    fn endpoint_wait(&self, endpoint: &Endpoint, backlog: f64) -> f64 {
        match endpoint.health_now(self.context) {
            // The outage is expected to last as long again as it has lasted so far.
            Health::Ejected(ejection) => (self.context.now - ejection.since) as f64,
            // The wait for the whole backlog counts: a message that cannot be in time at its place in the
            // queue must not make all messages behind it late.
            Health::SlowStart(start) => {
                let elapsed = self.context.now - start.since;
                self.slow_start_interval(endpoint, elapsed, start.competing_senders) as f64 * backlog
            }
            Health::Healthy => {
                let rate = self.rate_limit_of(endpoint).and_then(|limit| limit.rate);
                rate.map_or(0.0, |rate| SECOND as f64 / rate) * backlog
            }
        }
    }
}

/// Number of routes that share the messages of an endpoint's destination.
fn route_count(endpoint: &Endpoint, destination: &Destination) -> f64 {
    endpoint.route.endpoint.map_or(1.0, |_| destination.endpoints.len().max(1) as f64)
}
