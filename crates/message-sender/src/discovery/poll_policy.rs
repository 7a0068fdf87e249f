//! How often discovery may be polled, as the settings allow.

use std::time::Duration;

use delivery_control::{DiscoveryMode, Settings};

use crate::time::duration;

/// Longest time from the start of a failed poll to the start of the next one. Senders whose polls fail
/// together use all of it, so that they do not overload discovery together.
pub const MAX_POLL_CYCLE: Duration = Duration::from_millis(3_600);
/// Each sender's share of the longest delay between failed polls: all senders together then poll some twenty
/// times a second, as long as the poll cycle allows.
const BACKOFF_PER_SENDER: Duration = Duration::from_millis(100);
/// Each sender's share of the longest delay before a watch that timed out is made anew.
const RECONNECT_DELAY_PER_SENDER: Duration = Duration::from_millis(3);
/// The least that the longest delay before such a new watch is.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Longest backoff where lists are pushed: a change counts as known as soon as the sender's own
/// discovery agent has it.
pub const MAX_PUSH_BACKOFF: Duration = Duration::from_millis(200);

/// Each sender's share of the time over which the senders ask a new address for a snapshot: some five a second
/// do. A snapshot costs discovery many times what a change does, and a fleet that asks for one at once keeps
/// it from telling changes for ten seconds.
const SNAPSHOT_SPREAD_PER_SENDER: Duration = Duration::from_millis(200);

/// The longest delays between polls.
#[derive(Debug, Clone, Copy)]
pub struct PollPolicy {
    /// Longest delay before the first poll of a process that knows an endpoint list.
    pub(super) initial_delay: Duration,
    /// Longest delay after a failed poll, doubled with each further failure.
    pub(super) initial_backoff: Duration,
    /// What the doubled delay never exceeds.
    pub(super) max_backoff: Duration,
    /// Longest delay before a watch that timed out is made anew.
    pub(super) reconnect_delay: Duration,
    /// Longest delay before a snapshot is requested at a new address, where the watch goes on meanwhile.
    pub(super) snapshot_spread: Duration,
}

impl PollPolicy {
    /// The policy for these settings, which say whether lists are pushed or polled from a shared service.
    pub fn new(settings: &Settings) -> Self {
        match settings.discovery {
            DiscoveryMode::Push => Self::push(),
            DiscoveryMode::Subscribe => Self::subscribe(settings),
        }
    }

    /// The discovery agent serves this sender alone.
    fn push() -> Self {
        Self {
            initial_delay: Duration::ZERO,
            initial_backoff: BACKOFF_PER_SENDER,
            max_backoff: MAX_PUSH_BACKOFF,
            reconnect_delay: MIN_RECONNECT_DELAY,
            snapshot_spread: Duration::ZERO,
        }
    }

    /// One discovery service answers all senders.
    fn subscribe(settings: &Settings) -> Self {
        // The settings may ask for a fresher list than the poll cycle would give.
        let poll_within = duration(settings.rules.poll_within);
        let max_backoff = MAX_POLL_CYCLE.min(poll_within).max(BACKOFF_PER_SENDER);
        let backoff_of_all = BACKOFF_PER_SENDER * settings.sender_count;
        let reconnect_delay_of_all = RECONNECT_DELAY_PER_SENDER * settings.sender_count;
        Self {
            initial_delay: (backoff_of_all / 2).min(max_backoff),
            initial_backoff: backoff_of_all.min(max_backoff),
            max_backoff,
            reconnect_delay: reconnect_delay_of_all.max(MIN_RECONNECT_DELAY),
            snapshot_spread: SNAPSHOT_SPREAD_PER_SENDER * settings.sender_count,
        }
    }
}
