//! The life cycle of a sender process: it acquires the ownership of the state folder, serves as the sender,
//! hands over to a successor, and takes the work back if the successor dies.

mod error;
mod startup;

use std::cell::Cell;
use std::io;
use std::net::{self, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use delivery_control::Invariant;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

pub use self::error::ProcessError;
use crate::client_api::ClientApi;
use crate::config::Config;
use crate::connection_limiter::ConnectionLimiter;
use crate::delivery::DeliveryClient;
use crate::discovery::{self, NoticeQueue, PollPolicy};
use crate::drain::FINAL_REPLY_TIMEOUT;
use crate::event::SenderEvent;
use crate::event_loop::{EventLoop, EventLoopConfig, EventLoopInputs, LoopEnd, RetainedState};
use crate::handover::relay::{self, RelayEnd};
use crate::handover::{self, HandoverListener, InheritedState, Ownership, OwnershipLock, Successor};
use crate::invariants::{InvariantMonitor, ViolationSubject};
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::operator_api::OperatorRequest;
use crate::serving_state::{ServingState, ServingStateControl};
use crate::signals::Signals;
use crate::submission::SubmissionReply;
use crate::transient::StartupRetries;

const BYTES_PER_MEGABYTE: f64 = 1e6;
/// How long a startup retries to read a configuration file that cannot be read or is only partly written.
const CONFIGURATION_RETRY_LIMIT: Duration = Duration::from_secs(2);
/// Pause before another attempt to bind the handover socket.
const HANDOVER_BIND_PAUSE: Duration = Duration::from_millis(100);
/// How long a process that takes the work back waits for the latest changes of the endpoint list.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs a sender process until it is shut down, or a successor has taken over and nothing is left to relay.
pub async fn run() -> Result<(), ProcessError> {
    let retries = StartupRetries::begin();
    // Done first: until the handlers are installed, a signal ends the process.
    let signals = retries.run("signal handlers", Signals::install).await.map_err(ProcessError::Signals)?;
    let configuration_retries = StartupRetries::within(CONFIGURATION_RETRY_LIMIT);
    let config = configuration_retries.run("configuration", Config::from_environment).await?;
    let mut process = SenderProcess::start(config, signals, retries).await?;
    if let Some(ownership) = process.acquire_ownership().await? {
        process.serve_while_owner(ownership).await?;
        process.finish().await;
    }
    Ok(())
}

/// The parts that the process keeps throughout its life, whether it is the sender or not.
struct SenderProcess {
    config: Config,
    /// Memory for the bodies of open messages, in bytes.
    max_open_body_bytes: usize,
    /// The address of discovery, which changes when the configuration file is read again.
    discovery: watch::Receiver<SocketAddr>,
    serving_state: Rc<ServingStateControl>,
    /// Whether this process is the sender and can accept messages.
    ready: Rc<Cell<bool>>,
    metrics: Rc<Metrics>,
    invariants: Rc<InvariantMonitor>,
    delivery: Rc<DeliveryClient>,
    limiter: Rc<ConnectionLimiter>,
    client_api: Rc<ClientApi>,
    event_sender: mpsc::Sender<SenderEvent>,
    events: mpsc::Receiver<SenderEvent>,
    commands: mpsc::Receiver<OperatorRequest>,
    successor_sender: mpsc::Sender<Successor>,
    successors: mpsc::Receiver<Successor>,
}

impl SenderProcess {
    /// Becomes the sender. `None` if a shutdown is requested before that.
    async fn acquire_ownership(&self) -> Result<Option<Ownership>, ProcessError> {
        let mut serving_state = self.serving_state.subscribe();
        tokio::select! {
            ownership = handover::acquire_ownership(&self.config.state, &self.config.names) => {
                ownership.map(Some).map_err(ProcessError::StateFolder)
            }
            _ = serving_state.wait_for(|state| *state == ServingState::ShuttingDown) => Ok(None),
        }
    }

    /// Serves as the sender, and does so again each time that a successor dies, until the process is to end.
    async fn serve_while_owner(&mut self, ownership: Ownership) -> Result<(), ProcessError> {
        let mut ownership = ownership;
        let mut retained = None;
        let mut missed_events = Vec::new();
        loop {
            let retries = StartupRetries::begin();
            let listener = self.bind_client_listener(ownership.listener.take(), retries).await?;
            let event_loop = self.start_event_loop(ownership, retained.take()).await?;
            let served = self.serve(event_loop, &listener, std::mem::take(&mut missed_events)).await?;
            let LoopEnd::HandedOver(predecessor, state) = served else { return Ok(()) };
            retained = Some(state);
            match predecessor.run(&mut self.events, &self.limiter).await {
                RelayEnd::Finished => return Ok(()),
                RelayEnd::SuccessorDied(events) => missed_events = events,
            }
            let reacquired = handover::reacquire_ownership(&self.config.state).await;
            let Some(reacquired) = reacquired.map_err(ProcessError::StateFolder)? else {
                reply_undetermined(missed_events);
                return Ok(());
            };
            tracing::warn!("successor died, taking the work back");
            let duplicate = || listener.try_clone();
            let listener =
                retries.run("listener for clients", duplicate).await.map_err(ProcessError::Socket)?;
            ownership = Ownership { listener: Some(listener), ..reacquired };
            self.delivery.resume();
            self.serving_state.resume();
        }
    }

    /// Returns the listening socket for clients: the predecessor's, or a new one. Must be called before the
    /// journal is opened: an older version without the ownership lock may still write the journal, and it
    /// holds the address, so that binding fails.
    async fn bind_client_listener(
        &self,
        inherited: Option<net::TcpListener>,
        retries: StartupRetries,
    ) -> Result<Rc<net::TcpListener>, ProcessError> {
        if let Some(listener) = inherited {
            return Ok(Rc::new(listener));
        }
        let bind = || net::TcpListener::bind(self.config.listen);
        let listener = retries.run("listener for clients", bind).await;
        let listener = listener.map_err(ProcessError::ListeningAddress)?;
        listener.set_nonblocking(true).map_err(ProcessError::Socket)?;
        Ok(Rc::new(listener))
    }

    /// Makes the event loop: from a predecessor's state, from the state that this process has retained, or from
    /// the journal alone.
    async fn start_event_loop(
        &self,
        ownership: Ownership,
        retained: Option<Box<RetainedState>>,
    ) -> Result<EventLoop, ProcessError> {
        let retries = StartupRetries::begin();
        let config = self.event_loop_config(ownership.lock, retries).await?;
        if let Some(inherited) = ownership.inherited {
            return self.continue_from_predecessor(config, inherited);
        }
        let Some(retained) = retained else {
            return Ok(EventLoop::from_journal(config, self.config.seed, self.config.known.clone())?);
        };
        // The dead successor may have known of endpoints that drain.
        let address = *self.discovery.borrow();
        let changes = discovery::poll_changes(address, retained.list_version(), CATCH_UP_TIMEOUT).await;
        Ok(EventLoop::take_back(config, self.config.seed, *retained, changes)?)
    }

    /// Serves as the sender until the process is to end or a successor has taken over.
    async fn serve(
        &mut self,
        mut event_loop: EventLoop,
        listener: &Rc<net::TcpListener>,
        missed_events: Vec<SenderEvent>,
    ) -> Result<LoopEnd, ProcessError> {
        let retries = StartupRetries::begin();
        // Done before the first connection is accepted, because a process that answers counts as ready.
        event_loop.replay_missed_events(missed_events);

        let duplicate = || listener.try_clone().and_then(TcpListener::from_std);
        let accepting = retries.run("accepting socket", duplicate).await.map_err(ProcessError::Socket)?;
        let listen = accepting.local_addr().map_err(ProcessError::Socket)?;
        let known_list = self.config.known.as_ref().map(|list| list.version);
        let known_version = event_loop.list_version().or(known_list);
        let notices = event_loop.notices();
        let mut owner_tasks = self.spawn_owner_tasks(listener, accepting, notices, known_version);
        self.ready.set(true);
        tracing::info!(name = self.config.name, %listen, "ready");

        let inputs = EventLoopInputs {
            events: &mut self.events,
            commands: &mut self.commands,
            successors: &mut self.successors,
            limiter: &self.limiter,
        };
        let ended = event_loop.run(inputs).await;
        if let LoopEnd::HandedOver(..) = ended {
            // The successor serves clients from now on.
            self.ready.set(false);
            self.serving_state.hand_over();
            owner_tasks.shutdown().await;
        }
        Ok(ended)
    }

    /// Continues from a predecessor's state, and starts to receive the submissions and the ends of attempts that
    /// the predecessor relays.
    fn continue_from_predecessor(
        &self,
        config: EventLoopConfig,
        inherited: InheritedState,
    ) -> Result<EventLoop, ProcessError> {
        let InheritedState { state, stream } = inherited;
        let (event_loop, remote_attempts) = EventLoop::from_predecessor(config, self.config.seed, *state)?;
        relay::relay_predecessor(stream, remote_attempts, self.event_sender.clone(), self.limiter.clone());
        Ok(event_loop)
    }

    async fn event_loop_config(
        &self,
        lock: OwnershipLock,
        retries: StartupRetries,
    ) -> Result<EventLoopConfig, ProcessError> {
        let config = &self.config;
        let disk_bytes = (config.limits.disk_mb * BYTES_PER_MEGABYTE) as u64;
        let journal = retries.run("journal", || Journal::open(&config.state, disk_bytes)).await?;
        Ok(EventLoopConfig {
            settings: config.settings.clone(),
            names: config.names.clone(),
            max_open_body_bytes: self.max_open_body_bytes,
            lock,
            journal,
            delivery: self.delivery.clone(),
            notices: Rc::default(),
            metrics: self.metrics.clone(),
            invariants: self.invariants.clone(),
            event_sender: self.event_sender.clone(),
        })
    }

    /// Starts the tasks that only the sender may run. They end when the set is dropped.
    fn spawn_owner_tasks(
        &self,
        listener: &Rc<net::TcpListener>,
        accepting: TcpListener,
        notices: Rc<NoticeQueue>,
        known_version: Option<u64>,
    ) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        // The first attempt to bind is made here, not in the task: a successor may connect as soon as this
        // process is ready.
        tasks.spawn_local(serve_handovers(
            HandoverListener::bind(&self.config.state),
            self.config.state.clone(),
            listener.clone(),
            self.serving_state.clone(),
            self.successor_sender.clone(),
        ));
        tasks.spawn_local(discovery::watch(
            self.discovery.clone(),
            self.event_sender.clone(),
            PollPolicy::new(&self.config.settings),
            known_version,
        ));
        tasks.spawn_local(notices.send(self.discovery.clone(), self.event_sender.clone()));
        tasks.spawn_local(self.client_api.clone().serve(accepting));
        tasks
    }

    /// Answers the requests that are left and closes all connections, in at most [`FINAL_REPLY_TIMEOUT`].
    async fn finish(self) {
        // Closes the queue: clients whose submissions will not be decided on get an error as their reply.
        drop(self.events);
        self.limiter.log_open_connections();
        let closed = timeout(FINAL_REPLY_TIMEOUT, self.limiter.close_all()).await;
        if closed.is_err() && self.limiter.has_request_without_answer() {
            self.invariants.report(Invariant::RequestIsAnswered, ViolationSubject::Connection);
            tracing::warn!(
                connections = self.limiter.open_connections(),
                "ending with a request in progress"
            );
        }
        tracing::info!("ended");
    }
}

