//! The longest delays between polls, which depend on the settings.

use std::time::Duration;

use delivery_control::{DiscoveryMode, Settings};

use crate::time::duration;

/// Longest time from the start of a failed poll to the start of the next one. Senders whose polls fail at the
/// same time use all of it, so that together they do not overload discovery.
pub const MAX_POLL_CYCLE: Duration = Duration::from_millis(3_600);
/// Each sender's contribution to the longest delay between failed polls. All senders together then poll about
/// twenty times a second, unless [`MAX_POLL_CYCLE`] requires more polls.
const BACKOFF_PER_SENDER: Duration = Duration::from_millis(100);
/// Each sender's contribution to the longest delay before a watch that timed out is restarted.
const RECONNECT_DELAY_PER_SENDER: Duration = Duration::from_millis(3);
/// Lower bound of the longest delay before a watch that timed out is restarted.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Longest backoff where lists are pushed. There the platform assumes that a sender knows a change as soon
/// as the sender's own discovery agent has it.
pub const MAX_PUSH_BACKOFF: Duration = Duration::from_millis(200);

/// Each sender's contribution to the time over which the senders request snapshots at a new address; all
/// senders together request about five a second. A snapshot costs discovery many times as much as a change,
/// and a whole fleet that requests snapshots at once keeps discovery from reporting changes for ten
/// seconds.
const SNAPSHOT_SPREAD_PER_SENDER: Duration = Duration::from_millis(200);

/// The longest delays between polls.
#[derive(Debug, Clone, Copy)]
pub struct PollPolicy {
    /// Longest delay before the first poll of a process that already knows an endpoint list.
    pub(super) initial_delay: Duration,
    /// Longest delay after a first failed poll; each further failure doubles it.
    pub(super) initial_backoff: Duration,
    /// Upper bound of the doubled delay.
    pub(super) max_backoff: Duration,
    /// Longest delay before a watch that timed out is restarted.
    pub(super) reconnect_delay: Duration,
    /// Longest delay before a snapshot is requested at a new address; until then the watch there continues
    /// from the known version.
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

    /// The policy for a discovery agent that serves only this sender.
    fn push() -> Self {
        Self {
            initial_delay: Duration::ZERO,
            initial_backoff: BACKOFF_PER_SENDER,
            max_backoff: MAX_PUSH_BACKOFF,
            reconnect_delay: MIN_RECONNECT_DELAY,
            snapshot_spread: Duration::ZERO,
        }
    }

    /// The policy for one discovery service that all senders share.
    fn subscribe(settings: &Settings) -> Self {
        // The settings may require a fresher list than the poll cycle alone would give.
        let poll_within = duration(settings.rules.poll_within);
        let max_backoff = MAX_POLL_CYCLE.min(poll_within).max(BACKOFF_PER_SENDER);
        let fleet_backoff = BACKOFF_PER_SENDER * settings.sender_count;
        let fleet_reconnect_delay = RECONNECT_DELAY_PER_SENDER * settings.sender_count;
        Self {
            initial_delay: (fleet_backoff / 2).min(max_backoff),
            initial_backoff: fleet_backoff.min(max_backoff),
            max_backoff,
            reconnect_delay: fleet_reconnect_delay.max(MIN_RECONNECT_DELAY),
            snapshot_spread: SNAPSHOT_SPREAD_PER_SENDER * settings.sender_count,
        }
    }
}
