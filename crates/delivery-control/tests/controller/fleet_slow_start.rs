//! A whole fleet on one clock against one endpoint that comes back cold: the sum of all senders' calls must
//! stay within what the settings allow it, and use it.

mod simulation;

use delivery_control::Micros;

use crate::support::{settings, SECOND};
use simulation::{simulate, Call, Fleet, BACK_AT, END_AT};

/// Numbers of senders, and how many seeds are run with each.
const FLEET_SIZES: [(u32, u64); 5] = [(1, 20), (2, 20), (20, 12), (30, 12), (350, 2)];
/// Messages per second for the endpoint.
const DEMANDS: [f64; 2] = [4.0, 30.0];

/// Guards against a slow start that each sender keeps and the fleet does not.
#[test]
fn fleet_does_not_overload_a_recovered_endpoint_of_a_listed_rate() {
    check_fleets(|fleet| fleet);
}

#[test]
fn fleet_does_not_overload_a_recovered_endpoint_of_unknown_capacity() {
    check_fleets(|fleet| Fleet { listed_rate: 0.0, ..fleet });
}

#[test]
fn fleet_does_not_overload_a_recovered_endpoint_that_was_unresponsive() {
    check_fleets(|fleet| Fleet { is_unresponsive: true, ..fleet });
    check_fleets(|fleet| Fleet { is_unresponsive: true, listed_rate: 0.0, ..fleet });
}

#[test]
fn fleet_respects_a_reported_limit_below_the_listed_rate() {
    check_fleets(|fleet| Fleet {
        listed_rate: 3.0 * fleet.capacity,
        reported_limit: Some(fleet.capacity / 1.4),
        ..fleet
    });
}

/// The estimate of its capacity is too high: it serves no more than is submitted, or less than is listed.
#[test]
fn fleet_does_not_overload_an_endpoint_with_less_capacity_than_estimated() {
    check_fleets(|fleet| Fleet { listed_rate: 0.0, capacity: fleet.demand, ..fleet });
    check_fleets(|fleet| Fleet { listed_rate: 1.3 * fleet.capacity, ..fleet });
}

/// Checks fleets of all sizes and demands, with this change to each.
fn check_fleets(change: impl Fn(Fleet) -> Fleet) {
    for (sender_count, seeds) in FLEET_SIZES {
        for demand in DEMANDS {
            let capacity = 1.25 * demand;
            let fleet = Fleet {
                sender_count,
                demand,
                capacity,
                listed_rate: capacity / 1.4,
                reported_limit: None,
                is_unresponsive: false,
            };
            check_fleet(change(fleet), seeds);
        }
    }
}

/// The endpoint is never overloaded, and its capacity is used.
fn check_fleet(fleet: Fleet, seeds: u64) {
    let mut used = 0;
    for seed in 0..seeds {
        let calls = simulate(fleet, seed);
        let excess = greatest_excess(fleet, &calls);
        assert!(
            excess <= 0.0,
            "{excess:.1} calls too many, {} senders, seed {seed}: {calls:?}",
            fleet.sender_count
        );
        used += calls.len();
    }
    // Half of what is submitted in the meantime, or a quarter of the capacity.
    let span = (END_AT - BACK_AT) as f64 / SECOND as f64;
    let least = (0.5 * fleet.demand).min(0.25 * fleet.capacity) * span;
    let mean = used as f64 / seeds as f64;
    assert!(mean >= least, "{} senders used {mean} calls, {least} wanted", fleet.sender_count);
}

/// The most by which, while the endpoint is cold, the calls of senders that met the outage exceed the
/// admissible number and the spread of chance, within the overload tolerance from any of these calls on.
fn greatest_excess(fleet: Fleet, calls: &[Call]) -> f64 {
    let rules = settings().rules;
    let met_outage = calls.iter().filter(|call| call.sender_met_outage);
    let sent_at: Vec<Micros> = met_outage.map(|call| call.sent_at).collect();
    let mut greatest = f64::NEG_INFINITY;
    for from in &sent_at {
        let until = *from + rules.overload_tolerance;
        // Once warm, it bears its full load.
        if until > rules.warm_up_time {
            continue;
        }
        let within = sent_at.iter().filter(|at| (*from..until).contains(*at)).count() as f64;
        let admissible = admissible_calls(fleet, *from);
        greatest = greatest.max(within - (admissible + 2.0 * admissible.sqrt() + 2.0));
    }
    greatest
}

/// Calls that the endpoint bears within the overload tolerance from this time after its return on.
fn admissible_calls(fleet: Fleet, from: Micros) -> f64 {
    let rules = settings().rules;
    let warm_share = |at: Micros| {
        let grown = (1.0 - rules.initial_capacity) * at as f64 / rules.warm_up_time as f64;
        (rules.initial_capacity + grown).min(1.0)
    };
    let mean = f64::midpoint(warm_share(from), warm_share(from + rules.overload_tolerance));
    rules.overload_factor * fleet.capacity * mean * rules.overload_tolerance as f64 / SECOND as f64
}
