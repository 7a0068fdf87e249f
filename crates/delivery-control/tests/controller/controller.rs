//! Properties of the controller as a whole: determinism, and events about unknown messages and endpoints.

use delivery_control::{AttemptOutcome, Event};

use crate::support::{
    attempt_ended, message_submitted, rejected_with_retry_after, settings, two_destinations,
    ControllerHarness, IDEMPOTENT, IDEMPOTENT_WITH_KEY, MILLISECOND, SECOND,
};

/// Guards against state shared between controllers and against other sources of nondeterminism: the actions
/// must depend only on the settings, the seed, and the events with their times.
#[test]
fn same_events_give_same_actions_beside_another_controller() {
    let run = |with_another: bool| {
        let mut harness = ControllerHarness::new(settings(), two_destinations());
        let mut other = ControllerHarness::new(settings(), two_destinations());
        let mut all_actions = Vec::new();
        for id in 1..40 {
            if with_another {
                other.turn(&[message_submitted(1_000 + id, IDEMPOTENT, 10)]);
            }
            all_actions.extend(harness.turn(&[message_submitted(id, id as usize % 3, 10 + 10 * (id % 2))]));
            let until = harness.now + 100 * MILLISECOND;
            all_actions.extend(harness.advance_to(until).into_iter().map(|(_, action)| action));
        }
        all_actions
    };
    assert_eq!(run(false), run(true));
}

/// Guards against panics and stray actions on events about messages that have ended or were never submitted,
/// and about endpoints that were never listed.
#[test]
fn events_about_unknown_messages_and_endpoints_are_ignored() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    harness.turn(&[message_submitted(1, IDEMPOTENT_WITH_KEY, 10)]);
    harness.turn(&[attempt_ended(1, 0, 1, AttemptOutcome::Delivered)]);
    let probe =
        Event::ProbeEnded { endpoint: 77, outcome: AttemptOutcome::Timeout, elapsed: 0, load_report: None };
    let events = [
        attempt_ended(1, 0, 1, AttemptOutcome::Timeout),
        attempt_ended(9, 3, 77, AttemptOutcome::Error),
        rejected_with_retry_after(9, 0, 77, SECOND),
        Event::MessageWithdrawn { id: 9 },
        Event::ResponseStarted { id: 9, attempt: 0 },
        Event::TimerFired { token: 99 },
        Event::NoteReceived { from: 3, bytes: vec![1] },
        probe,
    ];
    let actions = harness.turn(&events);
    assert!(actions.is_empty(), "{actions:?}");
}
