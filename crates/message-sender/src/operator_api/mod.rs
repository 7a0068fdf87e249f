//! The HTTP server for operators: status, metrics, maintenance of endpoints, and standby. Each connection
//! serves one request.
//!
//! The server has its own connections and its own queue to the event loop, so that no request of an operator
//! waits behind client traffic, and callers that send nothing do not block others.

mod command;
mod error;
mod route;
mod server;
#[cfg(test)]
mod tests;

pub use command::{CommandResult, OperatorCommand, OperatorRequest};
pub use server::{OperatorApi, MAX_CONNECTIONS, REQUEST_QUEUE_CAPACITY};
