//! Messages recovered from a predecessor process.

use delivery_control::{
    Action, AmbiguousAttempt, AttemptOutcome, EndpointEntry, Event, MessageId, MessageSubmission, Micros,
    Settings,
};

use crate::support::{
    endpoint_entry, message_recovered, message_submission, message_submitted, sends, settings, timed_sends,
    two_destinations, ControllerHarness, IDEMPOTENT_WITH_KEY, MILLISECOND, NOT_IDEMPOTENT, SECOND,
    SHARED_LIMIT,
};

/// Builds the events that submit messages which a predecessor process accepted and never attempted.
fn unattempted_messages(ids: impl IntoIterator<Item = MessageId>) -> Vec<Event> {
    let mut events = Vec::new();
    for id in ids {
        events.push(message_submitted(id, IDEMPOTENT_WITH_KEY, 10));
        events.push(message_recovered(id, 0, None));
    }
    events
}

/// Submits messages with these events and delivers each call at once; returns the times of the sends, counted
/// from the submission.
fn sent_after(harness: &mut ControllerHarness, events: &[Event]) -> Vec<Micros> {
    let start = harness.now;
    let mut sent_at = vec![start; sends(&harness.turn(events)).len()];
    sent_at.extend(harness.end_calls(1, AttemptOutcome::Delivered, 0, start + 8 * SECOND));
    sent_at.into_iter().map(|at| at - start).collect()
}

/// Guards against a burst of all recovered messages after a restart, at a destination that may be cold.
#[test]
fn recovered_messages_of_a_destination_are_sent_one_by_one() {
    let events = unattempted_messages(1..=4);
    let sent = sent_after(&mut ControllerHarness::new(settings(), two_destinations()), &events);
    assert_eq!((sent.len(), sent[0]), (4, 0), "{sent:?}");
    assert!(sent.windows(2).all(|pair| pair[1] - pair[0] >= 200 * MILLISECOND), "{sent:?}");
}

/// Guards against recovered messages that become late because they are sent at a fixed slow pace, however
/// fast their destination is.
#[test]
fn recovered_messages_are_sent_at_the_initial_share_of_the_listed_rate() {
    let events = unattempted_messages(1..=20);
    // Two senders share a fifth of the listed rate: 5 calls per second for this one, fewer with jitter.
    let listed = vec![EndpointEntry { rate: 50.0, ..endpoint_entry(1, 10, SHARED_LIMIT) }];
    let settings = Settings { rates_are_listed: true, ..settings() };
    let sent = sent_after(&mut ControllerHarness::new(settings, listed), &events);
    let in_4_s = sent.iter().filter(|at| **at < 4 * SECOND).count();
    assert!((13..=21).contains(&in_4_s), "{sent:?}");
}

/// Guards against a restart that resets the attempt count or the idempotency window of a message: it could
/// get too many attempts, or take effect twice.
#[test]
fn recovered_message_keeps_its_attempt_count_and_idempotency_window() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    let long_ago = Some(AmbiguousAttempt { sent_at: harness.now - 16 * SECOND, zone: 0 });
    let just_now = Some(AmbiguousAttempt { sent_at: harness.now - SECOND, zone: 0 });
    let actions = harness.turn(&[
        message_submitted(1, IDEMPOTENT_WITH_KEY, 10),
        message_recovered(1, 2, long_ago),
        message_submitted(2, NOT_IDEMPOTENT, 10),
        message_recovered(2, 1, just_now),
        message_submitted(3, IDEMPOTENT_WITH_KEY, 20),
        message_recovered(3, 6, None),
        message_submitted(4, IDEMPOTENT_WITH_KEY, 20),
        message_recovered(4, 1, None),
    ]);
    let ends: Vec<_> = actions.iter().filter(|action| !matches!(action, Action::SetTimer { .. })).collect();
    let failed = |id| ends.contains(&&Action::Fail { id });
    assert!(
        failed(1) && failed(2),
        "messages 1 and 2 must fail, as a retry of either may take effect twice: {ends:?}"
    );
    assert!(
        ends.iter().any(|end| matches!(end, Action::Reject { id: 3, .. })),
        "message 3 must be rejected, as it has no attempt left: {ends:?}"
    );
    let later = harness.advance_to(harness.now + 2 * SECOND);
    assert_eq!(timed_sends(&later).len() + sends(&actions).len(), 1, "{later:?}");
}

/// Guards against a starved destination after a restart: the new process knows nothing of earlier calls, so
/// that rejections could lower the rate to almost nothing. When the destination serves again, the rate must
/// suffice for the buffered messages.
#[test]
fn rejection_after_a_restart_leaves_a_usable_rate() {
    let mut settings = settings();
    settings.limits.buffer_capacity = 200;
    let mut harness = ControllerHarness::new(settings, vec![endpoint_entry(1, 10, SHARED_LIMIT)]);
    for id in 1..=80 {
        harness.turn(&[
            Event::MessageSubmitted(MessageSubmission {
                time_left: 12 * SECOND,
                ..message_submission(id, IDEMPOTENT_WITH_KEY, 10)
            }),
            message_recovered(id, 0, None),
        ]);
    }
    let recovered_at = harness.now + SECOND;
    harness.end_calls(1, AttemptOutcome::Rejected, 50 * MILLISECOND, recovered_at);
    let sent = harness.end_calls(1, AttemptOutcome::Delivered, 50 * MILLISECOND, recovered_at + 6 * SECOND);
    assert!(
        sent.len() >= 20,
        "{} calls in the 6 s after the recovery, with 80 messages buffered",
        sent.len()
    );
}
