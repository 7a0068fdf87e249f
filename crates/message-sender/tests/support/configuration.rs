//! The configuration file of the sender under test.

use std::net::SocketAddr;

use serde_json::{json, Value};

/// Whether a message that may have taken effect may be sent again.
#[derive(Debug, Clone, Copy)]
pub enum Idempotency {
    /// It may always be sent again.
    Always,
    /// It may be sent again with its idempotency key, within the idempotency window.
    WithKey,
    /// It must not be sent again.
    Never,
}

impl Idempotency {
    /// The value of `effect` in the configuration file.
    fn effect(self) -> &'static str {
        match self {
            Self::Always => "pure",
            Self::WithKey => "token",
            Self::Never => "side_effect",
        }
    }
}

/// Settings in which tests differ.
#[derive(Clone)]
pub struct SenderOptions {
    /// Disk space for the journal, in megabytes.
    pub disk_mb: f64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Whether messages that may have taken effect may be sent again.
    pub idempotency: Idempotency,
    /// Limit of open file descriptors, in the configuration and for the process.
    pub max_descriptors: usize,
    /// Number of calls that the sender may have in flight.
    pub max_in_flight: u32,
    /// Number of senders in the deployment.
    pub sender_count: u32,
    /// Largest number of messages in the buffer.
    pub buffer_capacity: usize,
    /// Whether messages about one subject, which is their order key, are sent in order.
    pub is_ordered: bool,
    /// Name of the only tenant in the configuration.
    pub tenant: &'static str,
}

impl Default for SenderOptions {
    fn default() -> Self {
        Self {
            disk_mb: 3.0,
            memory_mb: 192,
            idempotency: Idempotency::WithKey,
            max_descriptors: 256,
            max_in_flight: 10,
            sender_count: 1,
            buffer_capacity: 50,
            is_ordered: false,
            tenant: "small",
        }
    }
}

/// The configuration with these options, this discovery address and this built-in endpoint list.
pub fn configuration(options: &SenderOptions, discovery: SocketAddr, known_endpoints: Vec<Value>) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": options.memory_mb, "sockets": options.max_descriptors,
            "disk_mb": options.disk_mb},
        "known": {"index": 0, "snapshot": true, "endpoints": known_endpoints},
        "settings": {
            "balancers": options.sender_count, "ordinal": 0, "kinds": ["big"],
            "zones": ["here"], "zone": "here",
            "categories": [{"name": "notice", "effect": options.idempotency.effect(), "dedupScope": "all",
                "windowMs": 15000.0, "aimMs": 2500.0, "deadlineMs": 24000.0, "worth": 1.0, "lateShare": 0.3,
                "fifoByKey": options.is_ordered}],
            "familyInfo": {"ownLimits": [false], "bundleMax": [1], "decay": "line", "maxCalls": options.max_in_flight},
            "orgs": [{"name": options.tenant, "allowancePerS": 0.001}], "overShareWorth": 0.2,
            "membershipMode": "automatic", "weights": "none", "resolutionMs": 5.0,
            "limits": {"mostHeld": options.buffer_capacity, "sendCap": 12, "cancel": true, "retryAfter": true,
                "maxRetryAfterMs": 3000.0, "connectTimeoutMs": 1000.0, "connIdleMs": 15000.0},
            "rules": {"answerSlackMs": 20.0, "drainGraceMs": 2000.0, "fallMs": 2000.0, "overloadFactor": 2.0,
                "startCapacity": 0.18, "warmWithinMs": 12000.0, "orderPauseMs": 100.0},
        },
    })
}
