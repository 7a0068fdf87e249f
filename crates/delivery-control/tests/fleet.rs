//! What many controllers do together to one simple destination.

mod common;

use std::collections::BTreeMap;

use common::*;
use delivery_control::*;

/// How the destination answers at a time: an outcome, and a wait told with it.
type Answers = fn(Micros) -> (AttemptOutcome, Micros);

/// Lets `senders` controllers with one message each for the same destination run for `length`; gives the times of
/// all their sends to it. Each is handed an average share of messages for other destinations too.
fn together(sender_count: u32, length: Micros, rate: f64, answers: Answers) -> Vec<Micros> {
    let settings = Settings { sender_count, rates_are_listed: rate > 0.0, ..settings() };
    let entries = vec![EndpointEntry { rate, ..entry(1, 10, 0) }, entry(2, 20, 0)];
    let mut sends_at = Vec::new();
    for seed in 0..sender_count {
        let mut bench = Bench::seeded(settings.clone(), entries.clone(), u64::from(seed) + 1);
        let start = bench.now;
        // Spread over the first two seconds.
        bench.now += Micros::from(seed) * 2 * SECOND / Micros::from(sender_count);
        let mut actions = vec![(bench.now, bench.turn(&[message(1, 0, 10)]))];
        let mut due: BTreeMap<Micros, (MessageId, u32)> = BTreeMap::new();
        let mut attempt = 0;
        loop {
            for (at, actions) in actions.drain(..) {
                for (id, _) in sends(&actions) {
                    sends_at.push(at - start);
                    due.insert(at + 50 * MS, (id, attempt));
                    attempt += 1;
                }
            }
            let until = due.first_key_value().map_or(start + length, |(at, _)| *at);
            if until >= start + length {
                break;
            }
            if let Some(at) = bench.timers.iter().copied().filter(|at| *at < until).min() {
                bench.timers.retain(|other| *other > at);
                bench.now = bench.now.max(at);
                actions.push((bench.now, bench.turn(&[Event::TimerFired { token: 0 }])));
                continue;
            }
            let (_, (id, number)) = due.pop_first().expect("due");
            bench.now = until;
            let (outcome, wait) = answers(until - start);
            let event = Event::AttemptEnded(AttemptEnd {
                id,
                attempt: number,
                endpoint: 1,
                outcome,
                elapsed: 50 * MS,
                is_final: outcome == AttemptOutcome::Delivered,
                retry_after: wait,
                load_report: None,
            });
            actions.push((until, bench.turn(&[event])));
            // Idle senders still have their timers: run to the next one.
            while due.is_empty() && actions.iter().all(|(_, actions)| sends(actions).is_empty()) {
                let Some(at) = bench.timers.iter().copied().min().filter(|at| *at < start + length) else {
                    break;
                };
                bench.timers.retain(|other| *other > at);
                bench.now = bench.now.max(at);
                actions.push((bench.now, bench.turn(&[Event::TimerFired { token: 0 }])));
            }
        }
    }
    sends_at.sort_unstable();
    sends_at
}

fn between(sends: &[Micros], from: Micros, to: Micros) -> usize {
    sends.iter().filter(|at| **at >= from && **at < to).count()
}

#[test]
fn many_senders_do_not_push_over_what_comes_back() {
    // Errors for 10 s, then back: 60 senders hold a message each; 6 calls a second is the capacity.
    let answers = |at| (if at < 10 * SECOND { AttemptOutcome::Error } else { AttemptOutcome::Delivered }, 0);
    let sends = together(60, 19 * SECOND, 6.0, answers);
    let first = between(&sends, 10 * SECOND, 12 * SECOND);
    // Twice a fifth of the capacity for 2 s would be 5 calls at the start, and grows from there.
    assert!((1..=9).contains(&first), "{first} calls in the first 2 s after the return");
    let few = together(2, 19 * SECOND, 6.0, answers);
    assert_eq!(between(&few, 10 * SECOND, 17 * SECOND), 2, "two senders both find it soon: {few:?}");
}

