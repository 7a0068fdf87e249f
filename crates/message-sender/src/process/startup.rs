//! The start of the parts that every process has, whether it is the sender or not.

use std::cell::Cell;
use std::net::{self, SocketAddr};
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use super::{ProcessError, SenderProcess};
use crate::client_api::ClientApi;
use crate::config::Config;
use crate::connection_limiter::ConnectionLimiter;
use crate::delivery::DeliveryClient;
use crate::invariants::InvariantMonitor;
use crate::metrics::Metrics;
use crate::operator_api::{self, OperatorApi};
use crate::serving_state::ServingStateControl;
use crate::signals::Signals;
use crate::transient::StartupRetries;

/// Capacity of the queue of events for the event loop. A task that reports an event to a full queue waits.
const EVENT_QUEUE_CAPACITY: usize = 1024;
/// Capacity of the queue of successors that wait for an offer; the handover listener accepts one at a time.
const SUCCESSOR_QUEUE_CAPACITY: usize = 1;

impl SenderProcess {
    /// Starts the tasks that every process runs: the operators' server, the signal handlers, and the
    /// maintenance of connections.
    pub(super) async fn start(
        config: Config,
        signals: Signals,
        retries: StartupRetries,
    ) -> Result<Self, ProcessError> {
        let (event_sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let (command_sender, commands) = mpsc::channel(operator_api::REQUEST_QUEUE_CAPACITY);
        let (successor_sender, successors) = mpsc::channel(SUCCESSOR_QUEUE_CAPACITY);
        let (discovery_sender, discovery) = watch::channel(config.discovery);
        let serving_state = Rc::new(ServingStateControl::new());
        let ready = Rc::new(Cell::new(false));
        let metrics = Rc::new(Metrics::new(&config.names));
        let invariants = InvariantMonitor::new(metrics.clone());
        if let Some(address) = config.management {
            let operator_api = OperatorApi {
                serving_state: serving_state.clone(),
                ready: ready.clone(),
                metrics: metrics.clone(),
                requests: command_sender,
            };
            serve_operators(address, operator_api, retries).await?;
        }
        signals.spawn_handlers(discovery_sender, serving_state.clone(), event_sender.clone());
        let shares = config.limits.shares(config.settings.limits.max_in_flight);
        let delivery = DeliveryClient::new(&config.settings.limits, shares.idle, metrics.delivery.clone());
        let limiter = ConnectionLimiter::new(shares.clients, shares.request_bodies);
        let client_api = Rc::new(ClientApi {
            settings: config.settings.clone(),
            names: config.names.clone(),
            event_sender: event_sender.clone(),
            serving_state: serving_state.subscribe(),
            limiter: limiter.clone(),
        });
        spawn_local(delivery.clone().run_maintenance());
        spawn_local(limiter.clone().run_maintenance());
        Ok(Self {
            config,
            max_open_body_bytes: shares.open_bodies,
            discovery,
            serving_state,
            ready,
            metrics,
            invariants,
            delivery,
            limiter,
            client_api,
            event_sender,
            events,
            commands,
            successor_sender,
            successors,
        })
    }
}

/// Starts the server for operators, which has its own listener and runs until the process ends.
async fn serve_operators(
    address: SocketAddr,
    operator_api: OperatorApi,
    retries: StartupRetries,
) -> Result<(), ProcessError> {
    let bind = || {
        let listener = net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    };
    let listener = retries.run("listener for operators", bind).await;
    let listener = listener.map_err(ProcessError::ManagementAddress)?;
    let management = listener.local_addr().map_err(ProcessError::Socket)?;
    tracing::info!(%management, "listening for operators");
    // The bodies of operators' requests are small.
    let limiter = ConnectionLimiter::new(operator_api::MAX_CONNECTIONS, 0);
    spawn_local(limiter.clone().run_maintenance());
    spawn_local(Rc::new(operator_api).serve(listener, limiter));
    Ok(())
}
