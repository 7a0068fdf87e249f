//! Upgrades without downtime: one process hands the work of the sender over to the next.
//!
//! The process that holds the lock in the state folder is the sender: it alone makes decisions, writes the
//! journal and accepts connections. The kernel releases the lock when its holder dies, at whatever step of a
//! handover, and the next process can resume from the journal alone. The state that is handed over in
//! addition keeps what a restart loses, such as the controller's state, its timers and the attempts in
//! flight.
//!
//! # Protocol
//!
//! The sender listens on a Unix socket in the state folder. A frame is its length as a little-endian `u32`,
//! then `MessagePack` with named fields.
//!
//! 1. The successor sends [`Hello`](protocol::Hello) with the protocol version that it supports, or without a
//!    version if it can use only the journal.
//! 2. The predecessor sends its listening socket and [`Offer`](protocol::Offer). If the version differs or is
//!    missing, the offer has no state: the predecessor then drains, and the successor waits for the lock and
//!    resumes from the journal.
//! 3. The successor reads the state and sends [`Prepared`](protocol::Prepared). Up to this step nothing has
//!    changed for the predecessor, which remains the sender if the successor fails.
//! 4. The predecessor closes the journal, releases the lock and sends [`Commit`](protocol::Commit). The
//!    successor takes the lock and is the sender.
//! 5. Over the same socket, the predecessor relays the submissions that its clients still send and the
//!    results of its attempts ([`relay`]), until it has neither clients nor attempts left. If the successor
//!    dies in the meantime, the predecessor takes the work back.

mod descriptor;
mod error;
mod listener;
mod ownership;
mod protocol;
pub mod relay;
mod request;
mod socket_path;
mod state;
mod stream;
#[cfg(test)]
mod tests;

pub use self::listener::{commit, HandoverListener, Successor};
pub use self::ownership::{acquire_ownership, reacquire_ownership, Ownership, OwnershipError, OwnershipLock};
pub use self::request::InheritedState;
pub use self::state::HandoverState;
pub use self::stream::HandoverStream;
