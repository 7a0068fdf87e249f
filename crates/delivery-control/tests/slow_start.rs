//! A whole fleet on one clock against one server that comes back cold: the sum of all senders' calls must stay within
//! what the settings allow it, and use it.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use common::*;
use delivery_control::*;

/// The server is down from the first of these times to the second, and watched until the third.
const DOWN: Micros = 6 * SECOND;
const BACK: Micros = 14 * SECOND;
const END: Micros = 26 * SECOND;
const SERVICE: Micros = 50 * MS;
/// Destinations of the same traffic that never fail.
const OTHERS: u64 = 4;
const SERVER: EndpointId = 1;

#[derive(Clone, Copy)]
struct Fleet {
    sender_count: u32,
    /// Messages a second for the server, from all clients.
    demand: f64,
    /// Calls a second that the server serves when it is warm.
    capacity: f64,
    /// Its listed rate, if any is listed, and the limit that its answers report, if they do.
    listed: f64,
    told: Option<f64>,
    /// Calls to it fail at once while it is down, or are never answered.
    silent: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrival(DestinationId),
    Ending(MessageId, u32, EndpointId, Micros),
    Timer,
}

/// What went to the server from its return on: when, and whether its sender had met the outage.
fn calls(fleet: Fleet, seed: u64) -> Vec<(Micros, bool)> {
    // One sender has room for all that comes.
    let limits = Limits { max_in_flight: 60, buffer_capacity: 2_000, ..settings().limits };
    let settings = Settings {
        sender_count: fleet.sender_count,
        rates_are_listed: fleet.listed > 0.0,
        limits,
        ..settings()
    };
    let others = (0..OTHERS).map(|other| entry(10 + other, 100 + other, 0));
    let entries: Vec<_> =
        [EndpointEntry { rate: fleet.listed, ..entry(SERVER, 10, 0) }].into_iter().chain(others).collect();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut benches: Vec<_> = (0..fleet.sender_count)
        .map(|ordinal| {
            let settings = Settings { ordinal, ..settings.clone() };
            Bench::seeded(settings, entries.clone(), random.u64(..))
        })
        .collect();
    let start = benches[0].now;
    // Some get several times the mean.
    let weights: Vec<_> = (0..fleet.sender_count).map(|_| 0.2 - random.f64().max(1e-9).ln()).collect();
    let total: f64 = weights.iter().sum();
    let mut queue = BinaryHeap::new();
    for destination in [10].into_iter().chain(100..100 + OTHERS) {
        let mut at = 0.0;
        loop {
            at -= random.f64().max(1e-9).ln() / fleet.demand * SECOND as f64;
            if at as Micros >= END {
                break;
            }
            let mut pick = random.f64() * total;
            let sender = weights.iter().position(|weight| {
                pick -= weight;
                pick <= 0.0
            });
            queue.push(Reverse((start + at as Micros, sender.unwrap_or(0), What::Arrival(destination))));
        }
    }
    let (mut id, mut met, mut calls) = (0, vec![false; benches.len()], Vec::new());
    let mut begun: BTreeMap<(usize, MessageId), u32> = BTreeMap::new();
    while let Some(Reverse((at, sender, what))) = queue.pop() {
        if at - start >= END {
            break;
        }
        let bench = &mut benches[sender];
        bench.now = at;
        let event =
            match what {
                What::Arrival(destination) => {
                    id += 1;
                    message(id, 1, destination)
                }
                What::Ending(id, attempt, endpoint, elapsed) => {
                    let was_down = endpoint == SERVER && (DOWN..BACK).contains(&(at - elapsed - start));
                    let outcome = match was_down {
                        false => AttemptOutcome::Delivered,
                        true if fleet.silent => AttemptOutcome::Timeout,
                        true => AttemptOutcome::ConnectFailed,
                    };
                    met[sender] |= was_down;
                    let load = fleet.told.filter(|_| endpoint == SERVER && !was_down).map(|limit| {
                        LoadReport { limit_remaining: Some(0.9), limit: Some(limit), ..LoadReport::default() }
                    });
                    let Event::AttemptEnded(AttemptEnd { is_final: last, retry_after: wait, .. }) =
                        ended(id, attempt, endpoint, outcome)
                    else {
                        return calls;
                    };
                    Event::AttemptEnded(AttemptEnd {
                        id,
                        attempt,
                        endpoint,
                        outcome,
                        elapsed,
                        is_final: last,
                        retry_after: wait,
                        load_report: load,
                    })
                }
                What::Timer => Event::TimerFired { token: 0 },
            };
        bench.timers.clear();
        let actions = bench.turn(&[event]);
        queue.extend(bench.timers.iter().map(|due| Reverse((*due, sender, What::Timer))));
        for action in actions {
            let Action::Send { id, endpoint, timeout, .. } = action else { continue };
            let attempt = begun.entry((sender, id)).and_modify(|attempt| *attempt += 1).or_insert(0);
            let elapsed = match at - start {
                DOWN..BACK if endpoint == SERVER && fleet.silent => timeout,
                _ => SERVICE,
            };
            queue.push(Reverse((at + elapsed, sender, What::Ending(id, *attempt, endpoint, elapsed))));
            if endpoint == SERVER && at - start >= BACK {
                calls.push((at - start - BACK, met[sender]));
            }
        }
    }
    calls
}

