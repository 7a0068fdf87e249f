//! The destinations that messages can be addressed to.

use std::collections::HashMap;
use std::time::Duration;

use delivery_control::DestinationId;
use tokio::time::Instant;

/// How long a destination remains known after its last endpoint departed: new endpoints of it may be listed
/// soon.
const DESTINATION_RETENTION: Duration = Duration::from_secs(600);

/// Whether messages can be addressed to a destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DestinationStatus {
    /// The destination exists.
    Known,
    /// The destination does not exist.
    Unknown,
    /// It cannot be decided whether the destination exists, since no complete list has been received yet.
    Undetermined,
}

/// The destinations that have endpoints or had some recently, each with the time when it last had one.
#[derive(Default)]
pub struct Destinations {
    last_listed: HashMap<DestinationId, Instant>,
}

impl Destinations {
    /// Destinations that all had an endpoint at `now`.
    pub fn listed_at(now: Instant, destinations: impl IntoIterator<Item = DestinationId>) -> Self {
        Self { last_listed: destinations.into_iter().map(|destination| (destination, now)).collect() }
    }

    /// Records that a destination has an endpoint at `now`.
    pub fn record_listed(&mut self, destination: DestinationId, now: Instant) {
        self.last_listed.insert(destination, now);
    }

    /// Whether a destination has endpoints or had some recently.
    pub fn contains(&self, destination: DestinationId) -> bool {
        self.last_listed.contains_key(&destination)
    }

    /// All destinations.
    pub fn iter(&self) -> impl Iterator<Item = DestinationId> + '_ {
        self.last_listed.keys().copied()
    }

    /// Forgets the destinations that have had no endpoints for [`DESTINATION_RETENTION`].
    pub fn remove_expired(&mut self, now: Instant) {
        self.last_listed.retain(|_, last_listed| now - *last_listed < DESTINATION_RETENTION);
    }
}