#[test]
fn many_refused_senders_do_not_come_again_at_once() {
    let sends = together(60, 12 * SECOND, 0.0, |_| (AttemptOutcome::Rejected, 0));
    let busiest = (2..10).map(|second| between(&sends, second * SECOND, (second + 1) * SECOND)).max();
    assert!(busiest <= Some(20), "at most a third of them in any second: {busiest:?}");
    assert!(between(&sends, 2 * SECOND, 12 * SECOND) >= 40, "but each comes again: {}", sends.len());
}

#[test]
fn senders_told_the_same_wait_do_not_return_in_step() {
    // Shut for 8 s; each is told to wait until then.
    let answers = |at| match 8 * SECOND - at {
        left if left > 0 => (AttemptOutcome::Rejected, left),
        _ => (AttemptOutcome::Delivered, 0),
    };
    let sends = together(60, 18 * SECOND, 0.0, answers);
    assert_eq!(between(&sends, 2 * SECOND + 50 * MS, 8 * SECOND), 0, "the wait is kept");
    let first = between(&sends, 8 * SECOND, 9 * SECOND);
    assert!(first <= 20, "{first} of 60 in the first second after the wait");
}

#[test]
fn a_relisted_endpoint_takes_its_new_destination_and_keeps_a_told_wait() {
    let mut bench = Bench::new(settings(), vec![entry(1, 10, 0), entry(2, 20, 0)]);
    bench.turn(&[message(1, 0, 10)]);
    bench.turn(&[waiting(1, 0, 1, 4 * SECOND)]);
    let told = bench.now;
    let listed =
        |entry| Event::EndpointsUpdated { update: UpdateKind::Delta, version: 2, entries: vec![entry] };
    bench.turn(&[listed(EndpointEntry { listing: ListingState::Removed, ..entry(1, 10, 0) })]);
    bench.now += SECOND;
    bench.turn(&[listed(entry(1, 30, 1)), message(2, 0, 30), message(3, 0, 10)]);
    let later = sends_in_time(&bench.pass(told + 8 * SECOND));
    assert!(later.iter().all(|(at, id, to)| *at >= told + 4 * SECOND && (*id, *to) == (2, 1)), "{later:?}");
    assert!(!later.is_empty());
}

/// One of a hundred senders, with a call out to a destination that it calls rarely.
fn rare_caller() -> Bench {
    let settings = Settings { sender_count: 100, rates_are_listed: true, ..settings() };
    let mut bench = Bench::new(settings, vec![EndpointEntry { rate: 20.0, ..entry(1, 10, 0) }]);
    bench.turn(&[message(1, 0, 10)]);
    bench
}

/// Sends until `until`, each answered at once as delivered with this report.
fn delivered(bench: &mut Bench, until: Micros, (left, limit): (f64, f64)) -> Vec<Micros> {
    let mut sent = Vec::new();
    while let Some(at) = bench.timers.iter().copied().filter(|at| *at <= until).min() {
        for (at, id, _) in sends_in_time(&bench.pass(at)) {
            sent.push(at);
            bench.turn(&[reported(id, bench.attempts[&id], AttemptOutcome::Delivered, left, limit)]);
        }
    }
    bench.now = until;
    sent
}

/// Guards against a limit that is found out by a refusal of each of a hundred senders: that is a hundred calls.
#[test]
fn a_report_of_little_left_paces_before_a_refusal() {
    let calls_of_ten = |left| {
        let mut bench = rare_caller();
        bench.turn(&[reported(1, 0, AttemptOutcome::Delivered, left, 50.0)]);
        let now = sends(&bench.turn(&[message(2, 0, 10), message(3, 0, 10), message(4, 0, 10)])).len();
        let until = bench.now + 5 * SECOND;
        now + delivered(&mut bench, until, (left, 50.0)).len()
    };
    // An even share of the limit is half a call a second, and some of that must be made up.
    assert!((1..=2).contains(&calls_of_ten(0.05)));
    assert_eq!(calls_of_ten(0.9), 3, "nothing is held back while most of the limit is left");
}

