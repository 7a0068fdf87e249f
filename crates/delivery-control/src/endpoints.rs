//! Destinations, their endpoints and routes: what is listed, what an operator drained, and what is remembered
//! of endpoints that departed.

use std::collections::BTreeMap;
use std::ops::Index;

use serde::{Deserialize, Serialize};

use crate::event::{EndpointEntry, ListingState, MaintenanceCommand, UpdateKind};
use crate::health::UNKNOWN_LATENCY;
use crate::ids::{DestinationId, EndpointId, MessageId, Micros};
use crate::model::{Context, Destination, Ejection, Endpoint, Health, InFlight, RouteKey, WakeUps, SECOND};
use crate::rate_limit::RateLimit;

/// How long the outage of an endpoint that departed is remembered: nothing ends it without calls.
const DEPARTED_OUTAGE_MEMORY: Micros = 60 * SECOND;

/// All destinations, endpoints and routes.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct Endpoints {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    destinations: BTreeMap<DestinationId, Destination>,
    rate_limits: BTreeMap<RouteKey, RateLimit>,
    /// Drained by an operator, since when.
    manually_drained: BTreeMap<EndpointId, Micros>,
    /// Not available, since when; kept until nothing of theirs must be remembered.
    departed: BTreeMap<EndpointId, Micros>,
    /// Messages submitted since `counting_since`, of all destinations.
    arrivals: f64,
    counting_since: Option<Micros>,
}

impl Index<EndpointId> for Endpoints {
    type Output = Endpoint;

    fn index(&self, id: EndpointId) -> &Endpoint {
        &self.endpoints[&id]
    }
}

