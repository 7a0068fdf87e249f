//! Messages with an order key: their order, the quarantine of the key, and pending notices.

use delivery_control::{Action, AttemptOutcome, Event, Idempotency, MessageClass, Settings};

use crate::support::{
    attempt_ended, endpoint_entry, message_class, ordered_message_submitted, sends, settings, timed_sends,
    two_destinations, ControllerHarness, MILLISECOND, SECOND, SHARED_LIMIT,
};

/// Guards against messages of an order key that overtake each other. After a timeout, the attempt may still
/// run at its endpoint, so that only its own message may be sent until the quarantine is over.
#[test]
fn messages_of_a_key_keep_their_order_and_the_key_is_quarantined_after_a_timeout() {
    let mut harness = ControllerHarness::new(settings(), vec![endpoint_entry(1, 10, SHARED_LIMIT)]);
    let actions = harness.turn(&[
        ordered_message_submitted(1, 10, "k"),
        ordered_message_submitted(2, 10, "k"),
        ordered_message_submitted(3, 10, "other"),
    ]);
    assert_eq!(sends(&actions), [(1, 1), (3, 1)]);
    harness.advance_to(harness.now + 5 * SECOND);
    harness.turn(&[attempt_ended(1, 0, 1, AttemptOutcome::Timeout)]);
    let later = timed_sends(&harness.advance_to(harness.now + 900 * MILLISECOND));
    assert!(
        later.iter().all(|(_, id, _)| *id == 1),
        "only message 1 may be sent during the quarantine: {later:?}"
    );
}

/// Guards against a message that is sent while the platform still counts the previous message of its order
/// key as open: over the network, the platform learns of a final outcome by a notice, which may be delayed or
/// have to be sent again.
#[test]
fn next_message_of_a_key_waits_until_the_notice_is_acknowledged() {
    let classes = vec![
        message_class(Idempotency::Always),
        message_class(Idempotency::WithKey),
        message_class(Idempotency::Never),
        MessageClass { ordered: true, ..message_class(Idempotency::Never) },
    ];
    for notices_are_acknowledged in [false, true] {
        let settings = Settings { notices_are_acknowledged, classes: classes.clone(), ..settings() };
        let mut harness = ControllerHarness::new(settings, two_destinations());
        harness.turn(&[
            ordered_message_submitted(1, 10, "k"),
            ordered_message_submitted(2, 20, "k"),
            ordered_message_submitted(3, 20, "other"),
        ]);
        // Message 3 of the other key is delivered, so that only the order key can hold back message 2.
        let failed = harness.turn(&[
            attempt_ended(3, 0, 2, AttemptOutcome::Delivered),
            attempt_ended(1, 0, 1, AttemptOutcome::Error),
        ]);
        assert!(failed.contains(&Action::Fail { id: 1 }), "{failed:?}");
        assert_eq!(sends(&failed), if notices_are_acknowledged { vec![] } else { vec![(2, 2)] });
        if notices_are_acknowledged {
            let until = harness.now + 5 * SECOND;
            assert!(timed_sends(&harness.advance_to(until)).iter().all(|(_, id, _)| *id != 2));
            // Neither the end of a message of another key nor an acknowledgement for another message, such as
            // one of a predecessor process, releases message 2.
            harness.turn(&[Event::NoticeAcknowledged { id: 9 }]);
            assert_eq!(sends(&harness.turn(&[Event::NoticeAcknowledged { id: 1 }])), [(2, 2)]);
        }
    }
    // A message that a predecessor process gave up blocks its key too; the next message still ends in time.
    let settings = Settings { notices_are_acknowledged: true, classes, ..settings() };
    let mut harness = ControllerHarness::new(settings, vec![endpoint_entry(1, 10, SHARED_LIMIT)]);
    let pending = Event::NoticePending { id: 1, order_key: "k".to_owned() };
    assert!(
        sends(&harness.turn(&[
            pending,
            ordered_message_submitted(2, 10, "k"),
            ordered_message_submitted(3, 10, "other")
        ])) == [(3, 1)]
    );
    let until = harness.now + 20 * SECOND;
    let ends = harness.advance_to(until);
    assert!(ends.iter().any(|(at, action)| matches!(action, Action::Reject { id: 2, .. }) && *at < until));
}
