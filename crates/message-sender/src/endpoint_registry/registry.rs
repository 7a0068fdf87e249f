//! The registry of endpoints, which discovery's lists keep up to date.

#[cfg(test)]
mod tests;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use delivery_control::{DestinationId, DestinationKind, EndpointEntry, EndpointId, UpdateKind};
use deployment_config::Names;
use tokio::time::Instant;

use super::destinations::{DestinationStatus, Destinations};
use super::ids::EndpointIds;
use super::snapshot::{EndpointRecord, RegistrySnapshot};
use crate::delivery::Route;
use crate::endpoint_list::{EndpointList, ListedEndpoint, ListedStatus};

/// How long a departed endpoint keeps its id, so that an endpoint that returns is not treated as a new one.
const DEPARTED_RETENTION: Duration = Duration::from_secs(30);

/// An endpoint that is listed, or was until recently.
pub struct RegisteredEndpoint {
    /// The address at which it accepts calls.
    pub address: SocketAddr,
    /// The route that it belongs to; a Retry-After applies to all calls of a route.
    pub route: Route,
    /// Index of its zone; one past the end if the settings do not contain the zone.
    pub zone: usize,
    name: String,
    /// When it departed; `None` while it is listed.
    departed_at: Option<Instant>,
}

impl RegisteredEndpoint {
    fn is_listed(&self) -> bool {
        self.departed_at.is_none()
    }

    fn is_expired(&self, now: Instant) -> bool {
        self.departed_at.is_some_and(|departed_at| now - departed_at >= DEPARTED_RETENTION)
    }

    fn destination(&self) -> DestinationId {
        self.route.destination
    }
}

/// What the controller and the connection pool need to know about a list that was applied.
pub struct RegistryUpdate {
    /// How the entries are to be read.
    pub update_kind: UpdateKind,
    /// The list's entries, with the controller's ids and indices.
    pub entries: Vec<EndpointEntry>,
    /// Endpoints that have departed, are draining or have moved to another address: their idle connections
    /// can no longer be used.
    pub invalidated: Vec<EndpointId>,
}

/// All endpoints that are listed or were until recently, and the destinations that they belong to.
pub struct EndpointRegistry {
    names: Names,
    kinds: Vec<DestinationKind>,
    endpoints: HashMap<EndpointId, RegisteredEndpoint>,
    ids: EndpointIds,
    destinations: Destinations,
    /// Whether a complete list from discovery is known.
    is_complete: bool,
    /// The version of the last list, if this process has applied one.
    version: Option<u64>,
    /// Whether a list that an earlier process stored was loaded.
    has_cached_list: bool,
    /// Names of the endpoints that operators have drained; these endpoints keep their ids after they depart.
    drained: HashSet<String>,
}

impl EndpointRegistry {
    /// An empty registry. `names` gives the indices of kinds and zones, and `kinds` holds the kinds
    /// themselves.
    pub fn new(names: Names, kinds: Vec<DestinationKind>) -> Self {
        Self {
            names,
            kinds,
            endpoints: HashMap::new(),
            ids: EndpointIds::default(),
            destinations: Destinations::default(),
            is_complete: false,
            version: None,
            has_cached_list: false,
            drained: HashSet::new(),
        }
    }

    /// The state that the successor process needs. Drained endpoints are not part of it: the successor reads
    /// them from the journal.
    pub fn snapshot(&self) -> RegistrySnapshot {
        let record = |(id, endpoint): (&EndpointId, &RegisteredEndpoint)| EndpointRecord {
            id: *id,
            name: endpoint.name.clone(),
            address: endpoint.address,
            route: endpoint.route,
            zone: endpoint.zone,
            has_departed: !endpoint.is_listed(),
        };
        RegistrySnapshot {
            endpoints: self.endpoints.iter().map(record).collect(),
            ids: self.ids.clone(),
            destinations: self.destinations.iter().collect(),
            is_complete: self.is_complete,
        }
    }

    /// A registry that continues from the state of a predecessor process. Departed endpoints are retained as
    /// if they had departed now.
    pub fn restore(names: Names, kinds: Vec<DestinationKind>, snapshot: RegistrySnapshot) -> Self {
        let now = Instant::now();
        let endpoint = |record: EndpointRecord| RegisteredEndpoint {
            address: record.address,
            route: record.route,
            zone: record.zone,
            name: record.name,
            departed_at: record.has_departed.then_some(now),
        };
        Self {
            endpoints: snapshot.endpoints.into_iter().map(|record| (record.id, endpoint(record))).collect(),
            ids: snapshot.ids,
            destinations: Destinations::listed_at(now, snapshot.destinations),
            is_complete: snapshot.is_complete,
            ..Self::new(names, kinds)
        }
    }

    /// The version of the last list, if this process has applied one.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Number of listed endpoints.
    pub fn listed_count(&self) -> usize {
        self.endpoints.values().filter(|endpoint| endpoint.is_listed()).count()
    }

    /// Whether operators' commands can refer to an endpoint: it is listed, or an operator has drained it.
    pub fn is_known(&self, name: &str) -> bool {
        let registered = self.ids.get(name).and_then(|id| self.endpoints.get(&id));
        self.drained.contains(name) || registered.is_some_and(RegisteredEndpoint::is_listed)
    }

    /// Marks an endpoint as drained by an operator, whether it is listed or not, and returns its id.
    pub fn mark_drained(&mut self, name: &str) -> EndpointId {
        self.drained.insert(name.to_owned());
        self.ids.get_or_assign(name)
    }

