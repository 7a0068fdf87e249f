//! The only owner of the controller: turns what happens on sockets into its events, and carries out its
//! actions. It decides nothing.

pub mod summary;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use delivery_control::Controller;
use delivery_control::{
    Action, AmbiguousAttempt, AttemptEnd, AttemptOutcome, DestinationId, EndpointId, Event,
    MaintenanceCommand, MessageId, MessageSubmission, Micros, Settings, SettingsError,
};
use deployment_config::Names;
use hyper::header::HeaderValue;
use tokio::net::UnixStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

use self::summary::{LogSummary, RejectionCause};
use crate::connection_limiter::ConnectionLimiter;
use crate::delivery::{AttemptPhase, AttemptResult, Call, DeliveryClient};
use crate::discovery::NoticeQueue;
use crate::drain::{DRAIN_ENDS, DRAIN_LINGERS, DRAIN_SENDS};
use crate::endpoint_list::EndpointList;
use crate::endpoint_registry::{DestinationStatus, EndpointRegistry, RegistryUpdate};
use crate::event::SenderEvent;
use crate::handover::relay::{Predecessor, RemoteCall};
use crate::handover::{self, HandoverState, OwnershipLock, Successor};
use crate::journal::{
    AcceptedMessage, AttemptHistory, AttemptStart, Body, Journal, JournalEntry, JournalError,
};
use crate::metrics::{MessageOutcome, Metrics};
use crate::notice::{Notice, NoticeResult};
use crate::operator_api::{CommandResult, OperatorCommand, OperatorRequest};
use crate::submission::{Submission, SubmissionReply};
use crate::time::duration;

/// Two processes' clocks differ by no more, unless somebody has set the time in between.
const CLOCKS_DIFFER: Micros = 2_000_000;
/// Told with a refusal of what cannot be held or kept.
const NO_ROOM_WAIT: Micros = 1_000_000;

/// Unix time that never goes back: monotonic from the process's start on, so that times in the journal and
/// in the module are the same.
#[derive(Clone, Copy)]
struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros());
        Self { started: Instant::now(), unix: Micros::try_from(unix).unwrap_or(0) }
    }

    /// Goes on where another process's clock stood a moment ago, unless this one's agrees with it.
    fn restore(&mut self, other: Micros) {
        let ahead = self.now() - other;
        if !(0..CLOCKS_DIFFER).contains(&ahead) {
            self.unix -= ahead;
        }
    }

    fn now(&self) -> Micros {
        self.unix + Micros::try_from(self.started.elapsed().as_micros()).unwrap_or(0)
    }

    fn instant(&self, at: Micros) -> Instant {
        self.started + duration(at - self.unix)
    }
}

/// A message that is held.
struct OpenMessage {
    call_id: String,
    class: usize,
    key: Option<String>,
    destination: DestinationId,
    body: Bytes,
    attempts: u32,
    taken_at: Micros,
    /// Another process took it on.
    resumed: bool,
}

/// How a driver ends.
pub enum LoopEnd {
    /// The process is to end.
    Over,
    /// Another process is the sender; this one still has calls out, and clients.
    HandedOver(Predecessor),
}

pub struct EventLoop {
    lock: OwnershipLock,
    controller: Controller,
    settings: Settings,
    names: Names,
    clock: Clock,
    /// Shared with calls, which write when they begin to go out; nobody writes once the driver has gone.
    journal: Rc<RefCell<Journal>>,
    delivery: Rc<DeliveryClient>,
    notices: Rc<NoticeQueue>,
    outbox: mpsc::Sender<SenderEvent>,
    /// For the next turn.
    events: Vec<Event>,
    timers: BTreeSet<(Micros, u64)>,
    next_id: MessageId,
    open: BTreeMap<MessageId, OpenMessage>,
    by_call_id: HashMap<String, MessageId>,
    /// Clients that wait for an answer, and whether the message came with them.
    waiting: Vec<(MessageId, bool, oneshot::Sender<SubmissionReply>)>,
    /// Calls that are out; dropping one cancels it.
    calls: HashMap<(MessageId, u32), oneshot::Sender<()>>,
    registry: EndpointRegistry,
    metrics: Rc<Metrics>,
    /// Operators whose command stands once the module has been told of it.
    unacknowledged: Vec<oneshot::Sender<CommandResult>>,
    summary: LogSummary,
    turned: Option<Instant>,
    drains: Option<Instant>,
}

