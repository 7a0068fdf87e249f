//! Random delays between polls: exponential backoff with jitter after failures, and long polls with jittered
//! waits.

use std::time::Duration;

use super::error::FailureKind;
use super::poll_policy::{PollPolicy, MAX_POLL_CYCLE};

/// How many times the backoff is doubled at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;
/// Fraction of a delay that is fixed once an earlier random delay has spread the senders' polls over time, so
/// that the polls stay spread out.
const FIXED_SHARE_WHEN_SPREAD: f64 = 0.8;
/// Longest time that a poll which continues a watch waits for a change.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_millis(2_000);
/// Fraction of [`MAX_LONG_POLL_WAIT`] that is random. Otherwise senders that got their responses at the same
/// time would also poll, and detect that their watches have timed out, at the same time.
const LONG_POLL_JITTER: f64 = 0.3;

/// Draws the delays between polls, the first one after a response with full jitter. All senders may share one
/// discovery service. If it has to reject more polls than it could answer, it answers none, since rejecting a
/// poll costs it as much as answering one.
pub struct Backoff {
    random: fastrand::Rng,
    policy: PollPolicy,
    /// Number of failed polls since the last response.
    failures: u32,
    /// Whether a random delay has spread the senders' polls over time since the last response, which may have
    /// reached all senders at once.
    is_spread: bool,
}

impl Backoff {
    /// A backoff without failures; `random` is the source of all jitter.
    pub fn new(policy: PollPolicy, random: fastrand::Rng) -> Self {
        Self { random, policy, failures: 0, is_spread: false }
    }

    /// Number of failed polls since the last response.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// The delay before the first poll of a sender that already knows a list: senders that are started
    /// together must not poll at the same time.
    pub fn initial_delay(&mut self) -> Duration {
        self.is_spread = true;
        self.policy.initial_delay.mul_f64(self.random.f64())
    }

    /// The delay before a snapshot is requested at a new address of discovery.
    pub fn snapshot_delay(&mut self) -> Duration {
        self.policy.snapshot_spread.mul_f64(self.random.f64())
    }

    /// How long a poll that continues a watch waits for a change.
    pub fn long_poll_wait(&mut self) -> Duration {
        MAX_LONG_POLL_WAIT.mul_f64(1.0 - LONG_POLL_JITTER * self.random.f64())
    }

    /// Counts a failed poll that took `elapsed`, and returns the delay before the next poll.
    pub fn next_delay(&mut self, failure: FailureKind, elapsed: Duration) -> Duration {
        let max_delay = self.max_delay(failure).min(MAX_POLL_CYCLE.saturating_sub(elapsed));
        let fixed_share = if self.is_spread { FIXED_SHARE_WHEN_SPREAD } else { 0.0 };
        self.failures = self.failures.saturating_add(1);
        self.is_spread = true;
        max_delay.mul_f64(fixed_share + (1.0 - fixed_share) * self.random.f64())
    }

    /// The longest delay after a failure. A first timeout is followed by a new connection soon, since the
    /// platform continues to assume that this sender knows each change; any other failure by exponential
    /// backoff.
    fn max_delay(&self, failure: FailureKind) -> Duration {
        if self.failures == 0 && failure == FailureKind::Timeout {
            return self.policy.reconnect_delay;
        }
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = self.policy.initial_backoff * 2u32.pow(doublings);
        backoff.min(self.policy.max_backoff)
    }

    /// Forgets all failures and delays, after a response or a change of address.
    pub fn reset(&mut self) {
        self.failures = 0;
        self.is_spread = false;
    }
}
