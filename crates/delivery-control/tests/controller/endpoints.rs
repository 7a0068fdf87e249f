//! The endpoint list: draining endpoints, endpoints that are listed again, and a subscription that fails.

use delivery_control::{
    Action, Controller, DiscoveryMode, EndpointEntry, Event, ListingState, Settings, UpdateKind,
};

use crate::support::{
    endpoint_entry, message_submitted, rejected_with_retry_after, sends, settings, timed_sends,
    two_destinations, ControllerHarness, IDEMPOTENT, IDEMPOTENT_WITH_KEY, LIMIT_PER_ENDPOINT, MILLISECOND,
    SECOND, SHARED_LIMIT,
};

/// Guards against calls to an endpoint after it was listed as draining, and against messages without an
/// available endpoint that are rejected after their deadline, or long before it.
#[test]
fn draining_takes_effect_at_once_and_unroutable_messages_are_rejected_in_time() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    let draining = EndpointEntry { listing: ListingState::Draining, ..endpoint_entry(1, 10, SHARED_LIMIT) };
    let list = Event::EndpointsUpdated { update: UpdateKind::Delta, version: 2, entries: vec![draining] };
    let actions = harness.turn(&[
        list,
        message_submitted(1, IDEMPOTENT_WITH_KEY, 10),
        message_submitted(2, IDEMPOTENT_WITH_KEY, 99),
    ]);
    assert!(sends(&actions).is_empty());
    let start = harness.now;
    let later = harness.advance_to(start + 21 * SECOND);
    for id in [1, 2] {
        let rejection = later
            .iter()
            .find(|(_, action)| matches!(action, Action::Reject { id: other, .. } if *other == id));
        let (at, _) = rejection.expect("a message without an available endpoint was not rejected");
        assert!(*at > start + 15 * SECOND && *at <= start + 20 * SECOND);
    }
}

/// Guards against an endpoint that is listed again under another destination and still gets messages for the
/// old one, or gets calls before the Retry-After of its earlier rejection is over.
#[test]
fn relisted_endpoint_takes_its_new_destination_and_keeps_its_retry_after() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    harness.turn(&[message_submitted(1, IDEMPOTENT, 10)]);
    harness.turn(&[rejected_with_retry_after(1, 0, 1, 4 * SECOND)]);
    let rejected_at = harness.now;
    let delta =
        |entry| Event::EndpointsUpdated { update: UpdateKind::Delta, version: 2, entries: vec![entry] };
    harness.turn(&[delta(EndpointEntry {
        listing: ListingState::Removed,
        ..endpoint_entry(1, 10, SHARED_LIMIT)
    })]);
    harness.now += SECOND;
    harness.turn(&[
        delta(endpoint_entry(1, 30, LIMIT_PER_ENDPOINT)),
        message_submitted(2, IDEMPOTENT, 30),
        message_submitted(3, IDEMPOTENT, 10),
    ]);
    let later = timed_sends(&harness.advance_to(rejected_at + 8 * SECOND));
    assert!(
        later.iter().all(|(at, id, to)| *at >= rejected_at + 4 * SECOND && (*id, *to) == (2, 1)),
        "{later:?}"
    );
    assert!(!later.is_empty());
}

/// Guards against a sender that gives up on discovery after a failed subscription, or retries at a constant
/// interval while discovery is down.
#[test]
fn failed_subscription_is_retried_with_growing_backoff() {
    let settings = Settings { discovery: DiscoveryMode::Subscribe, ..settings() };
    let mut controller = Controller::new(settings, 1).expect("settings are valid");
    let mut actions = Vec::new();
    let mut now = 10 * SECOND;
    controller.turn(now, &[], &mut actions);
    assert!(actions.contains(&Action::Subscribe { on: true }));
    let mut backoffs = Vec::new();
    for _ in 0..4 {
        let mut actions = Vec::new();
        let failed = Event::EndpointsUpdated { update: UpdateKind::Failed, version: 0, entries: Vec::new() };
        controller.turn(now, &[failed], &mut actions);
        let start = now;
        while !actions.contains(&Action::Subscribe { on: true }) {
            now += 50 * MILLISECOND;
            controller.turn(now, &[Event::TimerFired { token: 0 }], &mut actions);
        }
        backoffs.push(now - start);
    }
    assert!(backoffs.windows(2).all(|pair| pair[1] > pair[0]), "the backoff must grow: {backoffs:?}");
}
