//! The run-time guard of attempts: a violating and a permitted case of each rule that it checks.

use delivery_control::{
    AmbiguousAttempt, AttemptGuard, AttemptOutcome, AttemptStarting, GuardedMessage, Idempotency,
    IdempotencyScope, Invariant,
};

/// Deadline of each message, in µs.
const DEADLINE: i64 = 20_000_000;
/// Idempotency window of each message, in µs.
const WINDOW: i64 = 5_000_000;

fn message(idempotency: Idempotency) -> GuardedMessage {
    GuardedMessage {
        destination: 7,
        deadline: DEADLINE,
        idempotency,
        idempotency_scope: IdempotencyScope::Zone,
        idempotency_window: WINDOW,
        order_key: None,
        first_ambiguous: None,
    }
}

fn attempt(id: u64, attempt: u32) -> AttemptStarting {
    AttemptStarting { id, attempt, destination: 7, zone: 0 }
}

fn guard(idempotency: Idempotency) -> AttemptGuard {
    let mut guard = AttemptGuard::default();
    guard.open(1, message(idempotency));
    guard
}

/// Guards against two concurrent attempts of a message, an attempt after its end, and an attempt at an
/// endpoint of another destination. The end of a different attempt number must not release the message.
#[test]
fn one_attempt_at_a_time_of_an_open_message_at_its_own_destination() {
    let mut guard = guard(Idempotency::Always);
    let elsewhere = AttemptStarting { destination: 8, ..attempt(1, 0) };
    assert_eq!(guard.start(0, elsewhere), Err(Invariant::OwnDestination));
    assert_eq!(guard.start(0, attempt(1, 0)), Ok(()));
    assert_eq!(
        guard.start(1, attempt(1, 0)),
        Ok(()),
        "the same attempt may be sent again on another connection"
    );
    assert_eq!(guard.start(2, attempt(1, 1)), Err(Invariant::OneAttemptAtATime));
    guard.end_attempt(1, 1, AttemptOutcome::Error);
    assert_eq!(guard.start(2, attempt(1, 1)), Err(Invariant::OneAttemptAtATime));
    guard.end_attempt(1, 0, AttemptOutcome::Error);
    assert_eq!(guard.start(2, attempt(1, 1)), Ok(()));
    assert_eq!(guard.close(3, 1, false), Ok(()));
    assert_eq!(guard.start(4, attempt(1, 2)), Err(Invariant::NoAttemptAfterEnd));
}

/// Guards against a second effect of a message: after an attempt that may have taken effect, a repeat must be
/// harmless, or fall within the window and the zone of the idempotency key.
#[test]
fn ambiguous_attempt_is_repeated_only_where_idempotency_allows_it() {
    for (idempotency, at, zone, expected) in [
        (Idempotency::Always, WINDOW + 1_000_000, 1, Ok(())),
        (Idempotency::Never, 1, 0, Err(Invariant::NoUnsafeRepeat)),
        (Idempotency::WithKey, WINDOW, 0, Ok(())),
        (Idempotency::WithKey, WINDOW + 1_000_000, 0, Err(Invariant::RepeatWithinWindow)),
        (Idempotency::WithKey, 1, 1, Err(Invariant::RepeatWithinWindow)),
    ] {
        let mut guard = guard(idempotency);
        guard.start(0, attempt(1, 0)).unwrap();
        guard.end_attempt(1, 0, AttemptOutcome::Timeout);
        let repeat = AttemptStarting { zone, ..attempt(1, 1) };
        assert_eq!(guard.start(at, repeat), expected, "{idempotency:?}, repeated at {at} µs in zone {zone}");
    }
}

/// Guards against blocking a repeat after attempts that had no effect, and against a repeat that is unsafe
/// because of an attempt of an earlier process, whether that attempt has ended or is still in flight.
#[test]
fn attempts_without_effect_are_repeated_and_attempts_of_an_earlier_process_count() {
    let mut guard = guard(Idempotency::Never);
    for (number, outcome) in
        [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed, AttemptOutcome::NotSent].iter().enumerate()
    {
        guard.start(0, attempt(1, number as u32)).unwrap();
        guard.end_attempt(1, number as u32, *outcome);
    }
    assert_eq!(guard.start(0, attempt(1, 3)), Ok(()));
    let sent = AmbiguousAttempt { sent_at: 0, zone: 0 };
    guard.open(2, GuardedMessage { first_ambiguous: Some(sent), ..message(Idempotency::Never) });
    assert_eq!(guard.start(1, attempt(2, 1)), Err(Invariant::NoUnsafeRepeat));
    guard.open(3, message(Idempotency::Never));
    guard.resume_attempt(3, 0, sent);
    assert_eq!(guard.start(1, attempt(3, 1)), Err(Invariant::OneAttemptAtATime));
    guard.end_attempt(3, 0, AttemptOutcome::Rejected);
    assert_eq!(guard.start(1, attempt(3, 1)), Ok(()));
}

/// Guards against a message that overtakes an earlier message of its order key, or starts before the platform
/// has acknowledged the notice about that earlier message.
#[test]
fn messages_of_a_key_start_in_order_and_wait_for_notices() {
    let mut guard = AttemptGuard::default();
    for id in [4, 5, 6] {
        guard.open(id, GuardedMessage { order_key: Some("card".into()), ..message(Idempotency::Always) });
    }
    assert_eq!(guard.start(0, attempt(5, 0)), Err(Invariant::OrderOfKey));
    assert_eq!(guard.close(0, 4, true), Ok(()));
    assert_eq!(
        guard.start(0, attempt(5, 0)),
        Err(Invariant::OrderOfKey),
        "the notice about message 4 is pending"
    );
    guard.acknowledge_notice(4);
    assert_eq!(guard.start(0, attempt(5, 0)), Ok(()));
    assert_eq!(guard.start(0, attempt(6, 0)), Err(Invariant::OrderOfKey));
    assert_eq!(guard.close(0, 5, false), Ok(()));
    assert_eq!(guard.start(0, attempt(6, 0)), Ok(()));
    guard.await_notice(3, "card".into());
    assert_eq!(guard.start(0, attempt(6, 0)), Err(Invariant::OrderOfKey));
}

/// Guards against an attempt that starts after the deadline, and against a message that ends, or stays open,
/// for longer after its deadline than the platform waits.
#[test]
fn deadlines_bind_attempts_and_ends() {
    let mut guard = guard(Idempotency::Always);
    assert_eq!(guard.start(DEADLINE + 300_000, attempt(1, 0)), Err(Invariant::NoAttemptAfterDeadline));
    assert_eq!(guard.overdue(DEADLINE + 300_000).count(), 0);
    assert_eq!(guard.overdue(DEADLINE + 300_001).collect::<Vec<_>>(), [1]);
    assert_eq!(guard.close(DEADLINE + 300_001, 1, true), Err(Invariant::EndInTime));
    assert_eq!(guard.open_messages().count(), 0);
    assert!(!guard.is_open(1));
}
