//! The endpoint list in discovery's wire format.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use delivery_control::{DestinationId, ListingState, Micros, UpdateKind};
use serde::Deserialize;

/// Microseconds per millisecond, the unit of times on the wire.
const MICROS_PER_MILLI: f64 = 1e3;

/// A complete endpoint list, or only the entries that have changed.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointList {
    /// The version that discovery gave the list.
    #[serde(rename = "index")]
    pub version: u64,
    /// Whether the list is complete; otherwise it holds only changed entries.
    #[serde(rename = "snapshot")]
    pub is_snapshot: bool,
    /// The entries, one per endpoint.
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointList {
    /// Whether the list replaces the known one or only changes it.
    pub fn update_kind(&self) -> UpdateKind {
        if self.is_snapshot {
            UpdateKind::Snapshot
        } else {
            UpdateKind::Delta
        }
    }
}

/// One entry of an endpoint list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedEndpoint {
    /// The name that identifies the endpoint.
    pub name: String,
    /// The address at which it accepts calls.
    pub address: SocketAddr,
    /// The name of the zone that it runs in.
    pub zone: Option<String>,
    /// The name of its kind of destination.
    #[serde(rename = "type")]
    pub kind: Option<String>,
    /// The destination that it belongs to.
    #[serde(rename = "group")]
    pub destination: DestinationId,
    /// Whether it may be called.
    pub status: ListedStatus,
    /// Listed rate limit in calls per second, of all senders together; 0 if none is listed.
    #[serde(default)]
    pub weight: f64,
    /// When it came online, in milliseconds of the platform's clock; 0 if unknown.
    #[serde(rename = "since_ms", default)]
    pub online_since_ms: f64,
}

impl ListedEndpoint {
    /// When it came online, in microseconds of the platform's clock, if known.
    pub fn online_since(&self) -> Option<Micros> {
        let online_since = (self.online_since_ms * MICROS_PER_MILLI) as Micros;
        (online_since > 0).then_some(online_since)
    }
}

/// Whether a listed endpoint may be called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedStatus {
    /// It accepts calls.
    Up,
    /// It finishes the calls in flight and accepts no new ones.
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
