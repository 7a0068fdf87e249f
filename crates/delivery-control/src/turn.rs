//! One turn: what each event changes, and in which order the policies decide.

use crate::admission::TenantQuotas;
use crate::dispatch::Dispatcher;
use crate::endpoints;
use crate::jitter::{jitter_factor, jittered};
use crate::model::{Attempt, AttemptKey, AttemptResult, Context};
use crate::ordering;
use crate::outlier_detection::OutlierDetection;
use crate::rate_limit::RareCallRate;
use crate::retry;
use crate::state::State;
use crate::subscription::Subscription;
use crate::{Action, AmbiguousAttempt, AttemptEnd, AttemptOutcome, EndpointEntry, Event};
use crate::{MessageId, MessageSubmission, Micros, UpdateKind};

/// What a turn works on.
pub(crate) struct Turn<'a> {
    pub context: Context<'a>,
    pub state: &'a mut State,
    pub quotas: &'a mut TenantQuotas,
    pub rare_call_rate: &'a mut RareCallRate,
    pub subscription: &'a mut Subscription,
    pub random: &'a mut fastrand::Rng,
    pub actions: &'a mut Vec<Action>,
}

impl Turn<'_> {
    /// Takes in the events and decides; returns when the next turn is due at the latest.
    pub fn run(&mut self, events: &[Event]) -> Option<Micros> {
        self.state.endpoints.start_counting(self.context.now);
        self.state.in_flight.begin_turn();
        for event in events {
            self.apply(event);
        }
        if self.subscription.take_due_attempt(self.context.now) {
            self.actions.push(Action::Subscribe { on: true });
        }
        let next_response_check = self.outlier_detection().detect_unresponsive();
        self.end_expired();
        while let Some(shed) = self.state.view(self.context).next_to_shed() {
            self.give_up(shed.id, shed.retry_after);
        }
        let next_cancellation = self.dispatcher().run();
        let due = [
            self.subscription.next_attempt_at(),
            next_response_check,
            next_cancellation,
            self.state.wake_ups.next(),
            self.state.messages.next_end_check(),
        ];
        due.into_iter().flatten().min()
    }

    fn outlier_detection(&mut self) -> OutlierDetection<'_> {
        OutlierDetection { context: self.context, state: self.state, random: self.random }
    }

    fn dispatcher(&mut self) -> Dispatcher<'_> {
        Dispatcher { context: self.context, state: self.state, random: self.random, actions: self.actions }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::EndpointsUpdated { update, entries, .. } => self.update_endpoints(*update, entries),
            Event::Maintenance { endpoint, command } => {
                endpoints::maintain(self.context, self.state, *endpoint, *command);
            }
            Event::MessageSubmitted(submission) => self.admit(submission),
            Event::MessageRecovered { id, attempts, first_ambiguous } => {
                self.recover(*id, *attempts, *first_ambiguous);
            }
            Event::NoticePending { id, order_key } => {
                self.state.queues.push(order_key, *id);
                self.state.queues.await_notice(*id, Some(order_key));
            }
            Event::NoticeAcknowledged { id } => {
                if let Some(key) = self.state.queues.acknowledge_notice(*id) {
                    ordering::advance(self.context, self.state, &key, *id);
                }
            }
            Event::ResponseStarted { id, .. } => {
                if let Some(message) = self.state.messages.get_mut(*id) {
                    message.streaming = true;
                }
            }
            Event::AttemptEnded(end) => self.record_attempt_end(end),
            Event::MessageWithdrawn { id } => self.remove(*id),
            Event::TimerFired { .. } | Event::NoteReceived { .. } | Event::ProbeEnded { .. } => {}
        }
    }

    fn update_endpoints(&mut self, update: UpdateKind, entries: &[EndpointEntry]) {
        self.subscription.record_update(self.context, update, self.random);
        if update != UpdateKind::Failed {
            endpoints::apply_update(self.context, self.state, update, entries);
        }
    }

    fn admit(&mut self, submission: &MessageSubmission) {
        let id = submission.id;
        let Some(message) = self.quotas.admit(self.context, submission) else {
            self.actions.push(Action::Reject { id, retry_after: 0 });
            return;
        };
        if let Some(key) = &message.order_key {
            self.state.queues.push(key, id);
        }
        self.state.endpoints.count_arrival(message.destination);
        self.state.messages.schedule_end_check(id, retry::latest_start(self.context, &message));
        self.state.messages.insert(id, message);
        self.state.enqueue(id);
    }

    fn recover(&mut self, id: MessageId, attempts: u32, first_ambiguous: Option<AmbiguousAttempt>) {
        let destination = self.state.messages.get(id).map(|message| message.destination);
        let limit = destination.and_then(|id| self.state.endpoints.lowest_listed_limit(id));
        let interval = jittered(retry::recovery_interval(self.context, limit), self.random);
        self.state.messages.schedule_end_check(id, self.context.now);
        let Some(message) = self.state.messages.get_mut(id) else { return };
        let destination = self.state.endpoints.destination_mut(message.destination);
        let others_waiting = destination.waiting.len() as Micros - 1;
        retry::recover(self.context, message, attempts, first_ambiguous, interval * others_waiting);
        // It came in the predecessor's time: the count starts with what comes in this one's.
        self.state.endpoints.discount_arrival(message.destination);
    }

    fn record_attempt_end(&mut self, end: &AttemptEnd) {
        let key = AttemptKey { message: end.id, number: end.attempt };
        let Some(attempt) = self.state.in_flight.remove_attempt(key) else { return };
        self.record_limits(&attempt, end);
        let result = self.attempt_result(&attempt, end);
        if self.state.in_flight.record_outcome(attempt.call) {
            let rare_call_factor = self.rare_call_rate.factor();
            self.outlier_detection().record_result(&result, rare_call_factor);
        }
        ordering::record_attempt_end(self.context, self.state, &attempt, end);
        let jitter_factor = jitter_factor(self.random);
        let Some(message) = self.state.messages.get_mut(end.id) else { return };
        message.in_flight = false;
        if message.rejected {
            self.rare_call_rate.record_retry(end.outcome);
        }
        message.rejected = end.outcome == AttemptOutcome::Rejected;
        if end.is_final || end.outcome == AttemptOutcome::Delivered {
            self.remove(end.id);
            return;
        }
        retry::schedule_retry(self.context, message, &result, jitter_factor, self.rare_call_rate);
        self.state.messages.schedule_end_check(end.id, self.context.now);
        self.state.enqueue(end.id);
    }

    /// Each outcome of a batch may carry a Retry-After and a load report, not only the last one.
    fn record_limits(&mut self, attempt: &Attempt, end: &AttemptEnd) {
        let Some(endpoint) = self.state.endpoints.get(attempt.endpoint) else { return };
        let route = endpoint.route;
        self.state.wake_ups.mark_dirty(route.destination);
        let rate_limit = self.state.endpoints.rate_limit_mut(route);
        rate_limit.extend_retry_after(self.context.now.saturating_add(end.retry_after));
        rate_limit.record_load_report(end.load_report);
    }

    fn attempt_result(&self, attempt: &Attempt, end: &AttemptEnd) -> AttemptResult {
        let endpoint = self.state.endpoints.get(attempt.endpoint);
        AttemptResult {
            call: attempt.call,
            endpoint: attempt.endpoint,
            zone: endpoint.map_or(usize::MAX, |endpoint| endpoint.zone),
            sent_at: attempt.sent_at,
            outcome: end.outcome,
            retry_after: end.retry_after,
        }
    }

    /// Removes a message that has its final answer, or needs none.
    fn remove(&mut self, id: MessageId) {
        let Some(message) = self.state.messages.remove(id) else { return };
        self.state.endpoints.destination_mut(message.destination).waiting.remove(&id);
        if let Some(key) = &message.order_key {
            ordering::advance(self.context, self.state, key, id);
        }
    }

    fn give_up(&mut self, id: MessageId, retry_after: Micros) {
        let Some(message) = self.state.messages.get(id) else { return };
        self.actions.push(retry::final_answer(self.context, id, message, retry_after));
        if self.context.settings.notices_are_acknowledged {
            self.state.queues.await_notice(id, message.order_key.as_ref());
        }
        self.remove(id);
    }

    fn end_expired(&mut self) {
        while let Some(id) = self.state.messages.take_due_end_check(self.context.now) {
            let message = self.state.messages.get(id).filter(|message| !message.streaming);
            let Some(message) = message else { continue };
            let due = retry::end_due(self.context, message);
            if due <= self.context.now {
                self.give_up(id, retry::EXPIRED_RETRY_AFTER);
            } else {
                self.state.messages.schedule_end_check(id, due);
            }
        }
    }
}
