//! The state that all policies share, and its read-only view.

use serde::{Deserialize, Serialize};

use crate::model::{
    Attempt, AttemptKey, CallId, Context, Destination, Endpoint, Endpoints, InFlight, KeyQueues, Message,
    MessageBuffer, RateLimit, WakeUps,
};
use crate::{AttemptEnd, EndpointId, ListingState, MessageId, Micros};

/// Buffered messages, attempts in flight, endpoints, queues of order keys and scheduled checks.
#[derive(Default, Clone, Serialize, Deserialize)]
pub(crate) struct State {
    pub messages: MessageBuffer,
    pub in_flight: InFlight,
    pub endpoints: Endpoints,
    /// Queues of the order keys.
    pub queues: KeyQueues,
    /// Scheduled checks of destinations.
    pub wake_ups: WakeUps,
}

/// Read-only view of the state at one moment. Each policy adds its queries in an `impl` in its own module.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub context: Context<'a>,
    pub state: &'a State,
}

impl State {
    pub fn view<'a>(&'a self, context: Context<'a>) -> View<'a> {
        View { context, state: self }
    }

    /// Starts a turn: closes the batches of the previous turn. The first turn also starts the count of
    /// submitted messages.
    pub fn begin_turn(&mut self, now: Micros) {
        self.endpoints.start_counting(now);
        self.in_flight.begin_turn();
    }

    /// Adds a submitted message, and schedules a check at `latest_start`, the last moment at which an attempt
    /// of it may start.
    pub fn insert(&mut self, id: MessageId, message: Message, latest_start: Micros) {
        if let Some(key) = &message.order_key {
            self.queues.push(key, id);
        }
        self.endpoints.count_arrival(message.destination);
        self.messages.schedule_end_check(id, latest_start);
        self.messages.insert(id, message);
        self.enqueue(id);
    }

    /// Removes a message, but not from the queue of its order key.
    pub fn remove(&mut self, id: MessageId) -> Option<Message> {
        let message = self.messages.remove(id)?;
        self.endpoints.destination_mut(message.destination).waiting.remove(&id);
        Some(message)
    }

    /// Removes all messages and attempts, and with them the order keys, the scheduled checks and the probes.
    pub fn remove_all_messages(&mut self) {
        self.messages = MessageBuffer::default();
        self.in_flight.clear();
        self.queues = KeyQueues::default();
        self.wake_ups = WakeUps::default();
        self.endpoints.remove_all_messages();
    }

    /// Lowest listed limit among the routes of a message's destination.
    pub fn lowest_listed_limit(&self, id: MessageId) -> Option<f64> {
        self.endpoints.lowest_listed_limit(self.messages.get(id)?.destination)
    }

    /// When the next check of a destination is due, and the next check of whether a message must end.
    pub fn next_due(&self) -> [Option<Micros>; 2] {
        [self.wake_ups.next(), self.messages.next_end_check()]
    }

    /// Applies the Retry-After and the load report of an attempt's end to the rate limit of its route.
    pub fn record_limits(&mut self, context: Context, attempt: &Attempt, end: &AttemptEnd) {
        let Some(endpoint) = self.endpoints.get(attempt.endpoint) else { return };
        let route = endpoint.route;
        self.wake_ups.mark_dirty(route.destination);
        let rate_limit = self.endpoints.rate_limit_mut(route);
        rate_limit.extend_retry_after(context.now.saturating_add(end.retry_after));
        rate_limit.record_load_report(end.load_report);
    }

    /// Adds a message to those that wait for its destination, and marks the destination as dirty.
    pub fn enqueue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(id) else { return };
        self.endpoints.destination_mut(message.destination).waiting.insert(id);
        self.wake_ups.mark_dirty(message.destination);
    }

    /// Records that an attempt of a waiting message is sent in a call. Returns the number of the attempt.
    pub fn record_attempt(&mut self, context: Context, id: MessageId, to: EndpointId, call: CallId) -> u32 {
        let Some(message) = self.messages.get_mut(id) else { return 0 };
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
        key.number
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

    /// Number of listed endpoints that get no calls now: draining, drained by an operator, or ejected with no
    /// probe due.
    pub fn avoided_endpoint_count(&self) -> usize {
        let endpoints = self.state.endpoints.iter();
        let listed = endpoints.filter(|endpoint| endpoint.listing != ListingState::Removed);
        let is_avoided = |endpoint: &Endpoint| {
            let ejection = endpoint.health.ejection();
            !endpoint.available || ejection.is_some_and(|ejection| ejection.next_probe_at > self.context.now)
        };
        listed.filter(|endpoint| is_avoided(endpoint)).count()
    }
}
