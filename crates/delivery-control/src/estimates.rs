//! Estimates from what this sender sees: the demand of all senders, the capacity of an endpoint, the call
//! interval of a slow start, and how long a destination takes to catch up.

use crate::model::{Destination, Endpoint, Health, RateLimit, View, SECOND};
use crate::Micros;

const SLOW_START_SHARE: f64 = 0.9; // Part of the allowed overload for slow start; the rest is for chance
const LIMITED_CAPACITY: f64 = 2.5; // With a known limit: at most so many times the demand
const UNLIMITED_CAPACITY: f64 = 1.05; // Without: little more than the demand, which it has met so far
const MIN_CAPACITY: f64 = 0.5; // Calls per second that any destination is taken to serve
const DEMAND_PRIOR: f64 = 1.0; // Messages of an average destination that a new count starts with
const DEMAND_SPAN: Micros = 5 * SECOND; // A clump must not pass for steady demand
const MAX_WAIT: f64 = 29e6; // Longest expected wait in µs, also where no endpoint is available

impl View<'_> {
    /// Messages per second by which a destination's backlog has grown: at first all that a new process knows.
    fn backlog_growth(&self, destination: &Destination) -> f64 {
        let oldest = destination.waiting.first().and_then(|id| self.state.messages.get(*id));
        let Some(oldest) = oldest else { return 0.0 };
        let submitted_at = oldest.deadline - self.context.class(oldest).deadline;
        let age = (self.context.now - submitted_at).max(DEMAND_SPAN);
        destination.waiting.len() as f64 * SECOND as f64 / age as f64
    }

    /// Messages per second that all senders get for an endpoint's route: the own count, drawn towards an
    /// average destination's while it is small.
    fn demand(&self, endpoint: &Endpoint) -> f64 {
        let mean = self.state.endpoints.mean_arrivals();
        let Some(destination) = self.destination_of(endpoint) else { return 0.0 };
        let seconds = self.state.endpoints.counted_seconds(self.context.now, 1);
        let own = (destination.arrivals + DEMAND_PRIOR) * mean / ((mean + DEMAND_PRIOR) * seconds);
        own.max(self.backlog_growth(destination)) * self.context.sender_count()
            / route_count(endpoint, destination)
    }

    /// Messages per second that this sender is sure to get for an endpoint's route, up to its fair share of a
    /// limit; none for an ejected endpoint, whose probes many senders share.
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

    /// Senders that have messages buffered for an endpoint after an outage of `span`.
    pub fn competing_senders(&self, endpoint: &Endpoint, span: Micros) -> f64 {
        (self.demand(endpoint) * span as f64 / SECOND as f64).clamp(1.0, self.context.sender_count())
    }

    /// Calls per second of all senders that an endpoint is taken to serve.
    fn capacity(&self, endpoint: &Endpoint) -> f64 {
        let demand = self.demand(endpoint);
        let limit = self.rate_limit_of(endpoint).and_then(RateLimit::limit);
        let limited = |limit: f64| limit.min((LIMITED_CAPACITY * demand).max(limit / 2.0));
        let of_route = limit.map_or(UNLIMITED_CAPACITY * demand, limited).max(MIN_CAPACITY);
        let available = self.state.endpoints.available(endpoint.route.destination).len().max(1);
        of_route / endpoint.route.endpoint.map_or(available, |_| 1) as f64
    }

    /// Calls per µs of all senders that would not overload an endpoint at full capacity.
    pub fn admissible_rate(&self, endpoint: &Endpoint) -> f64 {
        let overload = (self.context.settings.rules.overload_factor * SLOW_START_SHARE).max(0.1);
        overload * self.capacity(endpoint) / SECOND as f64
    }

    /// The same as a part of it, right after an outage.
    pub fn initial_share(&self) -> f64 {
        self.context.settings.rules.initial_capacity.max(0.01)
    }

    /// Interval until this sender's next call to an endpoint that came back `elapsed` ago, when the calls of
    /// all competing `senders` use the allowed overload of a capacity that grows meanwhile.
    pub fn slow_start_interval(&self, endpoint: &Endpoint, elapsed: Micros, senders: f64) -> Micros {
        let rules = &self.context.settings.rules;
        let growth = ((1.0 - rules.initial_capacity) / rules.warm_up_time.max(1) as f64).max(1e-12);
        let share = self.initial_share() + growth * elapsed as f64;
        // One call is due once the integral of the growing rate reaches one.
        let squared = share * share + 2.0 * growth * senders / self.admissible_rate(endpoint);
        ((squared.sqrt() - share) / growth).min(rules.warm_up_time as f64) as Micros
    }

    /// Time until a message enqueued now for a destination would be delivered, as far as is known.
    pub fn expected_wait(&self, destination: &Destination) -> Micros {
        let backlog = destination.waiting.len() as f64;
        let endpoints = destination.endpoints.iter().map(|id| &self.state.endpoints[*id]);
        let waits = endpoints.map(|endpoint| self.endpoint_wait(endpoint, backlog));
        SECOND + waits.fold(MAX_WAIT, f64::min) as Micros
    }

    fn endpoint_wait(&self, endpoint: &Endpoint, backlog: f64) -> f64 {
        match endpoint.health_now(self.context) {
            // Its outage is expected to last as long again.
            Health::Ejected(ejection) => (self.context.now - ejection.since) as f64,
            // What cannot be in time at its place in the queue must not make all behind it late.
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

/// Routes that share the messages of an endpoint's destination.
fn route_count(endpoint: &Endpoint, destination: &Destination) -> f64 {
    endpoint.route.endpoint.map_or(1.0, |_| destination.endpoints.len().max(1) as f64)
}
