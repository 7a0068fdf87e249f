//! Restores the sender's state when a process starts: from the journal alone, or also from the state that a
//! predecessor hands over.

use std::collections::BTreeSet;

use delivery_control::{
    AttemptId, AttemptReconciliation, Controller, EndpointId, Event, Invariant, MaintenanceCommand,
    MessageId, MessageSubmission, SettingsError,
};

use super::audit::{ambiguous_attempt, first_ambiguous, GuardRegistration};
use super::clock::JournalClock;
use super::open_messages::{MessageOrigin, OpenMessage};
use super::timers::Timers;
use super::{EventLoop, EventLoopConfig, InitialState, RetainedState};
use crate::endpoint_list::EndpointList;
use crate::endpoint_registry::EndpointRegistry;
use crate::handover::relay::RemoteAttempt;
use crate::handover::HandoverState;
use crate::invariants::ViolationSubject;
use crate::journal::{AcceptedMessage, AttemptHistory, Body, ClockReading, Journal, JournalEntry};
use crate::machine_clock::MachineTime;
use crate::notice::{Notice, NoticeResult};

/// Stands for the endpoint of an attempt that no call carries; no endpoint has this id.
const UNKNOWN_ENDPOINT: EndpointId = 0;

/// The id of the first message of a journal.
const FIRST_MESSAGE_ID: MessageId = 1;

/// Number of entries of each kind in the journal at the start, for the log.
#[derive(Default)]
struct RecoveryCounts {
    unattempted: usize,
    attempted: usize,
    pending_notices: usize,
}

impl RecoveryCounts {
    fn of(entries: &[(MessageId, JournalEntry)]) -> Self {
        let mut counts = Self::default();
        for (_, entry) in entries {
            match entry {
                JournalEntry::Open(_, history) if history.attempts == 0 => counts.unattempted += 1,
                JournalEntry::Open(..) => counts.attempted += 1,
                JournalEntry::PendingNotice(..) => counts.pending_notices += 1,
            }
        }
        counts
    }

    fn log(&self) {
        tracing::info!(
            unattempted = self.unattempted,
            attempted = self.attempted,
            pending_notices = self.pending_notices,
            "recovered messages from the journal"
        );
    }
}

/// The clock of a journal, continued from the last reading in it.
fn resumed_clock(journal: &Journal) -> JournalClock {
    JournalClock::resume(journal.clock_reading(), MachineTime::now().as_ref())
}

impl EventLoop {
    /// Creates an event loop that continues from the journal alone: with the open messages, pending notices and
    /// drained endpoints that earlier processes recorded. `cached_list` is the endpoint list that was stored
    /// last.
    pub fn from_journal(
        config: EventLoopConfig,
        seed: u64,
        cached_list: Option<EndpointList>,
    ) -> Result<Self, SettingsError> {
        let initial = InitialState {
            controller: Controller::new(config.settings.clone(), seed)?,
            registry: EndpointRegistry::new(config.names.clone(), config.settings.kinds.clone()),
            clock: resumed_clock(&config.journal),
            timers: Timers::default(),
        };
        let mut event_loop = Self::assemble(config, initial);
        event_loop.synchronize_drained_endpoints();
        if let Some(list) = cached_list {
            let update = event_loop.registry.load_cached(&list);
            event_loop.report_endpoints(list.version, update);
        }
        event_loop.recover();
        Ok(event_loop)
    }

    /// Creates an event loop that continues from the state that a predecessor handed over and from the journal.
    /// Returns it with the attempts that the predecessor has in flight, each with a receiver that completes
    /// when the attempt is to be cancelled.
    pub fn from_predecessor(
        config: EventLoopConfig,
        seed: u64,
        state: HandoverState,
    ) -> Result<(Self, Vec<RemoteAttempt>), SettingsError> {
        let HandoverState { now, controller, registry, timers, in_flight, .. } = state;
        let mut clock = resumed_clock(&config.journal);
        clock.restore(now);
        let initial = InitialState {
            controller: controller.restore(config.settings.clone(), seed)?,
            registry: EndpointRegistry::restore(
                config.names.clone(),
                config.settings.kinds.clone(),
                registry,
            ),
            clock,
            timers: Timers::restore(timers),
        };
        let mut event_loop = Self::assemble(config, initial);
        event_loop.synchronize_drained_endpoints();
        let remote_attempts = event_loop.resume(in_flight);
        Ok((event_loop, remote_attempts))
    }

