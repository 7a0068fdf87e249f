//! corkthread: takes messages on from clients and delivers each by a call to an endpoint of its destination.
#![forbid(unsafe_code)]

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Context;
use delivery_control::Controller;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::timeout;

mod client_api;
mod config;
mod connection_limiter;
mod delivery;
mod discovery;
mod drain;
mod endpoint_list;
mod endpoint_registry;
mod event;
mod event_loop;
mod handover;
mod http_connection;
mod instrumented_stream;
mod journal;
mod metrics;
mod notice;
mod operator_api;
mod serving_state;
mod submission;
mod time;

use client_api::ClientApi;
use config::Config;
use connection_limiter::ConnectionLimiter;
use delivery::DeliveryClient;
use discovery::NoticeQueue;
use event::SenderEvent;
use event_loop::EventLoop;
use handover::{relay, HandoverListener, Ownership};
use journal::Journal;
use metrics::Metrics;
use operator_api::OperatorApi;
use serving_state::{ServingState, ServingStateControl};

/// Happenings that wait for the driver; who brings more waits too.
const INBOX: usize = 1024;

async fn run(config: Config) -> anyhow::Result<()> {
    // Before anything else: until there is a handler, the signal ends the process.
    let hangup = signal(SignalKind::hangup())?;
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    let (inbox, mut happenings) = mpsc::channel(INBOX);
    let (orders, mut ordered) = mpsc::channel(operator_api::REQUEST_QUEUE_CAPACITY);
    let (post, mut successors) = mpsc::channel(1);
    let (moved, discovery) = watch::channel(config.discovery);
    let serving_state = Rc::new(ServingStateControl::new());
    let (ready, metrics) = (Rc::new(Cell::new(false)), Rc::new(Metrics::new(&config.names)));
    let shares = config.limits.shares(config.settings.limits.max_in_flight);
    if let Some(address) = config.management {
        let listener = TcpListener::bind(address).await.context("the management address is not free")?;
        tracing::info!(management = %listener.local_addr()?, "listens for operators");
        let limiter = ConnectionLimiter::new(operator_api::MAX_CONNECTIONS);
        let (serving_state, ready, metrics) = (serving_state.clone(), ready.clone(), metrics.clone());
        let management = Rc::new(OperatorApi { serving_state, ready, metrics, requests: orders });
        tokio::task::spawn_local(limiter.clone().run_maintenance());
        tokio::task::spawn_local(management.serve(listener, limiter));
    }
    tokio::task::spawn_local(reload(hangup, moved));
    tokio::task::spawn_local(end(terminate, interrupt, serving_state.clone(), inbox.clone()));

    let endpoints = DeliveryClient::new(&config.settings.limits, shares.idle, metrics.attempts.clone());
    let limiter = ConnectionLimiter::new(shares.clients);
    let clients = Rc::new(ClientApi {
        settings: config.settings.clone(),
        names: config.names.clone(),
        inbox: inbox.clone(),
        serving_state: serving_state.subscribe(),
        limiter: limiter.clone(),
    });
    tokio::task::spawn_local(endpoints.clone().run_maintenance());
    tokio::task::spawn_local(limiter.clone().run_maintenance());

    let mut told = serving_state.subscribe();
    let mut claim = tokio::select! {
        claim = handover::acquire_ownership(&config.state, &config.names) => claim.context("the lasting folder is of no use")?,
        // Told to end before it was the sender.
        _ = told.wait_for(|serving_state| *serving_state == ServingState::ShuttingDown) => return Ok(()),
    };
    let mut unheard = Vec::new();
    loop {
        let Ownership { lock, listener, inherited } = claim;
        // The address first: an older version that knows no lock would hold it, and write the journal.
        let listener = match listener {
            Some(listener) => listener,
            None => TcpListener::bind(config.listen)
                .await
                .context("the listening address is not free")?
                .into_std()?,
        };
        let controller = Controller::new(config.settings.clone(), config.seed)?;
        let kept = (lock, Journal::open(&config.state, (config.limits.disk_mb * 1e6) as u64)?);
        let notices = Rc::new(NoticeQueue::default());
        let terms = (config.settings.clone(), config.names.clone());
        let (ends, counts) = (endpoints.clone(), metrics.clone());
        let mut driver =
            EventLoop::new(controller, terms, kept, ends, notices.clone(), counts, inbox.clone());
        // Before the first connection is accepted: to answer at all means to be ready.
        match inherited {
            Some((state, stream)) => {
                let out = driver.restore(*state, config.seed)?;
                relay::relay_predecessor(stream, out, inbox.clone(), limiter.clone());
            }
            None => driver.recover(config.known.clone()),
        }
        driver.replay_unheard(std::mem::take(&mut unheard));

        // All that only the sender may do; dropped when it is no more.
        let mut work = JoinSet::new();
        let accepting = TcpListener::from_std(listener.try_clone()?)?;
        let listen = accepting.local_addr()?;
        let listener = Rc::new(listener);
        match HandoverListener::bind(&config.state) {
            Ok(heirs) => {
                drop(work.spawn_local(heirs.serve(listener.clone(), serving_state.clone(), post.clone())))
            }
            // It serves all the same; an upgrade is a restart then.
            Err(error) => tracing::error!(%error, "no new process can take over"),
        }
        work.spawn_local(discovery::watch(
            discovery.clone(),
            inbox.clone(),
            discovery::PollPolicy::new(&config.settings),
            config.known.as_ref().map(|known| known.index),
        ));
        work.spawn_local(notices.send(discovery.clone(), inbox.clone()));
        work.spawn_local(clients.clone().serve(accepting));
        ready.set(true);
        tracing::info!(name = config.name, %listen, "ready");

        let driven = driver.run(&mut happenings, &mut ordered, &mut successors, &limiter).await;
        let event_loop::LoopEnd::HandedOver(old) = driven else { break };
        // Clients go to the new process.
        ready.set(false);
        serving_state.hand_over();
        work.shutdown().await;
        match old.run(&mut happenings, &limiter).await {
            relay::RelayEnd::Over => break,
            relay::RelayEnd::Orphaned(left) => unheard = left,
        }
        let Some(again) =
            handover::reacquire_ownership(&config.state).await.context("the lasting folder is of no use")?
        else {
            break;
        };
        tracing::warn!("the new process has died: takes its work back");
        claim = Ownership { listener: Some(listener.try_clone()?), ..again };
        endpoints.resume();
        serving_state.resume();
    }
    // Whoever has handed in what nobody will decide on any more hears so.
    drop(happenings);
    if timeout(drain::LAST_ANSWERS, limiter.wait_until_quiet()).await.is_err() {
        tracing::warn!(connections = limiter.open_connections(), "ends with a request on its way");
    }
    tracing::info!("ends");
    Ok(())
}

/// On each SIGHUP follows discovery to the address that the file names then. A file that cannot be read leaves
/// all as it is: an agent that may soon be gone is better than none.
async fn reload(mut hangup: Signal, moved: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match Config::discovery_now() {
            Ok(address) => {
                tracing::info!(discovery = %address, "the configuration was read again");
                moved.send_if_modified(|now| std::mem::replace(now, address) != address);
            }
            Err(error) => tracing::error!(%error, "the configuration stays as it was"),
        }
    }
}

/// Makes the sender drain once it is told to end.
async fn end(
    mut terminate: Signal,
    mut interrupt: Signal,
    serving_state: Rc<ServingStateControl>,
    inbox: mpsc::Sender<SenderEvent>,
) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!("draining");
    serving_state.shut_down();
    // Its receiver ends only with the process.
    let _ = inbox.send(SenderEvent::ShutdownRequested).await;
    std::future::pending::<()>().await;
}

fn main() -> anyhow::Result<()> {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(Config::from_environment()?))
}
