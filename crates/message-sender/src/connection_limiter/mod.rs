//! Bounds how many connections are open on a listener, and decides which of them are closed.
//!
//! Each connection has a [`ConnectionSlot`] that knows whether a request is being received or processed on
//! it. A client that sends nothing, or never finishes its request, must not keep others out: such connections
//! are closed after a time-out, and earlier where a new connection needs the slot.

mod accept;
mod limiter;
mod slot;
#[cfg(test)]
mod tests;

pub use limiter::ConnectionLimiter;
pub use slot::ConnectionSlot;