impl EventLoop {
    pub fn new(
        controller: Controller,
        (settings, names): (Settings, Names),
        (lock, journal): (OwnershipLock, Journal),
        delivery: Rc<DeliveryClient>,
        notices: Rc<NoticeQueue>,
        metrics: Rc<Metrics>,
        outbox: mpsc::Sender<SenderEvent>,
    ) -> Self {
        let next_id = journal.next_id();
        let mut registry = EndpointRegistry::new(names.clone(), settings.kinds.clone());
        let out = journal.drained_endpoints().iter().map(|name| registry.mark_drained(name));
        let events =
            out.map(|endpoint| Event::Maintenance { endpoint, command: MaintenanceCommand::Drain }).collect();
        Self {
            lock,
            controller,
            settings,
            names,
            clock: Clock::start(),
            journal: Rc::new(RefCell::new(journal)),
            delivery,
            notices,
            outbox,
            events,
            timers: BTreeSet::new(),
            next_id,
            open: BTreeMap::new(),
            by_call_id: HashMap::new(),
            waiting: Vec::new(),
            calls: HashMap::new(),
            registry,
            metrics,
            unacknowledged: Vec::new(),
            summary: LogSummary::new(),
            turned: None,
            drains: None,
        }
    }

    /// Takes up what an earlier process left, under the list of endpoints as last known.
    pub fn recover(&mut self, known: Option<EndpointList>) {
        if let Some(list) = known {
            let told = self.registry.load_cached(&list);
            self.list(list.index, told);
        }
        let kept: Vec<_> = self.journal.borrow().entries().map(|(id, kept)| (id, kept.clone())).collect();
        let count = |past: fn(&AttemptHistory) -> bool| {
            kept.iter().filter(|(_, kept)| matches!(kept, JournalEntry::Open(_, of) if past(of))).count()
        };
        let (untried, tried) = (count(|past| past.attempts == 0), count(|past| past.attempts > 0));
        tracing::info!(untried, tried, owed = kept.len() - untried - tried, "resumes");
        for (id, kept) in kept {
            match kept {
                JournalEntry::PendingNotice(notice, order_key) => {
                    self.notices.push(id, notice);
                    self.events.extend(order_key.map(|order_key| Event::NoticePending { id, order_key }));
                }
                JournalEntry::Open(taken, past) => self.resume_message(id, taken, past),
            }
        }
    }

    /// Goes on from what another process left. Gives its calls that are out, each with the way to call it off.
    pub fn restore(&mut self, state: HandoverState, seed: u64) -> Result<Vec<RemoteCall>, SettingsError> {
        self.controller = state.controller.restore(self.settings.clone(), seed)?;
        self.registry.restore(state.registry);
        self.clock.restore(state.now);
        self.timers = state.timers.into_iter().collect();
        let kept: Vec<_> = self.journal.borrow().entries().map(|(id, kept)| (id, kept.clone())).collect();
        for (id, kept) in kept {
            match kept {
                JournalEntry::PendingNotice(notice, _) => self.notices.push(id, notice),
                JournalEntry::Open(taken, past) if self.controller.holds_message(id) => {
                    self.hold(id, taken, past)
                }
                // Its end was not written; what is not known to have ended goes on.
                JournalEntry::Open(taken, past) => self.resume_message(id, taken, past),
            }
        }
        let remote = |call| {
            let (cancel, cancelled) = oneshot::channel();
            self.calls.insert(call, cancel);
            (call, cancelled)
        };
        Ok(state.out.into_iter().map(remote).collect())
    }

    /// What the next process is to know, if this one can still tell it.
    fn state(&self) -> Option<HandoverState> {
        (!self.rests()).then(|| HandoverState {
            now: self.clock.now(),
            names: self.names.clone(),
            controller: self.controller.clone(),
            registry: self.registry.snapshot(),
            timers: self.timers.iter().copied().collect(),
            out: self.calls.keys().copied().collect(),
        })
    }

    fn hold(&mut self, id: MessageId, taken: AcceptedMessage, past: AttemptHistory) {
        let Some(class) = self.names.class(&taken.class) else { return };
        let AcceptedMessage { call_id, key, destination, body: Body(body), .. } = taken;
        self.by_call_id.insert(call_id.clone(), id);
        let (attempts, taken_at) = (past.attempts, self.clock.now());
        self.open.insert(
            id,
            OpenMessage { call_id, class, key, destination, body, attempts, taken_at, resumed: true },
        );
    }

