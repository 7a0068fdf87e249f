//! The destinations that exist.

use std::collections::HashMap;
use std::time::Duration;

use delivery_control::DestinationId;
use tokio::time::Instant;

/// How long a destination exists after its last endpoint departed: new ones may be about to be listed.
const RETENTION: Duration = Duration::from_secs(600);

/// Whether messages can be addressed to a destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DestinationStatus {
    /// It exists.
    Known,
    /// It does not exist.
    Unknown,
    /// Not known: no complete list has been received yet.
    Undetermined,
}

/// The destinations that have endpoints, or had some of late.
#[derive(Default)]
pub struct Destinations {
    last_listed: HashMap<DestinationId, Instant>,
}

impl Destinations {
    /// Destinations that all were listed at `now`.
    pub fn listed_at(now: Instant, destinations: impl IntoIterator<Item = DestinationId>) -> Self {
        Self { last_listed: destinations.into_iter().map(|destination| (destination, now)).collect() }
    }

    /// Records that a destination has an endpoint.
    pub fn record_listed(&mut self, destination: DestinationId, now: Instant) {
        self.last_listed.insert(destination, now);
    }

    /// Whether a destination exists.
    pub fn contains(&self, destination: DestinationId) -> bool {
        self.last_listed.contains_key(&destination)
    }

    /// All destinations.
    pub fn iter(&self) -> impl Iterator<Item = DestinationId> + '_ {
        self.last_listed.keys().copied()
    }

    /// Forgets destinations that have been without endpoints for too long.
    pub fn remove_expired(&mut self, now: Instant) {
        self.last_listed.retain(|_, last_listed| now - *last_listed < RETENTION);
    }
}
