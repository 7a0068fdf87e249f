//! The state that a predecessor hands over.

use delivery_control::{AttemptId, Controller, Micros};
use deployment_config::Names;
use serde::{Deserialize, Serialize};

use crate::endpoint_registry::RegistrySnapshot;

/// The state of a sender between two turns, apart from its journal. The field names are part of the protocol:
/// renaming a field requires a new [`PROTOCOL_VERSION`](super::protocol::PROTOCOL_VERSION).
#[derive(Serialize, Deserialize)]
pub struct HandoverState {
    /// The time on the predecessor's clock, in microseconds. The successor's clock continues from it: the
    /// controller's time must not go back.
    pub now: Micros,
    /// The names of the classes, tenants, kinds and zones that the indices in the state stand for.
    pub names: Names,
    /// The controller, with all of its counters and schedules.
    pub controller: Controller,
    /// The endpoints, with the ids by which the controller knows them.
    pub registry: RegistrySnapshot,
    /// The controller's timers: when each is due, in microseconds on the same clock as `now`, and its
    /// token.
    pub timers: Vec<(Micros, u64)>,
    /// The attempts in flight, which the predecessor continues until they end.
    pub in_flight: Vec<AttemptId>,
}
