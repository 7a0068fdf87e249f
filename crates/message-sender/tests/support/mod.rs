//! Simulated peers of a sender on loopback sockets: the discovery server, endpoints, clients and operators.
//!
//! Each simulated server runs a few threads, which report over channels what they received.
#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

pub mod client;
pub mod configuration;
pub mod discovery;
pub mod endpoint;
pub mod environment;
pub mod handover;
pub mod http;
pub mod load_client;
pub mod management;
pub mod sender_process;

use std::time::Duration;

/// Time limit for events that must occur; it passes only if the sender is faulty.
pub const TIMEOUT: Duration = Duration::from_secs(30);
