//! The timeline of a graceful shutdown, counted from the request to shut down.
//!
//! The platform sends SIGKILL 3.7 s after SIGTERM at the soonest; everything here fits below that.

use std::time::Duration;

/// From this moment on no further attempt is started.
pub const LAST_ATTEMPT_AFTER: Duration = Duration::from_millis(2400);
/// The process ends, whatever is still in flight.
pub const DRAIN_DEADLINE: Duration = Duration::from_millis(3300);
/// A process with nothing left to do stays this long all the same, for connections that still arrive: load
/// balancers in front notice a drain only after a while.
pub const MINIMUM_DRAIN: Duration = Duration::from_millis(1000);
/// Allowed beyond the end of the event loop for the last replies to reach clients.
pub const FINAL_REPLY_TIMEOUT: Duration = Duration::from_millis(200);
