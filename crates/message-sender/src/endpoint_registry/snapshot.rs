//! What one process hands over to its successor, so that ids stay what they are.

use std::net::SocketAddr;

use delivery_control::{DestinationId, EndpointId};
use serde::{Deserialize, Serialize};

use super::ids::EndpointIds;
use crate::delivery::Route;

/// The state of a registry.
#[derive(Serialize, Deserialize)]
pub struct RegistrySnapshot {
    pub(super) endpoints: Vec<EndpointRecord>,
    pub(super) ids: EndpointIds,
    pub(super) destinations: Vec<DestinationId>,
    /// A complete list from discovery is known.
    pub(super) is_complete: bool,
}

/// A registered endpoint.
#[derive(Serialize, Deserialize)]
pub(super) struct EndpointRecord {
    pub id: EndpointId,
    pub name: String,
    pub address: SocketAddr,
    pub route: Route,
    pub zone: usize,
    pub has_departed: bool,
}
