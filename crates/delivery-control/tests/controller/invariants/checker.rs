//! Checks each action of a controller against the delivery rules, with its own record of messages, endpoints,
//! and Retry-Afters.

use std::collections::BTreeMap;

use delivery_control::{
    Action, AttemptEnd, AttemptOutcome, DestinationId, EndpointId, Event, Idempotency, IdempotencyScope,
    MessageClass, MessageId, Micros, Settings,
};

use crate::support::{attempt_end, SECOND};

/// Number of zones; an endpoint's zone is its number modulo this.
const ZONES: u64 = 2;

/// A route: a destination, or one of its endpoints where rate limits are per endpoint.
type Route = (DestinationId, Option<EndpointId>);

/// A call in flight.
#[derive(Clone, Copy)]
struct Call {
    endpoint: EndpointId,
    sent_at: Micros,
}

/// The first attempt of a message that may have taken effect.
#[derive(Clone, Copy)]
pub struct FirstAmbiguous {
    sent_at: Micros,
    zone: u64,
}

/// The state of a message that the rules depend on.
pub struct Message {
    /// Index of its class.
    pub class: usize,
    /// Where it is to be delivered.
    pub destination: DestinationId,
    /// Its order key, if its class is ordered.
    pub order_key: Option<String>,
    /// Time of its deadline.
    pub deadline: Micros,
    /// Attempts made so far.
    pub attempts: u32,
    /// The first attempt that may have taken effect.
    pub first_ambiguous: Option<FirstAmbiguous>,
    call: Option<Call>,
    /// Whether the message was delivered, rejected or failed.
    pub is_finished: bool,
    /// Position of the message in the order of submission.
    submission_number: u64,
}

impl Message {
    /// Creates the record of a message that is submitted at `now`.
    pub fn submitted(
        class: usize,
        destination: DestinationId,
        order_key: Option<String>,
        submission_number: u64,
        now: Micros,
    ) -> Self {
        Self {
            class,
            destination,
            order_key,
            deadline: now + 20 * SECOND,
            attempts: 0,
            first_ambiguous: None,
            call: None,
            is_finished: false,
            submission_number,
        }
    }
}

/// An endpoint as the list shows it.
#[derive(Clone, Copy)]
pub struct ListedEndpoint {
    /// The destination that it belongs to.
    pub destination: DestinationId,
    /// Index of its kind.
    pub kind: usize,
    /// Whether it is listed as live; otherwise it is draining.
    pub is_live: bool,
}

/// Quarantine of an order key: until its end, only the message of the ambiguous attempt may be sent.
#[derive(Clone, Copy)]
struct Quarantine {
    until: Micros,
    message: MessageId,
}

/// Checks the controller's actions against the rules, from the events reported to it and its earlier actions.
pub struct InvariantChecker {
    /// The controller's settings.
    pub settings: Settings,
    /// The present virtual time.
    pub now: Micros,
    /// The endpoints as last listed.
    pub endpoints: BTreeMap<EndpointId, ListedEndpoint>,
    messages: BTreeMap<MessageId, Message>,
    retry_after_until: BTreeMap<Route, Micros>,
    quarantines: BTreeMap<String, Quarantine>,
    /// Number of sends.
    pub sends: usize,
    /// Number of sends after an attempt that may have taken effect.
    pub retries: usize,
    /// Number of outcomes with a Retry-After.
    pub retry_afters: usize,
}

impl InvariantChecker {
    /// Creates a checker without messages.
    pub fn new(settings: Settings, now: Micros, endpoints: BTreeMap<EndpointId, ListedEndpoint>) -> Self {
        Self {
            settings,
            now,
            endpoints,
            messages: BTreeMap::new(),
            retry_after_until: BTreeMap::new(),
            quarantines: BTreeMap::new(),
            sends: 0,
            retries: 0,
            retry_afters: 0,
        }
    }

    /// All messages submitted so far.
    pub fn messages(&self) -> impl Iterator<Item = &Message> {
        self.messages.values()
    }

    /// Records a submission.
    pub fn submit(&mut self, id: MessageId, message: Message) {
        self.messages.insert(id, message);
    }

