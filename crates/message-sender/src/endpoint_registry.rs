//! What discovery's lists name: the endpoints under the module's ids, and the destinations that exist.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use delivery_control::{
    DestinationId, DestinationKind, EndpointEntry, EndpointId, ListingState, Micros, UpdateKind,
};
use deployment_config::Names;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::delivery::Route;
use crate::endpoint_list::{EndpointList, ListedEndpoint, ListedStatus};

/// An endpoint that is gone keeps its id for so long, lest one that comes back be taken for a new one.
const GONE_KEPT: Duration = Duration::from_secs(30);
/// A destination exists for so long after its last endpoint went: others may be on their way.
const DESTINATION_KEPT: Duration = Duration::from_secs(600);

/// Where an endpoint is.
pub struct RegisteredEndpoint {
    pub address: SocketAddr,
    pub route: Route,
    pub zone: usize,
    name: String,
    gone: Option<Instant>,
}

/// Whether messages can be meant for a destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DestinationStatus {
    Known,
    Unknown,
    /// No whole list has come yet to tell.
    Undetermined,
}

/// All endpoints that are listed, or were of late.
pub struct EndpointRegistry {
    names: Names,
    kinds: Vec<DestinationKind>,
    registry: HashMap<EndpointId, RegisteredEndpoint>,
    ids: HashMap<String, EndpointId>,
    next_id: EndpointId,
    destinations: HashMap<DestinationId, Instant>,
    settled: bool,
    /// An earlier process's list is known.
    recalled: bool,
    /// Names of endpoints that operators have taken out; they keep their ids.
    out: HashSet<String>,
}

/// What one process leaves to the next, so that ids stay what they are.
#[derive(Serialize, Deserialize)]
pub struct RegistrySnapshot {
    /// Each with its name, and whether it has gone.
    registry: Vec<(EndpointId, SocketAddr, Route, usize, String, bool)>,
    ids: HashMap<String, EndpointId>,
    next_id: EndpointId,
    destinations: Vec<DestinationId>,
    settled: bool,
}

/// What a list means to the module, and the endpoints whose idle connections are of no more use.
pub struct RegistryUpdate {
    pub update: UpdateKind,
    pub entries: Vec<EndpointEntry>,
    pub departed: Vec<EndpointId>,
}

impl EndpointRegistry {
    pub fn new(names: Names, kinds: Vec<DestinationKind>) -> Self {
        Self {
            names,
            kinds,
            registry: HashMap::new(),
            ids: HashMap::new(),
            next_id: 0,
            destinations: HashMap::new(),
            settled: false,
            recalled: false,
            out: HashSet::new(),
        }
    }

    /// What the next process is to know. What an operator took out, the journal tells.
    pub fn snapshot(&self) -> RegistrySnapshot {
        let place = |(id, place): (&EndpointId, &RegisteredEndpoint)| {
            (*id, place.address, place.route, place.zone, place.name.clone(), place.gone.is_some())
        };
        RegistrySnapshot {
            registry: self.registry.iter().map(place).collect(),
            ids: self.ids.clone(),
            next_id: self.next_id,
            destinations: self.destinations.keys().copied().collect(),
            settled: self.settled,
        }
    }

    /// Goes on from what another process knew. What had gone is kept as if it went now.
    pub fn restore(&mut self, saved: RegistrySnapshot) {
        let now = Instant::now();
        let place = |(id, address, route, zone, name, gone): (_, _, _, _, _, bool)| {
            (id, RegisteredEndpoint { address, route, zone, name, gone: gone.then_some(now) })
        };
        self.registry = saved.registry.into_iter().map(place).collect();
        self.destinations = saved.destinations.into_iter().map(|destination| (destination, now)).collect();
        (self.ids, self.next_id, self.settled) = (saved.ids, saved.next_id, saved.settled);
    }

    /// Endpoints that the list names.
    pub fn listed_count(&self) -> usize {
        self.registry.values().filter(|place| place.gone.is_none()).count()
    }

