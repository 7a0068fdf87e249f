//! Failing and unresponsive endpoints: ejection, probes, slow start, and cancelled calls.

use delivery_control::{Action, AttemptOutcome, EndpointEntry, Event, Micros, Settings};

use crate::support::{
    attempt_ended, endpoint_entry, endpoint_snapshot, message_submitted, messages_submitted, sends, settings,
    timed_sends, two_destinations, ControllerHarness, IDEMPOTENT, IDEMPOTENT_WITH_KEY, MILLISECOND,
    NOT_IDEMPOTENT, SECOND, SHARED_LIMIT,
};

/// Guards against messages that use up their attempts during an outage: while the endpoint is ejected,
/// messages stay buffered and only one at a time is sent as a probe, at growing intervals.
#[test]
fn outage_buffers_messages_and_probes_with_one_at_a_time() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    let burst = messages_submitted(1..=3, IDEMPOTENT_WITH_KEY, 10);
    harness.turn(&burst);
    let failures: Vec<_> = (1..=3).map(|id| attempt_ended(id, 0, 1, AttemptOutcome::Error)).collect();
    harness.now += 50 * MILLISECOND;
    harness.turn(&failures);
    let more = messages_submitted(4..=20, IDEMPOTENT_WITH_KEY, 10);
    let actions = harness.turn(&more);
    assert!(sends(&actions).is_empty(), "messages must stay buffered during the outage: {actions:?}");
    let until = harness.now + 12 * SECOND;
    let probes = harness.end_calls(1, AttemptOutcome::Error, 50 * MILLISECOND, until);
    assert!((3..=9).contains(&probes.len()), "{probes:?}");
    let intervals: Vec<_> = probes.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(intervals[0] < intervals[2], "the intervals between probes must grow: {intervals:?}");
}

/// Returns the number of messages sent in the first 6 s after an outage, with a large backlog. During the
/// outage, all calls end with `outcome`.
fn sends_after_outage(outcome: AttemptOutcome, outage: Micros, sender_count: u32) -> usize {
    let settings = Settings { sender_count, rates_are_listed: true, ..settings() };
    let entries = vec![
        EndpointEntry { rate: 6.0, ..endpoint_entry(1, 10, SHARED_LIMIT) },
        endpoint_entry(2, 20, SHARED_LIMIT),
    ];
    let mut harness = ControllerHarness::new(settings, entries);
    let burst = messages_submitted(1..=40, IDEMPOTENT_WITH_KEY, 10);
    harness.turn(&burst[..4]);
    harness.now += 50 * MILLISECOND;
    let deliveries: Vec<_> = (1..=4).map(|id| attempt_ended(id, 0, 1, AttemptOutcome::Delivered)).collect();
    harness.turn(&deliveries);
    harness.turn(&burst[4..]);
    let failures: Vec<_> = (5..=8).map(|id| attempt_ended(id, 0, 1, outcome)).collect();
    harness.now += 50 * MILLISECOND;
    harness.turn(&failures);
    let until = harness.now + outage;
    harness.end_calls(1, outcome, 50 * MILLISECOND, until);
    // With two senders, the next probe is sent at most 4.5 s after the previous one.
    let until = harness.now + 6 * SECOND;
    harness.end_calls(1, AttemptOutcome::Delivered, 50 * MILLISECOND, until).len()
}

