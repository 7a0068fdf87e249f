//! When to subscribe to changes of the endpoint list: at the start, again with backoff after errors, and
//! again if no list arrives.

use crate::model::{Context, Subscription, SECOND};
use crate::{retry::jittered, DiscoveryMode, Micros, UpdateKind};

/// Backoff in µs after the first failure, before jitter.
const INITIAL_BACKOFF: Micros = SECOND;
/// The backoff doubles with each further failure, up to this many times.
const MAX_DOUBLINGS: u32 = 3;
/// How long the list may take to arrive after a subscription, in µs.
const SUBSCRIPTION_TIMEOUT: Micros = 10 * SECOND;

impl Subscription {
    pub fn new(mode: DiscoveryMode) -> Self {
        Self { next_attempt_at: (mode == DiscoveryMode::Subscribe).then_some(Micros::MIN), failures: 0 }
    }

    /// Records that an update arrived or failed. A cached list says nothing about the subscription.
    pub fn record_update(&mut self, context: Context, update: UpdateKind, random: &mut fastrand::Rng) {
        if update == UpdateKind::Failed {
            let backoff = jittered(INITIAL_BACKOFF << self.failures, random);
            let is_needed = context.settings.discovery == DiscoveryMode::Subscribe;
            self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
            self.next_attempt_at = is_needed.then_some(context.now + backoff);
        } else if update != UpdateKind::Cached {
            *self = Self::default();
        }
    }

    /// Whether to subscribe now. If so, the next attempt is scheduled for the case that no list arrives.
    pub fn take_due_attempt(&mut self, now: Micros) -> bool {
        let is_due = self.next_attempt_at.is_some_and(|at| at <= now);
        if is_due {
            self.next_attempt_at = Some(now + SUBSCRIPTION_TIMEOUT);
        }
        is_due
    }
}
