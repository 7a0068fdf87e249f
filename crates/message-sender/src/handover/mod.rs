//! Upgrade without a pause: hands the work of one process to the next.
//!
//! Whoever holds the lock in the state folder is the sender: it alone decides, writes the journal and accepts
//! connections. The kernel releases the lock when its holder dies, at whatever step; what is passed on beyond
//! the journal only spares the successor the losses of a restart.
//!
//! # Protocol
//!
//! The sender listens on a Unix socket in the state folder. A frame is its length as a little-endian `u32`,
//! then `MessagePack` with named fields.
//!
//! 1. The successor sends [`Hello`](protocol::Hello) with the protocol version that it understands, or with
//!    none where only the journal is of use to it.
//! 2. The predecessor sends its listening socket and [`Offer`](protocol::Offer). With another version, or
//!    none, the offer has no state: the predecessor then drains, and the successor waits for the lock and
//!    resumes from the journal.
//! 3. The successor has read the state: [`Prepared`](protocol::Prepared). Up to here nothing has changed for
//!    the predecessor, which goes on if the successor fails.
//! 4. The predecessor closes the journal, releases the lock and sends [`Commit`](protocol::Commit). The
//!    successor takes the lock and is the sender.
//! 5. Over the same socket the predecessor relays what it still reads from its clients and how its attempts
//!    end ([`relay`]), until it has neither. If the successor dies meanwhile, the predecessor takes the work
//!    back.

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
