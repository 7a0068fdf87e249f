//! The bookkeeping that all policies share: what is buffered, in flight, listed and due.

use serde::{Deserialize, Serialize};

use crate::model::{
    Attempt, AttemptKey, CallId, Context, Destination, Endpoint, Endpoints, InFlight, KeyQueues, Message,
    MessageBuffer, RateLimit, WakeUps,
};
use crate::{AttemptEnd, EndpointId, ListingState, MessageId, Micros};

/// Everything that is buffered, in flight, listed and due.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct State {
    pub messages: MessageBuffer,
    pub in_flight: InFlight,
    pub endpoints: Endpoints,
    pub queues: KeyQueues,
    pub wake_ups: WakeUps,
}

/// The state as policies read it at one moment. Each policy adds its questions in its own module.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub context: Context<'a>,
    pub state: &'a State,
}

impl State {
    pub fn view<'a>(&'a self, context: Context<'a>) -> View<'a> {
        View { context, state: self }
    }

    /// Starts a turn: its calls open new batches.
    pub fn begin_turn(&mut self, now: Micros) {
        self.endpoints.start_counting(now);
        self.in_flight.begin_turn();
    }

    /// Adds a message that was submitted; it must end if it has not started by `latest_start`.
    pub fn insert(&mut self, id: MessageId, message: Message, latest_start: Micros) {
        if let Some(key) = &message.order_key {
            self.queues.push(key, id);
        }
        self.endpoints.count_arrival(message.destination);
        self.messages.schedule_end_check(id, latest_start);
        self.messages.insert(id, message);
        self.enqueue(id);
    }

    /// Removes a message; its place in the queue of its key remains.
    pub fn remove(&mut self, id: MessageId) -> Option<Message> {
        let message = self.messages.remove(id)?;
        self.endpoints.destination_mut(message.destination).waiting.remove(&id);
        Some(message)
    }

    /// Lowest listed limit among the routes of a message's destination.
    pub fn lowest_listed_limit(&self, id: MessageId) -> Option<f64> {
        self.endpoints.lowest_listed_limit(self.messages.get(id)?.destination)
    }

    /// When a destination is to be looked at, and when a message may have to end.
    pub fn next_due(&self) -> [Option<Micros>; 2] {
        [self.wake_ups.next(), self.messages.next_end_check()]
    }

    /// Notes the Retry-After and the load report that came with an attempt's end.
    pub fn record_limits(&mut self, context: Context, attempt: &Attempt, end: &AttemptEnd) {
        let Some(endpoint) = self.endpoints.get(attempt.endpoint) else { return };
        let route = endpoint.route;
        self.wake_ups.mark_dirty(route.destination);
        let rate_limit = self.endpoints.rate_limit_mut(route);
        rate_limit.extend_retry_after(context.now.saturating_add(end.retry_after));
        rate_limit.record_load_report(end.load_report);
    }

    /// Has a message wait for its destination, which is looked at in this turn.
    pub fn enqueue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(id) else { return };
        self.endpoints.destination_mut(message.destination).waiting.insert(id);
        self.wake_ups.mark_dirty(message.destination);
    }

    /// Notes that an attempt of a waiting message was sent with a call.
    pub fn record_attempt(&mut self, context: Context, id: MessageId, to: EndpointId, call: CallId) {
        let Some(message) = self.messages.get_mut(id) else { return };
        let key = AttemptKey { message: id, number: message.attempts };
        let attempt = Attempt {
            endpoint: to,
            call,
            sent_at: context.now,
            cancelled: false,
            order_key: message.order_key.clone(),
        };
        self.in_flight.insert_attempt(key, attempt);
        message.attempts += 1;
        message.recovered_unattempted = false;
        message.in_flight = true;
        self.endpoints.destination_mut(message.destination).waiting.remove(&id);
    }
}

impl<'a> View<'a> {
    /// The destination of an endpoint.
    pub fn destination_of(&self, endpoint: &Endpoint) -> Option<&'a Destination> {
        self.state.endpoints.destination(endpoint.route.destination)
    }

    /// The rate limit of an endpoint's route.
    pub fn rate_limit_of(&self, endpoint: &Endpoint) -> Option<&'a RateLimit> {
        self.state.endpoints.rate_limit(endpoint.route)
    }

    /// How many of the listed endpoints get no calls: drained by an operator, draining, or ejected.
    pub fn avoided_endpoint_count(&self) -> usize {
        let endpoints = self.state.endpoints.iter();
        let listed = endpoints.filter(|endpoint| endpoint.listing != ListingState::Removed);
        let is_avoided = |endpoint: &Endpoint| {
            let ejection = endpoint.health.ejection();
            !endpoint.available || ejection.is_some_and(|other| other.next_probe_at > self.context.now)
        };
        listed.filter(|endpoint| is_avoided(endpoint)).count()
    }
}
