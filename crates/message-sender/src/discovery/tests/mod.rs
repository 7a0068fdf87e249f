//! Tests of the connection to discovery.

mod backoff;
mod client;
mod notices;
mod watch;

use std::time::Duration;

use delivery_control::{DiscoveryMode, Rules, Settings};

use super::PollPolicy;

/// The platform assumes that a sender knows a change this long after discovery has the change and is
/// reachable.
const CHANGE_KNOWN_AFTER: Duration = Duration::from_secs(6);

/// The policy for `senders` senders that poll one discovery service; their settings allow a list to be 10 s
/// old.
fn subscribe_policy(senders: u32) -> PollPolicy {
    let rules = Rules { poll_within: 10_000_000, ..Rules::default() };
    PollPolicy::new(&Settings {
        discovery: DiscoveryMode::Subscribe,
        sender_count: senders,
        rules,
        ..Settings::default()
    })
}

/// The policy for `senders` senders, each of which has its own discovery agent.
fn push_policy(senders: u32) -> PollPolicy {
    PollPolicy::new(&Settings {
        discovery: DiscoveryMode::Push,
        sender_count: senders,
        ..Settings::default()
    })
}
