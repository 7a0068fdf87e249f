//! One turn of the controller: the order in which the policies decide, and the state changes when a message
//! is submitted or recovered and when an attempt or a message ends.

use crate::model::{AttemptKey, AttemptResult, Context, RareCallRate, State, Subscription, TenantQuotas};
use crate::retry::{jitter_factor, jittered};
use crate::{dispatch::Dispatcher, outlier_detection::OutlierDetection};
use crate::{endpoints, ordering, retry, Action, AmbiguousAttempt, AttemptEnd, AttemptOutcome};
use crate::{EndpointEntry, MessageId, MessageSubmission, Micros, UpdateKind};

/// What one turn reads and changes.
pub(crate) struct Turn<'a> {
    pub context: Context<'a>,
    pub state: &'a mut State,
    pub quotas: &'a mut TenantQuotas,
    pub rare_call_rate: &'a mut RareCallRate,
    pub subscription: &'a mut Subscription,
    pub random: &'a mut fastrand::Rng,
    /// Actions for the host, in the order in which it carries them out.
    pub actions: &'a mut Vec<Action>,
}

impl Turn<'_> {
    /// Runs the policies after all events of the turn have been applied. Returns the time by which the next
    /// turn must run, if any.
    pub fn decide(&mut self) -> Option<Micros> {
        if self.subscription.take_due_attempt(self.context.now) {
            self.actions.push(Action::Subscribe { on: true });
        }
        let next_response_check = self.outlier_detection().detect_unresponsive();
        self.end_expired();
        while let Some(shed) = self.state.view(self.context).next_to_shed() {
            self.give_up(shed.id, shed.retry_after);
        }
        let next_cancellation = self.dispatcher().run();
        let due = [self.subscription.next_attempt_at, next_response_check, next_cancellation];
        due.into_iter().chain(self.state.next_due()).flatten().min()
    }

    fn outlier_detection(&mut self) -> OutlierDetection<'_> {
        OutlierDetection { context: self.context, state: self.state, random: self.random }
    }

    fn dispatcher(&mut self) -> Dispatcher<'_> {
        Dispatcher { context: self.context, state: self.state, random: self.random, actions: self.actions }
    }

    /// Applies an update of the endpoint list, or the failure to get one.
    pub fn update_endpoints(&mut self, update: UpdateKind, entries: &[EndpointEntry]) {
        self.subscription.record_update(self.context, update, self.random);
        if update != UpdateKind::Failed {
            endpoints::update(self.context, self.state, update, entries);
        }
    }

    /// Buffers a submitted message, or rejects it if its class is unknown.
    pub fn admit(&mut self, submission: &MessageSubmission) {
        let id = submission.id;
        let Some(message) = self.quotas.admit(self.context, submission) else {
            return self.actions.push(Action::Reject { id, retry_after: 0 });
        };
        let latest_start = retry::latest_start(self.context, &message);
        self.state.insert(id, message, latest_start);
    }

    /// Applies what a predecessor process did for a message that was submitted again in this turn. The
    /// recovered messages of a destination are spread out over time.
    pub fn recover(&mut self, id: MessageId, attempts: u32, first_ambiguous: Option<AmbiguousAttempt>) {
        let limit = self.state.lowest_listed_limit(id);
        let interval = jittered(retry::recovery_interval(self.context, limit), self.random);
        self.state.messages.schedule_end_check(id, self.context.now);
        let Some(message) = self.state.messages.get_mut(id) else { return };
        let destination = self.state.endpoints.destination_mut(message.destination);
        let others_waiting = destination.waiting.len() as Micros - 1;
        let ready_at = retry::recovery_start(self.context, message, interval * others_waiting);
        let first_ambiguous =
            first_ambiguous.map(|first| retry::replace_future_send_time(self.context, first));
        message.recover(attempts, first_ambiguous, ready_at);
        // The message arrived at the predecessor; this process counts only the arrivals of its own time.
        self.state.endpoints.uncount_arrival(message.destination);
    }

    /// Applies the end of an attempt to its call, route, order key and message.
    pub fn record_attempt_end(&mut self, end: &AttemptEnd) {
        let key = AttemptKey { message: end.id, number: end.attempt };
        let Some(attempt) = self.state.in_flight.remove_attempt(key) else {
            if end.is_final {
                self.remove(end.id);
            }
            return;
        };
        // Each outcome of a batch may carry a Retry-After and a load report, not only the last one.
        self.state.record_limits(self.context, &attempt, end);
        let result = AttemptResult::new(&attempt, end, self.state.endpoints.get(attempt.endpoint));
        if self.state.in_flight.record_outcome(attempt.call) {
            let rare_call_factor = self.rare_call_rate.factor;
            self.outlier_detection().record_result(&result, rare_call_factor);
        }
        ordering::record_attempt_end(self.context, self.state, &attempt, end);
        let jitter_factor = jitter_factor(self.random);
        let Some(message) = self.state.messages.get_mut(end.id) else { return };
        message.in_flight = false;
        message.unstarted_attempts += u32::from(!end.was_started);
        if message.rejected {
            self.rare_call_rate.record_retry(end.outcome);
        }
        message.rejected = end.outcome == AttemptOutcome::Rejected;
        if end.is_final || end.outcome == AttemptOutcome::Delivered {
            return self.remove(end.id);
        }
        retry::schedule_retry(self.context, message, &result, jitter_factor);
        if message.rejected {
            let interval = self.rare_call_rate.yield_interval();
            retry::yield_to_first_attempts(self.context, message, interval, jitter_factor);
        }
        self.state.messages.schedule_end_check(end.id, self.context.now);
        self.state.enqueue(end.id);
    }

    /// Removes a message that has its final answer or needs none, and advances the queue of its order key.
    pub fn remove(&mut self, id: MessageId) {
        if let Some(key) = self.state.remove(id).and_then(|message| message.order_key) {
            ordering::advance(self.context, self.state, &key, id);
        }
    }

    /// Gives the final answer to a message that is given up, and removes it. Where notices are acknowledged,
    /// its order key stays blocked until the notice of it is acknowledged.
    fn give_up(&mut self, id: MessageId, retry_after: Micros) {
        let Some(message) = self.state.messages.get(id) else { return };
        self.actions.push(retry::give_up(self.context, id, message, retry_after));
        if self.context.settings.notices_are_acknowledged {
            self.state.queues.await_notice(id, message.order_key.as_ref());
        }
        self.remove(id);
    }

    /// Gives up messages that can no longer be delivered in time: without an attempt in flight, once the
    /// latest start of another attempt is reached; with one, a turn interval before the deadline. Streaming
    /// messages are not given up.
    fn end_expired(&mut self) {
        while let Some(id) = self.state.messages.take_due_end_check(self.context.now) {
            let message = self.state.messages.get(id).filter(|message| !message.streaming);
            let Some(message) = message else { continue };
            let latest_answer = message.deadline - self.context.settings.turn_interval;
            let due =
                if message.in_flight { latest_answer } else { retry::latest_start(self.context, message) };
            if due <= self.context.now {
                self.give_up(id, retry::EXPIRED_RETRY_AFTER);
            } else {
                self.state.messages.schedule_end_check(id, due);
            }
        }
    }
}
