//! Limits how many connections are open on a listener, and decides which connections are closed.
//!
//! Each connection has a [`ConnectionSlot`] that records whether a request is being received or processed on
//! it. Clients that send nothing, or never finish a request, must not keep other clients from connecting:
//! their connections are closed after a timeout, or earlier if a new connection needs the slot. The limiter only
//! asks for a close; the task of the connection closes it, and first answers a request that was received in part.
//!
//! Bodies of more than a few kilobytes are read only once memory is reserved for them. When it is used up,
//! connections whose bodies do not arrive are closed for those that wait.

mod accept;
mod body_memory;
mod limiter;
mod slot;
#[cfg(test)]
mod tests;

pub use body_memory::BodyReservation;
pub use limiter::{ConnectionLimiter, SMALL_BODY_BYTES};
pub use slot::{CloseReason, ConnectionSlot, Phase};