impl Endpoints {
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    pub fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(&id)
    }

    pub fn destination(&self, id: DestinationId) -> Option<&Destination> {
        self.destinations.get(&id)
    }

    pub fn destination_mut(&mut self, id: DestinationId) -> &mut Destination {
        self.destinations.entry(id).or_default()
    }

    pub fn destinations(&self) -> impl Iterator<Item = (DestinationId, &Destination)> {
        self.destinations.iter().map(|(id, destination)| (*id, destination))
    }

    pub fn rate_limit(&self, route: RouteKey) -> Option<&RateLimit> {
        self.rate_limits.get(&route)
    }

    pub fn rate_limit_mut(&mut self, route: RouteKey) -> &mut RateLimit {
        self.rate_limits.entry(route).or_default()
    }

    /// The available endpoints of a route.
    pub fn on_route(&self, route: RouteKey) -> Vec<EndpointId> {
        let ids = self.destination(route.destination).map_or(&[][..], |destination| &destination.endpoints);
        ids.iter().copied().filter(|id| self[*id].route == route).collect()
    }

    /// Lowest listed rate limit among a destination's routes.
    pub fn lowest_listed_limit(&self, id: DestinationId) -> Option<f64> {
        let ids = self.destination(id).map_or(&[][..], |destination| &destination.endpoints);
        let limits = ids.iter().filter_map(|id| self.rate_limit(self[*id].route)?.listed_limit());
        limits.reduce(f64::min)
    }

    /// How many of the listed endpoints get no calls: drained by an operator, draining, or ejected.
    pub fn avoided_count(&self, now: Micros) -> usize {
        let awaits_probe = |health: &Health| health.ejection().is_some_and(|other| other.next_probe_at > now);
        let listed = self.endpoints.values().filter(|endpoint| endpoint.listing != ListingState::Removed);
        listed.filter(|endpoint| !endpoint.available || awaits_probe(&endpoint.health)).count()
    }

    /// Starts to count submitted messages, unless it has begun.
    pub fn start_counting(&mut self, now: Micros) {
        self.counting_since = self.counting_since.or(Some(now));
    }

    pub fn count_arrival(&mut self, destination: DestinationId) {
        self.arrivals += 1.0;
        self.destination_mut(destination).arrivals += 1.0;
    }

    /// Takes back the count of a message that a predecessor process accepted: the count is of this one's time.
    pub fn discount_arrival(&mut self, destination: DestinationId) {
        self.arrivals -= 1.0;
        self.destination_mut(destination).arrivals -= 1.0;
    }

    /// Messages submitted for an average destination.
    pub fn mean_arrivals(&self) -> f64 {
        self.arrivals / self.destinations.len().max(1) as f64
    }

    /// Seconds over which messages have been counted, but no less than `least`.
    pub fn counted_seconds(&self, now: Micros, least: Micros) -> f64 {
        (now - self.counting_since.unwrap_or(now)).max(least) as f64 / SECOND as f64
    }

    /// Has a message wait for its destination, which is looked at in this turn.
    pub fn enqueue(&mut self, id: MessageId, destination: DestinationId, wake_ups: &mut WakeUps) {
        self.destination_mut(destination).waiting.insert(id);
        wake_ups.mark_dirty(destination);
    }

    /// Takes in an endpoint list, or changes to it.
    pub fn apply_update(
        &mut self,
        context: Context,
        update: UpdateKind,
        entries: &[EndpointEntry],
        wake_ups: &mut WakeUps,
    ) {
        if update != UpdateKind::Delta {
            self.clear_listing(context.now);
        }
        for entry in entries {
            self.apply_entry(context, entry, wake_ups);
        }
    }

    fn clear_listing(&mut self, now: Micros) {
        for (id, endpoint) in &mut self.endpoints {
            endpoint.listing = ListingState::Removed;
            endpoint.available = false;
            self.departed.entry(*id).or_insert(now);
        }
        for destination in self.destinations.values_mut() {
            destination.endpoints.clear();
        }
    }

    fn apply_entry(&mut self, context: Context, entry: &EndpointEntry, wake_ups: &mut WakeUps) {
        let id = entry.endpoint;
        let kind = context.settings.kinds.get(entry.kind);
        let is_own_route = kind.is_some_and(|kind| kind.per_endpoint_limits);
        let route = RouteKey { destination: entry.destination, endpoint: is_own_route.then_some(id) };
        let new = Endpoint { route, latency: UNKNOWN_LATENCY, ..Endpoint::default() };
        let endpoint = self.endpoints.entry(id).or_insert(new);
        let previous = std::mem::replace(&mut endpoint.route, route);
        endpoint.zone = entry.zone;
        endpoint.batch_size = kind.map_or(1, |kind| kind.max_batch_size.max(1));
        endpoint.listing = entry.listing;
        // A Retry-After binds the endpoint under whatever destination or kind it is listed again.
        let retry_after_until = self.rate_limit(previous).map_or(0, RateLimit::retry_after_until);
        let has_limit = context.settings.rates_are_listed && entry.rate > 0.0;
        let rate_limit = self.rate_limit_mut(route);
        rate_limit.extend_retry_after(retry_after_until);
        rate_limit.set_listed_limit(has_limit.then_some(entry.rate));
        for destination in [previous.destination, entry.destination] {
            self.destination_mut(destination).endpoints.retain(|other| *other != id);
            wake_ups.mark_dirty(destination);
        }
        self.update_availability(id, context.now, wake_ups);
    }

    /// Puts an endpoint among those that calls may go to, or takes it away from them.
    fn update_availability(&mut self, id: EndpointId, now: Micros, wake_ups: &mut WakeUps) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.available =
            endpoint.listing == ListingState::Live && !self.manually_drained.contains_key(&id);
        let destination = self.destinations.entry(endpoint.route.destination).or_default();
        destination.endpoints.retain(|other| *other != id);
        wake_ups.mark_dirty(endpoint.route.destination);
        if endpoint.available {
            self.departed.remove(&id);
            destination.endpoints.push(id);
        } else {
            self.departed.entry(id).or_insert(now);
        }
    }

    /// Drained by an operator, an endpoint drains whatever is listed. It is restarted meanwhile, which is an
    /// outage: restored, it gets one probe, and then starts slowly.
    pub fn apply_maintenance(
        &mut self,
        id: EndpointId,
        command: MaintenanceCommand,
        now: Micros,
        wake_ups: &mut WakeUps,
    ) {
        if command == MaintenanceCommand::Drain {
            self.manually_drained.entry(id).or_insert(now);
        } else if let Some(since) = self.manually_drained.remove(&id) {
            self.expect_restart(id, since, now);
        }
        self.update_availability(id, now, wake_ups);
    }

    fn expect_restart(&mut self, id: EndpointId, since: Micros, now: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.health = Health::Ejected(Ejection {
            since,
            confirmed: true,
            probe_interval: 0,
            next_probe_at: now,
            probe: None,
        });
        endpoint.consecutive_failures = 0;
        endpoint.delivered_at = None;
    }

    /// Forgets endpoints that departed, once nothing is in flight there and no Retry-After, outage or manual
    /// drain must be remembered.
    pub fn forget_departed(&mut self, context: Context, in_flight: &InFlight) {
        for (id, since) in std::mem::take(&mut self.departed) {
            let Some(endpoint) = self.endpoints.get(&id) else { continue };
            let route = endpoint.route;
            if self.must_remember(context, id, endpoint, since) || in_flight.has_attempt_to(id) {
                self.departed.insert(id, since);
                continue;
            }
            self.endpoints.remove(&id);
            if self.on_route(route).is_empty() {
                self.rate_limits.remove(&route);
            }
        }
        self.destinations
            .retain(|_, destination| !destination.endpoints.is_empty() || !destination.waiting.is_empty());
    }

    fn must_remember(&self, context: Context, id: EndpointId, endpoint: &Endpoint, since: Micros) -> bool {
        let retry_after_until = self.rate_limit(endpoint.route).map_or(0, RateLimit::retry_after_until);
        let is_ill = endpoint.health_now(context) != Health::Healthy;
        retry_after_until > context.now
            || (is_ill && context.now - since < DEPARTED_OUTAGE_MEMORY)
            || endpoint.listing != ListingState::Removed
            || self.manually_drained.contains_key(&id)
    }
}
