//! A controller that runs on a virtual clock.

use std::collections::BTreeMap;

use delivery_control::{
    Action, AttemptEnd, AttemptOutcome, Controller, EndpointEntry, EndpointId, Event, MessageId, Micros,
    Settings,
};

use super::{attempt_ended, endpoint_snapshot, sends, timed_sends, MILLISECOND, SECOND};

/// Virtual time of the first turn.
const START: Micros = 100 * SECOND;
/// Step by which the clock advances while calls are ended.
const STEP: Micros = 5 * MILLISECOND;
/// Seed of the controller's random numbers where a test does not choose one.
const DEFAULT_SEED: u64 = 7;

/// One controller with its clock, the timers that it set, and its calls in flight.
pub struct ControllerHarness {
    /// The controller under test.
    pub controller: Controller,
    /// The virtual time.
    pub now: Micros,
    /// Due times of the timers that have not fired yet.
    pub timers: Vec<Micros>,
    /// Number of the latest attempt of each message.
    pub latest_attempts: BTreeMap<MessageId, u32>,
    /// Calls in flight: when each was sent, and to which endpoint.
    pub in_flight: BTreeMap<MessageId, (Micros, EndpointId)>,
}

impl ControllerHarness {
    /// Creates a controller and reports these endpoints to it.
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> Self {
        Self::with_seed(settings, entries, DEFAULT_SEED)
    }

    /// Creates a controller with this seed of its random numbers, and reports these endpoints to it.
    pub fn with_seed(settings: Settings, entries: Vec<EndpointEntry>, seed: u64) -> Self {
        let controller = Controller::new(settings, seed).expect("settings are valid");
        let mut harness = Self {
            controller,
            now: START,
            timers: Vec::new(),
            latest_attempts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
        };
        harness.turn(&[endpoint_snapshot(entries)]);
        harness
    }

    /// Runs a turn with these events at the present time; returns the controller's actions.
    pub fn turn(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.turn(self.now, events, &mut actions);
        for action in &actions {
            if let Action::SetTimer { at, .. } = action {
                self.timers.push(*at);
            }
        }
        for event in events {
            if let Event::AttemptEnded(AttemptEnd { id, .. }) = event {
                self.in_flight.remove(id);
            }
        }
        for (id, endpoint) in sends(&actions) {
            self.in_flight.insert(id, (self.now, endpoint));
            self.latest_attempts.entry(id).and_modify(|attempt| *attempt += 1).or_insert(0);
        }
        actions
    }

    /// Advances the clock to `until` and fires the timers that fall due; returns each action with its time.
    pub fn advance_to(&mut self, until: Micros) -> Vec<(Micros, Action)> {
        let mut timed_actions = Vec::new();
        while let Some(at) = self.next_timer().filter(|at| *at <= until) {
            let actions = self.fire_timer(at);
            timed_actions.extend(actions.into_iter().map(|action| (self.now, action)));
        }
        self.now = until;
        timed_actions
    }

    /// Due time of the next timer.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.iter().copied().min()
    }

    /// Advances the clock to `at` and fires all timers that are due by then in one turn.
    pub fn fire_timer(&mut self, at: Micros) -> Vec<Action> {
        self.timers.retain(|other| *other > at);
        self.now = self.now.max(at);
        self.turn(&[Event::TimerFired { token: 0 }])
    }

    /// Advances the clock to `until` and ends each call to `endpoint` after `response_time` with `outcome`;
    /// returns the times at which messages were sent to any endpoint.
    pub fn end_calls(
        &mut self,
        endpoint: EndpointId,
        outcome: AttemptOutcome,
        response_time: Micros,
        until: Micros,
    ) -> Vec<Micros> {
        let mut sent_at = Vec::new();
        while self.now < until {
            let now = self.now + STEP;
            let mut timed_actions = self.advance_to(now);
            let call_ends = self.due_call_ends(endpoint, outcome, now - response_time);
            if !call_ends.is_empty() {
                let actions = self.turn(&call_ends);
                timed_actions.extend(actions.into_iter().map(|action| (now, action)));
            }
            sent_at.extend(timed_sends(&timed_actions).into_iter().map(|(at, ..)| at));
        }
        sent_at
    }

    /// Returns the ends of the calls to `endpoint` that were sent no later than `sent_by`.
    fn due_call_ends(&self, endpoint: EndpointId, outcome: AttemptOutcome, sent_by: Micros) -> Vec<Event> {
        let mut call_ends = Vec::new();
        for (id, (sent_at, to)) in &self.in_flight {
            if *sent_at <= sent_by && *to == endpoint {
                call_ends.push(attempt_ended(*id, self.latest_attempts[id], endpoint, outcome));
            }
        }
        call_ends
    }
}
