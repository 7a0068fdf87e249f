//! The turn: events in, actions out. The controller owns the policies' state and decides little itself.

use serde::{Deserialize, Serialize};

use crate::action::Action;
use crate::admission::{next_to_shed, TenantQuotas};
use crate::diagnostics::BacklogReporter;
use crate::dispatch::Dispatcher;
use crate::eligibility::EligibilityCheck;
use crate::endpoints::Endpoints;
use crate::event::{
    AmbiguousAttempt, AttemptEnd, AttemptOutcome, EndpointEntry, Event, MaintenanceCommand,
    MessageSubmission, UpdateKind,
};
use crate::ids::{EndpointId, MessageId, Micros};
use crate::jitter::{jitter_factor, jittered};
use crate::model::{Attempt, AttemptKey, Context, InFlight, MessageBuffer, WakeUps};
use crate::ordering::KeyQueues;
use crate::outlier_detection::{CallResult, OutlierDetection};
use crate::rate_limit::RareCallRate;
use crate::retry::{self, FailedAttempt, Recovery};
use crate::settings::{Settings, SettingsError};
use crate::subscription::Subscription;

/// Decides for one sender. Serialized, it is the state that one process hands over to the next.
#[derive(Default, Clone, Serialize, Deserialize)]
pub struct Controller {
    #[serde(skip)]
    settings: Settings,
    #[serde(skip)]
    random: fastrand::Rng,
    now: Micros,
    messages: MessageBuffer,
    in_flight: InFlight,
    endpoints: Endpoints,
    queues: KeyQueues,
    wake_ups: WakeUps,
    quotas: TenantQuotas,
    rare_call_rate: RareCallRate,
    subscription: Subscription,
    backlog_reporter: BacklogReporter,
    /// When the host's timer is due.
    timer_at: Micros,
}