    fn resume_message(&mut self, id: MessageId, taken: AcceptedMessage, past: AttemptHistory) {
        let Some(class) = self.names.class(&taken.class) else {
            // The class is no longer served: nobody can say whether a repeat would be harmless.
            return self.conclude(id, taken.call_id, NoticeResult::Failed);
        };
        let taken_at = self.clock.now();
        let time_left = taken.deadline - taken_at;
        // No tenant: its share was counted when it was taken on, and the whole backlog comes in one turn here.
        let (tenant, destination, order_key) = (None, taken.destination, taken.order_key.clone());
        let (work, returned, repeat, write) = (None, false, false, false);
        self.events.push(Event::MessageSubmitted(MessageSubmission {
            id,
            class,
            tenant,
            destination,
            time_left,
            work,
            order_key,
            returned,
            repeat,
            write,
        }));
        let ran = past
            .first_ambiguous()
            .map(|first| AmbiguousAttempt { sent_at: first.sent_at, zone: first.zone as usize });
        self.events.push(Event::MessageRecovered { id, attempts: past.attempts, first_ambiguous: ran });
        self.hold(id, taken, past);
    }

    /// Takes in what this process was told while another one was the sender. Of its calls the journal knows that
    /// they were out; what they have ended is over.
    pub fn replay_unheard(&mut self, unheard: Vec<SenderEvent>) {
        for happening in unheard {
            match happening {
                SenderEvent::AttemptEnded { id, result: ending, .. } if ending.last => {
                    self.withdraw(id, Some(fate(&ending)));
                    self.events.push(Event::MessageWithdrawn { id });
                }
                SenderEvent::AttemptEnded { .. } => {}
                other => self.note(other),
            }
        }
    }

    /// Runs turns until the process is to end, or another one is the sender.
    pub async fn run(
        mut self,
        inbox: &mut mpsc::Receiver<SenderEvent>,
        orders: &mut mpsc::Receiver<OperatorRequest>,
        successors: &mut mpsc::Receiver<Successor>,
        limiter: &ConnectionLimiter,
    ) -> LoopEnd {
        let mut successor = None;
        self.update_gauges();
        while !self.is_done(inbox.is_empty() && !limiter.has_pending_request()) {
            if self.events.is_empty() && self.waiting.is_empty() && successor.is_none() {
                tokio::select! {
                    Some(OperatorRequest { command, reply }) = orders.recv() => self.command(command, reply),
                    Some(happening) = inbox.recv() => self.note(happening),
                    Some(came) = successors.recv() => successor = Some(came),
                    () = sleep_until(self.wake()) => {}
                }
            }
            if let Some(turned) = self.turned {
                sleep_until(turned + duration(self.settings.turn_interval)).await;
            }
            while let Ok(OperatorRequest { command, reply }) = orders.try_recv() {
                self.command(command, reply);
            }
            // Once round the queue at most, lest a flood keep the turn from coming.
            for _ in 0..inbox.len() {
                if let Ok(happening) = inbox.try_recv() {
                    self.note(happening);
                }
            }
            // Connections that have ended meanwhile get to say so before anything is sent on for them.
            yield_now().await;
            self.turned = Some(Instant::now());
            self.turn();
            self.update_gauges();
            self.acknowledge_commands();
            self.summary.log_rejections();
            self.summary.log_traffic(self.open.values().map(|open| open.destination), self.calls.len());
            successor = successor.or_else(|| successors.try_recv().ok());
            // Between two turns, with nothing left to tell the module.
            if self.events.is_empty() || self.rests() {
                if let Some(successor) = successor.take() {
                    match self.offer(successor).await {
                        Some(stream) => return self.hand_over(stream).await,
                        None => continue,
                    }
                }
            }
        }
        self.summary.log_rejections();
        LoopEnd::Over
    }

    /// Offers all to a new process. Nothing has changed for this one unless it gives the way to the new one.
    async fn offer(&mut self, successor: Successor) -> Option<UnixStream> {
        let state = if successor.reads_state() { self.state() } else { None };
        let whole = state.is_some();
        match successor.offer(state).await {
            Ok(stream) if whole => Some(stream),
            Ok(_) => {
                tracing::info!("drains for a new process that reads the journal alone");
                self.drains = self.drains.or(Some(Instant::now()));
                None
            }
            Err(error) => {
                tracing::warn!(%error, "no handover: goes on");
                None
            }
        }
    }