    /// Whether an operator can mean an endpoint: it is listed, or was taken out before it went.
    pub fn is_known(&self, name: &str) -> bool {
        let listed = self.ids.get(name).and_then(|id| self.registry.get(id));
        self.out.contains(name) || listed.is_some_and(|place| place.gone.is_none())
    }

    /// Marks an endpoint as taken out by hand, listed or not.
    pub fn mark_drained(&mut self, name: &str) -> EndpointId {
        self.out.insert(name.to_owned());
        self.id(name)
    }

    pub fn mark_restored(&mut self, name: &str) -> EndpointId {
        self.out.remove(name);
        let id = self.id(name);
        if !self.registry.contains_key(&id) {
            self.ids.remove(name);
        }
        id
    }

    fn id(&mut self, name: &str) -> EndpointId {
        *self.ids.entry(name.to_owned()).or_insert_with(|| {
            self.next_id += 1;
            self.next_id
        })
    }

    pub fn get(&self, endpoint: EndpointId) -> Option<&RegisteredEndpoint> {
        self.registry.get(&endpoint)
    }

    pub fn destination_status(&self, destination: DestinationId) -> DestinationStatus {
        match self.destinations.contains_key(&destination) {
            true => DestinationStatus::Known,
            false if self.settled => DestinationStatus::Unknown,
            false => DestinationStatus::Undetermined,
        }
    }

    /// Takes in the list that an earlier process had, of unknown age.
    pub fn load_cached(&mut self, list: &EndpointList) -> RegistryUpdate {
        self.recalled = true;
        RegistryUpdate { update: UpdateKind::Cached, ..self.take(list, true) }
    }

    /// Takes in a list from discovery. What has changed since a list that was known makes it whole.
    pub fn apply_update(&mut self, list: &EndpointList) -> RegistryUpdate {
        self.settled |= list.snapshot || self.recalled;
        self.take(list, list.snapshot)
    }

    fn take(&mut self, list: &EndpointList, whole: bool) -> RegistryUpdate {
        let (now, mut left) = (Instant::now(), Vec::new());
        let entries: Vec<_> = list.endpoints.iter().map(|line| self.entry(line, now, &mut left)).collect();
        if whole {
            let named: HashSet<_> = entries.iter().map(|entry| entry.endpoint).collect();
            // What a whole list leaves out has gone without a word.
            let registry = self.registry.iter_mut();
            for (id, place) in registry.filter(|(id, place)| place.gone.is_none() && !named.contains(id)) {
                place.gone = Some(now);
                left.push(*id);
            }
        }
        self.forget(now);
        RegistryUpdate {
            update: if whole { UpdateKind::Snapshot } else { UpdateKind::Delta },
            entries,
            departed: left,
        }
    }

    fn entry(&mut self, line: &ListedEndpoint, now: Instant, left: &mut Vec<EndpointId>) -> EndpointEntry {
        let endpoint = self.id(&line.name);
        let kind = self.names.kind(line.kind.as_ref());
        let zone = self.names.zone(line.zone.as_ref());
        let apart = self.kinds.get(kind).is_some_and(|kind| kind.per_endpoint_limits);
        let route = (line.group, apart.then_some(endpoint));
        let gone = (line.status == ListedStatus::Removed).then_some(now);
        let place = RegisteredEndpoint { address: line.address, route, zone, name: line.name.clone(), gone };
        let before = self.registry.insert(endpoint, place);
        let moved = before.is_some_and(|before| before.address != line.address);
        if moved || line.status != ListedStatus::Up {
            left.push(endpoint);
        }
        self.destinations.insert(line.group, now);
        EndpointEntry {
            endpoint,
            destination: line.group,
            listing: match line.status {
                ListedStatus::Up => ListingState::Live,
                ListedStatus::Draining => ListingState::Draining,
                ListedStatus::Removed => ListingState::Removed,
            },
            rate: line.weight,
            kind,
            zone,
            online_since: Some((line.since_ms * 1e3) as Micros).filter(|at| *at > 0),
        }
    }

