//! Retries of a message: backoff, timeouts, and the idempotency window.

use delivery_control::{
    Action, AmbiguousAttempt, AttemptEnd, AttemptOutcome, Controller, Event, MessageSubmission, Settings,
};

use crate::support::{
    attempt_end, attempt_ended, endpoint_snapshot, message_recovered, message_submission, message_submitted,
    sends, settings, timed_sends, two_destinations, ControllerHarness, IDEMPOTENT, IDEMPOTENT_WITH_KEY,
    MILLISECOND, NOT_IDEMPOTENT, SECOND,
};

/// Guards against a delay before the first attempt, against a backoff that does not grow, and against one
/// without jitter, by which the retries of many messages would coincide.
#[test]
fn first_attempt_is_immediate_and_backoff_grows_with_jitter() {
    let mut first_backoffs = Vec::new();
    for seed in 1..6 {
        let mut controller = Controller::new(settings(), seed).expect("settings are valid");
        let mut backoffs = Vec::new();
        let mut now = 10 * SECOND;
        let mut actions = Vec::new();
        // After a recent delivery, a single failure at the endpoint is not treated as an outage.
        controller.turn(
            now,
            &[endpoint_snapshot(two_destinations()), message_submitted(9, IDEMPOTENT_WITH_KEY, 10)],
            &mut actions,
        );
        controller.turn(now, &[attempt_ended(9, 0, 1, AttemptOutcome::Delivered)], &mut actions);
        actions.clear();
        controller.turn(now, &[message_submitted(1, IDEMPOTENT_WITH_KEY, 10)], &mut actions);
        assert_eq!(sends(&actions), [(1, 1)]);
        for attempt in 0..2 {
            let ended_at = now + 50 * MILLISECOND;
            let mut events = vec![attempt_ended(1, attempt, 1, AttemptOutcome::Error)];
            now = ended_at;
            loop {
                let mut actions = Vec::new();
                controller.turn(now, &events, &mut actions);
                if !sends(&actions).is_empty() {
                    break;
                }
                events = vec![Event::TimerFired { token: 0 }];
                now += 5 * MILLISECOND;
            }
            backoffs.push(now - ended_at);
        }
        assert!(backoffs[0] >= 200 * MILLISECOND && backoffs[0] <= 310 * MILLISECOND, "{backoffs:?}");
        assert!(backoffs[1] >= 600 * MILLISECOND && backoffs[1] > backoffs[0], "{backoffs:?}");
        first_backoffs.push(backoffs[0]);
    }
    first_backoffs.dedup();
    assert!(first_backoffs.len() > 1, "the backoff must vary with the seed: {first_backoffs:?}");
}

/// Guards against a first attempt that leaves no time for retries, and against a timeout so short that a
/// message is repeated while a slow endpoint still processes it. A non-idempotent message cannot be repeated
/// and gets nearly all the time.
#[test]
fn attempt_timeouts_divide_the_time_left_above_a_floor() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    let actions = harness.turn(&[message_submitted(1, IDEMPOTENT_WITH_KEY, 10)]);
    let Some(Action::Send { timeout, .. }) = actions.first() else { panic!("{actions:?}") };
    assert!(*timeout >= 4 * SECOND && *timeout <= 6 * SECOND, "{timeout}");
    let actions = harness.turn(&[message_submitted(2, NOT_IDEMPOTENT, 20)]);
    let Some(Action::Send { timeout, .. }) = actions.first() else { panic!("{actions:?}") };
    assert!(
        *timeout > 15 * SECOND,
        "a non-idempotent message has at most one ambiguous attempt, with nearly all the time: {timeout}"
    );
}

/// Settings with an idempotency window of 1 s for messages with a key, and a deadline of 5 s for idempotent
/// messages.
fn short_window_settings() -> Settings {
    let mut settings = settings();
    settings.classes[IDEMPOTENT_WITH_KEY].idempotency_window = SECOND;
    settings.classes[IDEMPOTENT].deadline = 5 * SECOND;
    settings
}

/// Creates a harness with [`short_window_settings`] and an endpoint that has just delivered, so that a single
/// failure there is not treated as an outage.
fn short_window_harness() -> ControllerHarness {
    let mut harness = ControllerHarness::new(short_window_settings(), two_destinations());
    harness.turn(&[message_submitted(9, IDEMPOTENT_WITH_KEY, 10)]);
    harness.turn(&[attempt_ended(9, 0, 1, AttemptOutcome::Delivered)]);
    harness
}

/// Guards against a timeout that takes all of a short idempotency window, after which the message cannot be
/// retried.
#[test]
fn attempt_timeout_leaves_time_for_a_retry_within_a_short_idempotency_window() {
    let mut harness = short_window_harness();
    let submitted_at = harness.now;
    let actions = harness.turn(&[message_submitted(1, IDEMPOTENT_WITH_KEY, 10)]);
    let Some(Action::Send { timeout, .. }) = actions.first() else { panic!("{actions:?}") };
    harness.now += timeout;
    let mut later = harness.turn(&[attempt_ended(1, 0, 1, AttemptOutcome::Timeout)]);
    later.extend(harness.advance_to(submitted_at + 20 * SECOND).into_iter().map(|(_, action)| action));
    assert_eq!(sends(&later), [(1, 1)], "the message must be retried once: {later:?}");
    let (at, _) = harness.in_flight[&1];
    assert!(
        at - submitted_at < SECOND,
        "the retry must be within the window, but was sent after {} µs",
        at - submitted_at
    );
    // The timeout also leaves time for a second attempt of a message with a deadline of 5 s.
    let mut harness = short_window_harness();
    let submission = MessageSubmission { time_left: 5 * SECOND, ..message_submission(2, IDEMPOTENT, 10) };
    let actions = harness.turn(&[Event::MessageSubmitted(submission)]);
    let Some(Action::Send { timeout, .. }) = actions.first() else { panic!("{actions:?}") };
    assert!(*timeout <= 2_500 * MILLISECOND, "{timeout}");
}