    /// From here on the other process is the sender. The journal is closed before it can be opened there.
    async fn hand_over(self, mut stream: UnixStream) -> LoopEnd {
        let Self { lock, journal, delivery, calls, drains, .. } = self;
        drop(journal);
        // Calls that have not begun to go out never will.
        delivery.suspend();
        handover::commit(&mut stream, lock).await;
        tracing::info!(out = calls.len(), "handed over");
        LoopEnd::HandedOver(Predecessor::new(stream, calls, drains))
    }

    fn wake(&self) -> Instant {
        let idle = Instant::now() + Duration::from_secs(1);
        let timer = self.timers.first().map_or(idle, |(at, _)| self.clock.instant(*at));
        let poll = if self.drains.is_some() { Instant::now() + Duration::from_millis(50) } else { idle };
        timer.min(poll).min(self.summary.due().unwrap_or(idle))
    }

    /// Whether the process can end: before its time is up, only with nothing to do and no request on its way.
    fn is_done(&self, quiet: bool) -> bool {
        self.drains.is_some_and(|since| {
            let held = self.open.is_empty() && self.calls.is_empty() && self.notices.len() == 0;
            let idle = held && self.waiting.is_empty() && quiet;
            let passed = since.elapsed();
            passed >= DRAIN_ENDS || (idle && passed >= DRAIN_LINGERS)
        })
    }

    /// Late in a drain nothing new goes out: what is open stays in the journal for the next process.
    fn rests(&self) -> bool {
        self.drains.is_some_and(|since| since.elapsed() >= DRAIN_SENDS)
    }

    // What happens.

    fn note(&mut self, happening: SenderEvent) {
        match happening {
            SenderEvent::Submitted(handed, reply) => self.handed(*handed, reply),
            SenderEvent::AttemptEnded { id, attempt, endpoint, elapsed, result: ending } => {
                self.called(id, attempt, endpoint, elapsed, ending);
            }
            SenderEvent::EndpointListReceived(list) => {
                let told = self.registry.apply_update(&list);
                self.list(list.index, told);
            }
            SenderEvent::NoticesAcknowledged(ids) => ids.into_iter().for_each(|id| self.noticed(id)),
            SenderEvent::ShutdownRequested => self.drains = self.drains.or(Some(Instant::now())),
        }
    }

    fn command(&mut self, command: OperatorCommand, reply: oneshot::Sender<CommandResult>) {
        if reply.is_closed() {
            return;
        }
        let (name, out) = match &command {
            OperatorCommand::Drain(name) => (name, true),
            OperatorCommand::Restore(name) => (name, false),
        };
        if !self.registry.is_known(name) {
            // If the caller is gone, nothing was promised; so below.
            let _ = reply.send(CommandResult::UnknownEndpoint);
            return;
        }
        let kept = if out {
            self.journal.borrow_mut().record_drained(name)
        } else {
            self.journal.borrow_mut().record_restored(name)
        };
        if kept.inspect_err(|error| tracing::error!(%error, "an operator's command is not kept")).is_err() {
            let _ = reply.send(CommandResult::NotPersisted);
            return;
        }
        tracing::info!(?command, "an operator commands");
        let endpoint = if out { self.registry.mark_drained(name) } else { self.registry.mark_restored(name) };
        if out {
            self.delivery.drain(endpoint);
        }
        self.events.push(Event::Maintenance {
            endpoint,
            command: if out { MaintenanceCommand::Drain } else { MaintenanceCommand::Restore },
        });
        self.unacknowledged.push(reply);
    }

    /// Brings the gauges up to date.
    fn update_gauges(&self) {
        self.metrics.in_progress.set(self.open.len() + self.notices.len());
        self.metrics.known_endpoints.set(self.registry.listed_count());
        self.metrics.skipped_endpoints.set(self.controller.avoided_endpoint_count());
    }

    /// Says yes to commands that the module has taken in.
    fn acknowledge_commands(&mut self) {
        for reply in self.unacknowledged.drain(..) {
            let _ = reply.send(CommandResult::Done);
        }
    }

