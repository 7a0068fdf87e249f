//! Randomized fault injection for the message sender: real sender processes on loopback, simulated clients,
//! endpoints and discovery, and a library loaded into the senders that makes system calls fail.
//!
//! For each seed, a [`plan`] of faults that overlap in time is drawn, printed and executed. The [`oracle`]
//! checks the rules of the protocol against the [`history`], which holds what clients, endpoints and
//! discovery observed, process events, and incidents such as crashes. Invariant violations that the senders
//! count themselves are recorded as incidents.

pub mod client;
mod crowd;
pub mod discovery;
pub mod disturbance;
pub mod drains;
pub mod endpoint;
pub mod exchange;
pub mod faults;
pub mod history;
pub mod http;
mod lost_requests;
mod maintenance;
pub mod memory;
pub mod network;
mod observation;
pub mod oracle;
pub mod plan;
pub mod planted;
mod process;
pub mod process_group;
mod replies;
mod response_bodies;
mod resting_client;
pub mod run_addresses;
pub mod sender;
pub mod settings;
pub mod shim;
mod signal_series;
pub mod soak;
mod upgrades;
pub mod violation;
