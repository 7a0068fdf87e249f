//! Admission of messages to the buffer, and load shedding when it is nearly full.

use delivery_control::{Action, AttemptOutcome};

use crate::support::{
    attempt_ended, messages_submitted, settings, two_destinations, ControllerHarness, IDEMPOTENT,
    IDEMPOTENT_WITH_KEY, SECOND,
};

/// Guards against messages for a healthy destination that are rejected because the backlog of an unreachable
/// one fills the buffer.
#[test]
fn full_buffer_sheds_messages_for_the_unreachable_destination() {
    let mut harness = ControllerHarness::new(settings(), two_destinations());
    let burst = messages_submitted(1..=3, IDEMPOTENT, 10);
    harness.turn(&burst);
    let failures: Vec<_> = (1..=3).map(|id| attempt_ended(id, 0, 1, AttemptOutcome::ConnectFailed)).collect();
    harness.turn(&failures);
    harness.advance_to(harness.now + 4 * SECOND);
    let healthy = messages_submitted(100..=120, IDEMPOTENT_WITH_KEY, 20);
    harness.turn(&healthy);
    let more = messages_submitted(4..=45, IDEMPOTENT_WITH_KEY, 10);
    let rejected: Vec<_> = harness
        .turn(&more)
        .into_iter()
        .filter_map(|action| if let Action::Reject { id, .. } = action { Some(id) } else { None })
        .collect();
    assert!(!rejected.is_empty());
    assert!(rejected.iter().all(|id| *id < 100), "{rejected:?}");
}
