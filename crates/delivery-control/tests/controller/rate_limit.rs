//! Rate limiting of a route: decrease on rejection, recovery, Retry-After, and listed rates.

use delivery_control::{AttemptOutcome, EndpointEntry, Event, Micros, Settings};

use crate::support::{
    attempt_ended, endpoint_entry, message_submitted, messages_submitted, rejected_with_retry_after, sends,
    settings, timed_sends, two_destinations, ControllerHarness, BATCHES, IDEMPOTENT, IDEMPOTENT_WITH_KEY,
    LIMIT_PER_ENDPOINT, MILLISECOND, SECOND, SHARED_LIMIT,
};

/// Guards against losing a Retry-After that comes with one outcome of a batch while the last outcome of the
/// batch has none.
#[test]
fn retry_after_of_any_call_in_a_batch_is_respected() {
    let mut harness = ControllerHarness::new(settings(), vec![endpoint_entry(1, 10, BATCHES)]);
    let actions = harness.turn(&[
        message_submitted(1, IDEMPOTENT_WITH_KEY, 10),
        message_submitted(2, IDEMPOTENT_WITH_KEY, 10),
    ]);
    assert_eq!(sends(&actions).len(), 2);
    let rejected_at = harness.now;
    harness.turn(&[
        rejected_with_retry_after(1, 0, 1, 3 * SECOND),
        attempt_ended(2, 0, 1, AttemptOutcome::Rejected),
        message_submitted(3, IDEMPOTENT, 10),
    ]);
    let later = timed_sends(&harness.advance_to(rejected_at + 6 * SECOND));
    assert!(!later.is_empty());
    assert!(later.iter().all(|(at, ..)| *at >= rejected_at + 3 * SECOND), "{later:?}");
}

/// Guards against a Retry-After of one endpoint that stops the calls to all endpoints of its destination,
/// where each endpoint has a limit of its own.
#[test]
fn retry_after_applies_to_one_endpoint_where_limits_are_per_endpoint() {
    let mut harness = ControllerHarness::new(
        settings(),
        vec![endpoint_entry(1, 10, LIMIT_PER_ENDPOINT), endpoint_entry(3, 10, LIMIT_PER_ENDPOINT)],
    );
    let actions = harness.turn(&[message_submitted(1, IDEMPOTENT_WITH_KEY, 10)]);
    let (_, first) = sends(&actions)[0];
    let actions = harness.turn(&[
        rejected_with_retry_after(1, 0, first, 5 * SECOND),
        message_submitted(2, IDEMPOTENT_WITH_KEY, 10),
    ]);
    assert_eq!(sends(&actions), [(2, 4 - first)]);
}

/// Guards against a sender that keeps its rate after a rejection, and against one that stays at the lowered
/// rate although calls are delivered.
#[test]
fn rate_drops_at_the_first_rejection_and_recovers_gradually() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    harness.turn(&[message_submitted(1, IDEMPOTENT, 10), message_submitted(2, IDEMPOTENT, 10)]);
    harness.now += 100 * MILLISECOND;
    let actions = harness.turn(&[
        attempt_ended(1, 0, 1, AttemptOutcome::Delivered),
        attempt_ended(2, 0, 1, AttemptOutcome::Rejected),
    ]);
    assert!(sends(&actions).is_empty());
    let burst = messages_submitted(3..=30, IDEMPOTENT, 10);
    harness.turn(&burst);
    let start = harness.now;
    let sent = harness.end_calls(1, AttemptOutcome::Delivered, 50 * MILLISECOND, start + 10 * SECOND);
    let early = sent.iter().filter(|at| **at < start + 2 * SECOND).count();
    let late = sent.iter().filter(|at| **at >= start + 3 * SECOND && **at < start + 5 * SECOND).count();
    assert!(early <= 6, "the rate must be limited after the rejection: {early} calls in the first 2 s");
    assert!(
        late > early,
        "the rate must recover: {early} calls in the first 2 s, {late} calls in a later 2 s"
    );
}

/// Guards against a rate that grows without bound while traffic is below it: halving such a rate at the next
/// rejections has no effect, and a whole backlog would be sent at once.
#[test]
fn rate_does_not_grow_while_it_limits_nothing() {
    let mut settings = settings();
    settings.limits.buffer_capacity = 200;
    let mut harness = ControllerHarness::new(settings, two_destinations());
    harness.turn(&[message_submitted(1, IDEMPOTENT, 10)]);
    harness.now += 50 * MILLISECOND;
    harness.turn(&[attempt_ended(1, 0, 1, AttemptOutcome::Rejected)]);
    // Five messages per second for a minute, each delivered.
    for id in 2..300 {
        harness.turn(&[message_submitted(id, IDEMPOTENT, 10)]);
        let until = harness.now + 200 * MILLISECOND;
        harness.end_calls(1, AttemptOutcome::Delivered, 50 * MILLISECOND, until);
    }
    let burst = messages_submitted(300..400, IDEMPOTENT, 10);
    harness.turn(&burst);
    let until = harness.now + SECOND;
    let sent = harness.end_calls(1, AttemptOutcome::Delivered, 5 * MILLISECOND, until).len();
    assert!((5..=60).contains(&sent), "{sent} calls in a second, after traffic of five calls per second");
}

