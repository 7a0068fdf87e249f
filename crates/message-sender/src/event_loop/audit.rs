//! Checks invariants at run time: whenever an attempt starts or a message ends, and once a second for all
//! open messages.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use delivery_control::{
    AmbiguousAttempt, AttemptGuard, AttemptStarting, GuardedMessage, Invariant, MessageId, Micros,
};
use tokio::time::Instant;

use super::EventLoop;
use crate::invariants::{InvariantMonitor, ViolationSubject};
use crate::journal::{AttemptHistory, AttemptStart, Journal};

/// Time between two audits of all open messages.
const AUDIT_INTERVAL: Duration = Duration::from_secs(1);
/// Grace period after the process starts or resumes from a suspension, in which it ends the messages that
/// came due while it did not run. Late ends are not reported during this period, and no audit is made.
const RECOVERY_GRACE: Duration = Duration::from_millis(1_500);
/// A wake-up that is late by more than this means that the process was suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(200);

/// What the guard must know about a message. The class's idempotency rules are looked up in the settings.
pub struct GuardRegistration {
    /// Index of its class in the settings.
    pub class: usize,
    /// Where it is to be delivered.
    pub destination: delivery_control::DestinationId,
    /// When it must have ended, in microseconds of the journal's clock.
    pub deadline: Micros,
    /// The key within which messages are delivered in order.
    pub order_key: Option<String>,
    /// The first attempt of an earlier process that may have taken effect.
    pub first_ambiguous: Option<AmbiguousAttempt>,
}

/// The time of the last audit, and the time since which the process has run without a suspension.
pub struct AuditSchedule {
    running_since: Instant,
    last: Instant,
}

impl AuditSchedule {
    /// Starts the schedule now, as after a start of the process.
    pub fn start() -> Self {
        let now = Instant::now();
        Self { running_since: now, last: now }
    }

    /// Whether an audit is due. If so, the next one is due an interval later.
    fn take_due(&mut self) -> bool {
        let is_due = self.last.elapsed() >= AUDIT_INTERVAL;
        if is_due {
            self.last = Instant::now();
        }
        is_due
    }

    /// Whether the grace period after a start or a suspension has not passed yet.
    fn is_recovering(&self) -> bool {
        self.running_since.elapsed() < RECOVERY_GRACE
    }

    /// Records that the process woke up now, and recognizes a suspension by how late that is.
    pub fn record_wake_up(&mut self, scheduled_at: Instant) {
        if scheduled_at.elapsed() > SUSPENSION_THRESHOLD {
            tracing::warn!(late_ms = scheduled_at.elapsed().as_millis(), "the process was suspended");
            self.running_since = Instant::now();
        }
    }
}

impl EventLoop {
    /// Registers a message with the guard, which checks its attempts and its end.
    pub(super) fn register_with_guard(&self, id: MessageId, registration: GuardRegistration) {
        let rules = &self.settings.classes[registration.class];
        let message = GuardedMessage {
            destination: registration.destination,
            deadline: registration.deadline,
            idempotency: rules.idempotency,
            idempotency_scope: rules.idempotency_scope,
            idempotency_window: rules.idempotency_window,
            order_key: registration.order_key,
            first_ambiguous: registration.first_ambiguous,
        };
        self.guard.borrow_mut().open(id, message);
    }

    /// Ends a message in the guard, and reports it if it ended too late.
    pub(super) fn check_end(&self, id: MessageId, with_notice: bool) {
        let closed = self.guard.borrow_mut().close(self.clock.now(), id, with_notice);
        match closed {
            Err(invariant) if !self.audits.is_recovering() => {
                self.invariants.report(invariant, ViolationSubject::Message(id));
            }
            _ => {}
        }
        self.invariants.forget(id);
    }

    /// If an audit is due, checks that the journal and the guard hold the same open messages, that none of them
    /// is overdue, that the controller drains no endpoint that operators have not drained, and that a call
    /// carries each of its attempts. The last two are not checked while the controller has yet to learn of
    /// events, or no longer does.
    pub(super) fn audit(&mut self) {
        if !self.audits.take_due() || self.audits.is_recovering() {
            return;
        }
        let guard = self.guard.borrow();
        let journal = self.journal.borrow();
        report_journal_mismatches(&guard, &journal, &self.invariants);
        for id in guard.overdue(self.clock.now()) {
            self.invariants.report(Invariant::EndInTime, ViolationSubject::Message(id));
        }
        if !self.shutdown.attempts_have_stopped() && self.events.is_empty() {
            self.report_unnamed_drains();
            self.report_attempts_without_call();
        }
    }

    /// Reports attempts that the controller has in flight although no call carries them.
    fn report_attempts_without_call(&self) {
        for attempt_id in self.controller.attempts_in_flight().filter(|id| !self.in_flight.contains(*id)) {
            let subject = ViolationSubject::Message(attempt_id.message_id);
            self.invariants.report(Invariant::AttemptHasCall, subject);
        }
    }

    /// Reports endpoints that the controller takes for drained by an operator, although none has drained them.
    fn report_unnamed_drains(&self) {
        let drained: BTreeSet<_> = self.registry.drained_ids().collect();
        for endpoint in self.controller.drained_endpoints().filter(|endpoint| !drained.contains(endpoint)) {
            self.invariants.report(Invariant::DrainedByOperator, ViolationSubject::Endpoint(endpoint));
        }
    }
}

/// Reports messages that are open in the journal but not in the guard, and the reverse.
fn report_journal_mismatches(guard: &AttemptGuard, journal: &Journal, invariants: &Rc<InvariantMonitor>) {
    for id in journal.open_messages().filter(|id| !guard.is_open(*id)) {
        invariants.report(Invariant::JournalHoldsNoOrphan, ViolationSubject::Message(id));
    }
    for id in guard.open_messages().filter(|id| !journal.is_open(*id)) {
        invariants.report(Invariant::OpenMessageIsJournalled, ViolationSubject::Message(id));
    }
}

/// Returns whether an attempt may be sent now. If not, reports the invariant that it would violate.
pub fn check_start(
    guard: &mut AttemptGuard,
    invariants: &InvariantMonitor,
    now: Micros,
    starting: AttemptStarting,
) -> bool {
    match guard.start(now, starting) {
        Ok(()) => true,
        Err(invariant) => {
            invariants.report(invariant, ViolationSubject::Message(starting.id));
            false
        }
    }
}

/// The first attempt in a message's journal history that may have taken effect.
pub fn first_ambiguous(history: &AttemptHistory) -> Option<AmbiguousAttempt> {
    history.first_ambiguous().map(ambiguous_attempt)
}

/// Converts the journal's record of an attempt that may have taken effect to the controller's type.
pub fn ambiguous_attempt(start: AttemptStart) -> AmbiguousAttempt {
    AmbiguousAttempt { sent_at: start.sent_at, zone: start.zone as usize }
}
