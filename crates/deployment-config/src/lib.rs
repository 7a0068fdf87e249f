//! Decodes a deployment's settings into those of the delivery controller.
//!
//! The names that deployments use are mapped to the terms of `delivery-control` here: the types of this crate
//! carry those terms, and `serde` attributes carry the deployments' names. The sender and the simulator's
//! adapter share it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
mod load_report;
mod names;
pub mod time;

pub use config::Config;
pub use load_report::load_report;
pub use names::Names;
