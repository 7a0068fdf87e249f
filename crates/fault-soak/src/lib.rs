//! A randomized fault soak of the message sender: real processes on loopback, stand-ins for clients,
//! endpoints and discovery, and a library loaded into the senders that makes system calls fail.
//!
//! Each seed draws a [`plan`] of faults that overlap in time, prints it, and plays it. The [`oracle`] sees
//! only what clients, endpoints and discovery see ([`history`]), and judges it by the rules of the protocol.
//! The senders' own count of violated invariants is a second oracle.

pub mod client;
pub mod discovery;
pub mod disturbance;
pub mod endpoint;
pub mod faults;
pub mod history;
pub mod http;
pub mod oracle;
pub mod plan;
pub mod planted;
mod process;
pub mod sender;
pub mod settings;
pub mod shim;
pub mod soak;
pub mod violation;
