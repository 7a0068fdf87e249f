//! The timers that the controller has set.

use std::collections::BTreeSet;

use delivery_control::Micros;

/// Pending timers, ordered by the time at which they are due. Setting the same timer twice has no effect.
#[derive(Default)]
pub struct Timers {
    /// For each timer, when it is due, in microseconds of the journal's clock, and its token.
    pending: BTreeSet<(Micros, u64)>,
}

impl Timers {
    /// Restores the timers that a predecessor handed over.
    pub fn restore(entries: Vec<(Micros, u64)>) -> Self {
        Self { pending: entries.into_iter().collect() }
    }

    /// Sets a timer for a time in microseconds of the journal's clock. The token is reported when the timer
    /// fires.
    pub fn set(&mut self, at: Micros, token: u64) {
        self.pending.insert((at, token));
    }

    /// When the next timer is due, if there is one.
    pub fn next_due(&self) -> Option<Micros> {
        self.pending.first().map(|(at, _)| *at)
    }

    /// Removes the next timer if it is due at `now`, and returns its token.
    pub fn pop_due(&mut self, now: Micros) -> Option<u64> {
        if self.next_due()? > now {
            return None;
        }
        self.pending.pop_first().map(|(_, token)| token)
    }

    /// All timers in the form in which they are handed over: for each, when it is due and its token.
    pub fn entries(&self) -> Vec<(Micros, u64)> {
        self.pending.iter().copied().collect()
    }
}
