//! An outgoing HTTP/1.1 connection that tracks which bytes of the current request and response have been on
//! the wire.
//!
//! The HTTP library reports neither how much of a request the kernel accepted nor which part of an
//! unparsable response arrived. Both decide whether a message may have been processed, so they are observed
//! below the library, on the stream.

mod byte_counter;
mod connection;
mod exchange;
mod response_head;
mod socket_state;
mod status_line;

pub use self::connection::{Connection, IdleState, ResponseRemainder, SendError};
pub use self::exchange::{EarlyData, Exchange, IncompleteRequest};

use std::time::Duration;

/// Time that a connection rests after a response before it carries the next request: data that follows the response
/// could otherwise be read as the next one.
pub const REUSE_DELAY: Duration = Duration::from_millis(10);
/// Time for which no connection to a peer is reused after it has sent data on an idle connection.
pub const EXCESS_DATA_MEMORY: Duration = Duration::from_secs(5);