/// Guards against a sender at a slow pace that hears of a limit lifted, and sits out the pause that it had begun.
#[test]
fn a_lifted_limit_is_used_from_the_next_answer_on() {
    let mut bench = rare_caller();
    bench.turn(&[reported(1, 0, AttemptOutcome::Rejected, 0.0, 20.0)]);
    bench.turn(&[message(2, 0, 10), message(3, 0, 10), message(4, 0, 10)]);
    let start = bench.now;
    let sent = delivered(&mut bench, start + 30 * SECOND, (0.9, 200.0));
    assert!(sent[0] - start >= 2 * SECOND, "a tenth of a call a second at first: {sent:?}");
    assert!(sent[2] - sent[0] <= 2 * SECOND, "then two a second: {sent:?}");
}

/// Guards against a destination that is down and answers as full, to which each of a hundred senders goes on calling
/// for want of a run of refusals: it held every call for 8 s though all of its limit was left.
#[test]
fn two_refusals_with_most_of_the_limit_left_are_an_outage() {
    let avoided = |left| {
        let mut bench = rare_caller();
        bench.turn(&[reported(1, 0, AttemptOutcome::Rejected, left, 20.0)]);
        bench.now += 3 * SECOND;
        bench.turn(&[message(2, 2, 10)]);
        while bench.calls.is_empty() {
            bench.pass(bench.now + 100 * MS);
        }
        let id = *bench.calls.first_key_value().expect("a second call").0;
        bench.turn(&[reported(id, bench.attempts[&id], AttemptOutcome::Rejected, left, 20.0)]);
        bench.controller.avoided_endpoint_count()
    };
    assert_eq!((avoided(1.0), avoided(0.0)), (1, 0));
}

/// Guards against a fleet that goes on at the listed rate, or at the rate of a few calls of late, when a destination
/// has lowered its limit and counts refused calls too: it then answered none for up to 8 s.
#[test]
fn a_refusal_brings_a_rare_caller_below_its_share_of_the_lowered_limit() {
    let mut bench = rare_caller();
    bench.turn(&[reported(1, 0, AttemptOutcome::Delivered, 0.9, 20.0)]);
    for id in 2..8 {
        bench.now += 3 * SECOND / 2;
        bench.turn(&[message(id, 0, 10)]);
        bench.turn(&[reported(id, 0, AttemptOutcome::Delivered, 0.9, 20.0)]);
    }
    bench.now += 3 * SECOND / 2;
    bench.turn(&[message(8, 0, 10)]);
    bench.turn(&[reported(8, 0, AttemptOutcome::Rejected, 0.0, 5.0), message(9, 0, 10), message(10, 0, 10)]);
    // A twentieth of a call a second is its share; more than one sender in eight would be too many.
    let until = bench.now + 8 * SECOND;
    let sent = sends_in_time(&bench.pass(until)).len();
    assert_eq!(sent, 0, "calls in 8 s");
}

/// Guards against reports that nobody can mean: they change nothing.
#[test]
fn reports_that_cannot_be_are_not_heard() {
    for (left, limit) in
        [(0.0, 0.0), (0.0, -5.0), (0.0, f64::NAN), (-1.0, 5.0), (f64::NAN, 5.0), (0.0, f64::INFINITY)]
    {
        let mut bench = rare_caller();
        bench.turn(&[reported(1, 0, AttemptOutcome::Delivered, left, limit)]);
        let sent = sends(&bench.turn(&[message(2, 0, 10), message(3, 0, 10)])).len();
        assert_eq!(sent, 2, "left {left}, limit {limit}");
    }
}
