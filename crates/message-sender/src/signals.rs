//! The signals that the process handles: SIGHUP, SIGTERM and SIGINT.
//!
//! Handlers only set a flag, which is looked at some tens of times a second. The runtime's own way to hear of signals
//! is a socket pair, whose reads and writes may be interrupted: the one ends the process, the other loses the
//! signal.

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

/// How often the flags are looked at. A process that hears late that it is to end goes on accepting for that
/// time what others had better accept.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause before a configuration that cannot be read is read again.
const RELOAD_PAUSE: Duration = Duration::from_millis(100);
/// For how long a configuration that cannot be read is read again: the old address of discovery is gone 1.5 s
/// after the signal, and the change counts as known after 4 s.
const RELOAD_LIMIT: Duration = Duration::from_secs(3);

/// The process's signals. Until they are installed, each of them ends the process.
pub struct Signals {
    /// Asks to read the configuration again.
    hangup: SignalFlag,
    /// Asks for a graceful shutdown.
    shutdown: SignalFlag,
}

impl Signals {
    /// Catches the signals from now on.
    pub fn install() -> io::Result<Self> {
        Ok(Self { hangup: SignalFlag::catch(&[SIGHUP])?, shutdown: SignalFlag::catch(&[SIGTERM, SIGINT])? })
    }

    /// Starts the tasks that act on the signals, for as long as the process lives.
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

/// Set by signals, and cleared when that is seen.
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

    /// Whether a signal has come since this was asked last.
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

/// On each SIGHUP follows discovery to the address that the configuration file names then. A file that cannot
/// be read changes nothing: a discovery service that may soon be gone is better than none.
async fn reload_configuration(hangup: SignalFlag, discovery: watch::Sender<SocketAddr>) {
    loop {
        hangup.wait().await;
        follow_configuration(&hangup, &discovery).await;
    }
}

/// Follows discovery to the address in the file. One that cannot be read, or is half written, is read again
/// for as long as the change may take to be known, counted from the last signal.
async fn follow_configuration(hangup: &SignalFlag, discovery: &watch::Sender<SocketAddr>) {
    let mut signalled_at = Instant::now();
    loop {
        match Config::read_discovery_address() {
            Ok(address) => {
                tracing::info!(discovery = %address, "configuration reloaded");
                discovery.send_if_modified(|current| std::mem::replace(current, address) != address);
                return;
            }
            Err(error) if signalled_at.elapsed() >= RELOAD_LIMIT => {
                tracing::error!(%error, "configuration not reloaded");
                return;
            }
            Err(_) => sleep(RELOAD_PAUSE).await,
        }
        if hangup.take() {
            signalled_at = Instant::now();
        }
    }
}

/// Begins the graceful shutdown on the first SIGTERM or SIGINT. Clients are sent away, unless a successor
/// serves them already. Further ones change nothing.
async fn shut_down_on_signal(
    shutdown: SignalFlag,
    serving_state: Rc<ServingStateControl>,
    events: mpsc::Sender<SenderEvent>,
) {
    shutdown.wait().await;
    tracing::info!("draining");
    serving_state.shut_down();
    // The receiver is gone only when the process ends.
    let _ = events.send(SenderEvent::ShutdownRequested).await;
}