    /// Forgets what has been gone for long: under steady replacement both would grow for good. A call that is
    /// still out carries its own address.
    fn forget(&mut self, now: Instant) {
        let (ids, destinations, out) = (&mut self.ids, &mut self.destinations, &self.out);
        self.registry.retain(|_, place| {
            let kept = place.gone.is_none_or(|at| now - at < GONE_KEPT) || out.contains(&place.name);
            if !kept {
                ids.remove(&place.name);
            } else if place.gone.is_none() {
                destinations.insert(place.route.0, now);
            }
            kept
        });
        destinations.retain(|_, at| now - *at < DESTINATION_KEPT);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn registry() -> EndpointRegistry {
        let config = serde_json::json!({
            "balancers": 1, "ordinal": 0, "kinds": ["big"], "zones": ["here"], "zone": "here",
            "categories": [], "familyInfo": {"maxCalls": 1}, "membershipMode": "automatic", "resolutionMs": 5.0,
            "limits": {"mostHeld": 1, "sendCap": 1}, "rules": {},
        });
        let config: deployment_config::Config = serde_json::from_value(config).unwrap();
        EndpointRegistry::new(config.names(), Vec::new())
    }

    fn line(name: &str, status: ListedStatus) -> ListedEndpoint {
        let address = "127.0.0.1:9".parse().unwrap();
        let (zone, kind) = (None, None);
        ListedEndpoint {
            name: name.to_owned(),
            address,
            zone,
            kind,
            group: 7,
            status,
            weight: 1.0,
            since_ms: 0.0,
        }
    }

    fn list(snapshot: bool, endpoints: Vec<ListedEndpoint>) -> EndpointList {
        EndpointList { index: 1, snapshot, endpoints }
    }

    /// Guards against growth under steady replacement, and against an id that is given twice.
    #[tokio::test(start_paused = true)]
    async fn what_is_gone_is_forgotten_and_ids_are_never_given_twice() {
        let mut registry = registry();
        let mut given = HashSet::new();
        for number in 0..100 {
            let told =
                registry.apply_update(&list(false, vec![line(&format!("s-{number}"), ListedStatus::Up)]));
            assert!(given.insert(told.entries[0].endpoint));
            registry.apply_update(&list(false, vec![line(&format!("s-{number}"), ListedStatus::Removed)]));
            tokio::time::advance(GONE_KEPT / 4).await;
        }
        assert!(registry.registry.len() <= 6 && registry.ids.len() == registry.registry.len());
        let (again, first) = (line("s-99", ListedStatus::Up), registry.ids["s-99"]);
        assert_eq!(registry.apply_update(&list(false, vec![again])).entries[0].endpoint, first);
    }

    /// Guards against endpoints and connections that outlive a whole list which does not name them.
    #[tokio::test(start_paused = true)]
    async fn a_whole_list_takes_away_what_it_leaves_out() {
        let mut registry = registry();
        assert_eq!(registry.destination_status(7), DestinationStatus::Undetermined);
        let both = vec![line("s-1", ListedStatus::Up), line("s-2", ListedStatus::Up)];
        let gone = registry.apply_update(&list(true, both)).entries[0].endpoint;
        assert_eq!(
            (registry.destination_status(7), registry.destination_status(8)),
            (DestinationStatus::Known, DestinationStatus::Unknown)
        );
        let told = registry.apply_update(&list(true, vec![line("s-2", ListedStatus::Up)]));
        assert_eq!((told.update, told.departed), (UpdateKind::Snapshot, vec![gone]));
        tokio::time::advance(GONE_KEPT).await;
        registry.apply_update(&list(false, Vec::new()));
        assert!(registry.get(gone).is_none());
        assert_eq!(registry.destination_status(7), DestinationStatus::Known);
    }
}
