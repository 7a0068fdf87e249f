//! The connection to the discovery service: the watch on the endpoint list, and the notices that report how
//! messages ended.
//!
//! The platform assumes that a sender knows a change 6 s after discovery has the change and is reachable,
//! even if polls failed in the meantime. The time from the start of a failed poll to the response to the
//! next one therefore has to stay below 6 s; the constants of [`poll`], [`poll_policy`] and [`backoff`] add
//! up to less.

mod backoff;
mod client;
mod error;
mod failure_log;
mod notices;
mod poll;
mod poll_policy;
mod watch;

#[cfg(test)]
mod tests;

pub use self::notices::NoticeQueue;
pub use self::poll_policy::PollPolicy;
pub use self::watch::{poll_changes, watch};
