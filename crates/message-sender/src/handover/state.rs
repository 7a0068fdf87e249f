//! The state that a predecessor hands over.

use delivery_control::{Controller, Micros};
use deployment_config::Names;
use serde::{Deserialize, Serialize};

use crate::attempt_id::AttemptId;
use crate::endpoint_registry::RegistrySnapshot;

/// What a sender knows between two turns beyond its journal. The field names are part of the protocol:
/// another name needs another [`PROTOCOL_VERSION`](super::protocol::PROTOCOL_VERSION).
#[derive(Serialize, Deserialize)]
pub struct HandoverState {
    /// The predecessor's clock: the controller's time must not go back.
    pub now: Micros,
    /// What the indices in the state stand for.
    pub names: Names,
    /// The decision logic with all that it has counted and scheduled.
    pub controller: Controller,
    /// The endpoints under the identifiers that the controller knows them by.
    pub registry: RegistrySnapshot,
    /// The controller's timers: when each is due, and its token.
    pub timers: Vec<(Micros, u64)>,
    /// Attempts in flight, which the predecessor sees to their end.
    pub in_flight: Vec<AttemptId>,
}
