//! Which destinations the dispatcher must look at, and when.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{DestinationId, Micros};

/// A time at which to look at a destination.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct WakeUp {
    at: Micros,
    destination: DestinationId,
}

/// Destinations to look at: in this turn, at a time, and once a permit is free.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct WakeUps {
    dirty: BTreeSet<DestinationId>,
    scheduled: BTreeSet<WakeUp>,
    awaiting_permit: BTreeSet<DestinationId>,
}

impl WakeUps {
    /// Has a destination looked at in this turn.
    pub fn mark_dirty(&mut self, destination: DestinationId) {
        self.dirty.insert(destination);
    }

    /// Has a destination looked at at a time.
    pub fn schedule(&mut self, destination: DestinationId, at: Micros) {
        self.scheduled.insert(WakeUp { at, destination });
    }

    /// Has a destination looked at once a permit is free.
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

    /// Marks the destinations whose time has come as dirty.
    pub fn release_due(&mut self, now: Micros) {
        while let Some(due) = self.scheduled.first().copied().filter(|wake_up| wake_up.at <= now) {
            self.scheduled.remove(&due);
            self.dirty.insert(due.destination);
        }
    }

    /// Takes out the dirty destinations.
    pub fn take_dirty(&mut self) -> BTreeSet<DestinationId> {
        std::mem::take(&mut self.dirty)
    }

    /// When the next scheduled look is due.
    pub fn next(&self) -> Option<Micros> {
        self.scheduled.first().map(|wake_up| wake_up.at)
    }
}
