//! Destinations, endpoints and the rate limits of routes, and the count of messages that were submitted for
//! each destination.

use std::collections::BTreeMap;
use std::ops::Index;

use serde::{Deserialize, Serialize};

use crate::model::{Destination, Endpoint, Health, RateLimit, RouteKey, SECOND};
use crate::{DestinationId, EndpointId, ListingState, Micros};

/// All destinations, endpoints and rate limits of routes.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct Endpoints {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    destinations: BTreeMap<DestinationId, Destination>,
    rate_limits: BTreeMap<RouteKey, RateLimit>,
    /// Endpoints that an operator drained, and since when, in µs on the host's clock.
    manually_drained: BTreeMap<EndpointId, Micros>,
    /// Endpoints that are not available, and since when, in µs on the host's clock. They are kept until
    /// nothing about them has to be remembered.
    departed: BTreeMap<EndpointId, Micros>,
    /// Number of messages submitted since `counting_since` for all destinations.
    arrivals: f64,
    /// When the count of submitted messages started, in µs on the host's clock.
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

    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
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

    /// The available endpoints of a destination.
    pub fn available(&self, id: DestinationId) -> &[EndpointId] {
        self.destination(id).map_or(&[], |destination| &destination.endpoints)
    }

    /// The available endpoints that belong to a route.
    pub fn on_route(&self, route: RouteKey) -> Vec<EndpointId> {
        let ids = self.available(route.destination).iter().copied();
        ids.filter(|id| self[*id].route == route).collect()
    }

    pub fn rate_limit(&self, route: RouteKey) -> Option<&RateLimit> {
        self.rate_limits.get(&route)
    }

    pub fn rate_limit_mut(&mut self, route: RouteKey) -> &mut RateLimit {
        self.rate_limits.entry(route).or_default()
    }

    /// Lowest listed limit among the routes of a destination's available endpoints.
    pub fn lowest_listed_limit(&self, id: DestinationId) -> Option<f64> {
        let ids = self.available(id).iter();
        ids.filter_map(|id| self.rate_limit(self[*id].route)?.listed_limit()).reduce(f64::min)
    }

    /// Starts the count of submitted messages, unless it has started.
    pub fn start_counting(&mut self, now: Micros) {
        self.counting_since = self.counting_since.or(Some(now));
    }

    pub fn count_arrival(&mut self, destination: DestinationId) {
        self.arrivals += 1.0;
        self.destination_mut(destination).arrivals += 1.0;
    }

    /// Takes back a count of [`Self::count_arrival`].
    pub fn uncount_arrival(&mut self, destination: DestinationId) {
        self.arrivals -= 1.0;
        self.destination_mut(destination).arrivals -= 1.0;
    }

    /// Mean number of messages submitted for a destination.
    pub fn mean_arrivals(&self) -> f64 {
        self.arrivals / self.destinations.len().max(1) as f64
    }

    /// Time in seconds over which messages have been counted, but at least `least` µs.
    pub fn counted_seconds(&self, now: Micros, least: Micros) -> f64 {
        (now - self.counting_since.unwrap_or(now)).max(least) as f64 / SECOND as f64
    }

    /// Adds an endpoint or updates its listed properties, and removes it from the available ones of its
    /// previous destination; [`Self::set_available`] must follow. Returns its previous route.
    pub fn relist(&mut self, id: EndpointId, listed: Endpoint) -> RouteKey {
        let Endpoint { route, zone, batch_size, listing, .. } = listed;
        let endpoint = self.endpoints.entry(id).or_insert(listed);
        let previous = endpoint.route;
        endpoint.route = route;
        endpoint.zone = zone;
        endpoint.batch_size = batch_size;
        endpoint.listing = listing;
        self.destination_mut(previous.destination).endpoints.retain(|other| *other != id);
        previous
    }

    /// Marks all endpoints as removed from the list, and thus not available.
    pub fn clear_listing(&mut self, now: Micros) {
        for (id, endpoint) in &mut self.endpoints {
            endpoint.listing = ListingState::Removed;
            endpoint.available = false;
            self.departed.entry(*id).or_insert(now);
        }
        for destination in self.destinations.values_mut() {
            destination.endpoints.clear();
        }
    }

    /// Adds an endpoint to the available ones of its destination, or removes it from them.
    pub fn set_available(&mut self, id: EndpointId, available: bool, now: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.available = available;
        let destination = self.destinations.entry(endpoint.route.destination).or_default();
        destination.endpoints.retain(|other| *other != id);
        if available {
            self.departed.remove(&id);
            destination.endpoints.push(id);
        } else {
            self.departed.entry(id).or_insert(now);
        }
    }

    /// Removes what refers to messages, calls and connections: waiting messages, probes and idle connections.
    pub fn remove_all_messages(&mut self) {
        for destination in self.destinations.values_mut() {
            destination.waiting.clear();
        }
        for endpoint in self.endpoints.values_mut() {
            endpoint.idle_connections.clear();
            if let Health::Ejected(ejection) = &mut endpoint.health {
                ejection.probe = None;
            }
        }
    }

    /// Records that an operator drained an endpoint, which need not be listed.
    pub fn drain_manually(&mut self, id: EndpointId, now: Micros) {
        self.manually_drained.entry(id).or_insert(now);
    }

    /// Ends a manual drain; returns when it began.
    pub fn end_manual_drain(&mut self, id: EndpointId) -> Option<Micros> {
        self.manually_drained.remove(&id)
    }

    pub fn is_manually_drained(&self, id: EndpointId) -> bool {
        self.manually_drained.contains_key(&id)
    }

    /// The endpoints that operators have drained.
    pub fn manually_drained(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.manually_drained.keys().copied()
    }

    /// The endpoints that are not available, and since when.
    pub fn departed(&self) -> Vec<(EndpointId, Micros)> {
        self.departed.iter().map(|(id, since)| (*id, *since)).collect()
    }

    /// Removes an endpoint, and the rate limit of its route if the route has no available endpoint.
    pub fn remove(&mut self, id: EndpointId) {
        self.departed.remove(&id);
        let Some(endpoint) = self.endpoints.remove(&id) else { return };
        if self.on_route(endpoint.route).is_empty() {
            self.rate_limits.remove(&endpoint.route);
        }
    }

    /// Removes destinations that have neither available endpoints nor waiting messages.
    pub fn drop_unused_destinations(&mut self) {
        self.destinations
            .retain(|_, destination| !destination.endpoints.is_empty() || !destination.waiting.is_empty());
    }
}
