//! Simulates a fleet of controllers on one clock, uneven traffic, and an endpoint that is down for a while.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use delivery_control::{
    Action, AttemptEnd, AttemptOutcome, DestinationId, EndpointEntry, EndpointId, Event, Limits, LoadReport,
    MessageId, Micros, Settings,
};

use crate::support::{
    attempt_end, endpoint_entry, message_submitted, settings, ControllerHarness, IDEMPOTENT_WITH_KEY,
    MILLISECOND, SECOND, SHARED_LIMIT,
};

/// Time from the start of the run until the endpoint goes down.
const DOWN_AT: Micros = 6 * SECOND;
/// Time from the start of the run until the endpoint is back.
pub const BACK_AT: Micros = 14 * SECOND;
/// Length of the run.
pub const END_AT: Micros = 26 * SECOND;
/// Time from the start of a call to its response; a call that times out takes longer.
const RESPONSE_TIME: Micros = 50 * MILLISECOND;
/// The endpoint that goes down.
const FAILING_ENDPOINT: EndpointId = 1;
/// Destination of the endpoint that goes down.
const FAILING_DESTINATION: DestinationId = 10;
/// The first of the destinations that never fail; each has the same demand as the failing one.
const FIRST_HEALTHY_DESTINATION: DestinationId = 100;
/// Number of destinations that never fail.
const HEALTHY_DESTINATIONS: u64 = 4;

/// The senders, the traffic, and the endpoint that goes down.
#[derive(Clone, Copy)]
pub struct Fleet {
    /// Number of senders.
    pub sender_count: u32,
    /// Messages per second for each destination, from all clients.
    pub demand: f64,
    /// Calls per second that the endpoint serves when it is warm.
    pub capacity: f64,
    /// The endpoint's listed rate in calls per second; 0 if none is listed.
    pub listed_rate: f64,
    /// The limit in calls per second that the endpoint's responses report, if they report one.
    pub reported_limit: Option<f64>,
    /// Whether calls to the endpoint get no response and time out while it is down; otherwise they fail to
    /// connect.
    pub is_unresponsive: bool,
}

/// A call to the endpoint that went down, made after its return.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// Time of the call, counted from the endpoint's return.
    pub sent_at: Micros,
    /// Whether an earlier call that the sender made during the outage had ended by then.
    pub sender_observed_outage: bool,
}

/// An event at one sender, in the queue of the simulation.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Micros,
    /// Index of the sender.
    sender: usize,
    kind: EventKind,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Submission(DestinationId),
    CallEnd { id: MessageId, attempt: u32, endpoint: EndpointId, elapsed: Micros },
    Timer,
}

/// Runs the fleet with random traffic; returns the calls to the failing endpoint from its return on.
pub fn simulate(fleet: Fleet, seed: u64) -> Vec<Call> {
    let mut random = fastrand::Rng::with_seed(seed);
    let senders = start_senders(fleet, &mut random);
    let start = senders[0].now;
    let sender_observed_outage = vec![false; senders.len()];
    let mut simulation = Simulation {
        fleet,
        start,
        senders,
        sender_observed_outage,
        queue: BinaryHeap::new(),
        last_id: 0,
        calls: Vec::new(),
    };
    simulation.schedule_submissions(&mut random);
    while let Some(Reverse(scheduled)) = simulation.queue.pop() {
        if scheduled.at - start >= END_AT {
            break;
        }
        simulation.turn(scheduled);
    }
    simulation.calls
}

fn start_senders(fleet: Fleet, random: &mut fastrand::Rng) -> Vec<ControllerHarness> {
    let settings = Settings {
        sender_count: fleet.sender_count,
        rates_are_listed: fleet.listed_rate > 0.0,
        // A single sender must be able to buffer and send the messages for the whole fleet.
        limits: Limits { max_in_flight: 60, buffer_capacity: 2_000, ..settings().limits },
        ..settings()
    };
    let failing = endpoint_entry(FAILING_ENDPOINT, FAILING_DESTINATION, SHARED_LIMIT);
    let mut entries = vec![EndpointEntry { rate: fleet.listed_rate, ..failing }];
    for number in 0..HEALTHY_DESTINATIONS {
        entries.push(endpoint_entry(10 + number, FIRST_HEALTHY_DESTINATION + number, SHARED_LIMIT));
    }
    let mut senders = Vec::new();
    for ordinal in 0..fleet.sender_count {
        let settings = Settings { ordinal, ..settings.clone() };
        senders.push(ControllerHarness::with_seed(settings, entries.clone(), random.u64(..)));
    }
    senders
}

/// Draws from the exponential distribution with mean 1.
fn exponential(random: &mut fastrand::Rng) -> f64 {
    -random.f64().max(1e-9).ln()
}