/// Guards against overload of a cold destination by the backlog of an outage: if all senders sent it at full
/// rate, the destination would fail again. A brief failure must not trigger a slow start.
#[test]
fn recovered_destination_is_not_overloaded() {
    let outages = [AttemptOutcome::Error, AttemptOutcome::ConnectFailed, AttemptOutcome::Rejected];
    let sent = outages.map(|outcome| sends_after_outage(outcome, 6 * SECOND, 2));
    assert!(
        sent.iter().all(|sent| (1..=14).contains(sent)),
        "messages sent in the first 6 s after each outage: {sent:?}"
    );
    // The more senders there are, the fewer calls each of them may make.
    for outcome in outages {
        let two = sends_after_outage(outcome, 6 * SECOND, 2);
        let six = sends_after_outage(outcome, 6 * SECOND, 6);
        assert!(
            six < two || six <= 2,
            "{outcome:?}: a sender sent {two} messages as one of two, {six} as one of six"
        );
    }
    let after_brief_failure = sends_after_outage(AttemptOutcome::Error, 600 * MILLISECOND, 2);
    assert!(
        after_brief_failure > sent[0],
        "a brief failure must not trigger a slow start: {after_brief_failure} against {sent:?} messages sent"
    );
}

/// Guards against an attempt of a non-idempotent message that is spent on a probe while an idempotent message
/// for the same destination is buffered. If there is none, the non-idempotent message is sent.
#[test]
fn ejected_destination_is_probed_by_idempotent_messages_first() {
    for (others, probed_by) in [(vec![message_submitted(2, IDEMPOTENT_WITH_KEY, 10)], 2), (Vec::new(), 1)] {
        let mut harness = ControllerHarness::new(settings(), two_destinations());
        harness.turn(&[message_submitted(9, IDEMPOTENT_WITH_KEY, 10)]);
        harness.turn(&[attempt_ended(9, 0, 1, AttemptOutcome::Error)]);
        harness.turn(&[Event::MessageWithdrawn { id: 9 }]);
        assert_eq!(harness.controller.avoided_endpoint_count(), 1);
        // The non-idempotent message is older, and so first in the queue.
        assert!(sends(&harness.turn(&[message_submitted(1, NOT_IDEMPOTENT, 10)])).is_empty());
        assert!(sends(&harness.turn(&others)).is_empty());
        let until = harness.now + 10 * SECOND;
        let probes = timed_sends(&harness.advance_to(until));
        assert_eq!(probes.iter().map(|(_, id, _)| *id).collect::<Vec<_>>(), [probed_by]);
    }
}

/// Guards against memory that grows without bound: if the state of endpoints that depart while ejected were
/// kept forever, it would accumulate as endpoints are replaced.
#[test]
fn outage_of_a_departed_endpoint_is_forgotten_after_a_minute() {
    let calls_after = |absence: Micros| {
        let mut harness = ControllerHarness::new(settings(), vec![endpoint_entry(1, 10, SHARED_LIMIT)]);
        harness.turn(&[message_submitted(1, IDEMPOTENT, 10)]);
        harness.now += 50 * MILLISECOND;
        harness.turn(&[attempt_ended(1, 0, 1, AttemptOutcome::ConnectFailed)]);
        harness.turn(&[endpoint_snapshot(Vec::new())]);
        harness.advance_to(harness.now + absence);
        harness.turn(&[endpoint_snapshot(Vec::new())]);
        harness.turn(&[endpoint_snapshot(vec![endpoint_entry(1, 10, SHARED_LIMIT)])]);
        let messages = messages_submitted(11..=13, IDEMPOTENT, 10);
        sends(&harness.turn(&messages)).len()
    };
    assert_eq!(
        (calls_after(30 * SECOND), calls_after(61 * SECOND)),
        (1, 3),
        "one probe after 30 s, all messages after 61 s"
    );
}

/// Guards against a destination without responses that takes most permits: its calls stay in flight until
/// they time out, and no permits would be left for other destinations.
#[test]
fn unresponsive_destination_does_not_occupy_most_of_the_concurrency_limit() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    let burst = messages_submitted(1..=12, IDEMPOTENT_WITH_KEY, 10);
    let mut sent = sends(&harness.turn(&burst)).len();
    let until = harness.now + 10 * SECOND;
    sent += timed_sends(&harness.advance_to(until)).len();
    assert!((1..=4).contains(&sent), "{sent} of the 6 permits were used for the unresponsive destination");
    let actions = harness.turn(&[message_submitted(100, IDEMPOTENT_WITH_KEY, 20)]);
    assert_eq!(sends(&actions), [(100, 2)], "a permit is left for the healthy destination");
}

