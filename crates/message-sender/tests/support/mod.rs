//! What surrounds a sender, played on loopback sockets: the discovery server, endpoints, clients and
//! operators.
//!
//! Each server is a few threads that report what they received over channels.
#![allow(dead_code, reason = "each test binary uses its own part")]

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

/// Longest wait for anything: only a sender that does the wrong thing ever takes so long.
pub const TIMEOUT: Duration = Duration::from_secs(30);
