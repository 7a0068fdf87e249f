//! Eligibility: whether a message may be sent to an endpoint now. Every attempt passes this check before it
//! is sent, so that the delivery rules hold by construction.

use crate::model::{Eligibility, Endpoint, Health, Message, RateLimit, RouteKey, View};
use crate::{retry, EndpointId, Idempotency, IdempotencyScope, MessageId, Micros};

/// Fraction of the concurrency limit that one destination may use.
const DESTINATION_SHARE: f64 = 0.6;

impl View<'_> {
    /// Whether a message may be sent to an endpoint now, and if not, what it waits for. A message that
    /// joins a call of this turn needs no permit of its own.
    pub fn eligibility(&self, id: MessageId, to: EndpointId) -> Eligibility {
        let now = self.context.now;
        let message = &self.state.messages[id];
        let endpoint = &self.state.endpoints[to];
        let ready = Eligibility::allow_if(self.is_admissible(id, message, endpoint))
            .and_then(|| Eligibility::not_before(self.ready_at(id, message, endpoint), now));
        if self.state.in_flight.has_batch_room(to) {
            return ready;
        }
        ready
            .and_then(|| Eligibility::not_before(self.next_rate_permit(endpoint), now))
            .and_then(|| self.check_health(message, endpoint))
            .and_then(|| self.check_concurrency(message))
    }

    /// Whether the endpoint is suitable for the message, and the message may have another attempt at all.
    fn is_admissible(&self, id: MessageId, message: &Message, endpoint: &Endpoint) -> bool {
        let class = self.context.class(message);
        let is_zone_bound =
            class.idempotency == Idempotency::WithKey && class.idempotency_scope == IdempotencyScope::Zone;
        let is_key_known =
            message.first_ambiguous.is_none_or(|first| !is_zone_bound || first.zone == endpoint.zone);
        endpoint.available
            && endpoint.route.destination == message.destination
            && is_key_known
            && !message.in_flight
            && !message.streaming
            && retry::latest_start(self.context, message) > self.context.now
            && self.state.queues.is_head(message.order_key.as_ref(), id)
    }

    /// When the message's backoff, the route's Retry-After and the order key's quarantine are all over.
    fn ready_at(&self, id: MessageId, message: &Message, endpoint: &Endpoint) -> Micros {
        let retry_after_until = self.rate_limit_of(endpoint).map_or(0, RateLimit::retry_after_until);
        let quarantined_until = self.state.queues.quarantined_until(message.order_key.as_ref(), id);
        message.ready_at.max(retry_after_until).max(quarantined_until)
    }

    /// When the rate limit of the endpoint's route permits the next call.
    fn next_rate_permit(&self, endpoint: &Endpoint) -> Micros {
        let now = self.context.now;
        let demand = || self.assured_demand(endpoint);
        self.rate_limit_of(endpoint).map_or(now, |limit| limit.next_permit(now, demand))
    }

    /// Allows calls of a slow start and probes only at their scheduled times, and one probe of a route at a
    /// time.
    fn check_health(&self, message: &Message, endpoint: &Endpoint) -> Eligibility {
        let not_before = match endpoint.health_now(self.context) {
            Health::Healthy => return Eligibility::Now,
            Health::SlowStart(start) => start.next_call_at,
            Health::Ejected(ejection) => ejection.next_probe_at,
        };
        let may_probe = || !self.is_probed(endpoint.route) && !self.must_leave_probe(message);
        Eligibility::not_before(not_before, self.context.now)
            .and_then(|| Eligibility::allow_if(!endpoint.health.is_ejected() || may_probe()))
    }

    /// Whether a probe to the route is in flight.
    fn is_probed(&self, route: RouteKey) -> bool {
        let endpoints = &self.state.endpoints;
        endpoints.on_route(route).iter().any(|id| endpoints[*id].health.has_probe())
    }

    /// Whether a message that may not be repeated must leave the probe to a repeatable, unordered one that
    /// is ready for the same destination: a failed probe costs the repeatable message little, but ends the
    /// other.
    fn must_leave_probe(&self, message: &Message) -> bool {
        if !self.context.is_unrepeatable(message) {
            return false;
        }
        let destination = self.state.endpoints.destination(message.destination);
        destination.into_iter().flat_map(|destination| &destination.waiting).any(|id| {
            let other = &self.state.messages[*id];
            !self.context.is_unrepeatable(other)
                && other.order_key.is_none()
                && other.ready_at <= self.context.now
        })
    }

    /// Checks the concurrency limit, and the destination's share of it.
    fn check_concurrency(&self, message: &Message) -> Eligibility {
        let max_in_flight = self.context.settings.limits.max_in_flight;
        if self.state.in_flight.call_count() >= max_in_flight {
            return Eligibility::NoPermit;
        }
        let is_same_destination =
            |id: EndpointId| self.state.endpoints[id].route.destination == message.destination;
        let calls = self.state.in_flight.calls().filter(|call| is_same_destination(call.endpoint)).count();
        let max_calls = (max_in_flight as f64 * DESTINATION_SHARE).max(1.0);
        Eligibility::allow_if((calls as f64) < max_calls)
    }
}