    fn handed(&mut self, handed: Submission, reply: oneshot::Sender<SubmissionReply>) {
        if reply.is_closed() {
            return;
        }
        if let Some(id) = self.by_call_id.get(&handed.call_id) {
            // Handed in once more because an answer got lost: it is taken on already.
            return self.waiting.push((*id, false, reply));
        }
        if self.rests() {
            // The next process would have to try it, some seconds from now: others are sooner.
            self.summary.count_rejection(RejectionCause::AttemptResult, handed.destination);
            self.metrics.count_outcome(handed.class, MessageOutcome::Rejected);
            let _ = reply.send(SubmissionReply::Rejected(NO_ROOM_WAIT));
            return;
        }
        let unheard = match self.registry.destination_status(handed.destination) {
            DestinationStatus::Known => None,
            DestinationStatus::Unknown => {
                Some((RejectionCause::UnknownDestination, SubmissionReply::UnknownDestination))
            }
            DestinationStatus::Undetermined => {
                Some((RejectionCause::UndeterminedDestination, SubmissionReply::Rejected(NO_ROOM_WAIT)))
            }
        };
        if let Some((cause, answer)) = unheard {
            self.summary.count_rejection(cause, handed.destination);
            if matches!(answer, SubmissionReply::Rejected(_)) {
                self.metrics.count_outcome(handed.class, MessageOutcome::Rejected);
            }
            // If the client is gone, all the better; so below.
            let _ = reply.send(answer);
            return;
        }
        let id = self.next_id;
        let now = self.clock.now();
        let deadline = now.saturating_add(handed.time_left);
        let taken = AcceptedMessage {
            call_id: handed.call_id.clone(),
            key: handed.key.clone(),
            class: handed.class_name,
            destination: handed.destination,
            order_key: handed.order_key.clone(),
            deadline,
            body: Body(handed.body.clone()),
        };
        let full = self.open.len() + self.notices.len() >= self.settings.limits.buffer_capacity;
        if full
            || self
                .journal
                .borrow_mut()
                .record_accepted(id, taken)
                .inspect_err(|error| tracing::warn!(%error))
                .is_err()
        {
            self.summary.count_rejection(
                if full { RejectionCause::BufferFull } else { RejectionCause::JournalFull },
                handed.destination,
            );
            self.metrics.count_outcome(handed.class, MessageOutcome::Rejected);
            let _ = reply.send(SubmissionReply::Rejected(NO_ROOM_WAIT));
            return;
        }
        self.next_id += 1;
        self.events.push(Event::MessageSubmitted(MessageSubmission {
            id,
            class: handed.class,
            tenant: handed.tenant,
            destination: handed.destination,
            time_left: handed.time_left,
            // The protocol gives no guess of it, and no kind of effect.
            work: None,
            order_key: handed.order_key,
            returned: handed.returned,
            repeat: handed.repeat,
            write: false,
        }));
        self.by_call_id.insert(handed.call_id.clone(), id);
        let Submission { call_id, class, key, destination, body, .. } = handed;
        tracing::debug!(id, call_id, class, destination, time_left_us = handed.time_left, "is handed in");
        self.open.insert(
            id,
            OpenMessage {
                call_id,
                class,
                key,
                destination,
                body,
                attempts: 0,
                taken_at: now,
                resumed: false,
            },
        );
        self.waiting.push((id, true, reply));
    }

