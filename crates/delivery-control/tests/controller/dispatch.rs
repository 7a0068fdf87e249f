//! Which of the waiting messages goes next.

use delivery_control::{
    AttemptOutcome, Event, Limits, MessageClass, MessageSubmission, Micros, Settings, ValueDecay,
};

use crate::support::{
    attempt_ended, message_recovered, message_submission, message_submitted, ordered_message_submitted,
    sends, settings, two_destinations, ControllerHarness, IDEMPOTENT, IDEMPOTENT_WITH_KEY, SECOND,
};

/// Guards against an order key whose head is late and so of little value: all messages behind it are lost
/// with it.
#[test]
fn head_of_an_order_key_precedes_messages_that_block_no_other() {
    let limits = Limits { max_in_flight: 1, ..settings().limits };
    let mut harness = ControllerHarness::new(Settings { limits, ..settings() }, two_destinations());
    // The concurrency limit is reached while all are submitted.
    harness.turn(&[message_submitted(1, IDEMPOTENT, 20)]);
    harness.turn(&[
        message_submitted(2, IDEMPOTENT, 10),
        ordered_message_submitted(3, 10, "k"),
        ordered_message_submitted(4, 10, "k"),
        ordered_message_submitted(5, 20, "k"),
    ]);
    // Past the latency objective, where waiting costs value.
    harness.now += 3 * SECOND;
    let freed = harness.turn(&[attempt_ended(1, 0, 2, AttemptOutcome::Delivered)]);
    assert_eq!(sends(&freed), [(3, 1)]);
    let next = harness.turn(&[attempt_ended(3, 0, 1, AttemptOutcome::Delivered)]);
    assert_eq!(sends(&next), [(4, 1)], "two messages of the key are left");
}

/// Guards against messages that wait through a restart and then, of less value than newer ones, until their
/// deadline.
#[test]
fn recovered_unattempted_messages_precede_newer_ones() {
    let submitted = |id, time_left: Micros| {
        let submission = message_submission(id, IDEMPOTENT_WITH_KEY, 10);
        Event::MessageSubmitted(MessageSubmission { time_left, ..submission })
    };
    let first_sent = |attempts| {
        let limits = Limits { max_in_flight: 1, ..settings().limits };
        let settings = Settings { limits, decay: ValueDecay::Exponential, ..settings() };
        let MessageClass { latency_objective, deadline, .. } = settings.classes[IDEMPOTENT_WITH_KEY].clone();
        // Long past its objective, the old one loses no value by waiting; the new one loses more each moment.
        let old = submitted(1, 5 * SECOND);
        let new = submitted(2, deadline - latency_objective);
        let recovered = message_recovered(1, attempts, None);
        sends(&ControllerHarness::new(settings, two_destinations()).turn(&[old, recovered, new]))[0].0
    };
    assert_eq!(first_sent(0), 1);
    // Attempted before, it is treated like any other.
    assert_eq!(first_sent(1), 2);
}
