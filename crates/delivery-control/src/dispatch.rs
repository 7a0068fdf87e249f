//! Dispatch: which message is sent next, and to which endpoint.

use crate::model::{CallId, Context, DispatchCandidate, Eligibility, EndpointChoice, Health, Message};
use crate::model::{State, View, SECOND};
use crate::{admission::value_at, endpoints::UNKNOWN_LATENCY, retry};
use crate::{Action, DestinationId, EndpointId, MessageId, Micros};

/// Latency in µs that is equivalent to a unit of cost in the choice of an endpoint.
const LATENCY_PER_COST: f64 = 20e6;
/// Latency in µs that is equivalent to one consecutive failure in the choice of an endpoint.
const LATENCY_PER_FAILURE: f64 = 4e6;
/// Upper bound in µs of the time for which a message is expected to use its permit; also assumed if no
/// endpoint is available.
const MAX_PERMIT_TIME: f64 = 10.0 * UNKNOWN_LATENCY;
/// Lower bound in µs of the time for which a message is expected to use its permit.
const MIN_PERMIT_TIME: f64 = UNKNOWN_LATENCY / 8.0;
/// How far back, in µs, a slow start may make up for calls that it did not make.
const SLOW_START_CREDIT: Micros = SECOND;

/// Sends the messages that are eligible, and cancels attempts to free permits.
pub(crate) struct Dispatcher<'a> {
    pub context: Context<'a>,
    pub state: &'a mut State,
    pub random: &'a mut fastrand::Rng,
    pub actions: &'a mut Vec<Action>,
}

impl Dispatcher<'_> {
    /// Sends the eligible messages, the most urgent first, of all destinations that are dirty, whose
    /// scheduled check is due, or that waited for a permit if one is free. Returns when an attempt may next
    /// be cancelled to free its permit, if messages wait for one.
    pub fn run(&mut self) -> Option<Micros> {
        let limits = &self.context.settings.limits;
        self.state.wake_ups.release_due(self.context.now);
        if self.state.in_flight.call_count() < limits.max_in_flight {
            self.state.wake_ups.release_awaiting_permit();
        }
        let mut candidates = Vec::new();
        for destination in self.state.wake_ups.take_dirty() {
            self.view().add_candidates(destination, &mut candidates);
        }
        candidates.sort_by(|a, b| b.urgency.total_cmp(&a.urgency).then(a.objective_at.cmp(&b.objective_at)));
        for candidate in candidates {
            self.dispatch(candidate.id);
        }
        let may_free_permit = self.state.wake_ups.is_permit_awaited() && limits.may_cancel;
        may_free_permit.then(|| self.free_permit()).flatten()
    }

    fn view(&self) -> View<'_> {
        self.state.view(self.context)
    }

    /// Sends a message to the cheapest endpoint that it is eligible for, or schedules the next check of its
    /// destination.
    fn dispatch(&mut self, id: MessageId) {
        let destination = self.state.messages[id].destination;
        let choice = self.view().choose(id, destination);
        if choice.lacks_permit {
            self.state.wake_ups.await_permit(destination);
        }
        if let Some(endpoint) = choice.endpoint {
            self.send(id, endpoint);
        } else if let Some(at) = choice.retry_at {
            self.state.wake_ups.schedule(destination, at);
        }
    }

    /// Sends a message in a call of this turn that has room for it, or else in a new one.
    fn send(&mut self, id: MessageId, to: EndpointId) {
        let jitter_sample = self.random.f64();
        let message = &self.state.messages[id];
        let timeout = retry::timeout(self.context, message, &self.state.endpoints[to]);
        let start_deadline = retry::latest_start(self.context, message);
        let joined = self.state.in_flight.join_batch(to);
        let call = joined.unwrap_or_else(|| self.start_call(to, jitter_sample));
        let attempt = self.state.record_attempt(self.context, id, to, call);
        self.actions.push(Action::Send { id, attempt, endpoint: to, timeout, start_deadline });
    }

    /// Starts a call, and updates the endpoint's connections and health and the route's rate limit.
    fn start_call(&mut self, to: EndpointId, jitter_sample: f64) -> CallId {
        let now = self.context.now;
        let call = self.state.in_flight.start_call(to, now);
        let health = self.view().health_after_call(to, call);
        let Some(endpoint) = self.state.endpoints.get_mut(to) else { return call };
        endpoint.take_connection(now, self.context.settings.limits.connection_idle);
        endpoint.health = health;
        // Probes and calls of a slow start carry one message.
        let free = if health == Health::Healthy { endpoint.batch_size - 1 } else { 0 };
        let route = endpoint.route;
        self.state.in_flight.open_batch(to, call, free);
        self.state.endpoints.rate_limit_mut(route).record_call(now, jitter_sample);
        call
    }

    /// Cancels the attempt that has been overdue the longest, since messages wait for its permit. If none
    /// is overdue yet, returns when one will be.
    fn free_permit(&mut self) -> Option<Micros> {
        let stuck = self.view().first_stuck_attempt()?;
        if stuck.overdue_at >= self.context.now {
            return Some(stuck.overdue_at + 1);
        }
        self.state.in_flight.mark_cancelled(stuck.key);
        self.actions.push(Action::Cancel { id: stuck.key.message, attempt: stuck.key.number });
        None
    }
}

