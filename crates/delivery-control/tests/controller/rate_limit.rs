//! Rate limiting of a route: decrease on rejection, recovery, Retry-After, and listed rates.

use delivery_control::{AttemptOutcome, EndpointEntry, Settings};

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