/// Guards against a call with a lost response that keeps its permit until its timeout: once a later call to
/// the endpoint was answered, the call is cancelled when other messages need its permit.
#[test]
fn overtaken_call_is_cancelled_when_the_concurrency_limit_is_reached() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    harness.turn(&[message_submitted(1, IDEMPOTENT_WITH_KEY, 10)]);
    harness.advance_to(harness.now + 200 * MILLISECOND);
    harness.turn(&[message_submitted(2, IDEMPOTENT, 10)]);
    harness.advance_to(harness.now + 100 * MILLISECOND);
    harness.turn(&[attempt_ended(2, 0, 1, AttemptOutcome::Delivered)]);
    harness.advance_to(harness.now + 3 * SECOND);
    let burst: Vec<_> =
        (10..=30).map(|id| message_submitted(id, IDEMPOTENT_WITH_KEY, 10 + 10 * (id % 2))).collect();
    let actions = harness.turn(&burst);
    assert!(actions.contains(&Action::Cancel { id: 1, attempt: 0 }), "{actions:?}");
}

/// Returns the time after which a call is cancelled that later calls have overtaken, while the concurrency
/// limit is reached. The call carries a message of this class.
fn time_until_overtaken_call_is_cancelled(class: usize) -> Micros {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    for id in 1..=20 {
        harness.turn(&[
            message_submitted(id, IDEMPOTENT_WITH_KEY, 10),
            message_submitted(100 + id, IDEMPOTENT_WITH_KEY, 20),
        ]);
        harness.now += 20 * MILLISECOND;
        harness.turn(&[
            attempt_ended(id, 0, 1, AttemptOutcome::Delivered),
            attempt_ended(100 + id, 0, 2, AttemptOutcome::Delivered),
        ]);
    }
    let start = harness.now;
    harness.turn(&messages_submitted(201..=203, IDEMPOTENT_WITH_KEY, 20));
    harness.turn(&[message_submitted(21, class, 10), message_submitted(22, IDEMPOTENT_WITH_KEY, 10)]);
    harness.now += 20 * MILLISECOND;
    harness.turn(&[
        attempt_ended(22, 0, 1, AttemptOutcome::Delivered),
        message_submitted(23, IDEMPOTENT_WITH_KEY, 10),
        message_submitted(24, IDEMPOTENT_WITH_KEY, 10),
    ]);
    harness.turn(&[message_submitted(25, IDEMPOTENT_WITH_KEY, 10)]);
    let later: Vec<_> = (0..300).flat_map(|_| harness.advance_to(harness.now + 5 * MILLISECOND)).collect();
    let cancel = later
        .iter()
        .find(|(_, action)| matches!(action, Action::Cancel { .. }))
        .expect("a call is cancelled");
    assert_eq!(cancel.1, Action::Cancel { id: 21, attempt: 0 });
    cancel.0 - start
}

/// Guards against calls with lost responses that keep their permits as long as calls to an unresponsive
/// endpoint, or for a fixed time however fast other responses arrive. A message that cannot be retried gets
/// twice the time, since it is lost with its response.
#[test]
fn overtaken_call_is_cancelled_after_several_usual_response_times() {
    let with_key = time_until_overtaken_call_is_cancelled(IDEMPOTENT_WITH_KEY);
    let not_idempotent = time_until_overtaken_call_is_cancelled(NOT_IDEMPOTENT);
    assert!((200 * MILLISECOND..350 * MILLISECOND).contains(&with_key), "cancelled after {with_key} µs");
    assert!(
        (400 * MILLISECOND..700 * MILLISECOND).contains(&not_idempotent),
        "cancelled after {not_idempotent} µs"
    );
}
