//! Simulates random sequences of events: submissions, changes of the endpoint list, and calls that may fail.

use std::collections::BTreeMap;

use delivery_control::{
    Action, AttemptOutcome, Controller, EndpointEntry, EndpointId, Event, ListingState, MessageId,
    MessageSubmission, Micros, UpdateKind,
};

use super::checker::{InvariantChecker, ListedEndpoint, Message};
use crate::support::{
    endpoint_entry, endpoint_snapshot, message_submitted, ordered_message_submitted, settings, MILLISECOND,
    ORDERED_IN_ZONE, SECOND,
};

/// Virtual time of the first turn.
const START: Micros = 50 * SECOND;
/// Time from the start during which messages are submitted.
const SUBMISSION_TIME: Micros = 60 * SECOND;
/// Time after the submissions within which all messages must end.
const DRAIN_TIME: Micros = 30 * SECOND;
/// Step by which the clock advances.
const STEP: Micros = 5 * MILLISECOND;
/// Probability of a submission in a step.
const SUBMISSION_PROBABILITY: f64 = 0.04;
/// Probability that one of the endpoints changes between live and draining in a step.
const LISTING_CHANGE_PROBABILITY: f64 = 0.002;
/// Number of endpoints, three for each destination; the number of a destination is the index of its kind.
const ENDPOINTS: EndpointId = 9;
/// Number of destinations.
const DESTINATIONS: u64 = 3;
/// The outcomes of calls that fail.
const FAILURES: [AttemptOutcome; 5] = [
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::Timeout,
    AttemptOutcome::Reset,
    AttemptOutcome::ConnectFailed,
];

/// The time and the outcome with which a call in flight will end.
#[derive(Clone, Copy)]
struct PendingOutcome {
    at: Micros,
    id: MessageId,
    outcome: AttemptOutcome,
    retry_after: Micros,
}

/// Runs a controller through a random event sequence in which this share of the calls fails; returns the
/// checker with its records of the run.
pub fn simulate(seed: u64, failure_share: f64) -> InvariantChecker {
    let mut simulation = Simulation::new(seed, failure_share);
    while simulation.checker.now < START + SUBMISSION_TIME + DRAIN_TIME {
        simulation.step();
    }
    let checker = simulation.checker;
    assert!(
        checker.messages().all(|message| message.is_finished),
        "a message has no final answer at the end of the run"
    );
    checker
}

struct Simulation {
    controller: Controller,
    checker: InvariantChecker,
    random: fastrand::Rng,
    failure_share: f64,
    /// Events to report in the next turn.
    events: Vec<Event>,
    pending_outcomes: Vec<PendingOutcome>,
    timers: Vec<Micros>,
    last_id: MessageId,
}

impl Simulation {
    fn new(seed: u64, failure_share: f64) -> Self {
        let mut endpoints = BTreeMap::new();
        let mut entries = Vec::new();
        for endpoint in 0..ENDPOINTS {
            let destination = endpoint / DESTINATIONS;
            let kind = destination as usize;
            endpoints.insert(endpoint, ListedEndpoint { destination, kind, is_live: true });
            entries.push(endpoint_entry(endpoint, destination, kind));
        }
        Self {
            controller: Controller::new(settings(), seed).expect("settings are valid"),
            checker: InvariantChecker::new(settings(), START, endpoints),
            random: fastrand::Rng::with_seed(seed),
            failure_share,
            events: vec![endpoint_snapshot(entries)],
            pending_outcomes: Vec::new(),
            timers: Vec::new(),
            last_id: 0,
        }
    }

    /// Collects the events of a step, reports them in a turn, and advances the clock.
    fn step(&mut self) {
        self.end_due_calls();
        self.fire_due_timers();
        if self.checker.now < START + SUBMISSION_TIME && self.random.f64() < SUBMISSION_PROBABILITY {
            self.submit_message();
        }
        if self.random.f64() < LISTING_CHANGE_PROBABILITY {
            self.change_listing();
        }
        if !self.events.is_empty() {
            self.turn();
        }
        self.checker.now += STEP;
    }

