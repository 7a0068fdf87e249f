//! What a process takes over at its start: from the journal, or from the state of a predecessor.

use delivery_control::{Event, MessageId, MessageSubmission, SettingsError};

use super::audit::{ambiguous_attempt, first_ambiguous, OpenedMessage};
use super::open_messages::{MessageOrigin, OpenMessage};
use super::timers::Timers;
use super::EventLoop;
use crate::attempt_id::AttemptId;
use crate::endpoint_list::EndpointList;
use crate::handover::relay::RemoteCall;
use crate::handover::HandoverState;
use crate::journal::{AcceptedMessage, AttemptHistory, Body, ClockReading, JournalEntry};
use crate::machine_clock::MachineTime;
use crate::notice::{Notice, NoticeResult};

/// What the journal contains at the start, for the log.
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

impl EventLoop {
    /// Recovers what an earlier process left in the journal, under the endpoint list that was stored last.
    pub fn recover(&mut self, cached_list: Option<EndpointList>) {
        if let Some(list) = cached_list {
            let update = self.registry.load_cached(&list);
            self.report_endpoints(list.version, update);
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

    /// Continues from the state that a predecessor handed over. Returns the predecessor's attempts that are
    /// in flight, each with the receiver that completes when it is to be cancelled.
    pub fn restore(&mut self, state: HandoverState, seed: u64) -> Result<Vec<RemoteCall>, SettingsError> {
        self.controller = state.controller.restore(self.settings.clone(), seed)?;
        self.registry.restore(state.registry);
        self.clock.restore(state.now);
        self.timers = Timers::restore(state.timers);
        for (id, entry) in self.journal_entries() {
            match entry {
                JournalEntry::PendingNotice(notice, order_key) => {
                    self.notices.push(id, notice);
                    if let Some(order_key) = order_key {
                        self.guard.borrow_mut().await_notice(id, order_key);
                    }
                }
                JournalEntry::Open(accepted, history) if self.controller.holds_message(id) => {
                    let in_flight = state.in_flight.iter().find(|attempt| attempt.message_id == id);
                    self.open_recovered(id, accepted, history, in_flight.copied());
                }
                // The predecessor could not write its end: what is not known to have ended goes on.
                JournalEntry::Open(accepted, history) => self.recover_message(id, accepted, history),
            }
        }
        let mut remote_calls = Vec::with_capacity(state.in_flight.len());
        for attempt in state.in_flight {
            let cancelled = self.in_flight.start(attempt);
            remote_calls.push(RemoteCall { attempt, cancelled });
        }
        self.record_clock_reading();
        Ok(remote_calls)
    }

    /// No message has longer than its class allows from now on. One that seems to was accepted by a clock
    /// that has been set back since, and by which nobody can tell how much time has passed.
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
        self.note_outcome(recorded);
    }

    /// Records what the clocks show, for the next process to go on from.
    fn record_clock_reading(&self) {
        let Some(machine) = MachineTime::now() else { return };
        let reading = ClockReading { machine, journal_time: self.clock.now() };
        let recorded = self.journal.borrow_mut().record_clock_reading(reading);
        self.note_outcome(recorded);
    }

    fn journal_entries(&self) -> Vec<(MessageId, JournalEntry)> {
        self.journal.borrow().entries().map(|(id, entry)| (id, entry.clone())).collect()
    }

    /// Reports a message that an earlier process accepted to the controller, with the attempts made so far.
    fn recover_message(&mut self, id: MessageId, accepted: AcceptedMessage, history: AttemptHistory) {
        let Some(class) = self.names.class(&accepted.class) else {
            // The class is not served any more: nobody can say whether another attempt would be harmless.
            let notice = Notice { call_id: accepted.call_id, result: NoticeResult::Failed };
            self.queue_notice(id, notice, false, accepted.deadline);
            return;
        };
        self.events.push(Event::MessageSubmitted(MessageSubmission {
            id,
            class,
            // Its quota was counted when it was accepted, and here the whole backlog comes in one turn.
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

    /// Opens a message of the journal, with the attempt that a predecessor has in flight.
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
        self.guard_message(id, OpenedMessage { class, destination, deadline, order_key, first_ambiguous });
        if let (Some(attempt), Some(start)) = (in_flight, history.last_started()) {
            self.guard.borrow_mut().resume_attempt(id, attempt.attempt, ambiguous_attempt(start));
        }
        let message = OpenMessage {
            call_id,
            class,
            idempotency_key: key,
            destination,
            body,
            attempts: history.attempts,
            accepted_at: self.clock.now(),
            deadline,
            origin: MessageOrigin::Recovered,
        };
        self.open_messages.insert(id, message);
    }
}