impl View<'_> {
    /// Adds the waiting messages of a destination, with their urgencies.
    fn add_candidates(&self, id: DestinationId, candidates: &mut Vec<DispatchCandidate>) {
        let Some(destination) = self.state.endpoints.destination(id) else { return };
        let later = self.context.now + self.expected_wait(destination);
        let latencies = destination.endpoints.iter().map(|id| self.state.endpoints[*id].latency);
        let permit_time = latencies.fold(MAX_PERMIT_TIME, f64::min).max(MIN_PERMIT_TIME);
        for &id in &destination.waiting {
            let message = &self.state.messages[id];
            let urgency = self.urgency(id, message, later, permit_time);
            candidates.push(DispatchCandidate { id, urgency, objective_at: message.objective_at });
        }
    }

    /// Value that is lost if the message waits until `later`, for each µs of permit use. Recovered messages
    /// without an attempt go first.
    fn urgency(&self, id: MessageId, message: &Message, later: Micros, permit_time: f64) -> f64 {
        if message.recovered_unattempted {
            return f64::MAX;
        }
        let value = |message, at| value_at(self.context, message, at);
        let loss = |message| value(message, self.context.now) - value(message, later);
        // The head of an order key's queue holds up all messages behind it, whatever their destinations.
        let followers = self.state.queues.followers(message.order_key.as_ref(), id);
        let held_up: f64 = followers.filter_map(|id| self.state.messages.get(id)).map(loss).sum();
        (loss(message) + held_up) / permit_time
    }

    /// Chooses the cheapest endpoint that the message is eligible for. If there is none, the choice says
    /// when to check again.
    fn choose(&self, id: MessageId, destination: DestinationId) -> EndpointChoice {
        let mut choice = EndpointChoice::default();
        let mut eligible = Vec::new();
        for &endpoint in self.state.endpoints.available(destination) {
            match self.eligibility(id, endpoint) {
                Eligibility::Now => eligible.push(endpoint),
                Eligibility::NotBefore(at) => choice.retry_at = Some(choice.retry_at.unwrap_or(at).min(at)),
                Eligibility::NoPermit => choice.lacks_permit = true,
                Eligibility::No => {}
            }
        }
        choice.endpoint = eligible.into_iter().min_by(|a, b| self.cost(*a).total_cmp(&self.cost(*b)));
        choice
    }

    /// Expected latency of an endpoint in µs, with costs and failures counted as latency.
    fn cost(&self, id: EndpointId) -> f64 {
        let endpoint = &self.state.endpoints[id];
        let settings = self.context.settings;
        let is_connected = endpoint.has_idle_connection(self.context.now, settings.limits.connection_idle);
        let zone = endpoint.route.endpoint.and(settings.zones.get(endpoint.zone));
        let fee = zone.map_or(0.0, |zone| zone.fee);
        let cross_zone = if endpoint.zone == settings.zone { 0.0 } else { settings.prices.cross_zone };
        let handshake = if is_connected { 0.0 } else { settings.prices.handshake };
        let joins_batch = self.state.in_flight.has_batch(id);
        let queue = if joins_batch { 1.0 } else { 1.0 + self.state.in_flight.calls_to(id) as f64 };
        let costs = (fee + cross_zone + handshake) * LATENCY_PER_COST;
        endpoint.latency * queue + costs + LATENCY_PER_FAILURE * f64::from(endpoint.consecutive_failures)
    }

    /// Health of an endpoint after `call` was sent to it: a call to an ejected endpoint is its probe, and
    /// each call of a slow start postpones the next one.
    fn health_after_call(&self, to: EndpointId, call: CallId) -> Health {
        let now = self.context.now;
        let endpoint = &self.state.endpoints[to];
        let mut health = endpoint.health_now(self.context);
        match &mut health {
            Health::Healthy => {}
            Health::Ejected(ejection) => ejection.probe = Some(call),
            Health::SlowStart(start) => {
                let elapsed = now - start.since;
                let interval = self.slow_start_interval(endpoint, elapsed, start.competing_senders);
                start.next_call_at = start.next_call_at.max(now - SLOW_START_CREDIT) + interval;
            }
        }
        health
    }
}
