//! Time limits of a graceful shutdown, counted from the request to shut down unless stated otherwise.
//!
//! The platform sends SIGKILL 3.7 s after SIGTERM at the earliest; a shutdown within these limits ends
//! before that, even if the process is suspended for 0.15 s at its beginning and again at its end.

use std::time::Duration;

/// Time from which no further attempt is started.
pub const ATTEMPTS_STOP_AFTER: Duration = Duration::from_millis(2400);
/// Time at which the process stops working, even if attempts are still in flight.
pub const DRAIN_DEADLINE: Duration = Duration::from_millis(3100);
/// Minimum time before the process ends, even with nothing left to do: connections still arrive, because the
/// load balancers in front of it notice a drain only after a while.
pub const MINIMUM_DRAIN: Duration = Duration::from_millis(1000);
/// Time after the end of the event loop in which the last replies may still reach their clients.
pub const FINAL_REPLY_TIMEOUT: Duration = Duration::from_millis(200);
