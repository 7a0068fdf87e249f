//! A fleet of controllers on one clock, uneven traffic, and an endpoint that is down for a while.

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

/// When the endpoint goes down, after the start.
const DOWN_AT: Micros = 6 * SECOND;
/// When the endpoint is back.
pub const BACK_AT: Micros = 14 * SECOND;
/// When the run ends.
pub const END_AT: Micros = 26 * SECOND;
/// Time from the start of a call to its answer.
const RESPONSE_TIME: Micros = 50 * MILLISECOND;
/// The endpoint that goes down, and its destination.
const FAILING_ENDPOINT: EndpointId = 1;
const FAILING_DESTINATION: DestinationId = 10;
/// The first of the destinations of the same traffic that never fail, and their number.
const FIRST_HEALTHY_DESTINATION: DestinationId = 100;
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
    /// Its listed rate; 0 if none is listed.
    pub listed_rate: f64,
    /// The limit that its answers report, if they do.
    pub reported_limit: Option<f64>,
    /// While it is down, calls to it are never answered; otherwise they fail at once.
    pub is_unresponsive: bool,
}

/// A call to the endpoint after its return.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// Time since the return.
    pub sent_at: Micros,
    /// The sender had a call end that it sent during the outage.
    pub sender_met_outage: bool,
}

/// Something that happens at a sender.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at: Micros,
    /// Index of the sender.
    sender: usize,
    what: Occurrence,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Occurrence {
    Submission(DestinationId),
    CallEnd { id: MessageId, attempt: u32, endpoint: EndpointId, elapsed: Micros },
    Timer,
}

/// Runs the fleet with random traffic; returns the calls to the endpoint from its return on.
pub fn simulate(fleet: Fleet, seed: u64) -> Vec<Call> {
    let mut random = fastrand::Rng::with_seed(seed);
    let senders = start_senders(fleet, &mut random);
    let start = senders[0].now;
    let sender_met_outage = vec![false; senders.len()];
    let mut simulation = Simulation {
        fleet,
        start,
        senders,
        sender_met_outage,
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
        // A single sender has capacity for all messages.
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

/// A draw from the exponential distribution with mean 1.
fn exponential(random: &mut fastrand::Rng) -> f64 {
    -random.f64().max(1e-9).ln()
}

struct Simulation {
    fleet: Fleet,
    start: Micros,
    senders: Vec<ControllerHarness>,
    sender_met_outage: Vec<bool>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    last_id: MessageId,
    calls: Vec<Call>,
}

impl Simulation {
    /// Draws the times of all submissions and which sender gets each: some get several times the mean.
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
                let what = Occurrence::Submission(destination);
                self.queue.push(Reverse(Scheduled { at: self.start + at as Micros, sender, what }));
            }
        }
    }

    fn turn(&mut self, Scheduled { at, sender, what }: Scheduled) {
        let event = match what {
            Occurrence::Submission(destination) => {
                self.last_id += 1;
                message_submitted(self.last_id, IDEMPOTENT_WITH_KEY, destination)
            }
            Occurrence::CallEnd { id, attempt, endpoint, elapsed } => {
                let is_down = endpoint == FAILING_ENDPOINT && self.is_down(at - elapsed);
                self.sender_met_outage[sender] |= is_down;
                let outcome = self.outcome(is_down);
                let load_report = self.load_report(endpoint, is_down);
                let end = attempt_end(id, attempt, endpoint, outcome);
                Event::AttemptEnded(AttemptEnd { elapsed, load_report, ..end })
            }
            Occurrence::Timer => Event::TimerFired { token: 0 },
        };
        let harness = &mut self.senders[sender];
        harness.now = at;
        harness.timers.clear();
        let actions = harness.turn(&[event]);
        for due in &harness.timers {
            self.queue.push(Reverse(Scheduled { at: *due, sender, what: Occurrence::Timer }));
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
        let what = Occurrence::CallEnd { id, attempt, endpoint, elapsed };
        self.queue.push(Reverse(Scheduled { at: now + elapsed, sender, what }));
        let since_return = now - self.start - BACK_AT;
        if is_failing_endpoint && since_return >= 0 {
            let sender_met_outage = self.sender_met_outage[sender];
            self.calls.push(Call { sent_at: since_return, sender_met_outage });
        }
    }

    /// The failing endpoint is down at this time.
    fn is_down(&self, now: Micros) -> bool {
        (DOWN_AT..BACK_AT).contains(&(now - self.start))
    }

    /// How a call ends that met the outage or not.
    fn outcome(&self, is_down: bool) -> AttemptOutcome {
        match (is_down, self.fleet.is_unresponsive) {
            (false, _) => AttemptOutcome::Delivered,
            (true, true) => AttemptOutcome::Timeout,
            (true, false) => AttemptOutcome::ConnectFailed,
        }
    }

    /// What the failing endpoint reports with its answers while it is up.
    fn load_report(&self, endpoint: EndpointId, is_down: bool) -> Option<LoadReport> {
        if endpoint != FAILING_ENDPOINT || is_down {
            return None;
        }
        let limit = self.fleet.reported_limit?;
        Some(LoadReport { limit_remaining: Some(0.9), limit: Some(limit), ..LoadReport::default() })
    }
}

/// Draws a sender by weight.
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
