//! Tests of the connection to discovery.

mod backoff;
mod client;
mod notices;
mod watch;

use std::time::Duration;

use delivery_control::{DiscoveryMode, Rules, Settings};

use super::PollPolicy;

/// The platform considers a sender informed of a change so long after discovery had it and could be reached.
const CHANGE_KNOWN_AFTER: Duration = Duration::from_secs(6);

/// The policy of so many senders that poll one discovery, and whose settings allow a list to be 10 s old.
fn subscribe_policy(senders: u32) -> PollPolicy {
    let rules = Rules { poll_within: 10_000_000, ..Rules::default() };
    PollPolicy::new(&Settings {
        discovery: DiscoveryMode::Subscribe,
        sender_count: senders,
        rules,
        ..Settings::default()
    })
}

/// The policy of so many senders of which each has a discovery agent of its own.
fn push_policy(senders: u32) -> PollPolicy {
    PollPolicy::new(&Settings {
        discovery: DiscoveryMode::Push,
        sender_count: senders,
        ..Settings::default()
    })
}
