//! When to subscribe to changes of the endpoint list: at the start and again after errors, with backoff.

use serde::{Deserialize, Serialize};

use crate::jitter::jittered;
use crate::model::{Context, SECOND};
use crate::{DiscoveryMode, Micros, UpdateKind};

/// Backoff after the first failure; it doubles so many times at most.
const INITIAL_BACKOFF: Micros = SECOND;
const MAX_DOUBLINGS: u32 = 3;
const ANSWER_TIMEOUT: Micros = 10 * SECOND; // How long the answer may take

/// The subscription of a sender that gets endpoint lists on a subscription only.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct Subscription {
    next_attempt_at: Option<Micros>,
    failures: u32,
}

impl Subscription {
    pub fn new(mode: DiscoveryMode) -> Self {
        Self { next_attempt_at: (mode == DiscoveryMode::Subscribe).then_some(Micros::MIN), failures: 0 }
    }

    /// Takes in that an update arrived or failed. A list from the disk says nothing of the subscription.
    pub fn record_update(&mut self, context: Context, update: UpdateKind, random: &mut fastrand::Rng) {
        match update {
            UpdateKind::Failed => {
                let backoff = jittered(INITIAL_BACKOFF << self.failures, random);
                let is_needed = context.settings.discovery == DiscoveryMode::Subscribe;
                self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
                self.next_attempt_at = is_needed.then_some(context.now + backoff);
            }
            UpdateKind::Cached => {}
            UpdateKind::Delta | UpdateKind::Snapshot => {
                self.next_attempt_at = None;
                self.failures = 0;
            }
        }
    }

    /// Whether to subscribe now. If so, the next attempt comes when no answer does.
    pub fn take_due_attempt(&mut self, now: Micros) -> bool {
        let is_due = self.next_attempt_at.is_some_and(|at| at <= now);
        if is_due {
            self.next_attempt_at = Some(now + ANSWER_TIMEOUT);
        }
        is_due
    }

    pub fn next_attempt_at(&self) -> Option<Micros> {
        self.next_attempt_at
    }
}
