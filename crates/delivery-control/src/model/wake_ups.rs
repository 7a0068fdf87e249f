//! Which destinations the dispatcher must check for messages to send, and when.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{DestinationId, Micros};

/// A time at which to check a destination.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct WakeUp {
    /// In µs on the host's clock.
    at: Micros,
    destination: DestinationId,
}

/// Destinations to check: in this turn, at a set time, or once a permit is free.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct WakeUps {
    /// To check in this turn.
    dirty: BTreeSet<DestinationId>,
    /// Scheduled checks, the earliest first.
    scheduled: BTreeSet<WakeUp>,
    /// To check once a permit of the concurrency limit is free.
    awaiting_permit: BTreeSet<DestinationId>,
}

impl WakeUps {
    /// Marks a destination to be checked in this turn.
    pub fn mark_dirty(&mut self, destination: DestinationId) {
        self.dirty.insert(destination);
    }

    /// Schedules a check of a destination.
    pub fn schedule(&mut self, destination: DestinationId, at: Micros) {
        self.scheduled.insert(WakeUp { at, destination });
    }

    /// Marks a destination to be checked once a permit is free.
    pub fn await_permit(&mut self, destination: DestinationId) {
        self.awaiting_permit.insert(destination);
    }

    pub fn is_permit_awaited(&self) -> bool {
        !self.awaiting_permit.is_empty()
    }

    /// Marks the destinations that wait for a permit as dirty.
    pub fn release_awaiting_permit(&mut self) {
        self.dirty.append(&mut self.awaiting_permit);
    }

    /// Marks the destinations whose scheduled check is due as dirty.
    pub fn release_due(&mut self, now: Micros) {
        while let Some(due) = self.scheduled.first().copied().filter(|wake_up| wake_up.at <= now) {
            self.scheduled.remove(&due);
            self.dirty.insert(due.destination);
        }
    }

    /// Returns the dirty destinations and clears the set.
    pub fn take_dirty(&mut self) -> BTreeSet<DestinationId> {
        std::mem::take(&mut self.dirty)
    }

    /// When the next scheduled check is due.
    pub fn next(&self) -> Option<Micros> {
        self.scheduled.first().map(|wake_up| wake_up.at)
    }
}