    /// Creates an event loop that takes the work back after the death of a successor: with the messages of the
    /// journal, and with what this process knew about endpoints when it handed over. `changes` are those of the
    /// endpoint list since then, as far as they are known.
    pub fn take_back(
        config: EventLoopConfig,
        seed: u64,
        retained: RetainedState,
        changes: Option<EndpointList>,
    ) -> Result<Self, SettingsError> {
        let RetainedState { controller, registry, mut clock } = retained;
        clock.restore(resumed_clock(&config.journal).now());
        let initial = InitialState {
            controller: controller.without_messages().restore(config.settings.clone(), seed)?,
            registry,
            clock,
            timers: Timers::default(),
        };
        let mut event_loop = Self::assemble(config, initial);
        event_loop.synchronize_drained_endpoints();
        if let Some(changes) = changes {
            let update = event_loop.registry.apply_update(&changes);
            event_loop.report_endpoints(changes.version, update);
        }
        event_loop.recover();
        Ok(event_loop)
    }

    /// Makes the registry and the controller drain exactly the endpoints that the journal holds as drained by
    /// operators. A successor that has died may have restored some that this process knew as drained.
    fn synchronize_drained_endpoints(&mut self) {
        let names = self.journal.borrow().drained_endpoints().clone();
        let recorded: BTreeSet<_> = names.iter().map(|name| self.registry.mark_drained(name)).collect();
        let known: BTreeSet<_> = self.registry.drained_ids().collect();
        self.registry.retain_drained(&names);
        let drained: BTreeSet<_> = self.controller.drained_endpoints().collect();
        for endpoint in recorded.difference(&drained) {
            self.command_controller(*endpoint, MaintenanceCommand::Drain);
        }
        for endpoint in drained.difference(&recorded) {
            if !known.contains(endpoint) {
                self.invariants.report(Invariant::DrainedByOperator, ViolationSubject::Endpoint(*endpoint));
            }
            self.command_controller(*endpoint, MaintenanceCommand::Restore);
        }
    }

    fn command_controller(&mut self, endpoint: EndpointId, command: MaintenanceCommand) {
        self.events.push(Event::Maintenance { endpoint, command });
    }

    /// Recovers the open messages and pending notices that an earlier process left in the journal.
    fn recover(&mut self) {
        if self.next_message_id > FIRST_MESSAGE_ID {
            self.events.push(Event::PredecessorEnded);
        }
        self.limit_deadlines();
        let entries = self.journal_entries();
        RecoveryCounts::of(&entries).log();
        for (id, entry) in entries {
            match entry {
                JournalEntry::PendingNotice(notice, order_key) => {
                    self.notices.push(id, notice);
                    if let Some(order_key) = order_key {
                        self.guard.borrow_mut().await_notice(id, order_key.clone());
                        self.events.push(Event::NoticePending { id, order_key });
                    }
                }
                JournalEntry::Open(accepted, history) => self.recover_message(id, accepted, history),
            }
        }
        self.record_clock_reading();
    }

    /// Opens the messages that the predecessor's controller holds, with the predecessor's attempts in flight.
    fn resume(&mut self, mut attempts_in_flight: Vec<AttemptId>) -> Vec<RemoteAttempt> {
        let AttemptReconciliation { lost, ending } = self.controller.reconcile_attempts(&attempts_in_flight);
        attempts_in_flight.extend(&ending);
        for attempt_id in lost {
            self.end_lost_attempt(attempt_id);
        }
        for (id, entry) in self.journal_entries() {
            match entry {
                JournalEntry::PendingNotice(notice, order_key) => {
                    self.notices.push(id, notice);
                    if let Some(order_key) = order_key {
                        self.guard.borrow_mut().await_notice(id, order_key);
                    }
                }
                JournalEntry::Open(accepted, history) if self.controller.holds_message(id) => {
                    let in_flight = attempts_in_flight.iter().find(|attempt| attempt.message_id == id);
                    self.open_recovered(id, accepted, history, in_flight.copied());
                }
                // The message ended at the predecessor, which could not record that. A message that is not
                // known to have ended is resumed.
                JournalEntry::Open(accepted, history) => self.recover_message(id, accepted, history),
            }
        }
        let mut remote_attempts = Vec::with_capacity(attempts_in_flight.len());
        for attempt_id in attempts_in_flight {
            let cancelled = self.in_flight.start(attempt_id);
            remote_attempts.push(RemoteAttempt { attempt_id, cancelled });
        }
        for attempt_id in ending {
            self.in_flight.cancel(attempt_id);
        }
        self.withdraw_ended_messages();
        self.record_clock_reading();
        remote_attempts
    }

