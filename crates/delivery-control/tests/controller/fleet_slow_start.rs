//! A fleet of senders on one clock, and an endpoint that is cold after an outage: the calls of all senders
//! together must stay within the load that the settings permit, and must make use of it.

mod simulation;

use delivery_control::Micros;

use crate::support::{settings, SECOND};
use simulation::{simulate, Call, Fleet, BACK_AT, END_AT};

/// Numbers of senders, each with the number of seeds that are run.
const FLEET_SIZES: [(u32, u64); 5] = [(1, 20), (2, 20), (20, 12), (30, 12), (350, 2)];
/// Messages per second for the endpoint, from all clients.
const DEMANDS: [f64; 2] = [4.0, 30.0];

/// Guards against a slow start that each sender respects while the fleet as a whole overloads the endpoint.
#[test]
fn fleet_does_not_overload_a_recovered_endpoint_of_a_listed_rate() {
    check_fleets(|fleet| fleet);
}

/// Guards against a slow start by which the fleet overloads an endpoint without a listed rate, whose capacity
/// senders can only estimate from demand.
#[test]
fn fleet_does_not_overload_a_recovered_endpoint_of_unknown_capacity() {
    check_fleets(|fleet| Fleet { listed_rate: 0.0, ..fleet });
}

/// Guards against a slow start by which the fleet overloads an endpoint after an outage in which calls get no
/// response, so that senders detect the outage only after some time.
#[test]
fn fleet_does_not_overload_a_recovered_endpoint_that_was_unresponsive() {
    check_fleets(|fleet| Fleet { is_unresponsive: true, ..fleet });
    check_fleets(|fleet| Fleet { is_unresponsive: true, listed_rate: 0.0, ..fleet });
}

/// Guards against a slow start that follows the listed rate although the endpoint reports a lower limit.
#[test]
fn fleet_respects_a_reported_limit_below_the_listed_rate() {
    check_fleets(|fleet| Fleet {
        listed_rate: 3.0 * fleet.capacity,
        reported_limit: Some(fleet.capacity / 1.4),
        ..fleet
    });
}

/// Guards against overload where the estimated capacity is too high: the endpoint can serve only as many
/// messages as are submitted, or less than its listed rate.
#[test]
fn fleet_does_not_overload_an_endpoint_with_less_capacity_than_estimated() {
    check_fleets(|fleet| Fleet { listed_rate: 0.0, capacity: fleet.demand, ..fleet });
    check_fleets(|fleet| Fleet { listed_rate: 1.3 * fleet.capacity, ..fleet });
}

/// Checks fleets of all sizes and demands, each after `change` was applied to it.
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

/// Checks with several seeds that the fleet never overloads the endpoint, and that it uses the capacity.
fn check_fleet(fleet: Fleet, seeds: u64) {
    let mut call_count = 0;
    for seed in 0..seeds {
        let calls = simulate(fleet, seed);
        let excess = greatest_excess(fleet, &calls);
        assert!(
            excess <= 0.0,
            "{excess:.1} calls above the limit, {} senders, seed {seed}: {calls:?}",
            fleet.sender_count
        );
        call_count += calls.len();
    }
    // Half of the messages submitted in this time or a quarter of the capacity, whichever is less.
    let span = (END_AT - BACK_AT) as f64 / SECOND as f64;
    let min_calls = (0.5 * fleet.demand).min(0.25 * fleet.capacity) * span;
    let mean = call_count as f64 / seeds as f64;
    assert!(
        mean >= min_calls,
        "{} senders made {mean} calls on average, at least {min_calls} required",
        fleet.sender_count
    );
}

/// Returns the greatest number of calls above what is admissible, plus a margin for random variation, in any
/// window that has the length of the overload tolerance, starts with a call and ends before the endpoint is
/// warm. Counts only calls of senders that observed the outage.
fn greatest_excess(fleet: Fleet, calls: &[Call]) -> f64 {
    let rules = settings().rules;
    let from_observers = calls.iter().filter(|call| call.sender_observed_outage);
    let sent_at: Vec<Micros> = from_observers.map(|call| call.sent_at).collect();
    let mut greatest = f64::NEG_INFINITY;
    for from in &sent_at {
        let until = *from + rules.overload_tolerance;
        // A warm endpoint can serve its full load.
        if until > rules.warm_up_time {
            continue;
        }
        let calls_in_window = sent_at.iter().filter(|at| (*from..until).contains(*at)).count() as f64;
        let admissible = admissible_calls(fleet, *from);
        greatest = greatest.max(calls_in_window - (admissible + 2.0 * admissible.sqrt() + 2.0));
    }
    greatest
}

/// Returns the number of calls that the endpoint can take without failing in a window that has the length of
/// the overload tolerance and starts at `from`, counted from the endpoint's return.
fn admissible_calls(fleet: Fleet, from: Micros) -> f64 {
    let rules = settings().rules;
    let capacity_share = |at: Micros| {
        let grown = (1.0 - rules.initial_capacity) * at as f64 / rules.warm_up_time as f64;
        (rules.initial_capacity + grown).min(1.0)
    };
    let mean = f64::midpoint(capacity_share(from), capacity_share(from + rules.overload_tolerance));
    rules.overload_factor * fleet.capacity * mean * rules.overload_tolerance as f64 / SECOND as f64
}
