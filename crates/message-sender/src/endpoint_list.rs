//! The endpoint list as discovery sends it.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use delivery_control::{DestinationId, ListingState, Micros, UpdateKind};
use serde::Deserialize;

/// Microseconds in a millisecond, the unit of the wire's times.
const MICROS_PER_MILLISECOND: f64 = 1e3;

/// All endpoints, or those that have changed.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointList {
    /// Discovery's version of the list.
    #[serde(rename = "index")]
    pub version: u64,
    /// The list is complete; otherwise it holds changed entries only.
    #[serde(rename = "snapshot")]
    pub is_snapshot: bool,
    /// The entries.
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointList {
    /// Whether the list replaces what was known, or changes it.
    pub fn update_kind(&self) -> UpdateKind {
        if self.is_snapshot {
            UpdateKind::Snapshot
        } else {
            UpdateKind::Delta
        }
    }
}

/// One entry of a list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedEndpoint {
    /// The name, which identifies the endpoint.
    pub name: String,
    /// Where it accepts calls.
    pub address: SocketAddr,
    /// The name of the zone that it is in.
    pub zone: Option<String>,
    /// The name of its kind.
    #[serde(rename = "type")]
    pub kind: Option<String>,
    /// The destination that it belongs to.
    #[serde(rename = "group")]
    pub destination: DestinationId,
    /// Whether it may be called.
    pub status: ListedStatus,
    /// The rate that it is listed with; 0 if none is.
    #[serde(default)]
    pub weight: f64,
    /// Since when it has been online, in milliseconds of the platform's clock; 0 if that is not known.
    #[serde(rename = "since_ms", default)]
    pub online_since_ms: f64,
}

impl ListedEndpoint {
    /// Since when it has been online, if that is known.
    pub fn online_since(&self) -> Option<Micros> {
        let online_since = (self.online_since_ms * MICROS_PER_MILLISECOND) as Micros;
        (online_since > 0).then_some(online_since)
    }
}

/// Whether a listed endpoint may be called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedStatus {
    /// It takes calls.
    Up,
    /// It finishes the calls in flight and takes no new ones.
    Draining,
    /// It no longer exists.
    Removed,
}

impl From<ListedStatus> for ListingState {
    fn from(status: ListedStatus) -> Self {
        match status {
            ListedStatus::Up => Self::Live,
            ListedStatus::Draining => Self::Draining,
            ListedStatus::Removed => Self::Removed,
        }
    }
}
