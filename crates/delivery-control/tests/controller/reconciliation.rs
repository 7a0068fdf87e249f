//! Attempts in flight at a handover, compared with the calls that the predecessor carries.

use delivery_control::{AttemptId, AttemptOutcome, AttemptReconciliation, Limits, Settings};

use crate::support::{
    attempt_ended, message_submitted, sends, settings, two_destinations, ControllerHarness,
    IDEMPOTENT_WITH_KEY, SECOND,
};

fn attempt(message_id: u64, attempt: u32) -> AttemptId {
    AttemptId { message_id, attempt }
}

/// A controller with one permit, whose only message has its second attempt in flight.
fn with_second_attempt() -> ControllerHarness {
    let limits = Limits { max_in_flight: 1, ..settings().limits };
    let mut harness = ControllerHarness::new(Settings { limits, ..settings() }, two_destinations());
    harness.turn(&[message_submitted(1, IDEMPOTENT_WITH_KEY, 10)]);
    let (_, endpoint) = harness.in_flight[&1];
    harness.turn(&[attempt_ended(1, 0, endpoint, AttemptOutcome::ConnectFailed)]);
    harness.advance_to(harness.now + 2 * SECOND);
    assert_eq!(harness.controller.attempts_in_flight().collect::<Vec<_>>(), [attempt(1, 1)]);
    harness
}

/// Guards against an end that is dropped because the call carries another number than the attempt: its permit
/// would be held for ever.
#[test]
fn a_call_under_another_number_ends_the_attempt() {
    let mut harness = with_second_attempt();
    let reconciled = harness.controller.reconcile_attempts(&[attempt(1, 0)]);
    assert_eq!(reconciled, AttemptReconciliation::default());
    assert!(
        harness.controller.is_in_flight(attempt(1, 0)) && !harness.controller.is_in_flight(attempt(1, 1))
    );
    let (_, endpoint) = harness.in_flight[&1];
    let actions = harness.turn(&[
        attempt_ended(1, 0, endpoint, AttemptOutcome::Delivered),
        message_submitted(2, IDEMPOTENT_WITH_KEY, 20),
    ]);
    assert_eq!(sends(&actions).len(), 1, "the permit is free again: {actions:?}");
    assert_eq!(harness.controller.messages().collect::<Vec<_>>(), [2]);
}

/// Guards against an attempt that stays in flight because no call carries it, and against ending one that a call
/// carries.
#[test]
fn attempts_without_a_call_are_lost() {
    let mut harness = with_second_attempt();
    assert_eq!(
        harness.controller.reconcile_attempts(&[attempt(1, 1)]),
        AttemptReconciliation::default(),
        "the call carries the attempt"
    );
    let lost = AttemptReconciliation { lost: vec![attempt(1, 1)], ending: Vec::new() };
    assert_eq!(harness.controller.reconcile_attempts(&[]), lost);
}

/// Guards against a message that is kept and never sent again, because its final end fits no attempt.
#[test]
fn a_final_end_without_an_attempt_ends_its_message() {
    let mut harness = with_second_attempt();
    let (_, endpoint) = harness.in_flight[&1];
    harness.turn(&[attempt_ended(1, 7, endpoint, AttemptOutcome::Error)]);
    assert_eq!(harness.controller.messages().collect::<Vec<_>>(), [1], "the end is not final");
    harness.turn(&[attempt_ended(1, 7, endpoint, AttemptOutcome::Delivered)]);
    assert_eq!(harness.controller.messages().count(), 0);
}