    fn called(
        &mut self,
        id: MessageId,
        attempt: u32,
        endpoint: EndpointId,
        elapsed: Micros,
        ending: AttemptResult,
    ) {
        self.calls.remove(&(id, attempt));
        if let Some(place) = self.registry.get(endpoint) {
            self.summary.record_attempt_end(place.route.0, elapsed, &ending);
        }
        let AttemptResult { outcome, wait, last, load, begun } = ending;
        tracing::debug!(id, attempt, ?outcome, elapsed, wait, begun, ?load, "a call ends");
        if last {
            self.withdraw(id, Some(fate(&ending)));
        } else if self.open.contains_key(&id) {
            let never_ran = matches!(
                outcome,
                AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
            );
            if never_ran && begun {
                log_failure(self.journal.borrow_mut().record_unprocessed(id));
            }
        }
        self.events.push(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            is_final: last,
            retry_after: wait,
            load_report: load,
        }));
    }

    fn noticed(&mut self, id: MessageId) {
        log_failure(self.journal.borrow_mut().record_notice_acknowledged(id));
        self.events.push(Event::NoticeAcknowledged { id });
    }

    fn list(&mut self, version: u64, told: RegistryUpdate) {
        told.departed.into_iter().for_each(|endpoint| self.delivery.drain(endpoint));
        self.events.push(Event::EndpointsUpdated { update: told.update, version, entries: told.entries });
    }

    // Turns.

    fn turn(&mut self) {
        let now = self.clock.now();
        if self.rests() {
            self.events.clear();
            return self.answer(&BTreeMap::new());
        }
        while let Some((at, token)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, token));
            self.events.push(Event::TimerFired { token });
        }
        self.events.iter().for_each(|event| self.summary.record_event(event));
        let mut actions = Vec::new();
        self.controller.turn(now, &std::mem::take(&mut self.events), &mut actions);
        let refused = actions.iter().filter_map(|action| match action {
            Action::Reject { id, retry_after } => Some((*id, *retry_after)),
            _ => None,
        });
        // Before any call goes out: a client that is gone has withdrawn its message.
        self.answer(&refused.collect());
        actions.into_iter().for_each(|action| self.act(now, action));
    }

    /// Answers the clients that wait. What the module refused in its first turn was never taken on.
    fn answer(&mut self, refused: &BTreeMap<MessageId, Micros>) {
        let (mut gone, mut heard) = (BTreeSet::new(), BTreeSet::new());
        for (id, first, reply) in std::mem::take(&mut self.waiting) {
            let answer =
                refused.get(&id).map_or(SubmissionReply::Accepted, |wait| SubmissionReply::Rejected(*wait));
            match reply.send(answer) {
                Ok(()) => drop(heard.insert(id)),
                Err(_) if first => drop(gone.insert(id)),
                Err(_) => {}
            }
            if refused.contains_key(&id) {
                self.count_given_up(id, true);
                self.withdraw(id, Some(MessageOutcome::Rejected));
            }
        }
        for id in gone.difference(&heard) {
            self.withdraw(*id, None);
            self.events.push(Event::MessageWithdrawn { id: *id });
        }
    }

    /// Ends a message of which nothing is owed; it has no fate where no client heard of it.
    fn withdraw(&mut self, id: MessageId, fate: Option<MessageOutcome>) {
        if self.close(id, fate).is_some() {
            log_failure(self.journal.borrow_mut().record_end(id, None));
        }
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { id, endpoint, timeout, begin_by } => {
                self.send(now, id, endpoint, (timeout, begin_by));
            }
            Action::Cancel { id, attempt } => drop(self.calls.remove(&(id, attempt))),
            Action::Reject { id, retry_after } => self.give_up(id, NoticeResult::Rejected { retry_after }),
            Action::Fail { id } => self.give_up(id, NoticeResult::Failed),
            Action::SetTimer { at, token } => drop(self.timers.insert((at, token))),
            Action::CloseIdle { endpoint } => self.delivery.close_idle(endpoint),
            Action::Log { text } => tracing::info!("{text}"),
            // The watch runs all the time; the module neither probes nor sends notes.
            Action::Subscribe { .. } | Action::FetchList | Action::Probe { .. } | Action::SendNote { .. } => {
            }
        }
    }

    fn send(&mut self, now: Micros, id: MessageId, endpoint: EndpointId, times: (Micros, Micros)) {
        let Some((attempt, call)) = self.prepare(now, id, endpoint, times) else {
            // Not held any more: no byte of it has gone out.
            let attempt = self.open.get_mut(&id).map_or(0, |open| {
                open.attempts += 1;
                open.attempts - 1
            });
            let outcome = AttemptOutcome::NotSent;
            let (elapsed, wait, load, last) = (0, 0, None, false);
            return self.events.push(Event::AttemptEnded(AttemptEnd {
                id,
                attempt,
                endpoint,
                outcome,
                elapsed,
                is_final: last,
                retry_after: wait,
                load_report: load,
            }));
        };
        tracing::debug!(id, attempt, endpoint, timeout_us = times.0, "a call is made");
        let (cancel, cancelled) = oneshot::channel();
        self.calls.insert((id, attempt), cancel);
        let (delivery, outbox) = (self.delivery.clone(), self.outbox.clone());
        tokio::task::spawn_local(async move {
            let began = Instant::now();
            let ending = delivery.call(call, cancelled).await;
            let elapsed = Micros::try_from(began.elapsed().as_micros()).unwrap_or(Micros::MAX);
            // The driver outlives its calls but at the process's end.
            drop(
                outbox
                    .send(SenderEvent::AttemptEnded { id, attempt, endpoint, elapsed, result: ending })
                    .await,
            );
        });
    }

    fn prepare(
        &mut self,
        now: Micros,
        id: MessageId,
        endpoint: EndpointId,
        (timeout, begin_by): (Micros, Micros),
    ) -> Option<(u32, Call)> {
        let place = self.registry.get(endpoint)?;
        let keep = self.keep(id, AttemptStart { sent_at: now, zone: place.zone as u64 });
        let open = self.open.get_mut(&id)?;
        // A call to any other destination's endpoint would be worse than none.
        if place.route.0 != open.destination {
            return None;
        }
        let call = Call {
            endpoint,
            address: place.address,
            route: place.route,
            call_id: HeaderValue::from_str(&open.call_id).ok()?,
            key: open.key.as_ref().and_then(|key| HeaderValue::from_str(key).ok()),
            body: open.body.clone(),
            timeout: duration(timeout),
            made: Instant::now(),
            begin_by: self.clock.instant(begin_by),
            keep,
        };
        if open.attempts == 0 {
            self.summary.record_first_attempt(now - open.taken_at);
        }
        open.attempts += 1;
        Some((open.attempts - 1, call))
    }

    /// How a call has the journal told how far it has come.
    fn keep(&self, id: MessageId, start: AttemptStart) -> Box<dyn Fn(AttemptPhase) -> bool> {
        let journal = Rc::downgrade(&self.journal);
        Box::new(move |step| {
            let Some(journal) = journal.upgrade() else { return false };
            let written = match step {
                // What has ended while the connection came up goes nowhere.
                AttemptPhase::Starting if !journal.borrow().is_open(id) => return false,
                AttemptPhase::Starting => journal.borrow_mut().record_attempt(id, start),
                AttemptPhase::NotStarted => journal.borrow_mut().record_unsent(id),
            };
            written.inspect_err(|error| tracing::warn!(%error)).is_ok()
        })
    }

    /// Ends a message by a notice, unless its client has heard of the refusal already.
    fn give_up(&mut self, id: MessageId, result: NoticeResult) {
        let rejected = result != NoticeResult::Failed;
        self.count_given_up(id, rejected);
        let fate = if rejected { MessageOutcome::Rejected } else { MessageOutcome::Failed };
        match self.close(id, Some(fate)) {
            Some(open) => self.conclude(id, open.call_id, result),
            None => self.events.push(Event::NoticeAcknowledged { id }),
        }
    }

    fn count_given_up(&mut self, id: MessageId, refused: bool) {
        let Some(open) = self.open.get(&id) else { return };
        let cause = match refused {
            true if open.attempts == 0 && open.resumed => RejectionCause::RecoveredUnattempted,
            true if open.attempts == 0 => RejectionCause::RejectedUnattempted,
            true => RejectionCause::RejectedAttempted,
            false => RejectionCause::Failed,
        };
        tracing::debug!(id, call_id = open.call_id, ?cause, attempts = open.attempts, "is given up");
        self.summary.count_rejection(cause, open.destination);
    }

    fn conclude(&mut self, id: MessageId, call_id: String, result: NoticeResult) {
        let notice = Notice { call_id, result };
        log_failure(self.journal.borrow_mut().record_end(id, Some(notice.clone())));
        self.notices.push(id, notice);
    }

    fn close(&mut self, id: MessageId, fate: Option<MessageOutcome>) -> Option<OpenMessage> {
        let open = self.open.remove(&id)?;
        fate.into_iter().for_each(|fate| self.metrics.count_outcome(open.class, fate));
        self.by_call_id.remove(&open.call_id);
        Some(open)
    }
}

/// What became of a message that is over by a call. What is not delivered is out of time, or given up by its client.
fn fate(ending: &AttemptResult) -> MessageOutcome {
    if ending.outcome == AttemptOutcome::Delivered {
        MessageOutcome::Delivered
    } else {
        MessageOutcome::Failed
    }
}

/// What cannot be written of a message's end may be done again after a restart, which the key makes harmless.
fn log_failure(written: Result<(), JournalError>) {
    if let Err(error) = written {
        tracing::error!(%error, "a record is missing in the journal");
    }
}
