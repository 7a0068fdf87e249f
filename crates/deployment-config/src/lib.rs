//! Decodes a deployment's settings into those of the delivery controller.
//!
//! This crate maps the names that deployments use to the terms of `delivery-control`: its types use those
//! terms, and its `serde` attributes and constants give the names that deployments use. Both the message
//! sender and the simulator adapter depend on it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
mod load_report;
mod names;
pub mod time;

pub use config::Config;
pub use load_report::load_report;
pub use names::Names;