impl Controller {
    /// Makes a controller; all its random numbers come from `seed`.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            random: fastrand::Rng::with_seed(seed),
            quotas: TenantQuotas::new(settings.tenants.len()),
            subscription: Subscription::new(settings.discovery),
            settings,
            ..Self::default()
        })
    }

    /// Continues from the state of another process, whose settings listed the same classes, kinds and so on.
    pub fn restore(self, settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self { settings, random: fastrand::Rng::with_seed(seed), ..self })
    }

    /// Whether this message is without a final answer.
    pub fn holds_message(&self, id: MessageId) -> bool {
        self.messages.contains(id)
    }

    /// How many of the listed endpoints get no calls: drained by an operator, draining, or ejected.
    pub fn avoided_endpoint_count(&self) -> usize {
        self.endpoints.avoided_count(self.now)
    }

    /// Takes in what happened at `now` and adds what to do to `actions`. One turn is one batch.
    pub fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        self.endpoints.start_counting(now);
        self.in_flight.begin_turn();
        for event in events {
            self.apply(event, actions);
        }
        if self.subscription.take_due_attempt(now) {
            actions.push(Action::Subscribe { on: true });
        }
        let next_response_check = self.detect_unresponsive();
        self.end_expired(actions);
        self.shed_load(actions);
        let next_cancellation = self.dispatch(actions);
        self.report_backlogs(actions);
        let due = [
            self.subscription.next_attempt_at(),
            next_response_check,
            next_cancellation,
            self.wake_ups.next(),
            self.messages.next_end_check(),
        ];
        self.set_timer(due.into_iter().flatten().min(), actions);
    }

    fn apply(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { update, entries, .. } => self.update_endpoints(*update, entries),
            Event::Maintenance { endpoint, command } => self.apply_maintenance(*endpoint, *command),
            Event::MessageSubmitted(submission) => self.admit(submission, actions),
            Event::MessageRecovered { id, attempts, first_ambiguous } => {
                self.recover(*id, *attempts, *first_ambiguous);
            }
            Event::NoticePending { id, order_key } => {
                self.queues.push(order_key, *id);
                self.queues.await_notice(*id, order_key.clone());
            }
            Event::NoticeAcknowledged { id } => {
                if let Some(key) = self.queues.acknowledge_notice(*id) {
                    self.advance_queue(&key, *id);
                }
            }
            Event::ResponseStarted { id, .. } => {
                if let Some(message) = self.messages.get_mut(*id) {
                    message.streaming = true;
                }
            }
            Event::AttemptEnded(end) => self.record_attempt_end(end),
            Event::MessageWithdrawn { id } => self.remove(*id),
            Event::TimerFired { .. } | Event::NoteReceived { .. } | Event::ProbeEnded { .. } => {}
        }
    }

    fn update_endpoints(&mut self, update: UpdateKind, entries: &[EndpointEntry]) {
        let context = Context { now: self.now, settings: &self.settings };
        self.subscription.record_update(context, update, &mut self.random);
        if update != UpdateKind::Failed {
            self.endpoints.apply_update(context, update, entries, &mut self.wake_ups);
            self.endpoints.forget_departed(context, &self.in_flight);
        }
    }

    fn apply_maintenance(&mut self, endpoint: EndpointId, command: MaintenanceCommand) {
        self.endpoints.apply_maintenance(endpoint, command, self.now, &mut self.wake_ups);
    }

    fn admit(&mut self, submission: &MessageSubmission, actions: &mut Vec<Action>) {
        let id = submission.id;
        let context = Context { now: self.now, settings: &self.settings };
        let Some(message) = self.quotas.admit(context, submission) else {
            actions.push(Action::Reject { id, retry_after: 0 });
            return;
        };
        if let Some(key) = &message.order_key {
            self.queues.push(key, id);
        }
        self.endpoints.count_arrival(message.destination);
        self.endpoints.enqueue(id, message.destination, &mut self.wake_ups);
        self.messages.schedule_end_check(id, retry::latest_start(context, &message));
        self.messages.insert(id, message);
    }

    fn recover(&mut self, id: MessageId, attempts: u32, first_ambiguous: Option<AmbiguousAttempt>) {
        let context = Context { now: self.now, settings: &self.settings };
        let destination = self.messages.get(id).map(|message| message.destination);
        let listed_rate = destination.and_then(|destination| self.endpoints.lowest_listed_limit(destination));
        let interval = jittered(retry::recovery_interval(context, listed_rate), &mut self.random);
        self.messages.schedule_end_check(id, self.now);
        let Some(message) = self.messages.get_mut(id) else { return };
        let destination = self.endpoints.destination_mut(message.destination);
        let others_waiting = destination.waiting.len() as Micros - 1;
        let recovery = Recovery { attempts, first_ambiguous, wait: interval * others_waiting };
        retry::recover(context, message, &recovery);
        self.endpoints.discount_arrival(message.destination);
    }

    fn record_attempt_end(&mut self, end: &AttemptEnd) {
        let key = AttemptKey { message: end.id, number: end.attempt };
        let Some(attempt) = self.in_flight.remove_attempt(key) else { return };
        self.record_limits(&attempt, end);
        self.record_call_result(&attempt, end);
        self.record_order(&attempt, end);
        let jitter_factor = jitter_factor(&mut self.random);
        let Some(message) = self.messages.get_mut(end.id) else { return };
        message.in_flight = false;
        if message.rejected {
            self.rare_call_rate.record_retry(end.outcome);
        }
        message.rejected = end.outcome == AttemptOutcome::Rejected;
        if end.is_final || end.outcome == AttemptOutcome::Delivered {
            self.remove(end.id);
            return;
        }
        let failed = FailedAttempt {
            sent_at: attempt.sent_at,
            zone: self.endpoints.get(attempt.endpoint).map_or(usize::MAX, |endpoint| endpoint.zone),
            outcome: end.outcome,
            jitter_factor,
        };
        let context = Context { now: self.now, settings: &self.settings };
        retry::schedule_retry(context, message, &failed, &self.rare_call_rate);
        self.endpoints.enqueue(end.id, message.destination, &mut self.wake_ups);
        self.messages.schedule_end_check(end.id, self.now);
    }

    /// Each outcome of a batch may carry a Retry-After and a load report, not only the last one.
    fn record_limits(&mut self, attempt: &Attempt, end: &AttemptEnd) {
        let Some(endpoint) = self.endpoints.get(attempt.endpoint) else { return };
        let route = endpoint.route;
        self.wake_ups.mark_dirty(route.destination);
        let rate_limit = self.endpoints.rate_limit_mut(route);
        rate_limit.extend_retry_after(self.now.saturating_add(end.retry_after));
        rate_limit.record_load_report(end.load_report);
    }

    fn record_call_result(&mut self, attempt: &Attempt, end: &AttemptEnd) {
        if !self.in_flight.record_outcome(attempt.call) {
            return;
        }
        let result = CallResult {
            call: attempt.call,
            endpoint: attempt.endpoint,
            sent_at: attempt.sent_at,
            outcome: end.outcome,
            retry_after: end.retry_after,
        };
        let mut detection = OutlierDetection {
            context: Context { now: self.now, settings: &self.settings },
            endpoints: &mut self.endpoints,
            messages: &self.messages,
            random: &mut self.random,
        };
        detection.record_result(&result, &self.rare_call_rate);
    }

    fn record_order(&mut self, attempt: &Attempt, end: &AttemptEnd) {
        let Some(key) = &attempt.order_key else { return };
        let quarantine_until = self.now + self.settings.rules.quarantine_time;
        if self.queues.record_attempt_end(key, end.id, end.outcome, quarantine_until) {
            self.advance_queue(key, end.id);
        }
    }

    /// Lets the next message of an order key go, once the ended one has no attempt in flight.
    fn advance_queue(&mut self, key: &str, id: MessageId) {
        if self.in_flight.has_attempt_of(id) || self.messages.contains(id) {
            return;
        }
        let head = self.queues.advance(self.now, key, id);
        if let Some(message) = head.and_then(|head| self.messages.get(head)) {
            self.wake_ups.mark_dirty(message.destination);
        }
    }

    /// Removes a message that has, or needs, no final answer of this controller.
    fn remove(&mut self, id: MessageId) {
        let Some(message) = self.messages.remove(id) else { return };
        self.endpoints.destination_mut(message.destination).waiting.remove(&id);
        if let Some(key) = &message.order_key {
            self.advance_queue(key, id);
        }
    }

    fn give_up(&mut self, id: MessageId, retry_after: Micros, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(id) else { return };
        let context = Context { now: self.now, settings: &self.settings };
        actions.push(retry::final_answer(context, id, message, retry_after));
        let awaited = message.order_key.clone().filter(|_| self.settings.notices_are_acknowledged);
        if let Some(key) = awaited {
            self.queues.await_notice(id, key);
        }
        self.remove(id);
    }

    fn end_expired(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.messages.take_due_end_check(self.now) {
            let Some(message) = self.messages.get(id).filter(|message| !message.streaming) else { continue };
            let due = retry::end_due(Context { now: self.now, settings: &self.settings }, message);
            if due <= self.now {
                self.give_up(id, retry::EXPIRED_RETRY_AFTER, actions);
            } else {
                self.messages.schedule_end_check(id, due);
            }
        }
    }

    fn shed_load(&mut self, actions: &mut Vec<Action>) {
        loop {
            let context = Context { now: self.now, settings: &self.settings };
            let Some(shed) = next_to_shed(context, &self.endpoints, &self.messages) else { return };
            self.give_up(shed.id, shed.retry_after, actions);
        }
    }

    fn detect_unresponsive(&mut self) -> Option<Micros> {
        let mut detection = OutlierDetection {
            context: Context { now: self.now, settings: &self.settings },
            endpoints: &mut self.endpoints,
            messages: &self.messages,
            random: &mut self.random,
        };
        detection.detect_unresponsive(&self.in_flight)
    }

    fn dispatch(&mut self, actions: &mut Vec<Action>) -> Option<Micros> {
        let mut dispatcher = Dispatcher {
            context: Context { now: self.now, settings: &self.settings },
            endpoints: &mut self.endpoints,
            messages: &mut self.messages,
            queues: &self.queues,
            in_flight: &mut self.in_flight,
            wake_ups: &mut self.wake_ups,
            random: &mut self.random,
            actions,
        };
        dispatcher.run()
    }

    fn report_backlogs(&mut self, actions: &mut Vec<Action>) {
        let state = EligibilityCheck {
            context: Context { now: self.now, settings: &self.settings },
            endpoints: &self.endpoints,
            messages: &self.messages,
            queues: &self.queues,
            in_flight: &self.in_flight,
        };
        let lines = self.backlog_reporter.report(&state);
        actions.extend(lines.into_iter().map(|text| Action::Log { text }));
    }

    fn set_timer(&mut self, due: Option<Micros>, actions: &mut Vec<Action>) {
        let Some(due) = due else { return };
        let has_fired = self.timer_at <= self.now;
        if has_fired || due < self.timer_at {
            self.timer_at = due.max(self.now + 1);
            actions.push(Action::SetTimer { at: self.timer_at, token: 0 });
        }
    }
}
