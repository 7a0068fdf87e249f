//! Decoding of the deployment's configuration and of the simulator's line protocol.
//!
//! The names on the wire are mapped to the terms of `delivery-control` here and nowhere else: the types of
//! this crate carry those terms, and `serde` attributes carry the wire's.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
pub mod endpoint_list;
pub mod incoming;
mod load_report;
mod names;
pub mod outgoing;
mod time;

/// What the sender shares with the adapter.
pub mod wire {
    pub use crate::config::Config;
    pub use crate::load_report::load;
    pub use crate::names::Names;
}
