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

/// Submissions of messages that a predecessor process accepted and never attempted.
fn unattempted_messages(ids: impl IntoIterator<Item = MessageId>) -> Vec<Event> {
    let mut events = Vec::new();
    for id in ids {
        events.push(message_submitted(id, IDEMPOTENT_WITH_KEY, 10));
        events.push(message_recovered(id, 0, None));
    }
    events
}

/// Times at which the messages are sent that these events submit, where each call is delivered at once.
fn sent_after(harness: &mut ControllerHarness, events: &[Event]) -> Vec<Micros> {
    let start = harness.now;
    let mut sent_at = vec![start; sends(&harness.turn(events)).len()];
    sent_at.extend(harness.answer_calls(1, AttemptOutcome::Delivered, 0, start + 8 * SECOND));
    sent_at.into_iter().map(|at| at - start).collect()
}

/// Guards against a burst of a restarted sender's messages at a destination that may be cold.
#[test]
fn recovered_messages_of_a_destination_are_sent_one_by_one() {
    let events = unattempted_messages(1..=4);
    let sent = sent_after(&mut ControllerHarness::new(settings(), two_destinations()), &events);
    assert_eq!((sent.len(), sent[0]), (4, 0), "{sent:?}");
    assert!(sent.windows(2).all(|pair| pair[1] - pair[0] >= 200 * MILLISECOND), "{sent:?}");
}

/// Guards against a restart that makes buffered messages late, however fast their destination is.
#[test]
fn recovered_messages_are_sent_at_the_initial_share_of_the_listed_rate() {
    let events = unattempted_messages(1..=20);
    // Two senders share a fifth of it: five a second for this one, less for the jitter.
    let listed = vec![EndpointEntry { rate: 50.0, ..endpoint_entry(1, 10, SHARED_LIMIT) }];
    let settings = Settings { rates_are_listed: true, ..settings() };
    let sent = sent_after(&mut ControllerHarness::new(settings, listed), &events);
    let in_4_s = sent.iter().filter(|at| **at < 4 * SECOND).count();
    assert!((13..=21).contains(&in_4_s), "{sent:?}");
}

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
        "the idempotency window is over, or a retry may take effect twice: {ends:?}"
    );
    assert!(
        ends.iter().any(|end| matches!(end, Action::Reject { id: 3, .. })),
        "no attempt is left: {ends:?}"
    );
    let later = harness.advance_to(harness.now + 2 * SECOND);
    assert_eq!(timed_sends(&later).len() + sends(&actions).len(), 1, "{later:?}");
}

/// Guards against a starved destination: a new process knows nothing of what was sent before, and rejections
/// by a destination that serves again later must leave it a rate for what is buffered.
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
    harness.answer_calls(1, AttemptOutcome::Rejected, 50 * MILLISECOND, recovered_at);
    let sent =
        harness.answer_calls(1, AttemptOutcome::Delivered, 50 * MILLISECOND, recovered_at + 6 * SECOND);
    assert!(sent.len() >= 20, "{} calls in 6 s for 80 messages", sent.len());
}
