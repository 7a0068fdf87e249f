//! The time line of a graceful shutdown.

use std::time::Duration;

/// After SIGTERM, calls go out for so long, then those that are out are waited for, then the process ends:
/// SIGKILL comes 3.7 s after SIGTERM at the soonest.
pub const DRAIN_SENDS: Duration = Duration::from_millis(2400);
pub const DRAIN_ENDS: Duration = Duration::from_millis(3300);
/// And so long for the last answers to clients.
pub const LAST_ANSWERS: Duration = Duration::from_millis(200);
/// With nothing left to do, it stays so long for connections that still come.
pub const DRAIN_LINGERS: Duration = Duration::from_millis(1000);