    fn end_due_calls(&mut self) {
        let now = self.checker.now;
        let (due, pending): (Vec<_>, Vec<_>) =
            self.pending_outcomes.iter().copied().partition(|pending| pending.at <= now);
        self.pending_outcomes = pending;
        for call in due {
            let event = self.checker.end_call(call.id, call.outcome, call.retry_after);
            self.events.push(event);
        }
    }

    fn fire_due_timers(&mut self) {
        let now = self.checker.now;
        if self.timers.iter().any(|at| *at <= now) {
            self.timers.retain(|at| *at > now);
            self.events.push(Event::TimerFired { token: 0 });
        }
    }

    fn submit_message(&mut self) {
        self.last_id += 1;
        let id = self.last_id;
        let class = self.random.usize(..4);
        let destination = self.random.u64(..DESTINATIONS);
        let event = match class {
            ORDERED_IN_ZONE => ordered_message_submitted(id, destination, ["a", "b"][self.random.usize(..2)]),
            _ => message_submitted(id, class, destination),
        };
        let Event::MessageSubmitted(MessageSubmission { order_key, .. }) = &event else { unreachable!() };
        let message = Message::submitted(class, destination, order_key.clone(), id, self.checker.now);
        self.checker.submit(id, message);
        self.events.push(event);
    }

    /// Changes a random endpoint from live to draining, or back.
    fn change_listing(&mut self) {
        let id = self.random.u64(..ENDPOINTS);
        let endpoint = self.checker.endpoints.get_mut(&id).expect("the endpoint is known");
        endpoint.is_live = !endpoint.is_live;
        let listing = if endpoint.is_live { ListingState::Live } else { ListingState::Draining };
        let entry = EndpointEntry { listing, ..endpoint_entry(id, endpoint.destination, endpoint.kind) };
        let delta = Event::EndpointsUpdated { update: UpdateKind::Delta, version: 2, entries: vec![entry] };
        self.events.push(delta);
    }

    fn turn(&mut self) {
        let mut actions = Vec::new();
        self.controller.turn(self.checker.now, &self.events, &mut actions);
        self.events.clear();
        self.checker.check_actions(&actions);
        for action in actions {
            match action {
                Action::SetTimer { at, .. } => self.timers.push(at),
                Action::Send { id, timeout, .. } => self.start_call(id, timeout),
                Action::Cancel { id, .. } => self.cancel_call(id),
                _ => {}
            }
        }
    }

    /// Draws the outcome of a call and when it ends.
    fn start_call(&mut self, id: MessageId, timeout: Micros) {
        let fails = self.random.f64() < self.failure_share;
        let outcome = if fails { FAILURES[self.random.usize(..5)] } else { AttemptOutcome::Delivered };
        let response_time = 20 * MILLISECOND + self.random.i64(..800 * MILLISECOND);
        let times_out = outcome == AttemptOutcome::Timeout || response_time >= timeout;
        let outcome = if times_out { AttemptOutcome::Timeout } else { outcome };
        let elapsed = if times_out { timeout } else { response_time };
        let has_retry_after = outcome == AttemptOutcome::Rejected && self.random.bool();
        let retry_after = if has_retry_after { self.random.i64(100 * MILLISECOND..3 * SECOND) } else { 0 };
        let at = self.checker.now + elapsed;
        self.pending_outcomes.push(PendingOutcome { at, id, outcome, retry_after });
    }

    fn cancel_call(&mut self, id: MessageId) {
        let at = self.checker.now + STEP;
        if let Some(call) = self.pending_outcomes.iter_mut().find(|call| call.id == id) {
            *call = PendingOutcome { at, id, outcome: AttemptOutcome::Cancelled, retry_after: 0 };
        }
    }
}
