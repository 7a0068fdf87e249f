//! The deployment that is tested: the classes, destinations and limits in the configuration of its senders.

use std::net::SocketAddr;

use serde_json::{json, Value};

/// Idempotency window, in milliseconds.
pub const IDEMPOTENCY_WINDOW_MS: u64 = 6_000;
/// Time for which an endpoint that was listed as draining may still get new attempts, in milliseconds.
pub const DRAIN_GRACE_MS: u64 = 300;
/// Time within which an endpoint that comes back is warm, in milliseconds.
pub const WARM_WITHIN_MS: u64 = 4_000;
/// Longest time to the deadline of a message, in milliseconds.
pub const DEADLINE_MS: u64 = 8_000;
/// Limit of open file descriptors of a sender.
pub const MAX_DESCRIPTORS: usize = 256;
/// Memory limit of a sender, in MiB.
pub const MEMORY_MB: u64 = 64;
/// Maximum length of a body by the protocol, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Number of calls that a sender may have in flight: the least that the platform gives, so that a call that is never
/// ended shows.
const MAX_CALLS: usize = 4;
/// Number of destinations, which are numbered from 1.
pub const DESTINATIONS: u64 = 3;
/// Number of endpoints of each destination.
pub const ENDPOINTS_PER_DESTINATION: u64 = 2;

/// A class of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// May be repeated under its idempotency key.
    Keyed,
    /// Must not be repeated once it may have taken effect.
    Once,
    /// May be repeated without restriction.
    Pure,
    /// May be repeated under its idempotency key; sent in the order of its order key.
    Ordered,
}

impl Class {
    /// All classes.
    pub const ALL: [Self; 4] = [Self::Keyed, Self::Once, Self::Pure, Self::Ordered];

    /// Returns its name in the settings.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Keyed => "keyed",
            Self::Once => "once",
            Self::Pure => "pure",
            Self::Ordered => "ordered",
        }
    }

    fn effect(self) -> &'static str {
        match self {
            Self::Keyed | Self::Ordered => "token",
            Self::Once => "side_effect",
            Self::Pure => "pure",
        }
    }

    fn settings(self) -> Value {
        json!({"name": self.name(), "effect": self.effect(), "dedupScope": "all",
            "windowMs": IDEMPOTENCY_WINDOW_MS as f64, "aimMs": 1000.0, "deadlineMs": DEADLINE_MS as f64,
            "worth": 1.0, "lateShare": 0.5, "fifoByKey": self == Self::Ordered})
    }
}

/// Returns the content of the configuration file of one sender. `senders` is the number of senders in the
/// run, and `endpoints` is the list that the sender has before its first response from discovery.
#[must_use]
pub fn configuration(
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    senders: usize,
    endpoints: &[Value],
) -> Value {
    let classes: Vec<Value> = Class::ALL.iter().map(|class| class.settings()).collect();
    json!({
        "name": name, "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": MAX_DESCRIPTORS, "disk_mb": 1.0},
        "known": {"index": 0, "snapshot": true, "endpoints": endpoints},
        "settings": {
            "balancers": senders, "ordinal": 0, "kinds": ["big"], "zones": ["here"], "zone": "here",
            "categories": classes,
            "familyInfo": {"ownLimits": [false], "bundleMax": [1], "decay": "line", "maxCalls": MAX_CALLS},
            "orgs": [{"name": "tenant", "allowancePerS": 1000.0}], "overShareWorth": 0.2,
            "membershipMode": "subscribe", "weights": "none", "resolutionMs": 5.0,
            "limits": {"mostHeld": 250, "sendCap": 8, "cancel": true, "retryAfter": true,
                "maxRetryAfterMs": 3000.0, "connectTimeoutMs": 1000.0, "connIdleMs": 5000.0},
            "rules": {"answerSlackMs": 20.0, "drainGraceMs": DRAIN_GRACE_MS as f64, "fallMs": 2000.0,
                "overloadFactor": 2.0, "startCapacity": 0.18, "warmWithinMs": WARM_WITHIN_MS as f64, "orderPauseMs": 100.0},
        },
    })
}