    /// Ends an attempt that the predecessor's controller has in flight although no call carries it. The journal
    /// knows whether it may have taken effect.
    fn end_lost_attempt(&mut self, attempt_id: AttemptId) {
        let message_id = attempt_id.message_id;
        self.invariants.report(Invariant::AttemptHasCall, ViolationSubject::Message(message_id));
        let was_started = self.journal.borrow().has_attempt_started(message_id);
        self.report_end_without_call(attempt_id, UNKNOWN_ENDPOINT, was_started);
    }

    /// Withdraws messages that the predecessor's controller holds although they have ended.
    fn withdraw_ended_messages(&mut self) {
        let ended: Vec<_> =
            self.controller.messages().filter(|id| !self.open_messages.contains(*id)).collect();
        for id in ended {
            self.invariants.report(Invariant::OpenMessageIsJournalled, ViolationSubject::Message(id));
            self.events.push(Event::MessageWithdrawn { id });
        }
    }

    /// Limits the time left to each open message to what its class allows. A message with more time left was
    /// accepted before the clock was set back, so it is unknown how much time has passed since.
    fn limit_deadlines(&self) {
        let now = self.clock.now();
        let latest: Vec<_> = self
            .journal
            .borrow()
            .entries()
            .filter_map(|(id, entry)| match entry {
                JournalEntry::Open(message, _) => Some((id, self.names.class(&message.class)?)),
                JournalEntry::PendingNotice(..) => None,
            })
            .map(|(id, class)| (id, now.saturating_add(self.settings.classes[class].deadline)))
            .collect();
        let recorded = self.journal.borrow_mut().limit_deadlines(latest);
        self.count_unrecorded_outcome(recorded);
    }

    /// Records the present readings of the clocks, from which the next process continues.
    fn record_clock_reading(&self) {
        let Some(machine) = MachineTime::now() else { return };
        let reading = ClockReading { machine, journal_time: self.clock.now() };
        let recorded = self.journal.borrow_mut().record_clock_reading(reading);
        self.count_unrecorded_outcome(recorded);
    }

    fn journal_entries(&self) -> Vec<(MessageId, JournalEntry)> {
        self.journal.borrow().entries().map(|(id, entry)| (id, entry.clone())).collect()
    }

    /// Opens a message that an earlier process accepted, and reports it to the controller with the attempts
    /// made so far.
    fn recover_message(&mut self, id: MessageId, accepted: AcceptedMessage, history: AttemptHistory) {
        let Some(class) = self.names.class(&accepted.class) else {
            // The class is no longer configured, so it is unknown whether another attempt would be harmless.
            let notice = Notice { call_id: accepted.call_id, result: NoticeResult::Failed };
            self.queue_notice(id, notice, accepted.deadline);
            return;
        };
        self.events.push(Event::MessageSubmitted(MessageSubmission {
            id,
            class,
            // The message was counted against its tenant's quota when it was accepted. Here the whole backlog
            // comes in one turn, and must not be counted again.
            tenant: None,
            destination: accepted.destination,
            time_left: accepted.deadline - self.clock.now(),
            work: None,
            order_key: accepted.order_key.clone(),
            returned: false,
            repeat: false,
            write: false,
        }));
        let first_ambiguous = first_ambiguous(&history);
        self.events.push(Event::MessageRecovered { id, attempts: history.attempts, first_ambiguous });
        self.open_recovered(id, accepted, history, None);
    }

    /// Opens a message of the journal. `in_flight` is the attempt that a predecessor has in flight, if any.
    fn open_recovered(
        &mut self,
        id: MessageId,
        accepted: AcceptedMessage,
        history: AttemptHistory,
        in_flight: Option<AttemptId>,
    ) {
        let Some(class) = self.names.class(&accepted.class) else { return };
        let AcceptedMessage { call_id, key, destination, body: Body(body), order_key, deadline, .. } =
            accepted;
        let ended = history.first_ambiguous_ended().map(ambiguous_attempt);
        let first_ambiguous = if in_flight.is_some() { ended } else { first_ambiguous(&history) };
        self.register_with_guard(
            id,
            GuardRegistration { class, destination, deadline, order_key, first_ambiguous },
        );
        if let (Some(attempt), Some(start)) = (in_flight, history.last_started()) {
            self.guard.borrow_mut().resume_attempt(id, attempt.attempt, ambiguous_attempt(start));
        }
        let message = OpenMessage {
            call_id,
            class,
            idempotency_key: key,
            destination,
            body,
            is_attempted: history.attempts > 0,
            accepted_at: self.clock.now(),
            deadline,
            origin: MessageOrigin::Recovered,
        };
        self.open_messages.insert(id, message);
    }
}
