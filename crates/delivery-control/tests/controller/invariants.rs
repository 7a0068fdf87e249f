//! Delivery rules, implemented independently of the controller and checked over random, seeded sequences of
//! events.

mod checker;
mod simulation;

use simulation::simulate;

/// Guards against a broken delivery rule in combinations of events that no other test covers: failed calls,
/// rejections, changes of the endpoint list and order keys, with failure shares from 0 to 90 %.
#[test]
fn random_event_sequences_keep_the_invariants() {
    let runs: Vec<_> = (1..=24).map(|seed| simulate(seed, 0.1 * (seed % 10) as f64)).collect();
    let sends: usize = runs.iter().map(|run| run.sends).sum();
    let retries: usize = runs.iter().map(|run| run.retries).sum();
    let retry_afters: usize = runs.iter().map(|run| run.retry_afters).sum();
    assert!(sends > 5_000, "too few messages were sent for the runs to test the rules");
    assert!(retries > 200, "too few retries after ambiguous attempts");
    assert!(retry_afters > 200, "too few outcomes with a Retry-After");
}

/// Guards against a controller that keeps the rules by sending too little: where no call fails, at least 90 %
/// of the messages must be sent.
#[test]
fn messages_are_delivered_when_no_call_fails() {
    let run = simulate(3, 0.0);
    let messages = run.messages();
    let served =
        messages.filter(|message| message.first_ambiguous.is_some() || message.attempts == 1).count();
    assert!(
        served * 100 >= run.messages().count() * 90,
        "{served} of {} messages were sent",
        run.messages().count()
    );
}