/// Guards against a retry outside the idempotency window, by the clock of this process or by one that was set
/// back, and against a message that stays buffered although it cannot be retried any more.
#[test]
fn ambiguous_attempts_are_retried_within_the_idempotency_window_and_fail_at_its_end() {
    for (after, retried) in [
        (400 * MILLISECOND, true),
        (600 * MILLISECOND, true),
        (960 * MILLISECOND, false),
        (2 * SECOND, false),
    ] {
        let mut harness = short_window_harness();
        let submitted_at = harness.now;
        harness.turn(&[message_submitted(1, IDEMPOTENT_WITH_KEY, 10)]);
        harness.now += after;
        let mut actions = harness.turn(&[attempt_ended(1, 0, 1, AttemptOutcome::Reset)]);
        assert_eq!(actions.contains(&Action::Fail { id: 1 }), !retried, "reset {after} µs after the send");
        actions =
            harness.advance_to(submitted_at + 20 * SECOND).into_iter().map(|(_, action)| action).collect();
        assert_eq!(sends(&actions).len(), usize::from(retried), "reset {after} µs after the send");
    }
    // A message recovered after a restart; a negative time means that the clock was set back.
    for (ago, retried) in
        [(300 * MILLISECOND, true), (960 * MILLISECOND, false), (30 * SECOND, false), (-SECOND, false)]
    {
        let mut harness = short_window_harness();
        let start = harness.now;
        let first_ambiguous = AmbiguousAttempt { sent_at: start - ago, zone: 1 };
        let recovered = message_recovered(1, 1, Some(first_ambiguous));
        let first = harness.turn(&[message_submitted(1, IDEMPOTENT_WITH_KEY, 10), recovered]);
        assert_eq!(
            first.contains(&Action::Fail { id: 1 }),
            !retried,
            "sent {ago} µs before the restart: {first:?}"
        );
        let mut sent_at = vec![start; sends(&first).len()];
        let later = timed_sends(&harness.advance_to(start + 20 * SECOND));
        sent_at.extend(later.into_iter().map(|(at, ..)| at));
        assert_eq!(sent_at.len(), usize::from(retried), "sent {ago} µs before the restart");
        assert!(sent_at.iter().all(|at| at - start + ago < SECOND), "sent {ago} µs before the restart");
    }
}

/// Guards against a non-idempotent message that takes effect twice because it is retried after an ambiguous
/// outcome, and against one that is given up although it was never sent.
#[test]
fn non_idempotent_messages_fail_after_an_ambiguous_outcome_and_are_retried_if_never_sent() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    harness.turn(&[message_submitted(1, NOT_IDEMPOTENT, 10), message_submitted(2, NOT_IDEMPOTENT, 20)]);
    let actions = harness.turn(&[
        attempt_ended(1, 0, 1, AttemptOutcome::Reset),
        attempt_ended(2, 0, 2, AttemptOutcome::ConnectFailed),
    ]);
    assert!(actions.contains(&Action::Fail { id: 1 }));
    let later = timed_sends(&harness.advance_to(harness.now + SECOND));
    let ids: Vec<_> = later.into_iter().map(|(_, id, _)| id).collect();
    assert_eq!(ids, [2]);
}

/// Guards against a streamed response that is cut off at the message's deadline although the client is
/// already receiving it.
#[test]
fn started_stream_is_not_cancelled_at_its_deadline() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    harness.turn(&[message_submitted(1, IDEMPOTENT_WITH_KEY, 10)]);
    harness.turn(&[Event::ResponseStarted { id: 1, attempt: 0 }]);
    let later = harness.advance_to(harness.now + 30 * SECOND);
    assert!(later.iter().all(|(_, action)| matches!(action, Action::SetTimer { .. })), "{later:?}");
}

/// Guards against a message that is given up because its host could not start attempts for a while, for
/// example while the journal cannot be written.
#[test]
fn attempts_that_were_not_begun_do_not_count_towards_the_limit() {
    let mut controller = Controller::new(settings(), 1).expect("settings are valid");
    let mut actions = Vec::new();
    let mut now = 10 * SECOND;
    let mut events = vec![endpoint_snapshot(two_destinations()), message_submitted(1, NOT_IDEMPOTENT, 10)];
    let mut attempts = 0;
    while attempts < 3 * settings().limits.max_attempts {
        actions.clear();
        controller.turn(now, &std::mem::take(&mut events), &mut actions);
        assert!(
            !actions.iter().any(|action| matches!(action, Action::Reject { .. })),
            "rejected after {attempts} attempts that were not started"
        );
        for (id, endpoint) in sends(&actions) {
            let end = attempt_end(id, attempts, endpoint, AttemptOutcome::NotSent);
            events.push(Event::AttemptEnded(AttemptEnd { was_started: false, ..end }));
            attempts += 1;
        }
        now += 50 * MILLISECOND;
    }
}
