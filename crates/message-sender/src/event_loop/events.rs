//! Handles events from socket tasks and reports them to the controller.

use delivery_control::{AttemptEnd, AttemptId, Event, Invariant, MessageId};

use super::completion::final_outcome;
use super::EventLoop;
use crate::delivery::AttemptResult;
use crate::endpoint_registry::RegistryUpdate;
use crate::event::{FinishedAttempt, SenderEvent};
use crate::invariants::ViolationSubject;

impl EventLoop {
    /// Handles an event that a socket task reported.
    pub(super) fn handle_event(&mut self, event: SenderEvent) {
        match event {
            SenderEvent::Submitted(submission, reply) => self.handle_submission(*submission, reply),
            SenderEvent::AttemptEnded(finished) => self.handle_attempt_end(finished),
            SenderEvent::EndpointListReceived(list) => {
                let update = self.registry.apply_update(&list);
                self.report_endpoints(list.version, update);
            }
            SenderEvent::NoticesAcknowledged(ids) => {
                for id in ids {
                    self.handle_notice_acknowledged(id);
                }
            }
            SenderEvent::ShutdownRequested => self.shutdown.request(),
        }
    }

    /// Handles events that this process received while a successor was the sender. The journal already
    /// records that this process's attempts were in flight, so only an attempt that ended its message
    /// matters.
    pub fn replay_missed_events(&mut self, events: Vec<SenderEvent>) {
        for event in events {
            match event {
                SenderEvent::AttemptEnded(finished) if finished.result.is_final => {
                    let id = finished.attempt_id.message_id;
                    self.end_without_notice(id, Some(final_outcome(&finished.result)));
                    self.events.push(Event::MessageWithdrawn { id });
                }
                SenderEvent::AttemptEnded(_) => {}
                other => self.handle_event(other),
            }
        }
    }

    fn handle_attempt_end(&mut self, finished: FinishedAttempt) {
        let FinishedAttempt { attempt_id, endpoint, elapsed, result } = finished;
        let AttemptId { message_id, attempt } = attempt_id;
        if !self.controller.is_in_flight(attempt_id) {
            self.invariants.report(Invariant::EndHasAttempt, ViolationSubject::Message(message_id));
        }
        self.in_flight.remove(attempt_id);
        self.guard.borrow_mut().end_attempt(message_id, attempt, result.outcome);
        if let Some(registered) = self.registry.get(endpoint) {
            self.summary.record_attempt_end(registered.route.destination, elapsed, &result);
        }
        let AttemptResult { outcome, retry_after, is_final, load_report, request_started } = result;
        tracing::debug!(
            message_id,
            attempt,
            endpoint,
            ?outcome,
            elapsed_us = elapsed,
            retry_after_us = retry_after,
            request_started,
            ?load_report,
            "attempt ended"
        );
        if is_final {
            self.end_without_notice(message_id, Some(final_outcome(&result)));
        } else if request_started && outcome.had_no_effect() && self.open_messages.contains(message_id) {
            let recorded = self.journal.borrow_mut().record_unprocessed(message_id);
            self.count_unrecorded_outcome(recorded);
        }
        self.events.push(Event::AttemptEnded(AttemptEnd {
            id: message_id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            was_started: request_started,
            is_final,
            retry_after,
            load_report,
        }));
    }

    fn handle_notice_acknowledged(&mut self, id: MessageId) {
        tracing::debug!(message_id = id, "notice acknowledged");
        self.guard.borrow_mut().acknowledge_notice(id);
        let recorded = self.journal.borrow_mut().record_notice_acknowledged(id);
        self.count_unrecorded_outcome(recorded);
        self.events.push(Event::NoticeAcknowledged { id });
    }

    /// Reports an endpoint list to the controller. Endpoints that were removed, are draining or have moved to
    /// another address get no more of the attempts that were decided on before.
    pub(super) fn report_endpoints(&mut self, version: u64, update: RegistryUpdate) {
        for endpoint in update.invalidated {
            self.delivery.drain(endpoint);
        }
        self.events.push(Event::EndpointsUpdated {
            update: update.update_kind,
            version,
            entries: update.entries,
        });
    }
}
