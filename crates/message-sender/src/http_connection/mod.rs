//! One outgoing HTTP/1.1 connection that knows which bytes of the current request and response were on the
//! wire.
//!
//! The HTTP library reports neither how much of a request the kernel took nor what arrived of a response that
//! cannot be parsed. Both decide whether a message may have been processed, so they are observed below it.

mod byte_counter;
mod connection;
mod status_line;

pub use self::connection::{Connection, ResponseRemainder, SendError};
