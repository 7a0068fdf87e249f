//! The state of a registry as a process hands it over to its successor, so that endpoints keep their ids.

use std::net::SocketAddr;

use delivery_control::{DestinationId, EndpointId};
use serde::{Deserialize, Serialize};

use super::ids::EndpointIds;
use crate::delivery::Route;

/// The state of a registry.
#[derive(Serialize, Deserialize)]
pub struct RegistrySnapshot {
    /// All registered endpoints, in no particular order.
    pub(super) endpoints: Vec<EndpointRecord>,
    /// All ids that are assigned.
    pub(super) ids: EndpointIds,
    /// The destinations that exist.
    pub(super) destinations: Vec<DestinationId>,
    /// A complete list from discovery is known.
    pub(super) is_complete: bool,
}

/// A registered endpoint.
#[derive(Serialize, Deserialize)]
pub(super) struct EndpointRecord {
    /// The id that it keeps.
    pub id: EndpointId,
    /// The name that lists identify it by.
    pub name: String,
    /// Where it accepts calls.
    pub address: SocketAddr,
    /// The route that its calls share a Retry-After with.
    pub route: Route,
    /// Index of its zone; one past the end if the settings do not contain the zone.
    pub zone: usize,
    /// It is no longer listed.
    pub has_departed: bool,
}
