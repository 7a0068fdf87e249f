//! Starts attempts to deliver messages.

use std::rc::Rc;

use delivery_control::{
    AttemptEnd, AttemptId, AttemptOutcome, AttemptStarting, EndpointId, Event, MessageId, Micros,
};
use hyper::header::HeaderValue;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::audit::check_start;
use super::journal_sync::UnrecordedStep;
use super::EventLoop;
use crate::delivery::{AttemptPhase, Call};
use crate::event::{FinishedAttempt, SenderEvent};
use crate::journal::AttemptStart;
use crate::time::{duration, micros};

/// The time limits that the controller sets for an attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimits {
    /// How long the attempt may take, in microseconds.
    pub timeout: Micros,
    /// The latest time to send the first byte, in microseconds of the journal's clock. The attempt is not
    /// sent after this time.
    pub start_deadline: Micros,
}

impl EventLoop {
    /// Starts an attempt. It reports its end as a [`SenderEvent`].
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        attempt_id: AttemptId,
        endpoint: EndpointId,
        limits: AttemptLimits,
    ) {
        let AttemptId { message_id, attempt } = attempt_id;
        let Some(call) = self.prepare_call(now, attempt_id, endpoint, limits) else {
            self.report_end_without_call(attempt_id, endpoint, false);
            return;
        };
        self.record_attempt(now, message_id);
        tracing::debug!(message_id, attempt, endpoint, timeout_us = limits.timeout, "attempt started");
        let cancelled = self.in_flight.start(attempt_id);
        self.spawn_call(attempt_id, call, cancelled);
    }

    /// Builds the call of an attempt. Returns `None` if the message or the endpoint is gone, if their
    /// destinations differ, or if the call id cannot be sent in a header.
    fn prepare_call(
        &self,
        now: Micros,
        attempt_id: AttemptId,
        endpoint: EndpointId,
        limits: AttemptLimits,
    ) -> Option<Call> {
        let AttemptId { message_id: id, attempt } = attempt_id;
        let registered = self.registry.get(endpoint)?;
        let message = self.open_messages.get(id)?;
        // Not sending the message does less harm than sending it to another destination.
        if registered.route.destination != message.destination {
            return None;
        }
        let key = message.idempotency_key.as_ref();
        Some(Call {
            endpoint,
            address: registered.address,
            route: registered.route,
            call_id: HeaderValue::from_str(&message.call_id).ok()?,
            idempotency_key: key.and_then(|key| HeaderValue::from_str(key).ok()),
            body: message.body.clone(),
            timeout: duration(limits.timeout),
            decided_at: Instant::now(),
            start_deadline: self.clock.instant(limits.start_deadline),
            on_phase: self.phase_recorder(
                AttemptStart { sent_at: now, zone: registered.zone as u64 },
                AttemptStarting {
                    id,
                    attempt,
                    destination: registered.route.destination,
                    zone: registered.zone,
                },
            ),
        })
    }

    /// Records that a message is attempted, and how long it waited for its first attempt.
    fn record_attempt(&mut self, now: Micros, id: MessageId) {
        let Some(message) = self.open_messages.get_mut(id) else { return };
        if !message.is_attempted {
            message.is_attempted = true;
            self.summary.record_first_attempt(now - message.accepted_at);
        }
    }

    /// Reports to the controller the end of an attempt that no call carries. `was_started` tells whether the
    /// attempt may have taken effect.
    pub(super) fn report_end_without_call(
        &mut self,
        attempt_id: AttemptId,
        endpoint: EndpointId,
        was_started: bool,
    ) {
        let AttemptId { message_id, attempt } = attempt_id;
        let outcome = if was_started { AttemptOutcome::Reset } else { AttemptOutcome::NotSent };
        self.events.push(Event::AttemptEnded(AttemptEnd {
            id: message_id,
            attempt,
            endpoint,
            outcome,
            elapsed: 0,
            was_started,
            is_final: false,
            retry_after: 0,
            load_report: None,
        }));
    }

    fn spawn_call(&self, attempt_id: AttemptId, call: Call, cancelled: oneshot::Receiver<()>) {
        let delivery = self.delivery.clone();
        let event_sender = self.event_sender.clone();
        let endpoint = call.endpoint;
        tokio::task::spawn_local(async move {
            let started = Instant::now();
            let result = delivery.call(call, cancelled).await;
            let elapsed = micros(started.elapsed());
            let ended = SenderEvent::AttemptEnded(FinishedAttempt { attempt_id, endpoint, elapsed, result });
            // Fails only while the process terminates, when the receiver is dropped.
            let _ = event_sender.send(ended).await;
        });
    }

    /// Returns the callback by which a call records its progress in the journal. The callback returns false
    /// if the call must not proceed.
    fn phase_recorder(
        &self,
        start: AttemptStart,
        starting: AttemptStarting,
    ) -> Box<dyn Fn(AttemptPhase) -> bool> {
        let id = starting.id;
        let clock = self.clock;
        let guard = self.guard.clone();
        let invariants = self.invariants.clone();
        let failures = self.journal_failures.clone();
        let journal = Rc::downgrade(&self.journal);
        Box::new(move |phase| {
            let Some(journal) = journal.upgrade() else { return false };
            let mut journal = journal.borrow_mut();
            let written = match phase {
                // The message ended while the connection was being established.
                AttemptPhase::Starting if !guard.borrow().is_open(id) => return false,
                AttemptPhase::Starting
                    if !check_start(&mut guard.borrow_mut(), &invariants, clock.now(), starting) =>
                {
                    return false;
                }
                AttemptPhase::Starting => journal.record_attempt(id, start),
                AttemptPhase::NotStarted => journal.record_unsent(id),
            };
            if let Err(error) = &written {
                let step = match phase {
                    AttemptPhase::Starting => UnrecordedStep::AttemptStart,
                    AttemptPhase::NotStarted => UnrecordedStep::Outcome,
                };
                failures.count(step, error);
            }
            written.is_ok()
        })
    }
}
