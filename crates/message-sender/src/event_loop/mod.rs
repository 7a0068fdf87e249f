//! The event loop, the only owner of the controller. It translates socket activity and commands into events
//! for the controller, and executes the controller's actions. It makes no delivery decisions of its own.

mod attempts;
mod audit;
mod clock;
mod commands;
mod completion;
mod events;
mod handover;
mod inputs;
mod journal_sync;
mod open_messages;
mod recovery;
mod shutdown;
mod submissions;
mod summary;
mod timers;
mod turn;

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use delivery_control::{AttemptGuard, Controller, Event, MessageId, Settings};
use deployment_config::Names;
use tokio::sync::{mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

use self::audit::AuditSchedule;
use self::clock::JournalClock;
pub use self::inputs::EventLoopInputs;
use self::journal_sync::{JournalFailureLog, JournalSync};
use self::open_messages::OpenMessages;
use self::shutdown::Shutdown;
use self::submissions::PendingReply;
use self::summary::LogSummary;
use self::timers::Timers;
use crate::delivery::DeliveryClient;
use crate::discovery::NoticeQueue;
use crate::endpoint_registry::EndpointRegistry;
use crate::event::SenderEvent;
use crate::handover::relay::Predecessor;
use crate::handover::OwnershipLock;
use crate::in_flight::InFlightAttempts;
use crate::invariants::InvariantMonitor;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::operator_api::CommandResult;
use crate::time::duration;

/// Longest time between two turns without any input.
const IDLE_TURN_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between two turns during a shutdown. It is shorter, so that the process ends soon after its
/// last work is done.
const SHUTDOWN_TURN_INTERVAL: Duration = Duration::from_millis(50);

/// The components and settings of an event loop.
pub struct EventLoopConfig {
    /// The controller's settings.
    pub settings: Settings,
    /// The names that the indices in the settings stand for.
    pub names: Names,
    /// Memory for the bodies of open messages, in bytes.
    pub max_open_body_bytes: usize,
    /// The lock whose holder is the sender.
    pub lock: OwnershipLock,
    /// The journal, already replayed.
    pub journal: Journal,
    /// The client that sends attempts to endpoints.
    pub delivery: Rc<DeliveryClient>,
    /// Notices that are to be sent to the platform.
    pub notices: Rc<NoticeQueue>,
    /// Counters and gauges of the process.
    pub metrics: Rc<Metrics>,
    /// Counts and logs violations of invariants.
    pub invariants: Rc<InvariantMonitor>,
    /// Channel on which attempts report their end; its receiver is [`EventLoopInputs::events`].
    pub event_sender: mpsc::Sender<SenderEvent>,
}

/// The parts of an event loop that refer to each other by the ids of endpoints and by times. They come from one
/// process: this one, if it starts from the journal, or its predecessor.
struct InitialState {
    controller: Controller,
    registry: EndpointRegistry,
    clock: JournalClock,
    timers: Timers,
}

/// How an event loop ends.
pub enum LoopEnd {
    /// The process is to terminate.
    Finished,
    /// A successor process is the sender now. This one still has attempts in flight and connected clients, and
    /// keeps what it knows in case the successor dies.
    HandedOver(Predecessor, Box<RetainedState>),
}

/// What a process that has handed over keeps, in case its successor dies. The successor is in charge of the
/// messages, so the journal has those.
pub struct RetainedState {
    controller: Controller,
    registry: EndpointRegistry,
    clock: JournalClock,
}

/// Owner of the controller, the journal and all open messages.
pub struct EventLoop {
    lock: OwnershipLock,
    controller: Controller,
    settings: Settings,
    names: Names,
    /// Memory for the bodies of open messages, in bytes. New messages are rejected beyond it.
    max_open_body_bytes: usize,
    clock: JournalClock,
    /// Shared with the attempts, which record here that their requests start. Their references are weak:
    /// nothing is written once the event loop is dropped.
    journal: Rc<RefCell<Journal>>,
    journal_sync: JournalSync,
    journal_failures: Rc<JournalFailureLog>,
    delivery: Rc<DeliveryClient>,
    notices: Rc<NoticeQueue>,
    event_sender: mpsc::Sender<SenderEvent>,
    /// Events for the controller's next turn.
    events: Vec<Event>,
    timers: Timers,
    next_message_id: MessageId,
    open_messages: OpenMessages,
    /// Replies to submissions, sent in the controller's next turn.
    pending_replies: Vec<PendingReply>,
    in_flight: InFlightAttempts,
    /// Checks attempts and ends of messages against the invariants; shared with the attempts.
    guard: Rc<RefCell<AttemptGuard>>,
    invariants: Rc<InvariantMonitor>,
    audits: AuditSchedule,
    registry: EndpointRegistry,
    metrics: Rc<Metrics>,
    /// Reply channels for operator commands that take effect in the controller's next turn.
    unacknowledged_commands: Vec<oneshot::Sender<CommandResult>>,
    summary: LogSummary,
    last_turn_at: Option<Instant>,
    shutdown: Shutdown,
}

impl RetainedState {
    /// The version of the last endpoint list, if this process has applied one.
    pub fn list_version(&self) -> Option<u64> {
        self.registry.version()
    }
}

impl EventLoop {
    /// Creates an event loop without open messages and without events for the controller.
    fn assemble(config: EventLoopConfig, initial: InitialState) -> Self {
        Self {
            lock: config.lock,
            controller: initial.controller,
            settings: config.settings,
            names: config.names,
            max_open_body_bytes: config.max_open_body_bytes,
            clock: initial.clock,
            next_message_id: config.journal.next_id(),
            journal: Rc::new(RefCell::new(config.journal)),
            journal_sync: JournalSync::new(),
            journal_failures: Rc::new(JournalFailureLog::new()),
            delivery: config.delivery,
            notices: config.notices,
            event_sender: config.event_sender,
            events: Vec::new(),
            timers: initial.timers,
            open_messages: OpenMessages::default(),
            pending_replies: Vec::new(),
            in_flight: InFlightAttempts::default(),
            guard: Rc::default(),
            invariants: config.invariants,
            audits: AuditSchedule::start(),
            registry: initial.registry,
            metrics: config.metrics,
            unacknowledged_commands: Vec::new(),
            summary: LogSummary::new(),
            last_turn_at: None,
            shutdown: Shutdown::default(),
        }
    }

    /// Runs turns until the process is to terminate, or a successor has become the sender.
    pub async fn run(mut self, mut inputs: EventLoopInputs<'_>) -> LoopEnd {
        let mut successor = None;
        self.update_gauges();
        while !self.is_finished(&inputs) {
            let mut wake_up = Instant::now();
            if self.events.is_empty() && self.pending_replies.is_empty() && successor.is_none() {
                wake_up = self.next_wake_up();
                successor = self.wait_for_input(&mut inputs).await;
            }
            wake_up = wake_up.max(self.next_turn_at());
            sleep_until(self.next_turn_at()).await;
            self.audits.record_wake_up(wake_up);
            self.handle_queued_commands(&mut inputs);
            self.handle_queued_events(&mut inputs);
            // Lets the tasks of closed connections run, so that their messages are withdrawn before the turn
            // sends them.
            yield_now().await;
            self.last_turn_at = Some(Instant::now());
            self.turn();
            self.synchronize_journal();
            self.update_gauges();
            self.acknowledge_commands();
            self.log_summary();
            self.audit();
            successor = successor.or_else(|| inputs.successors.try_recv().ok());
            if !self.is_ready_for_handover() {
                continue;
            }
            if let Some(successor) = successor.take() {
                if let Some(stream) = self.offer(successor).await {
                    return self.hand_over(stream).await;
                }
            }
        }
        self.summary.log_undelivered();
        tracing::info!(
            elapsed_ms = self.shutdown.elapsed_or_zero().as_millis(),
            open_messages = self.open_messages.len(),
            in_flight = self.in_flight.len(),
            notices = self.notices.len(),
            is_journal_synchronized = self.is_journal_synchronized(),
            "shutdown: event loop ended"
        );
        LoopEnd::Finished
    }

    /// The queue of notices to the platform.
    pub fn notices(&self) -> Rc<NoticeQueue> {
        self.notices.clone()
    }

    /// The version of the last endpoint list, if this process has applied one.
    pub fn list_version(&self) -> Option<u64> {
        self.registry.version()
    }

    /// The earliest time of the next turn: one turn interval after the last one.
    fn next_turn_at(&self) -> Instant {
        self.last_turn_at.map_or_else(Instant::now, |at| at + duration(self.settings.turn_interval))
    }

    /// When the event loop wakes up if no input arrives.
    fn next_wake_up(&self) -> Instant {
        let now = Instant::now();
        let idle = now + IDLE_TURN_INTERVAL;
        let periodic = if self.shutdown.is_requested() { now + SHUTDOWN_TURN_INTERVAL } else { idle };
        let timer = self.timers.next_due().map_or(idle, |due| self.clock.instant(due));
        let undelivered = self.summary.undelivered_due().unwrap_or(idle);
        let journal = self.next_journal_retry().unwrap_or(idle);
        timer.min(periodic).min(undelivered).min(journal)
    }

    /// Whether the process can terminate: before the shutdown deadline, only if nothing is left to do and no
    /// client's request is pending.
    fn is_finished(&self, inputs: &EventLoopInputs<'_>) -> bool {
        self.shutdown.is_complete(|| self.is_idle() && inputs.are_idle())
    }

    /// Whether no message, attempt, notice, journal record or reply is pending.
    fn is_idle(&self) -> bool {
        self.open_messages.is_empty()
            && self.in_flight.is_empty()
            && self.notices.len() == 0
            && self.is_journal_synchronized()
            && self.pending_replies.is_empty()
    }

    /// Whether no events remain to be reported to the controller, so that its state is complete; also true
    /// late in a shutdown, when events are no longer reported.
    fn is_ready_for_handover(&self) -> bool {
        self.events.is_empty() || self.shutdown.attempts_have_stopped()
    }

    fn log_summary(&mut self) {
        self.summary.log_undelivered();
        self.summary.log_traffic(self.open_messages.destinations(), self.in_flight.len());
    }

    fn update_gauges(&self) {
        self.metrics
            .in_progress
            .set(self.open_messages.len() + self.notices.len() + self.journal_sync.held_count());
        self.metrics.known_endpoints.set(self.registry.listed_count());
        self.metrics.skipped_endpoints.set(self.controller.avoided_endpoint_count());
    }
}
