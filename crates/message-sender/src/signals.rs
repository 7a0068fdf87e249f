//! The signals that the process handles: SIGHUP, SIGTERM and SIGINT.
//!
//! The handlers only set a flag, which is polled every [`CHECK_INTERVAL`]. The runtime's own signal handling
//! uses a socket pair, whose reads and writes may be interrupted: an interrupted read would end the
//! process, and an interrupted write would lose the signal.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::config::Config;
use crate::event::SenderEvent;
use crate::serving_state::ServingStateControl;

/// How often the flags are polled. Until a process notices the signal to end, it accepts messages that other
/// senders should accept instead.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause before a configuration that cannot be read is read again.
const RELOAD_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long after the last signal a configuration that cannot be read is read again: the old address of
/// discovery is gone 1.5 s after the signal, and the change counts as known after 4 s.
const RELOAD_RETRY_LIMIT: Duration = Duration::from_secs(3);

/// The signals that the process handles. Until their handlers are installed, each of them ends the process.
pub struct Signals {
    /// SIGHUP, which requests that the configuration be read again.
    hangup: SignalFlag,
    /// SIGTERM or SIGINT, which request a graceful shutdown.
    shutdown: SignalFlag,
}

impl Signals {
    /// Installs the handlers of the signals.
    pub fn install() -> io::Result<Self> {
        Ok(Self { hangup: SignalFlag::catch(&[SIGHUP])?, shutdown: SignalFlag::catch(&[SIGTERM, SIGINT])? })
    }

    /// Starts the tasks that act on the signals.
    pub fn spawn_handlers(
        self,
        discovery: watch::Sender<SocketAddr>,
        serving_state: Rc<ServingStateControl>,
        events: mpsc::Sender<SenderEvent>,
    ) {
        spawn_local(reload_configuration(self.hangup, discovery));
        spawn_local(shut_down_on_signal(self.shutdown, serving_state, events));
    }
}

/// A flag that signal handlers set, and that is cleared when it is read.
struct SignalFlag {
    is_set: Arc<AtomicBool>,
}

impl SignalFlag {
    fn catch(signals: &[i32]) -> io::Result<Self> {
        let is_set = Arc::new(AtomicBool::new(false));
        for signal in signals {
            flag::register(*signal, is_set.clone())?;
        }
        Ok(Self { is_set })
    }

    /// Clears the flag. Returns whether a signal has arrived since the last call.
    fn take(&self) -> bool {
        self.is_set.swap(false, Ordering::Relaxed)
    }

    /// Waits for a signal.
    async fn wait(&self) {
        while !self.take() {
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// On each SIGHUP, switches to the discovery address in the configuration file. A file that cannot be read
/// changes nothing: a discovery service that may soon be gone is better than none.
async fn reload_configuration(hangup: SignalFlag, discovery: watch::Sender<SocketAddr>) {
    loop {
        hangup.wait().await;
        reload_discovery_address(&hangup, &discovery).await;
    }
}

/// Reads the discovery address from the configuration file and switches to it. A file that cannot be read, or
/// is only partly written, is read again until [`RELOAD_RETRY_LIMIT`] has passed since the last signal.
async fn reload_discovery_address(hangup: &SignalFlag, discovery: &watch::Sender<SocketAddr>) {
    let mut signalled_at = Instant::now();
    loop {
        match Config::read_discovery_address() {
            Ok(address) => {
                tracing::info!(discovery = %address, "configuration reloaded");
                discovery.send_if_modified(|current| std::mem::replace(current, address) != address);
                return;
            }
            Err(error) if signalled_at.elapsed() >= RELOAD_RETRY_LIMIT => {
                tracing::error!(%error, "configuration not reloaded");
                return;
            }
            Err(_) => sleep(RELOAD_RETRY_PAUSE).await,
        }
        if hangup.take() {
            signalled_at = Instant::now();
        }
    }
}

/// Begins the graceful shutdown on the first SIGTERM or SIGINT; further ones change nothing. Unless a
/// successor has taken over, the process stops serving clients.
async fn shut_down_on_signal(
    shutdown: SignalFlag,
    serving_state: Rc<ServingStateControl>,
    events: mpsc::Sender<SenderEvent>,
) {
    shutdown.wait().await;
    tracing::info!("draining");
    serving_state.shut_down();
    // Fails only while the process ends: the receiver exists until then.
    let _ = events.send(SenderEvent::ShutdownRequested).await;
}