struct Simulation {
    fleet: Fleet,
    start: Micros,
    senders: Vec<ControllerHarness>,
    sender_observed_outage: Vec<bool>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    last_id: MessageId,
    calls: Vec<Call>,
}

impl Simulation {
    /// Draws the time of each submission and the sender that gets it. The traffic is uneven: some senders get
    /// several times the mean.
    fn schedule_submissions(&mut self, random: &mut fastrand::Rng) {
        let weights: Vec<f64> = self.senders.iter().map(|_| 0.2 + exponential(random)).collect();
        let healthy = FIRST_HEALTHY_DESTINATION..FIRST_HEALTHY_DESTINATION + HEALTHY_DESTINATIONS;
        for destination in [FAILING_DESTINATION].into_iter().chain(healthy) {
            let mut at = 0.0;
            loop {
                at += exponential(random) / self.fleet.demand * SECOND as f64;
                if at as Micros >= END_AT {
                    break;
                }
                let sender = draw_sender(&weights, random);
                let kind = EventKind::Submission(destination);
                self.queue.push(Reverse(ScheduledEvent { at: self.start + at as Micros, sender, kind }));
            }
        }
    }

    fn turn(&mut self, ScheduledEvent { at, sender, kind }: ScheduledEvent) {
        let event = match kind {
            EventKind::Submission(destination) => {
                self.last_id += 1;
                message_submitted(self.last_id, IDEMPOTENT_WITH_KEY, destination)
            }
            EventKind::CallEnd { id, attempt, endpoint, elapsed } => {
                let is_down = endpoint == FAILING_ENDPOINT && self.is_down(at - elapsed);
                self.sender_observed_outage[sender] |= is_down;
                let outcome = self.outcome(is_down);
                let load_report = self.load_report(endpoint, is_down);
                let end = attempt_end(id, attempt, endpoint, outcome);
                Event::AttemptEnded(AttemptEnd { elapsed, load_report, ..end })
            }
            EventKind::Timer => Event::TimerFired { token: 0 },
        };
        let harness = &mut self.senders[sender];
        harness.now = at;
        harness.timers.clear();
        let actions = harness.turn(&[event]);
        for due in &harness.timers {
            self.queue.push(Reverse(ScheduledEvent { at: *due, sender, kind: EventKind::Timer }));
        }
        for action in actions {
            if let Action::Send { id, endpoint, timeout, .. } = action {
                self.start_call(at, sender, id, endpoint, timeout);
            }
        }
    }

    fn start_call(
        &mut self,
        now: Micros,
        sender: usize,
        id: MessageId,
        endpoint: EndpointId,
        timeout: Micros,
    ) {
        let attempt = self.senders[sender].latest_attempts[&id];
        let is_failing_endpoint = endpoint == FAILING_ENDPOINT;
        let times_out = is_failing_endpoint && self.fleet.is_unresponsive && self.is_down(now);
        let elapsed = if times_out { timeout } else { RESPONSE_TIME };
        let kind = EventKind::CallEnd { id, attempt, endpoint, elapsed };
        self.queue.push(Reverse(ScheduledEvent { at: now + elapsed, sender, kind }));
        let since_return = now - self.start - BACK_AT;
        if is_failing_endpoint && since_return >= 0 {
            let sender_observed_outage = self.sender_observed_outage[sender];
            self.calls.push(Call { sent_at: since_return, sender_observed_outage });
        }
    }

    /// Whether the failing endpoint is down at this time.
    fn is_down(&self, now: Micros) -> bool {
        (DOWN_AT..BACK_AT).contains(&(now - self.start))
    }

    /// Outcome of a call; `is_down` if it was sent to the failing endpoint during the outage.
    fn outcome(&self, is_down: bool) -> AttemptOutcome {
        match (is_down, self.fleet.is_unresponsive) {
            (false, _) => AttemptOutcome::Delivered,
            (true, true) => AttemptOutcome::Timeout,
            (true, false) => AttemptOutcome::ConnectFailed,
        }
    }

    /// Load report in the response of an endpoint; only the failing endpoint sends one, while it is up.
    fn load_report(&self, endpoint: EndpointId, is_down: bool) -> Option<LoadReport> {
        if endpoint != FAILING_ENDPOINT || is_down {
            return None;
        }
        let limit = self.fleet.reported_limit?;
        Some(LoadReport { limit_remaining: Some(0.9), limit: Some(limit), ..LoadReport::default() })
    }
}

/// Draws a sender with a probability proportional to its weight.
fn draw_sender(weights: &[f64], random: &mut fastrand::Rng) -> usize {
    let total: f64 = weights.iter().sum();
    let mut remaining = random.f64() * total;
    for (sender, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining <= 0.0 {
            return sender;
        }
    }
    0
}
