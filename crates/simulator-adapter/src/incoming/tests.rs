//! Tests of the conversion of the simulator's lines to events.

use delivery_control::{AttemptEnd, AttemptOutcome, Event, LoadReport, MessageSubmission};
use deployment_config::{Config, Names};

use super::{EventError, IncomingLine};

fn names() -> Names {
    let config = serde_json::json!({
        "balancers": 1, "ordinal": 0,
        "categories": [{"name": "order", "effect": "pure", "aimMs": 1, "deadlineMs": 2, "worth": 3}],
        "familyInfo": {"maxCalls": 1}, "membershipMode": "automatic", "resolutionMs": 5,
        "orgs": [{"name": "acme", "allowancePerS": 1.0}],
        "limits": {"mostHeld": 1, "sendCap": 1}, "rules": {},
    });
    let config: Config = serde_json::from_value(config).expect("a configuration");
    config.names()
}

/// Decodes a line that concerns one instance, and converts it to an event.
fn event(line: &str) -> Result<Event, EventError> {
    match serde_json::from_str(line).expect("a line") {
        IncomingLine::Message(line) => line.into_event(&names()),
        IncomingLine::ResponseStarted(line) => Ok(line.into_event()),
        IncomingLine::AttemptEnded(line) => Ok(line.into_event()),
        IncomingLine::Withdrawn(line) => Ok(line.into_event()),
        IncomingLine::TimerFired(line) => Ok(line.into_event()),
        IncomingLine::ProbeEnded(line) => Ok(line.into_event()),
        IncomingLine::Note(line) => line.into_event(),
        _ => panic!("not an event of one instance: {line}"),
    }
}

/// A line that submits a message with every field; `project` is JSON.
fn message(project: &str, service: &str) -> String {
    format!(
        r#"{{"event_type":"jobIn","i":1,"req":2,"service":"{service}","resent":true,"mutates":true,"farEnd":3,
        "returned":true,"project":{project},"timeLeftMs":4.5,"costGuessMs":5.5,"entity":"e"}}"#
    )
}

/// Guards against a field of a message that is ignored, assigned to the wrong field or left in milliseconds,
/// and against tenant 0 being taken for a tenant.
#[test]
fn a_message_is_submitted() {
    let submission = |tenant| {
        Event::MessageSubmitted(MessageSubmission {
            id: 2,
            class: 0,
            tenant,
            destination: 3,
            time_left: 4_500,
            work: Some(5_500),
            order_key: Some("e".to_owned()),
            returned: true,
            repeat: true,
            write: true,
        })
    };
    assert_eq!(event(&message("\"acme\"", "order")).expect("an event"), submission(Some(0)));
    assert_eq!(event(&message("0", "order")).expect("an event"), submission(None));
}

/// Guards against accepting a class or tenant that the settings do not list, or not naming it in the error.
#[test]
fn unknown_classes_and_tenants_are_named_in_the_error() {
    let cases = [
        (message("0", "parcel"), "unknown class \"parcel\""),
        (message("\"nobody\"", "order"), "unknown tenant \"nobody\""),
        (message("4", "order"), "unknown tenant 4"),
    ];
    for (line, text) in cases {
        assert_eq!(event(&line).expect_err(text).to_string(), text);
    }
}

/// Guards against a Retry-After being taken from the line of an attempt that was not rejected, and against
/// other fields of the line being ignored or assigned to the wrong field.
#[test]
fn the_end_of_an_attempt_has_a_retry_after_only_if_it_was_rejected() {
    let line = |code: &str| {
        format!(
            r#"{{"event_type":"completed","i":1,"req":2,"endpoint":3,"attempt":4,"last":true,"elapsedMs":5.5,
            "code":"{code}","holdMs":6.5,"telemetry":{{"x0":0.5}}}}"#
        )
    };
    let ended = |outcome, retry_after| {
        Event::AttemptEnded(AttemptEnd {
            id: 2,
            attempt: 4,
            endpoint: 3,
            outcome,
            elapsed: 5_500,
            was_started: true,
            is_final: true,
            retry_after,
            load_report: Some(LoadReport { limit_remaining: Some(0.5), ..LoadReport::default() }),
        })
    };
    let rejected = event(&line("F")).expect("an event");
    assert_eq!(rejected, ended(AttemptOutcome::Rejected, 6_500));
    let delivered = event(&line("S")).expect("an event");
    assert_eq!(delivered, ended(AttemptOutcome::Delivered, 0));
}

/// Guards against an outcome code that is unknown or mapped to the wrong outcome.
#[test]
fn every_code_stands_for_an_outcome() {
    let cases = [
        ("S", AttemptOutcome::Delivered),
        ("E", AttemptOutcome::Error),
        ("F", AttemptOutcome::Rejected),
        ("T", AttemptOutcome::Timeout),
        ("C", AttemptOutcome::ConnectFailed),
        ("R", AttemptOutcome::Reset),
        ("X", AttemptOutcome::Cancelled),
        ("N", AttemptOutcome::NotSent),
    ];
    for (code, outcome) in cases {
        let line = format!(r#"{{"event_type":"statusBack","i":1,"code":"{code}","endpoint":2}}"#);
        let ended = Event::ProbeEnded { endpoint: 2, outcome, elapsed: 0, load_report: None };
        assert_eq!(event(&line).expect("an event"), ended);
    }
}

/// Guards against the remaining types of lines being mapped to the wrong event or field, and against a note
/// that is not base64 being accepted.
#[test]
fn response_starts_withdrawals_timers_and_notes_become_events() {
    let note = Event::NoteReceived { from: 2, bytes: b"hello".to_vec() };
    let cases = [
        (
            r#"{"event_type":"ackFirst","i":1,"req":2,"attempt":3}"#,
            Event::ResponseStarted { id: 2, attempt: 3 },
        ),
        (r#"{"event_type":"abandoned","i":1,"req":2}"#, Event::MessageWithdrawn { id: 2 }),
        (r#"{"event_type":"elapsed","i":1,"ctx":2}"#, Event::TimerFired { token: 2 }),
        (r#"{"event_type":"whisper","i":1,"srcPeer":2,"blob":"aGVsbG8="}"#, note),
    ];
    for (line, expected) in cases {
        assert_eq!(event(line).expect("an event"), expected);
    }
    let error = event(r#"{"event_type":"whisper","i":1,"srcPeer":2,"blob":"?"}"#).expect_err("no base64");
    assert!(error.to_string().starts_with("field `blob`: "), "{error}");
}
