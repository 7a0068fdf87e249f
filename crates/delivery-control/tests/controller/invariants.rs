//! The rules of delivery, stated apart from the controller and checked over random, seeded event sequences.

mod checker;
mod simulation;

use simulation::simulate;

#[test]
fn random_event_sequences_keep_the_invariants() {
    let runs: Vec<_> = (1..=24).map(|seed| simulate(seed, 0.1 * (seed % 10) as f64)).collect();
    let sends: usize = runs.iter().map(|run| run.sends).sum();
    let retries: usize = runs.iter().map(|run| run.retries).sum();
    let retry_afters: usize = runs.iter().map(|run| run.retry_afters).sum();
    assert!(sends > 5_000, "the runs are not empty");
    assert!(retries > 200, "idempotent messages are retried");
    assert!(retry_afters > 200, "rejections have a Retry-After");
}

#[test]
fn messages_are_delivered_when_no_call_fails() {
    let run = simulate(3, 0.0);
    let messages = run.messages();
    let served =
        messages.filter(|message| message.first_ambiguous.is_some() || message.attempts == 1).count();
    assert!(served * 100 >= run.messages().count() * 90, "{served} of {}", run.messages().count());
}
