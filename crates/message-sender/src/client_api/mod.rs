//! The HTTP server that clients submit messages to.

mod decision;
mod error;
mod incomplete_request;
mod linger;
mod request;
mod response;
mod server;
#[cfg(test)]
mod tests;

pub use request::MAX_BODY_BYTES;
pub use server::{ClientApi, MAX_BUFFER_BYTES};
