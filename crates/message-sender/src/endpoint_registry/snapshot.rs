//! The state of a registry that a process hands over to its successor, so that endpoints keep their ids.

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
    /// All assigned ids.
    pub(super) ids: EndpointIds,
    /// The destinations that have endpoints or had some recently.
    pub(super) destinations: Vec<DestinationId>,
    /// Whether a complete list from discovery is known.
    pub(super) is_complete: bool,
}

/// A registered endpoint.
#[derive(Serialize, Deserialize)]
pub(super) struct EndpointRecord {
    /// The id, which the endpoint keeps in the successor.
    pub id: EndpointId,
    /// The name that identifies the endpoint in lists.
    pub name: String,
    /// The address at which it accepts calls.
    pub address: SocketAddr,
    /// The route that it belongs to; a Retry-After applies to all calls of a route.
    pub route: Route,
    /// Index of its zone; one past the end if the settings do not contain the zone.
    pub zone: usize,
    /// Whether it is no longer listed.
    pub has_departed: bool,
}
