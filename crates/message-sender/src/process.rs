//! The life of a sender process: it acquires the ownership of the state directory, serves as the sender, hands over
//! to a successor, and takes the work back if that dies.

use std::cell::Cell;
use std::io;
use std::net::{self, SocketAddr};
use std::rc::Rc;

use delivery_control::{Controller, SettingsError};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::timeout;

use crate::client_api::ClientApi;
use crate::config::Config;
use crate::connection_limiter::ConnectionLimiter;
use crate::delivery::DeliveryClient;
use crate::discovery::{self, NoticeQueue, PollPolicy};
use crate::drain::FINAL_REPLY_TIMEOUT;
use crate::event::SenderEvent;
use crate::event_loop::{EventLoop, EventLoopConfig, EventLoopInputs, LoopEnd};
use crate::handover::relay::{self, Predecessor, RelayEnd};
use crate::handover::{self, HandoverListener, Ownership, OwnershipLock, Successor};
use crate::journal::{Journal, JournalError};
use crate::metrics::Metrics;
use crate::operator_api::{self, OperatorApi, Order};
use crate::serving_state::ServingState;
use crate::signals::{self, Signals};

/// Events that wait for the event loop; whoever reports more waits too.
const EVENT_QUEUE: usize = 1024;
/// Successors that wait to be offered the state; the listener accepts one at a time.
const SUCCESSOR_QUEUE: usize = 1;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// Why a sender process can't go on.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// No handler could be installed for a signal.
    #[error("signal handlers cannot be installed")]
    Signals(#[source] io::Error),
    /// The listener for operators could not be bound.
    #[error("the management address is not free")]
    ManagementAddress(#[source] io::Error),
    /// The listener for clients could not be bound.
    #[error("the listening address is not free")]
    ListeningAddress(#[source] io::Error),
    /// The ownership lock of the state directory could not be taken.
    #[error("the state directory cannot be used")]
    StateDirectory(#[source] io::Error),
    /// The journal could not be opened.
    #[error("the journal cannot be opened")]
    Journal(#[from] JournalError),
    /// The controller does not accept the settings.
    #[error("the settings are not valid")]
    Settings(#[from] SettingsError),
    /// A listening socket failed.
    #[error("a listening socket cannot be used")]
    Socket(#[source] io::Error),
}

/// Runs a sender process until it is told to end, or a successor has taken everything over.
pub async fn run(config: Config) -> Result<(), ProcessError> {
    // Before anything else: until then a signal ends the process.
    let signals = Signals::install().map_err(ProcessError::Signals)?;
    let mut process = SenderProcess::start(config, signals).await?;
    if let Some(ownership) = process.acquire_ownership().await? {
        process.serve_while_owner(ownership).await?;
        process.finish().await;
    }
    Ok(())
}

/// What the process has in all its phases, whether it is the sender or not.
struct SenderProcess {
    config: Config,
    /// Where discovery is; follows the configuration file.
    discovery: watch::Receiver<SocketAddr>,
    serving_state: Rc<watch::Sender<ServingState>>,
    /// Whether messages can be accepted.
    ready: Rc<Cell<bool>>,
    metrics: Rc<Metrics>,
    delivery: Rc<DeliveryClient>,
    limiter: Rc<ConnectionLimiter>,
    clients: Rc<ClientApi>,
    event_sender: mpsc::Sender<SenderEvent>,
    events: mpsc::Receiver<SenderEvent>,
    commands: mpsc::Receiver<Order>,
    successor_sender: mpsc::Sender<Successor>,
    successors: mpsc::Receiver<Successor>,
}

impl SenderProcess {
    /// Starts what every process runs: the operators' listener, the signal handlers, and the maintenance of
    /// connections.
    async fn start(config: Config, signals: Signals) -> Result<Self, ProcessError> {
        let (event_sender, events) = mpsc::channel(EVENT_QUEUE);
        let (command_sender, commands) = mpsc::channel(operator_api::ORDERS);
        let (successor_sender, successors) = mpsc::channel(SUCCESSOR_QUEUE);
        let (discovery_sender, discovery) = watch::channel(config.discovery);
        let serving_state = Rc::new(watch::Sender::new(ServingState::Serving));
        let ready = Rc::new(Cell::new(false));
        let metrics = Rc::new(Metrics::new(&config.names));
        if let Some(address) = config.management {
            let operator_api = OperatorApi {
                serving_state: serving_state.clone(),
                ready: ready.clone(),
                metrics: metrics.clone(),
                orders: command_sender,
            };
            serve_operators(address, operator_api).await?;
        }
        spawn_local(signals::reload_configuration(signals.reload, discovery_sender));
        spawn_local(signals::shut_down_on_signal(
            signals.shutdown,
            serving_state.clone(),
            event_sender.clone(),
        ));
        let shares = config.limits.shares(config.settings.limits.max_in_flight);
        let delivery = DeliveryClient::new(&config.settings.limits, shares.idle, metrics.attempts.clone());
        let limiter = ConnectionLimiter::new(shares.clients);
        let clients = Rc::new(ClientApi {
            settings: config.settings.clone(),
            names: config.names.clone(),
            inbox: event_sender.clone(),
            serving_state: serving_state.subscribe(),
            limiter: limiter.clone(),
        });
        spawn_local(delivery.clone().run_maintenance());
        spawn_local(limiter.clone().run_maintenance());
        Ok(Self {
            config,
            discovery,
            serving_state,
            ready,
            metrics,
            delivery,
            limiter,
            clients,
            event_sender,
            events,
            commands,
            successor_sender,
            successors,
        })
    }

    /// Becomes the sender. `None` if the process is told to end before.
    async fn acquire_ownership(&self) -> Result<Option<Ownership>, ProcessError> {
        let mut serving_state = self.serving_state.subscribe();
        tokio::select! {
            ownership = handover::acquire_ownership(&self.config.state, &self.config.names) => {
                ownership.map(Some).map_err(ProcessError::StateDirectory)
            }
            _ = serving_state.wait_for(|state| *state == ServingState::ShuttingDown) => Ok(None),
        }
    }

    /// Serves as the sender, and again each time that a successor dies, until the process is to end.
    async fn serve_while_owner(&mut self, ownership: Ownership) -> Result<(), ProcessError> {
        let mut ownership = ownership;
        let mut missed_events = Vec::new();
        loop {
            let listener = self.bind_client_listener(ownership.listener.take()).await?;
            let served = self.serve(ownership, &listener, std::mem::take(&mut missed_events)).await?;
            let Some(predecessor) = served else { return Ok(()) };
            match predecessor.run(&mut self.events, &self.limiter).await {
                RelayEnd::Over => return Ok(()),
                RelayEnd::Orphaned(events) => missed_events = events,
            }
            let reacquired = handover::reacquire_ownership(&self.config.state).await;
            let Some(reacquired) = reacquired.map_err(ProcessError::StateDirectory)? else { return Ok(()) };
            tracing::warn!("successor died, taking the work back");
            let listener = listener.try_clone().map_err(ProcessError::Socket)?;
            ownership = Ownership { listener: Some(listener), ..reacquired };
            self.delivery.resume();
            self.serving_state.send_replace(ServingState::Serving);
        }
    }

    /// The clients' listener: the predecessor's, or one of this process. Comes before the journal is opened: an
    /// older version that knows no ownership lock would hold the address, and write the journal.
    async fn bind_client_listener(
        &self,
        inherited: Option<net::TcpListener>,
    ) -> Result<Rc<net::TcpListener>, ProcessError> {
        if let Some(listener) = inherited {
            return Ok(Rc::new(listener));
        }
        let listener = TcpListener::bind(self.config.listen).await.map_err(ProcessError::ListeningAddress)?;
        Ok(Rc::new(listener.into_std().map_err(ProcessError::Socket)?))
    }

    /// Serves as the sender. Returns this process's side of the relay once a successor has taken over, or `None`
    /// when the process is to end.
    async fn serve(
        &mut self,
        ownership: Ownership,
        listener: &Rc<net::TcpListener>,
        missed_events: Vec<SenderEvent>,
    ) -> Result<Option<Predecessor>, ProcessError> {
        let notices = Rc::new(NoticeQueue::default());
        let mut event_loop = self.new_event_loop(ownership.lock, notices.clone())?;
        // Before the first connection is accepted: to answer at all means to be ready.
        match ownership.inherited {
            Some((state, stream)) => {
                let remote_calls = event_loop.restore(*state, self.config.seed)?;
                let event_sender = self.event_sender.clone();
                relay::relay_predecessor(stream, remote_calls, event_sender, self.limiter.clone());
            }
            None => event_loop.recover(self.config.known.clone()),
        }
        event_loop.replay_missed_events(missed_events);

        let accepting = listener.try_clone().and_then(TcpListener::from_std).map_err(ProcessError::Socket)?;
        let listen = accepting.local_addr().map_err(ProcessError::Socket)?;
        let mut owner_tasks = self.spawn_owner_tasks(listener, accepting, notices);
        self.ready.set(true);
        tracing::info!(name = self.config.name, %listen, "ready");

        let inputs = EventLoopInputs {
            events: &mut self.events,
            commands: &mut self.commands,
            successors: &mut self.successors,
            limiter: &self.limiter,
        };
        let LoopEnd::HandedOver(predecessor) = event_loop.run(inputs).await else { return Ok(None) };
        // The successor serves clients from now on.
        self.ready.set(false);
        self.serving_state.send_replace(ServingState::HandedOver);
        owner_tasks.shutdown().await;
        Ok(Some(predecessor))
    }

    fn new_event_loop(
        &self,
        lock: OwnershipLock,
        notices: Rc<NoticeQueue>,
    ) -> Result<EventLoop, ProcessError> {
        let config = &self.config;
        let controller = Controller::new(config.settings.clone(), config.seed)?;
        let disk_bytes = (config.limits.disk_mb * BYTES_PER_MEGABYTE) as u64;
        let journal = Journal::open(&config.state, disk_bytes)?;
        Ok(EventLoop::new(EventLoopConfig {
            controller,
            settings: config.settings.clone(),
            names: config.names.clone(),
            lock,
            journal,
            delivery: self.delivery.clone(),
            notices,
            metrics: self.metrics.clone(),
            event_sender: self.event_sender.clone(),
        }))
    }

    /// Starts all that only the sender may do; it ends when the set is dropped.
    fn spawn_owner_tasks(
        &self,
        listener: &Rc<net::TcpListener>,
        accepting: TcpListener,
        notices: Rc<NoticeQueue>,
    ) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        match HandoverListener::bind(&self.config.state) {
            Ok(handover_listener) => {
                tasks.spawn_local(handover_listener.serve(
                    listener.clone(),
                    self.serving_state.clone(),
                    self.successor_sender.clone(),
                ));
            }
            // It serves all the same; an upgrade is a restart then.
            Err(error) => tracing::error!(%error, "handover not available"),
        }
        tasks.spawn_local(discovery::watch(
            self.discovery.clone(),
            self.event_sender.clone(),
            PollPolicy::new(&self.config.settings),
            self.config.known.as_ref().map(|list| list.index),
        ));
        tasks.spawn_local(notices.send(self.discovery.clone(), self.event_sender.clone()));
        tasks.spawn_local(self.clients.clone().serve(accepting));
        tasks
    }

    /// Waits for the last replies to reach their clients.
    async fn finish(self) {
        // Clients whose submission nobody will decide on get an error for a reply.
        drop(self.events);
        if timeout(FINAL_REPLY_TIMEOUT, self.limiter.wait_until_quiet()).await.is_err() {
            tracing::warn!(
                connections = self.limiter.open_connections(),
                "ending with a request in progress"
            );
        }
        tracing::info!("ended");
    }
}

/// Serves operators on a listener of their own, for as long as the process lives.
async fn serve_operators(address: SocketAddr, operator_api: OperatorApi) -> Result<(), ProcessError> {
    let listener = TcpListener::bind(address).await.map_err(ProcessError::ManagementAddress)?;
    let management = listener.local_addr().map_err(ProcessError::Socket)?;
    tracing::info!(%management, "listening for operators");
    let limiter = ConnectionLimiter::new(operator_api::MAX_CONNECTIONS);
    spawn_local(limiter.clone().run_maintenance());
    spawn_local(Rc::new(operator_api).serve(listener, limiter));
    Ok(())
}
