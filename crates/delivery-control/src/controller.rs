//! The controller: the interface to the host and the owner of the state. It makes no decisions itself; it
//! passes events to the policies and lets [`Turn`] run them.

use serde::{Deserialize, Serialize};

use crate::diagnostics::BacklogReporter;
use crate::model::{Context, RareCallRate, State, Subscription, TenantQuotas};
use crate::reconciliation::{self, AttemptReconciliation};
use crate::turn::Turn;
use crate::{
    endpoints, ordering, Action, AttemptId, EndpointId, Event, MessageId, Micros, Settings, SettingsError,
};

/// Decides for one sender which messages go where and when. Its serialized form is the state that one process
/// hands over to the next.
#[derive(Default, Clone, Serialize, Deserialize)]
pub struct Controller {
    #[serde(skip)]
    settings: Settings,
    #[serde(skip)]
    random: fastrand::Rng,
    /// Time of the latest turn, in µs on the host's clock.
    now: Micros,
    state: State,
    quotas: TenantQuotas,
    rare_call_rate: RareCallRate,
    subscription: Subscription,
    backlog_reporter: BacklogReporter,
    /// When the timer that was set last fires, in µs on the host's clock.
    timer_at: Micros,
}

impl Controller {
    /// Creates a controller; all its random numbers come from `seed`.
    ///
    /// # Errors
    /// Returns an error that names the first setting that is not valid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            random: fastrand::Rng::with_seed(seed),
            quotas: TenantQuotas::new(settings.tenants.len()),
            rare_call_rate: RareCallRate::new(),
            subscription: Subscription::new(settings.discovery),
            settings,
            ..Self::default()
        })
    }

    /// Continues from the state that another process handed over. The settings must list the same classes,
    /// kinds, zones and tenants as the other process's, in the same order: the state and events refer to them
    /// by index. All further random numbers come from `seed`.
    ///
    /// # Errors
    /// Returns an error that names the first setting that is not valid.
    pub fn restore(self, settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self { settings, random: fastrand::Rng::with_seed(seed), ..self })
    }

    /// Whether the controller holds this message, which then has no final answer yet.
    pub fn holds_message(&self, id: MessageId) -> bool {
        self.state.messages.contains(id)
    }

    /// Continues without the messages and attempts, of which another process has been in charge in between. What
    /// is known about endpoints, limits and quotas is kept.
    #[must_use]
    pub fn without_messages(mut self) -> Self {
        self.state.remove_all_messages();
        self.timer_at = 0;
        self
    }

    /// The endpoints that operators have drained, in ascending order of their ids.
    pub fn drained_endpoints(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.state.endpoints.manually_drained()
    }

    /// The messages that the controller holds.
    pub fn messages(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.state.messages.ids()
    }

    /// Whether an attempt is in flight: its end has not been reported.
    pub fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.state.in_flight.contains(attempt.into())
    }

    /// The attempts in flight, also those that were cancelled and whose end has not been reported.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = AttemptId> + '_ {
        self.state.in_flight.attempts().map(|(key, _)| (*key).into())
    }

    /// Compares the attempts in flight with those that the predecessor says its calls carry, and adopts the
    /// predecessor's number where only the number of a message's attempt differs.
    pub fn reconcile_attempts(&mut self, carried: &[AttemptId]) -> AttemptReconciliation {
        reconciliation::reconcile(&mut self.state.in_flight, carried)
    }

    /// Number of listed endpoints that get no calls now: draining, drained by an operator, or ejected with no
    /// probe due.
    pub fn avoided_endpoint_count(&self) -> usize {
        self.state.view(self.context()).avoided_endpoint_count()
    }

    /// Runs one turn at the time `now`, in µs on the host's clock: processes a batch of events and appends
    /// the resulting actions to `actions`.
    pub fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        let mut turn = Turn {
            context: Context { now, settings: &self.settings },
            state: &mut self.state,
            quotas: &mut self.quotas,
            rare_call_rate: &mut self.rare_call_rate,
            subscription: &mut self.subscription,
            random: &mut self.random,
            actions,
        };
        turn.state.begin_turn(now);
        for event in events {
            apply(&mut turn, event);
        }
        let due = turn.decide();
        let view = self.state.view(Context { now, settings: &self.settings });
        let reports = self.backlog_reporter.report(&view);
        actions.extend(reports.into_iter().map(Action::ReportBacklog));
        if let Some(due) = due {
            self.set_timer(due, actions);
        }
    }

    fn context(&self) -> Context<'_> {
        Context { now: self.now, settings: &self.settings }
    }

    /// Sets a timer of the host for `due`, or for the next microsecond if `due` has passed, unless the timer
    /// that was set last fires by then.
    fn set_timer(&mut self, due: Micros, actions: &mut Vec<Action>) {
        let has_fired = self.timer_at <= self.now;
        if has_fired || due < self.timer_at {
            self.timer_at = due.max(self.now + 1);
            actions.push(Action::SetTimer { at: self.timer_at, token: 0 });
        }
    }
}

/// Passes an event to the policy that handles it.
fn apply(turn: &mut Turn, event: &Event) {
    match event {
        Event::EndpointsUpdated { update, entries, .. } => turn.update_endpoints(*update, entries),
        Event::Maintenance { endpoint, command } => {
            endpoints::apply_maintenance(turn.context, turn.state, *endpoint, *command);
        }
        Event::MessageSubmitted(submission) => turn.admit(submission),
        Event::MessageRecovered { id, attempts, first_ambiguous } => {
            turn.recover(*id, *attempts, *first_ambiguous);
        }
        Event::PredecessorEnded => ordering::quarantine_all(turn.context, turn.state),
        Event::NoticePending { id, order_key } => {
            turn.state.queues.push(order_key, *id);
            turn.state.queues.await_notice(*id, Some(order_key));
        }
        Event::NoticeAcknowledged { id } => {
            if let Some(key) = turn.state.queues.acknowledge_notice(*id) {
                ordering::advance(turn.context, turn.state, &key, *id);
            }
        }
        Event::ResponseStarted { id, .. } => {
            if let Some(message) = turn.state.messages.get_mut(*id) {
                message.streaming = true;
            }
        }
        Event::AttemptEnded(end) => turn.record_attempt_end(end),
        Event::MessageWithdrawn { id } => turn.remove(*id),
        Event::TimerFired { .. } | Event::NoteReceived { .. } | Event::ProbeEnded { .. } => {}
    }
}
