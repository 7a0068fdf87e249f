//! Random delays between polls: exponential backoff with jitter after failures, and jittered long polls.

use std::time::Duration;

use super::error::FailureKind;
use super::poll_policy::{PollPolicy, MAX_POLL_CYCLE};

/// The backoff doubles at most this often.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;
/// Share of a delay that is not random once earlier delays have spread the senders out, so that they stay
/// spread out.
const FIXED_SHARE_WHEN_SPREAD: f64 = 0.8;
/// How long a poll that continues a watch waits for a change at most.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_millis(2_000);
/// Share of that wait which is random: responses that went out together must not have all senders poll in
/// step, nor discover in step that their watches have timed out.
const LONG_POLL_JITTER: f64 = 0.3;

/// Draws the delays between polls, with full jitter at first. All senders share discovery, and a discovery
/// that rejects more polls than it can answer answers none: rejecting costs it as much as answering.
pub struct Backoff {
    random: fastrand::Rng,
    policy: PollPolicy,
    /// Failed polls since the last response.
    failures: u32,
    /// A delay has spread the senders out since the last response, which may have come to all of them at
    /// once.
    is_spread: bool,
}

impl Backoff {
    /// A backoff without failures; `random` decides all delays.
    pub fn new(policy: PollPolicy, random: fastrand::Rng) -> Self {
        Self { random, policy, failures: 0, is_spread: false }
    }

    /// Failed polls since the last response.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// The delay before a first poll that can wait: senders that are started together must not poll together.
    pub fn initial_delay(&mut self) -> Duration {
        self.is_spread = true;
        self.policy.initial_delay.mul_f64(self.random.f64())
    }

    /// The delay before a snapshot is requested at a new address.
    pub fn snapshot_delay(&mut self) -> Duration {
        self.policy.snapshot_spread.mul_f64(self.random.f64())
    }

    /// How long a poll that continues a watch waits for a change.
    pub fn long_poll_wait(&mut self) -> Duration {
        MAX_LONG_POLL_WAIT.mul_f64(1.0 - LONG_POLL_JITTER * self.random.f64())
    }

    /// Counts a failed poll that took `elapsed`, and returns the delay before the next one.
    pub fn next_delay(&mut self, failure: FailureKind, elapsed: Duration) -> Duration {
        let longest = self.longest_delay(failure).min(MAX_POLL_CYCLE.saturating_sub(elapsed));
        let fixed_share = if self.is_spread { FIXED_SHARE_WHEN_SPREAD } else { 0.0 };
        self.failures = self.failures.saturating_add(1);
        self.is_spread = true;
        longest.mul_f64(fixed_share + (1.0 - fixed_share) * self.random.f64())
    }

    /// A first time-out is followed by a new connection soon, since the platform goes on to count changes as
    /// known to this sender; any other failure by exponential backoff.
    fn longest_delay(&self, failure: FailureKind) -> Duration {
        if self.failures == 0 && failure == FailureKind::Timeout {
            return self.policy.reconnect_delay;
        }
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = self.policy.initial_backoff * 2u32.pow(doublings);
        backoff.min(self.policy.max_backoff)
    }

    /// Forgets all failures, after a response.
    pub fn reset(&mut self) {
        self.failures = 0;
        self.is_spread = false;
    }
}
