//! The controller as its host sees it. It owns the state and decides nothing itself: see the turn's module.

use serde::{Deserialize, Serialize};

use crate::diagnostics::BacklogReporter;
use crate::model::{Context, RareCallRate, State, Subscription, TenantQuotas};
use crate::turn::Turn;
use crate::{endpoints, ordering, Action, Event, MessageId, Micros, Settings, SettingsError};

/// Decides for one sender. Serialized, it is the state that one process hands over to the next.
#[derive(Default, Clone, Serialize, Deserialize)]
pub struct Controller {
    #[serde(skip)]
    settings: Settings,
    #[serde(skip)]
    random: fastrand::Rng,
    now: Micros,
    state: State,
    quotas: TenantQuotas,
    rare_call_rate: RareCallRate,
    subscription: Subscription,
    backlog_reporter: BacklogReporter,
    /// When the host's timer is due.
    timer_at: Micros,
}

impl Controller {
    /// Makes a controller; all its random numbers come from `seed`.
    ///
    /// # Errors
    /// Names the setting that is not well formed.
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

    /// Continues from the state of another process, whose settings listed the same classes, kinds and so on.
    ///
    /// # Errors
    /// Names the setting that is not well formed.
    pub fn restore(self, settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self { settings, random: fastrand::Rng::with_seed(seed), ..self })
    }

    /// Whether this message is without a final answer.
    pub fn holds_message(&self, id: MessageId) -> bool {
        self.state.messages.contains(id)
    }

    /// How many of the listed endpoints get no calls: drained by an operator, draining, or ejected.
    pub fn avoided_endpoint_count(&self) -> usize {
        self.state.view(self.context()).avoided_endpoint_count()
    }

    /// Takes in what happened at `now` and adds what to do to `actions`. One turn is one batch.
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

    /// Sets the host's timer, unless it fires in time.
    fn set_timer(&mut self, due: Micros, actions: &mut Vec<Action>) {
        let has_fired = self.timer_at <= self.now;
        if has_fired || due < self.timer_at {
            self.timer_at = due.max(self.now + 1);
            actions.push(Action::SetTimer { at: self.timer_at, token: 0 });
        }
    }
}

/// Hands an event to the policy that it concerns.
fn apply(turn: &mut Turn, event: &Event) {
    match event {
        Event::EndpointsUpdated { update, entries, .. } => turn.update_endpoints(*update, entries),
        Event::Maintenance { endpoint, command } => {
            endpoints::maintain(turn.context, turn.state, *endpoint, *command);
        }
        Event::MessageSubmitted(submission) => turn.admit(submission),
        Event::MessageRecovered { id, attempts, first_ambiguous } => {
            turn.recover(*id, *attempts, *first_ambiguous);
        }
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