/// Guards against a single rejection that lowers the rate far below the listed one, because the sender had
/// made few calls before.
#[test]
fn listed_rate_bounds_the_decrease_after_a_single_rejection() {
    let sent = |listed: bool| {
        let settings = Settings { rates_are_listed: listed, ..settings() };
        let mut harness = ControllerHarness::new(
            settings,
            vec![EndpointEntry { rate: 8.0, ..endpoint_entry(1, 10, SHARED_LIMIT) }],
        );
        harness.turn(&[message_submitted(1, IDEMPOTENT, 10)]);
        harness.now += 50 * MILLISECOND;
        harness.turn(&[attempt_ended(1, 0, 1, AttemptOutcome::Rejected)]);
        // Few enough messages that the listed rate permits more calls than the demand alone justifies.
        let burst = messages_submitted(2..=10, IDEMPOTENT, 10);
        harness.turn(&burst);
        let until = harness.now + 3 * SECOND;
        harness.end_calls(1, AttemptOutcome::Delivered, 50 * MILLISECOND, until).len()
    };
    assert!(sent(true) > sent(false) + 2, "{} calls with a listed rate, {} without", sent(true), sent(false));
}

/// Guards against a slow recovery: rejections during an outage lower the rate to its minimum, although they
/// say nothing about the limit of the destination once it serves again.
#[test]
fn recovery_is_not_throttled_by_rejections_during_the_outage() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    let burst = messages_submitted(1..=40, IDEMPOTENT, 10);
    harness.turn(&burst);
    // Calls are delivered for 1 s and then rejected for 7 s, so that the rate falls to its minimum.
    let until = harness.now + SECOND;
    let delivered = harness.end_calls(1, AttemptOutcome::Delivered, 50 * MILLISECOND, until).len();
    assert!(delivered >= 10, "{delivered}");
    let more = messages_submitted(101..=150, IDEMPOTENT, 10);
    harness.turn(&more);
    let until = harness.now + 7 * SECOND;
    harness.end_calls(1, AttemptOutcome::Rejected, 50 * MILLISECOND, until);
    let until = harness.now + 5 * SECOND;
    let sent = harness.end_calls(1, AttemptOutcome::Delivered, 50 * MILLISECOND, until).len();
    assert!(sent >= 25, "the rate must recover within the warm-up time: {sent} calls in 5 s");
}

/// Guards against a number of calls that grows with the number of senders: if each of many senders called a
/// rejecting destination as often as one of a few, they would overload it together, or use up a limit that
/// counts rejected calls.
#[test]
fn each_of_many_senders_calls_a_rejecting_destination_less_often() {
    let calls = |sender_count| {
        let settings = Settings { sender_count, ..settings() };
        let mut harness = ControllerHarness::new(settings, two_destinations());
        let burst = messages_submitted(1..=40, IDEMPOTENT, 10);
        harness.turn(&burst);
        let until = harness.now + 18 * SECOND;
        harness.end_calls(1, AttemptOutcome::Rejected, 50 * MILLISECOND, until).len()
    };
    assert!(calls(12) < calls(2), "{} calls by one of 12 senders, {} by one of 2", calls(12), calls(2));
}

/// Guards against a destination that is not called for longer than its endpoints need to warm up and 5 s: a rejection
/// after the first call set a low rate, further calls were let through early because of the demand, and their failures
/// ejected all endpoints, so that the demand no longer counted.
#[test]
fn a_route_that_was_rejected_and_then_ejected_is_probed_in_time() {
    /// Number of seeds of the controller's random numbers.
    const SEEDS: u64 = 20;
    /// Time that a call takes, and number of such steps that are played.
    const STEP: Micros = 50 * MILLISECOND;
    const STEPS: u32 = 1_200;
    /// Number of steps from one message to the next.
    const STEPS_PER_MESSAGE: u32 = 3;
    let settings = Settings { sender_count: 10, ..settings() };
    let longest_pause = settings.rules.warm_up_time + 5 * SECOND;
    let entries = vec![endpoint_entry(1, 10, SHARED_LIMIT), endpoint_entry(3, 10, SHARED_LIMIT)];
    for seed in 0..SEEDS {
        let mut harness = ControllerHarness::with_seed(settings.clone(), entries.clone(), seed);
        let mut outcomes =
            [AttemptOutcome::Rejected, AttemptOutcome::Error, AttemptOutcome::Error].into_iter();
        let (mut next_id, mut called_at) = (1, harness.now);
        for step in 0..STEPS {
            harness.advance_to(harness.now + STEP);
            let mut events: Vec<Event> = Vec::new();
            for (id, (sent_at, endpoint)) in harness.in_flight.clone() {
                called_at = called_at.max(sent_at);
                let outcome = outcomes.next().unwrap_or(AttemptOutcome::Delivered);
                events.push(attempt_ended(id, harness.latest_attempts[&id], endpoint, outcome));
            }
            if step % STEPS_PER_MESSAGE == 0 {
                events.push(message_submitted(next_id, IDEMPOTENT, 10));
                next_id += 1;
            }
            harness.turn(&events);
            let pause = harness.now - called_at;
            assert!(pause <= longest_pause, "seed {seed}: no call for {} s", pause / SECOND);
        }
    }
}
