//! Classification of transient system errors, and retries of startup steps that fail with them.

use std::io;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// How long the steps of a startup are retried: a process must be ready within 30 s.
const STARTUP_RETRY_LIMIT: Duration = Duration::from_secs(20);
/// Pause before a failed startup step is retried.
pub const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Errors that a lack of resources, an interruption or a device failure causes, not the call's arguments.
const TRANSIENT_ERRORS: [Errno; 14] = [
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

/// Whether the same call may succeed a moment later, because the error is transient.
pub fn is_transient(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    errno.is_some_and(|errno| TRANSIENT_ERRORS.contains(&errno))
}

/// Whether a call failed for lack of local resources or by an interruption, not because of the remote end.
pub fn is_local_shortage(error: &io::Error) -> bool {
    let shortages =
        [Errno::ADDRNOTAVAIL, Errno::INTR, Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    errno.is_some_and(|errno| shortages.contains(&errno))
}

/// An error that may have a transient cause.
pub trait MayBeTransient: std::error::Error {
    /// Whether the failed step may succeed a moment later.
    fn is_transient(&self) -> bool;
}

impl MayBeTransient for io::Error {
    fn is_transient(&self) -> bool {
        is_transient(self)
    }
}

/// Retries the steps of a startup that fail with transient errors, up to a time limit.
#[derive(Debug, Clone, Copy)]
pub struct StartupRetries {
    /// When the startup began.
    started: Instant,
    /// How long after that steps are still retried.
    limit: Duration,
}

impl StartupRetries {
    /// Retries for at most [`STARTUP_RETRY_LIMIT`] from now on.
    pub fn begin() -> Self {
        Self::within(STARTUP_RETRY_LIMIT)
    }

    /// Retries for at most this long from now on.
    pub fn within(limit: Duration) -> Self {
        Self { started: Instant::now(), limit }
    }

    /// Runs a step, and again after each transient error within the limit. `step` names it in the log.
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
                tracing::info!(step, %error, "startup step failed, retrying");
                is_logged = true;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
