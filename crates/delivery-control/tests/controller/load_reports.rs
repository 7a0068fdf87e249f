//! Load reports: how one of many senders adapts to the limit that a destination reports.

use delivery_control::{AttemptOutcome, EndpointEntry, Micros, Settings};

use crate::support::{
    attempt_ended_with_load_report, endpoint_entry, message_submitted, messages_submitted, sends, settings,
    timed_sends, ControllerHarness, IDEMPOTENT, MILLISECOND, NOT_IDEMPOTENT, SECOND, SHARED_LIMIT,
};

/// Creates one of a hundred senders, with a call in flight to a destination that it calls rarely.
fn infrequent_sender() -> ControllerHarness {
    let settings = Settings { sender_count: 100, rates_are_listed: true, ..settings() };
    let mut harness = ControllerHarness::new(
        settings,
        vec![EndpointEntry { rate: 20.0, ..endpoint_entry(1, 10, SHARED_LIMIT) }],
    );
    harness.turn(&[message_submitted(1, IDEMPOTENT, 10)]);
    harness
}

/// Advances the clock to `until` and ends each call at once as delivered, with this load report; returns the
/// times at which messages were sent.
fn deliver_calls(
    harness: &mut ControllerHarness,
    until: Micros,
    limit_remaining: f64,
    limit: f64,
) -> Vec<Micros> {
    let mut sent = Vec::new();
    while let Some(at) = harness.next_timer().filter(|at| *at <= until) {
        for (at, id, _) in timed_sends(&harness.advance_to(at)) {
            sent.push(at);
            let attempt = harness.latest_attempts[&id];
            let outcome = AttemptOutcome::Delivered;
            harness.turn(&[attempt_ended_with_load_report(id, attempt, outcome, limit_remaining, limit)]);
        }
    }
    harness.now = until;
    sent
}

/// Guards against senders that each learn of a nearly used limit only by a rejection of their own: with a
/// hundred senders, that costs a hundred calls.
#[test]
fn report_of_a_nearly_used_limit_slows_the_sender_before_a_rejection() {
    let calls_in_five_seconds = |limit_remaining| {
        let mut harness = infrequent_sender();
        harness.turn(&[attempt_ended_with_load_report(
            1,
            0,
            AttemptOutcome::Delivered,
            limit_remaining,
            50.0,
        )]);
        let sent_at_once = sends(&harness.turn(&messages_submitted(2..=4, IDEMPOTENT, 10))).len();
        let until = harness.now + 5 * SECOND;
        sent_at_once + deliver_calls(&mut harness, until, limit_remaining, 50.0).len()
    };
    // The fair share of the limit is half a call per second. The sender stays below it, to make up for what
    // all senders together have used beyond the limit.
    assert!((1..=2).contains(&calls_in_five_seconds(0.05)));
    assert_eq!(calls_in_five_seconds(0.9), 3, "no message may wait while most of the limit is left");
}

/// Guards against a slow sender that learns of a raised limit and still waits for the next permit at the
/// interval of the old limit.
#[test]
fn raised_limit_applies_from_the_next_response() {
    let mut harness = infrequent_sender();
    harness.turn(&[attempt_ended_with_load_report(1, 0, AttemptOutcome::Rejected, 0.0, 20.0)]);
    harness.turn(&messages_submitted(2..=4, IDEMPOTENT, 10));
    let start = harness.now;
    let sent = deliver_calls(&mut harness, start + 30 * SECOND, 0.9, 200.0);
    assert!(sent[0] - start >= 2 * SECOND, "the low limit permits 0.1 calls per second: {sent:?}");
    assert!(sent[2] - sent[0] <= 2 * SECOND, "the raised limit permits 2 calls per second: {sent:?}");
}

/// Guards against a destination that is down and rejects calls as if its limit were used up. Each of a
/// hundred senders sees too few rejections in a row to detect the outage and keeps calling: no call was
/// served for 8 s although all of the limit was left.
#[test]
fn two_rejections_with_most_of_the_limit_left_are_an_outage() {
    let avoided = |limit_remaining| {
        let mut harness = infrequent_sender();
        harness.turn(&[attempt_ended_with_load_report(
            1,
            0,
            AttemptOutcome::Rejected,
            limit_remaining,
            20.0,
        )]);
        harness.now += 3 * SECOND;
        harness.turn(&[message_submitted(2, NOT_IDEMPOTENT, 10)]);
        while harness.in_flight.is_empty() {
            harness.advance_to(harness.now + 100 * MILLISECOND);
        }
        let id = *harness.in_flight.first_key_value().expect("a second call").0;
        let attempt = harness.latest_attempts[&id];
        harness.turn(&[attempt_ended_with_load_report(
            id,
            attempt,
            AttemptOutcome::Rejected,
            limit_remaining,
            20.0,
        )]);
        harness.controller.avoided_endpoint_count()
    };
    assert_eq!((avoided(1.0), avoided(0.0)), (1, 0));
}

/// Guards against senders that keep to the listed rate, or to a rate derived from their few recent calls,
/// after a destination lowered its limit. Where rejected calls count against the limit too, the destination
/// then served no call for up to 8 s.
#[test]
fn rejection_slows_an_infrequent_sender_below_its_share_of_a_lowered_limit() {
    let mut harness = infrequent_sender();
    harness.turn(&[attempt_ended_with_load_report(1, 0, AttemptOutcome::Delivered, 0.9, 20.0)]);
    for id in 2..8 {
        harness.now += 3 * SECOND / 2;
        harness.turn(&[message_submitted(id, IDEMPOTENT, 10)]);
        harness.turn(&[attempt_ended_with_load_report(id, 0, AttemptOutcome::Delivered, 0.9, 20.0)]);
    }
    harness.now += 3 * SECOND / 2;
    harness.turn(&[message_submitted(8, IDEMPOTENT, 10)]);
    harness.turn(&[
        attempt_ended_with_load_report(8, 0, AttemptOutcome::Rejected, 0.0, 5.0),
        message_submitted(9, IDEMPOTENT, 10),
        message_submitted(10, IDEMPOTENT, 10),
    ]);
    // The fair share is 0.05 calls per second; calls from more than one sender in eight would be too many.
    let until = harness.now + 8 * SECOND;
    let sent = timed_sends(&harness.advance_to(until)).len();
    assert_eq!(sent, 0, "calls in the 8 s after the rejection");
}

/// Guards against load reports with impossible values, such as a negative limit, which would stop or slow the
/// calls to a destination.
#[test]
fn impossible_load_reports_are_ignored() {
    for (limit_remaining, limit) in
        [(0.0, 0.0), (0.0, -5.0), (0.0, f64::NAN), (-1.0, 5.0), (f64::NAN, 5.0), (0.0, f64::INFINITY)]
    {
        let mut harness = infrequent_sender();
        harness.turn(&[attempt_ended_with_load_report(
            1,
            0,
            AttemptOutcome::Delivered,
            limit_remaining,
            limit,
        )]);
        let sent = sends(
            &harness.turn(&[message_submitted(2, IDEMPOTENT, 10), message_submitted(3, IDEMPOTENT, 10)]),
        )
        .len();
        assert_eq!(sent, 2, "limit_remaining {limit_remaining}, limit {limit}");
    }
}
