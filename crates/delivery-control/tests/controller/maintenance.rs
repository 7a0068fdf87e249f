//! Endpoints that an operator drains and restores.

use delivery_control::{
    AttemptOutcome, EndpointEntry, Event, ListingState, MaintenanceCommand, MessageId, Settings,
};

use crate::support::{
    attempt_ended, endpoint_entry, endpoint_snapshot, maintenance, message_submitted, messages_submitted,
    sends, settings, two_destinations, ControllerHarness, IDEMPOTENT_WITH_KEY, MILLISECOND, SECOND,
    SHARED_LIMIT,
};

/// Guards against calls to an endpoint that an operator drained, whatever discovery lists, and against a
/// repeated drain command that needs more than one restore command.
#[test]
fn manually_drained_endpoint_is_avoided_until_restored_once() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    assert_eq!(harness.controller.avoided_endpoint_count(), 0);
    harness.turn(&[maintenance(MaintenanceCommand::Drain), maintenance(MaintenanceCommand::Drain)]);
    assert!(sends(&harness.turn(&[message_submitted(1, IDEMPOTENT_WITH_KEY, 10)])).is_empty());
    for list in [two_destinations(), vec![endpoint_entry(2, 20, SHARED_LIMIT)], two_destinations()] {
        assert!(sends(&harness.turn(&[endpoint_snapshot(list)])).is_empty());
        harness.advance_to(harness.now + SECOND);
    }
    assert_eq!(harness.controller.avoided_endpoint_count(), 1);
    let mut actions = harness.turn(&[maintenance(MaintenanceCommand::Restore)]);
    let until = harness.now + 12 * SECOND;
    actions.extend(harness.advance_to(until).into_iter().map(|(_, action)| action));
    assert_eq!(sends(&actions), [(1, 1)]);
    assert_eq!(harness.controller.avoided_endpoint_count(), 0);
}

/// Guards against an endpoint that is never used again because an operator restored it while discovery did
/// not list it, and against draining endpoints that are not counted as avoided.
#[test]
fn endpoint_restored_while_unlisted_is_used_once_listed() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    harness.turn(&[
        maintenance(MaintenanceCommand::Drain),
        endpoint_snapshot(vec![endpoint_entry(2, 20, SHARED_LIMIT)]),
    ]);
    harness.turn(&[maintenance(MaintenanceCommand::Restore), message_submitted(1, IDEMPOTENT_WITH_KEY, 10)]);
    assert!(sends(&harness.turn(&[])).is_empty());
    let draining = EndpointEntry { listing: ListingState::Draining, ..endpoint_entry(2, 20, SHARED_LIMIT) };
    harness.turn(&[endpoint_snapshot(vec![endpoint_entry(1, 10, SHARED_LIMIT), draining])]);
    assert_eq!(harness.controller.avoided_endpoint_count(), 1);
    harness.advance_to(harness.now + 12 * SECOND);
    assert_eq!(harness.latest_attempts.get(&1), Some(&0));
}

/// Guards against overload of an endpoint that an operator restores: it was restarted in the meantime and is
/// cold.
#[test]
fn restored_endpoint_starts_slowly() {
    let listed =
        |endpoint| EndpointEntry { rate: 40.0, ..endpoint_entry(endpoint, 10 * endpoint, SHARED_LIMIT) };
    let settings = Settings { rates_are_listed: true, ..settings() };
    let mut harness = ControllerHarness::new(settings, vec![listed(1), listed(2)]);
    let mut sent_in_first_second = |first: MessageId, events: &[Event]| {
        harness.turn(events);
        let messages = messages_submitted(first..first + 50, IDEMPOTENT_WITH_KEY, 10);
        let at_once = sends(&harness.turn(&messages)).len();
        let until = harness.now + SECOND;
        at_once + harness.end_calls(1, AttemptOutcome::Delivered, 5 * MILLISECOND, until).len()
    };
    assert_eq!(sent_in_first_second(1, &[]), 50);
    let cold = sent_in_first_second(
        101,
        &[maintenance(MaintenanceCommand::Drain), maintenance(MaintenanceCommand::Restore)],
    );
    assert!(cold > 0 && cold < 30, "{cold} calls in the first second after the restore");
}

/// Guards against a burst to an endpoint that an operator restored before it can serve: a single call must
/// show whether it can.
#[test]
fn restored_endpoint_is_probed_by_one_call() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    harness.turn(&[maintenance(MaintenanceCommand::Drain), maintenance(MaintenanceCommand::Restore)]);
    assert_eq!(
        harness.controller.avoided_endpoint_count(),
        0,
        "the next message may be sent there as a probe"
    );
    let burst = messages_submitted(1..=10, IDEMPOTENT_WITH_KEY, 10);
    assert_eq!(sends(&harness.turn(&burst)).len(), 1);
    harness.turn(&[attempt_ended(1, 0, 1, AttemptOutcome::ConnectFailed)]);
    assert_eq!(harness.controller.avoided_endpoint_count(), 1);
}
