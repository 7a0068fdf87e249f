//! Endpoint lists as the simulator sends them, and their conversion to events.

use delivery_control::{EndpointEntry, Event, ListingState, UpdateKind};
use deployment_config::time::micros_from_millis;
use deployment_config::Names;
use serde::Deserialize;

/// One endpoint of an endpoint list. The fields are those of [`EndpointEntry`], where they are described;
/// kind and zone are given by name.
#[derive(Deserialize)]
pub struct ListedEndpoint {
    destination: u64,
    state: ListedState,
    #[serde(rename = "capacityHint")]
    rate: Option<f64>,
    #[serde(rename = "model")]
    kind: Option<String>,
    #[serde(rename = "site")]
    zone: Option<String>,
    /// When the endpoint came online, in milliseconds on the simulator's clock. Absent or not positive if
    /// that is not known.
    #[serde(rename = "onlineSinceMs")]
    online_since_ms: Option<f64>,
    endpoint: u64,
}

/// State of an endpoint in an endpoint list.
#[derive(Deserialize, Clone, Copy)]
enum ListedState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "quiescing")]
    Draining,
    #[serde(rename = "dead")]
    Removed,
}

/// Which endpoints an endpoint list contains.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only the endpoints that changed.
    #[serde(rename = "diff")]
    Delta,
    /// The complete list.
    #[serde(rename = "snapshot")]
    Snapshot,
    /// The complete list as last stored on disk.
    #[serde(rename = "disk")]
    Cached,
    /// None: the list could not be fetched.
    #[serde(rename = "error")]
    Failed,
}

impl From<ListKind> for UpdateKind {
    fn from(kind: ListKind) -> Self {
        match kind {
            ListKind::Delta => Self::Delta,
            ListKind::Snapshot => Self::Snapshot,
            ListKind::Cached => Self::Cached,
            ListKind::Failed => Self::Failed,
        }
    }
}

impl From<ListedState> for ListingState {
    fn from(state: ListedState) -> Self {
        match state {
            ListedState::Live => Self::Live,
            ListedState::Draining => Self::Draining,
            ListedState::Removed => Self::Removed,
        }
    }
}

impl ListedEndpoint {
    fn entry(&self, names: &Names) -> EndpointEntry {
        EndpointEntry {
            endpoint: self.endpoint,
            destination: self.destination,
            listing: self.state.into(),
            rate: self.rate.unwrap_or(0.0),
            kind: names.kind(self.kind.as_ref()),
            zone: names.zone(self.zone.as_ref()),
            online_since: self.online_since_ms.filter(|millis| *millis > 0.0).map(micros_from_millis),
        }
    }
}

/// Converts an endpoint list to the controller's event; a list without a version gets version 0.
pub fn update_event(
    kind: ListKind,
    version: Option<u64>,
    endpoints: &[ListedEndpoint],
    names: &Names,
) -> Event {
    Event::EndpointsUpdated {
        update: kind.into(),
        version: version.unwrap_or(0),
        entries: endpoints.iter().map(|endpoint| endpoint.entry(names)).collect(),
    }
}
