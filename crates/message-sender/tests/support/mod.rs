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

/// Upper bound of every wait in the tests; only a faulty sender reaches it.
pub const TIMEOUT: Duration = Duration::from_secs(30);