/// Replies [`SubmissionReply::Undetermined`] to the clients that still wait, now that a third process is the
/// sender. A successor that has died may have journalled their messages, so they must not be submitted again.
fn reply_undetermined(missed_events: Vec<SenderEvent>) {
    for event in missed_events {
        if let SenderEvent::Submitted(_, reply) = event {
            // Fails if the client has disconnected; it needs no reply.
            let _ = reply.send(SubmissionReply::Undetermined);
        }
    }
}

/// Listens for successors and passes them to the event loop. If the handover socket cannot be bound, this is
/// retried: without the socket, no successor would ever become the sender.
async fn serve_handovers(
    bound: io::Result<HandoverListener>,
    state: PathBuf,
    listener: Rc<net::TcpListener>,
    serving_state: Rc<ServingStateControl>,
    successors: mpsc::Sender<Successor>,
) {
    let mut bound = bound;
    let mut is_logged = false;
    loop {
        match bound {
            Ok(handover_listener) => {
                return handover_listener.serve(listener, serving_state, successors).await;
            }
            Err(error) if !is_logged => {
                tracing::error!(%error, "handover not available yet");
                is_logged = true;
            }
            Err(_) => {}
        }
        sleep(HANDOVER_BIND_PAUSE).await;
        bound = HandoverListener::bind(&state);
    }
}
