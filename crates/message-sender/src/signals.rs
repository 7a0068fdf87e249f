//! The signals that the process handles: SIGHUP, SIGTERM and SIGINT.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use crate::config::Config;
use crate::event::SenderEvent;
use crate::serving_state::ServingStateControl;

/// The process's signals. Until they are installed, each of them ends the process.
pub struct Signals {
    /// Asks to read the configuration again.
    hangup: Signal,
    /// Ask for a graceful shutdown.
    shutdown: ShutdownSignals,
}

impl Signals {
    /// Catches the signals from now on.
    pub fn install() -> io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { hangup, shutdown: ShutdownSignals { terminate, interrupt } })
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

/// The signals that ask the process to end.
struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// For how long a configuration that cannot be read is read again: the old address of discovery is gone 1.5 s
/// after the signal, and the change counts as known after 4 s.
const RELOAD_LIMIT: Duration = Duration::from_secs(3);
/// Pause before it is read again.
const RELOAD_PAUSE: Duration = Duration::from_millis(100);

/// On each SIGHUP follows discovery to the address that the configuration file names then. A file that cannot
/// be read changes nothing: a discovery service that may soon be gone is better than none.
async fn reload_configuration(mut hangup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        loop {
            tokio::select! {
                () = follow_configuration(&discovery) => break,
                // The file may have been replaced since: it is read from the start.
                Some(()) = hangup.recv() => {}
            }
        }
    }
}

/// Follows discovery to the address in the file. One that cannot be read, or is half written, is read again
/// for as long as the change may take to be known.
async fn follow_configuration(discovery: &watch::Sender<SocketAddr>) {
    let started = Instant::now();
    loop {
        match Config::discovery_now() {
            Ok(address) => {
                tracing::info!(discovery = %address, "configuration reloaded");
                discovery.send_if_modified(|current| std::mem::replace(current, address) != address);
                return;
            }
            Err(error) if started.elapsed() >= RELOAD_LIMIT => {
                tracing::error!(%error, "configuration not reloaded");
                return;
            }
            Err(_) => sleep(RELOAD_PAUSE).await,
        }
    }
}

/// Begins the graceful shutdown on the first SIGTERM or SIGINT. Clients are sent away, unless a successor
/// serves them already. Never returns.
async fn shut_down_on_signal(
    mut signals: ShutdownSignals,
    serving_state: Rc<ServingStateControl>,
    events: mpsc::Sender<SenderEvent>,
) {
    signals.recv().await;
    tracing::info!("draining");
    serving_state.shut_down();
    // The receiver is gone only when the process ends.
    let _ = events.send(SenderEvent::ShutdownRequested).await;
    std::future::pending::<()>().await;
}