    /// The ids of the endpoints that operators have drained.
    pub fn drained_ids(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.drained.iter().filter_map(|name| self.ids.get(name))
    }

    /// Marks all endpoints but these as no longer drained.
    pub fn retain_drained(&mut self, names: &BTreeSet<String>) {
        let restored: Vec<_> = self.drained.iter().filter(|name| !names.contains(*name)).cloned().collect();
        for name in restored {
            self.mark_restored(&name);
        }
    }

    /// Marks an endpoint as no longer drained and returns its id, which it loses if it is not registered.
    pub fn mark_restored(&mut self, name: &str) -> EndpointId {
        self.drained.remove(name);
        let id = self.ids.get_or_assign(name);
        if !self.endpoints.contains_key(&id) {
            self.ids.release(name);
        }
        id
    }

    /// The endpoint with this id, if it is registered.
    pub fn get(&self, endpoint: EndpointId) -> Option<&RegisteredEndpoint> {
        self.endpoints.get(&endpoint)
    }

    /// Whether messages can be addressed to a destination.
    pub fn destination_status(&self, destination: DestinationId) -> DestinationStatus {
        if self.destinations.contains(destination) {
            DestinationStatus::Known
        } else if self.is_complete {
            DestinationStatus::Unknown
        } else {
            DestinationStatus::Undetermined
        }
    }

    /// Applies a list that an earlier process stored, of unknown age.
    pub fn load_cached(&mut self, list: &EndpointList) -> RegistryUpdate {
        self.has_cached_list = true;
        self.apply(list, UpdateKind::Cached)
    }

    /// Applies a list from discovery. A cached list and the changes since then together are a complete list.
    pub fn apply_update(&mut self, list: &EndpointList) -> RegistryUpdate {
        self.is_complete |= list.is_snapshot || self.has_cached_list;
        self.apply(list, list.update_kind())
    }

    fn apply(&mut self, list: &EndpointList, update_kind: UpdateKind) -> RegistryUpdate {
        self.version = Some(list.version);
        let now = Instant::now();
        let mut entries = Vec::with_capacity(list.endpoints.len());
        let mut invalidated = Vec::new();
        for listed in &list.endpoints {
            let entry = self.entry(listed);
            if self.register(&entry, listed, now) {
                invalidated.push(entry.endpoint);
            }
            entries.push(entry);
        }
        if update_kind != UpdateKind::Delta {
            self.mark_unlisted_departed(&entries, now, &mut invalidated);
        }
        self.remove_expired(now);
        RegistryUpdate { update_kind, entries, invalidated }
    }

    /// The controller's entry for a listed endpoint, with an id that is assigned if the endpoint has none.
    fn entry(&mut self, listed: &ListedEndpoint) -> EndpointEntry {
        EndpointEntry {
            endpoint: self.ids.get_or_assign(&listed.name),
            destination: listed.destination,
            listing: listed.status.into(),
            rate: listed.weight,
            kind: self.names.kind(listed.kind.as_ref()),
            zone: self.names.zone(listed.zone.as_ref()),
            online_since: listed.online_since(),
        }
    }

    /// Registers a listed endpoint. Returns whether idle connections to it can no longer be used, since it
    /// has moved to another address or accepts no new calls.
    fn register(&mut self, entry: &EndpointEntry, listed: &ListedEndpoint, now: Instant) -> bool {
        let endpoint = RegisteredEndpoint {
            address: listed.address,
            route: self.route(entry),
            zone: entry.zone,
            name: listed.name.clone(),
            departed_at: (listed.status == ListedStatus::Removed).then_some(now),
        };
        let previous = self.endpoints.insert(entry.endpoint, endpoint);
        self.destinations.record_listed(entry.destination, now);
        let has_moved = previous.is_some_and(|previous| previous.address != listed.address);
        has_moved || listed.status != ListedStatus::Up
    }

    /// The route of an endpoint: its own if its kind has limits per endpoint, otherwise its destination's.
    fn route(&self, entry: &EndpointEntry) -> Route {
        let per_endpoint = self.kinds.get(entry.kind).is_some_and(|kind| kind.per_endpoint_limits);
        Route { destination: entry.destination, endpoint: per_endpoint.then_some(entry.endpoint) }
    }

    /// Marks the endpoints that are missing from a complete list as departed, and adds them to `invalidated`:
    /// they have departed without an entry that says so.
    fn mark_unlisted_departed(
        &mut self,
        entries: &[EndpointEntry],
        now: Instant,
        invalidated: &mut Vec<EndpointId>,
    ) {
        let listed_ids: HashSet<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
        for (id, endpoint) in &mut self.endpoints {
            if endpoint.is_listed() && !listed_ids.contains(id) {
                endpoint.departed_at = Some(now);
                invalidated.push(*id);
            }
        }
    }

    /// Forgets endpoints and destinations whose retention time has passed; otherwise the registry would
    /// grow without limit as endpoints are replaced. A call that is still in flight has its own copy of the
    /// address.
    fn remove_expired(&mut self, now: Instant) {
        for endpoint in self.endpoints.values().filter(|endpoint| endpoint.is_listed()) {
            self.destinations.record_listed(endpoint.destination(), now);
        }
        let ids = &mut self.ids;
        let drained = &self.drained;
        self.endpoints.retain(|_, endpoint| {
            let is_retained = !endpoint.is_expired(now) || drained.contains(&endpoint.name);
            if !is_retained {
                ids.release(&endpoint.name);
            }
            is_retained
        });
        self.destinations.remove_expired(now);
    }
}
