//! The signals that the process heeds: SIGHUP, SIGTERM and SIGINT.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};

use crate::config::Config;
use crate::event::SenderEvent;
use crate::serving_state::ServingState;

/// The handlers of the process's signals. Until they are installed, each of these signals ends the process.
pub struct Signals {
    /// SIGHUP: read the configuration again.
    pub reload: Signal,
    /// SIGTERM and SIGINT: shut down gracefully.
    pub shutdown: ShutdownSignals,
}

impl Signals {
    /// Installs the handlers.
    pub fn install() -> io::Result<Self> {
        let reload = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { reload, shutdown: ShutdownSignals { terminate, interrupt } })
    }
}

/// The signals that ask the process to end.
pub struct ShutdownSignals {
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

/// On each SIGHUP follows discovery to the address that the configuration file names then. A file that cannot be
/// read changes nothing: a discovery service that may soon be gone is better than none.
pub async fn reload_configuration(mut reload: Signal, discovery: watch::Sender<SocketAddr>) {
    while reload.recv().await.is_some() {
        match Config::discovery_now() {
            Ok(address) => {
                tracing::info!(discovery = %address, "configuration reloaded");
                discovery.send_if_modified(|current| std::mem::replace(current, address) != address);
            }
            Err(error) => {
                let error = format!("{error:#}");
                tracing::error!(error, "configuration not reloaded");
            }
        }
    }
}

/// Begins the graceful shutdown on the first SIGTERM or SIGINT. Clients are sent away, unless a successor serves
/// them already. Never returns.
pub async fn shut_down_on_signal(
    mut signals: ShutdownSignals,
    serving_state: Rc<watch::Sender<ServingState>>,
    events: mpsc::Sender<SenderEvent>,
) {
    signals.recv().await;
    tracing::info!("draining");
    serving_state.send_modify(|state| {
        if *state != ServingState::HandedOver {
            *state = ServingState::ShuttingDown;
        }
    });
    // The receiver is gone only when the process ends.
    let _ = events.send(SenderEvent::ShutdownRequested).await;
    std::future::pending::<()>().await;
}
