//! Failures of system calls that may be gone a moment later, and how a start tries again.

use std::io;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// A start tries again for so long at most: a process has to be ready within 30 s.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Pause before a step of a start is tried again.
pub const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Errors that come of a shortage, an interruption or a device in trouble, and not of what was asked for.
const TRANSIENT: [Errno; 14] = [
    Errno::AGAIN,
    Errno::BUSY,
    Errno::DQUOT,
    Errno::INTR,
    Errno::IO,
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOLCK,
    Errno::NOMEM,
    Errno::NOSPC,
    Errno::NOSR,
    Errno::STALE,
    Errno::TIMEDOUT,
];

/// Whether the same call may succeed a moment later.
pub fn is_transient(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    errno.is_some_and(|errno| TRANSIENT.contains(&errno))
}

/// Whether this process, and not the other end of a connection, lacks what the call needs.
pub fn is_local_shortage(error: &io::Error) -> bool {
    let shortages =
        [Errno::ADDRNOTAVAIL, Errno::INTR, Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    errno.is_some_and(|errno| shortages.contains(&errno))
}

/// An error of which the cause may be gone a moment later.
pub trait MayBeTransient: std::error::Error {
    /// Whether the same step may succeed then.
    fn is_transient(&self) -> bool;
}

impl MayBeTransient for io::Error {
    fn is_transient(&self) -> bool {
        is_transient(self)
    }
}

/// Tries the steps of a start again while they fail by what may pass, within the time that a start has.
#[derive(Debug, Clone, Copy)]
pub struct StartRetries {
    started: Instant,
    limit: Duration,
}

impl StartRetries {
    /// A start begins now.
    pub fn begin() -> Self {
        Self::within(START_LIMIT)
    }

    /// Tries for no longer than this, from now on.
    pub fn within(limit: Duration) -> Self {
        Self { started: Instant::now(), limit }
    }

    /// Takes a step, again after each failure that may pass. `step` names it in the log.
    pub async fn run<T, E: MayBeTransient>(
        self,
        step: &'static str,
        mut attempt: impl FnMut() -> Result<T, E>,
    ) -> Result<T, E> {
        let mut is_logged = false;
        loop {
            let error = match attempt() {
                Err(error) if error.is_transient() && self.started.elapsed() < self.limit => error,
                ended => return ended,
            };
            if !is_logged {
                tracing::info!(step, %error, "start is tried again");
                is_logged = true;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
