//! The order in which waiting messages are sent.

use delivery_control::{
    AttemptOutcome, Event, Limits, MessageClass, MessageSubmission, Micros, Settings, ValueDecay,
};

use crate::support::{
    attempt_ended, message_recovered, message_submission, message_submitted, ordered_message_submitted,
    sends, settings, two_destinations, ControllerHarness, IDEMPOTENT, IDEMPOTENT_WITH_KEY, SECOND,
};

/// Guards against the loss of all messages of an order key: its head is late and has little value left, so
/// that other messages are sent first, and those behind it miss their deadlines with it.
#[test]
fn head_of_an_order_key_precedes_messages_that_block_no_other() {
    let limits = Limits { max_in_flight: 1, ..settings().limits };
    let mut harness = ControllerHarness::new(Settings { limits, ..settings() }, two_destinations());
    // Message 1 takes the only permit, so that the others wait.
    harness.turn(&[message_submitted(1, IDEMPOTENT, 20)]);
    harness.turn(&[
        message_submitted(2, IDEMPOTENT, 10),
        ordered_message_submitted(3, 10, "k"),
        ordered_message_submitted(4, 10, "k"),
        ordered_message_submitted(5, 20, "k"),
    ]);
    // Past the latency objective, messages lose value while they wait.
    harness.now += 3 * SECOND;
    let freed = harness.turn(&[attempt_ended(1, 0, 2, AttemptOutcome::Delivered)]);
    assert_eq!(sends(&freed), [(3, 1)]);
    let next = harness.turn(&[attempt_ended(3, 0, 1, AttemptOutcome::Delivered)]);
    assert_eq!(sends(&next), [(4, 1)], "message 4 is now the head of the key and blocks message 5");
}

/// Guards against messages that have waited through a restart and then wait until their deadline, because
/// newer messages have more value to lose.
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
        // The old message is long past its objective and loses no more value by waiting; the new one has just
        // reached its objective and begins to lose value.
        let old = submitted(1, 5 * SECOND);
        let new = submitted(2, deadline - latency_objective);
        let recovered = message_recovered(1, attempts, None);
        sends(&ControllerHarness::new(settings, two_destinations()).turn(&[old, recovered, new]))[0].0
    };
    assert_eq!(first_sent(0), 1);
    // A recovered message that was attempted before has no precedence.
    assert_eq!(first_sent(1), 2);
}