/// Calls that a server which came back so long ago bears within the settings' time from then on.
fn budget(fleet: Fleet, from: Micros) -> f64 {
    let rules = settings().rules;
    let share = |at: Micros| {
        let grown = (1.0 - rules.initial_capacity) * at as f64 / rules.warm_up_time as f64;
        (rules.initial_capacity + grown).min(1.0)
    };
    let mean = (share(from) + share(from + rules.overload_tolerance)) / 2.0;
    rules.overload_factor * fleet.capacity * mean * rules.overload_tolerance as f64 / SECOND as f64
}

/// The most that the calls of senders which had met the outage went over what is budget and chance, and all of them.
fn excess(fleet: Fleet, calls: &[(Micros, bool)]) -> (f64, usize) {
    let met: Vec<_> = calls.iter().filter(|(_, met)| *met).map(|(at, _)| *at).collect();
    // Warm, it bears what it may.
    let cold = met
        .iter()
        .filter(|from| **from + settings().rules.overload_tolerance <= settings().rules.warm_up_time);
    let over = cold.map(|from| {
        let within = met
            .iter()
            .filter(|at| (*from..*from + settings().rules.overload_tolerance).contains(*at))
            .count() as f64;
        let most = budget(fleet, *from);
        within - (most + 2.0 * most.sqrt() + 2.0)
    });
    (over.fold(f64::NEG_INFINITY, f64::max), calls.len())
}

fn check(fleet: Fleet, seeds: u64) {
    let mut used = 0;
    for seed in 0..seeds {
        let calls = calls(fleet, seed);
        let (over, count) = excess(fleet, &calls);
        assert!(
            over <= 0.0,
            "{over:.1} calls too many, {} senders, seed {seed}: {calls:?}",
            fleet.sender_count
        );
        used += count;
    }
    // Half of what comes in the meantime, or a quarter of what the server bears.
    let span = (END - BACK) as f64 / SECOND as f64;
    let least = (0.5 * fleet.demand).min(0.25 * fleet.capacity) * span;
    let mean = used as f64 / seeds as f64;
    assert!(mean >= least, "{} senders used {mean} calls, {least} wanted", fleet.sender_count);
}

/// Numbers of senders, and how many seeds are played with each.
const SIZES: [(u32, u64); 5] = [(1, 20), (2, 20), (20, 12), (30, 12), (350, 2)];

fn fleets(change: impl Fn(Fleet) -> Fleet) {
    for (sender_count, seeds) in SIZES {
        for demand in [4.0, 30.0] {
            let capacity = 1.25 * demand;
            let fleet =
                Fleet { sender_count, demand, capacity, listed: capacity / 1.4, told: None, silent: false };
            check(change(fleet), seeds);
        }
    }
}

/// Guards against a slow start that each sender keeps and the fleet does not.
#[test]
fn a_fleet_does_not_push_over_a_server_of_a_listed_rate() {
    fleets(|fleet| fleet);
}

#[test]
fn a_fleet_does_not_push_over_a_server_of_unknown_capacity() {
    fleets(|fleet| Fleet { listed: 0.0, ..fleet });
}

#[test]
fn a_fleet_does_not_push_over_a_server_that_was_silent() {
    fleets(|fleet| Fleet { silent: true, ..fleet });
    fleets(|fleet| Fleet { silent: true, listed: 0.0, ..fleet });
}

#[test]
fn a_fleet_heeds_a_told_limit_below_what_is_listed() {
    fleets(|fleet| Fleet { listed: 3.0 * fleet.capacity, told: Some(fleet.capacity / 1.4), ..fleet });
}

/// The guess of its capacity is too high: it serves no more than comes, or less than is listed.
#[test]
fn a_fleet_does_not_push_over_a_server_that_bears_less_than_it_guesses() {
    fleets(|fleet| Fleet { listed: 0.0, capacity: fleet.demand, ..fleet });
    fleets(|fleet| Fleet { listed: 1.3 * fleet.capacity, ..fleet });
}