    /// Checks the actions of a turn, and that no open message is past its deadline and the answer slack.
    pub fn check_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout, .. } => self.check_send(*id, *endpoint, *timeout),
                Action::Reject { id, .. } => self.check_rejection(*id),
                Action::Fail { id } => self.finish(*id),
                _ => {}
            }
        }
        let slack = self.settings.rules.answer_slack;
        let late = |message: &Message| !message.is_finished && self.now > message.deadline + slack;
        assert!(
            !self.messages().any(late),
            "a message is still open after its deadline and the answer slack"
        );
    }

    fn check_send(&mut self, id: MessageId, endpoint: EndpointId, timeout: Micros) {
        assert!(timeout > 0, "message {id} was sent with a timeout that is not positive");
        self.check_endpoint(id, endpoint);
        self.check_order(id);
        let message = &self.messages[&id];
        assert!(!message.is_finished, "message {id} was sent after its end");
        assert!(message.call.is_none(), "message {id} has two attempts in flight");
        assert!(
            message.attempts < self.settings.limits.max_attempts,
            "message {id} has more attempts than permitted"
        );
        assert_eq!(self.endpoints[&endpoint].destination, message.destination);
        assert!(self.now < message.deadline);
        if let Some(first_ambiguous) = message.first_ambiguous {
            self.check_retry(id, endpoint, first_ambiguous);
            self.retries += 1;
        }
        let message = self.messages.get_mut(&id).expect("the message is known");
        message.attempts += 1;
        message.call = Some(Call { endpoint, sent_at: self.now });
        self.sends += 1;
    }

    /// Checks that the endpoint is live, and that the Retry-After of its route is over.
    fn check_endpoint(&self, id: MessageId, endpoint: EndpointId) {
        let is_live = self.endpoints[&endpoint].is_live;
        assert!(is_live, "message {id} was sent to an endpoint that is listed as draining");
        let until = self.retry_after_until.get(&self.route(endpoint)).copied().unwrap_or(0);
        let early = until - self.now;
        assert!(early <= 0, "message {id} was sent {early} µs before the end of the Retry-After");
    }

    /// Checks that all earlier messages of the order key are finished, and that no quarantine of the key
    /// forbids the send.
    fn check_order(&self, id: MessageId) {
        let message = &self.messages[&id];
        let Some(key) = &message.order_key else { return };
        for (other, earlier) in &self.messages {
            if earlier.order_key.as_ref() != Some(key)
                || earlier.submission_number >= message.submission_number
            {
                continue;
            }
            let is_over = earlier.is_finished && earlier.call.is_none();
            assert!(
                is_over,
                "message {id} was sent before the end of {other}, an earlier message of its order key"
            );
        }
        if let Some(quarantine) = self.quarantines.get(key) {
            let is_allowed = quarantine.until <= self.now || quarantine.message == id;
            assert!(is_allowed, "message {id} was sent while its order key is in quarantine");
        }
    }

    /// Checks that the idempotency of a message that may have taken effect permits this repeat.
    fn check_retry(&self, id: MessageId, endpoint: EndpointId, first_ambiguous: FirstAmbiguous) {
        let class = self.class_of(id);
        match class.idempotency {
            Idempotency::Always => {}
            Idempotency::Never => panic!("message {id} may have taken effect and was sent again"),
            Idempotency::WithKey => {
                let window_end = first_ambiguous.sent_at + class.idempotency_window;
                assert!(self.now <= window_end, "message {id} was sent again after its idempotency window");
                let is_in_scope = class.idempotency_scope == IdempotencyScope::All
                    || first_ambiguous.zone == endpoint % ZONES;
                assert!(
                    is_in_scope,
                    "message {id} was sent again in a zone that does not know its idempotency key"
                );
            }
        }
    }

    /// Checks that the rejected message had no effect, or that the client may submit it again without harm.
    fn check_rejection(&mut self, id: MessageId) {
        let message = &self.messages[&id];
        if message.first_ambiguous.is_some() || message.call.is_some() {
            let class = self.class_of(id);
            let may_be_rejected = match class.idempotency {
                Idempotency::Always => true,
                Idempotency::WithKey => class.idempotency_scope == IdempotencyScope::All,
                Idempotency::Never => false,
            };
            assert!(may_be_rejected, "message {id} may have taken effect and was rejected");
        }
        self.finish(id);
    }

    /// Records the final answer; checks that it is the only one and comes in time.
    fn finish(&mut self, id: MessageId) {
        let message = self.messages.get_mut(&id).expect("the message is known");
        assert!(!message.is_finished, "message {id} got two final answers");
        let latest = message.deadline + self.settings.rules.answer_slack;
        assert!(self.now <= latest, "message {id} got its final answer too late");
        message.is_finished = true;
    }

    /// Records how the call of a message ended, and returns the event that reports it.
    pub fn end_call(&mut self, id: MessageId, outcome: AttemptOutcome, retry_after: Micros) -> Event {
        let message = self.messages.get_mut(&id).expect("the message is known");
        let call = message.call.take().expect("a call is in flight");
        if may_have_taken_effect(outcome) && message.first_ambiguous.is_none() {
            let zone = call.endpoint % ZONES;
            message.first_ambiguous = Some(FirstAmbiguous { sent_at: call.sent_at, zone });
        }
        message.is_finished |= outcome == AttemptOutcome::Delivered;
        let end = AttemptEnd {
            elapsed: self.now - call.sent_at,
            was_started: true,
            is_final: message.is_finished,
            retry_after,
            ..attempt_end(id, message.attempts - 1, call.endpoint, outcome)
        };
        if is_quarantined_after(outcome) {
            if let Some(key) = message.order_key.clone() {
                let until = self.now + self.settings.rules.quarantine_time;
                self.quarantines.insert(key, Quarantine { until, message: id });
            }
        }
        self.record_retry_after(call.endpoint, retry_after);
        Event::AttemptEnded(end)
    }

    fn record_retry_after(&mut self, endpoint: EndpointId, retry_after: Micros) {
        if retry_after == 0 {
            return;
        }
        let route = self.route(endpoint);
        let until = self.retry_after_until.entry(route).or_default();
        *until = (*until).max(self.now + retry_after);
        self.retry_afters += 1;
    }

    fn route(&self, endpoint: EndpointId) -> Route {
        let listed = &self.endpoints[&endpoint];
        let is_per_endpoint = self.settings.kinds[listed.kind].per_endpoint_limits;
        (listed.destination, is_per_endpoint.then_some(endpoint))
    }

    fn class_of(&self, id: MessageId) -> &MessageClass {
        &self.settings.classes[self.messages[&id].class]
    }
}

/// Whether a message may have taken effect by a call with this outcome.
fn may_have_taken_effect(outcome: AttemptOutcome) -> bool {
    !matches!(outcome, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
}

/// Whether the order key of a message is in quarantine after a call with this outcome.
fn is_quarantined_after(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled)
}
