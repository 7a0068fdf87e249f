//! The HTTP server that operators call: status, metrics, maintenance of endpoints, standby. One call a
//! connection.
//!
//! It has connections and a queue to the event loop of its own, so that no call waits behind traffic, and
//! callers that send nothing hold up no other.

mod command;
mod error;
mod route;
mod server;
#[cfg(test)]
mod tests;

pub use command::{CommandResult, OperatorCommand, OperatorRequest};
pub use server::{OperatorApi, MAX_CONNECTIONS, REQUEST_QUEUE_CAPACITY};
