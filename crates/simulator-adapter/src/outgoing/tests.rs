//! Tests of the lines that are written to the simulator.

use delivery_control::{Action, BacklogReport, EndpointHealth};

use super::{append_action, append_panic, append_reply_end};

/// The line for an action of instance 5.
fn line(action: Action) -> String {
    let mut reply = String::new();
    append_action(&mut reply, 5, action);
    reply
}

/// Guards against an action whose event type, field names or units differ from what the simulator reads. The
/// lines are compared as text.
#[test]
fn every_action_has_its_line() {
    let cases = [
        (
            Action::Send { id: 1, attempt: 0, endpoint: 2, timeout: 3_456, start_deadline: 9 },
            r#"{"event_type":"try","i":5,"req":1,"endpoint":2,"withinMs":3.456}"#,
        ),
        (Action::Cancel { id: 1, attempt: 2 }, r#"{"event_type":"retract","i":5,"req":1,"attempt":2}"#),
        (
            Action::Reject { id: 1, retry_after: 2_345 },
            r#"{"event_type":"bounce","i":5,"req":1,"backoffMs":2.345}"#,
        ),
        (Action::Fail { id: 1 }, r#"{"event_type":"reportFailure","i":5,"req":1}"#),
        (
            Action::SetTimer { at: 1_234_567, token: 8 },
            r#"{"event_type":"timer","i":5,"fireAtMs":1234.567,"ctx":8}"#,
        ),
        (Action::Probe { endpoint: 1 }, r#"{"event_type":"soundOut","i":5,"endpoint":1}"#),
        (Action::CloseIdle { endpoint: 2 }, r#"{"event_type":"shutIdle","i":5,"endpoint":2}"#),
        (
            Action::SendNote { to: None, bytes: vec![1, 2] },
            r#"{"event_type":"tell","i":5,"target":-1,"blob":"AQI="}"#,
        ),
        (
            Action::SendNote { to: Some(4), bytes: vec![1, 2] },
            r#"{"event_type":"tell","i":5,"target":4,"blob":"AQI="}"#,
        ),
        (Action::Subscribe { on: true }, r#"{"event_type":"follow","i":5,"on":true}"#),
        (Action::FetchList, r#"{"event_type":"readList","i":5}"#),
        (
            Action::ReportBacklog(backlog_report()),
            "{\"event_type\":\"writeLog\",\"i\":5,\"reasonText\":\"latency objective missed: destination 7, 4 waiting, \
             1 in backoff, 2 behind others of their order key; endpoint 9, 3 in flight, rate Some(1.5), 6 sent in \
             1 s, listed rate limit None, Retry-After 8 us, Ejected\"}",
        ),
    ];
    for (action, expected) in cases {
        assert_eq!(line(action), format!("{expected}\n"));
    }
}

/// Guards against losing the message of a panic: the payload is a `&str`, a `String` or another type,
/// depending on how the panic was raised.
#[test]
fn a_panic_is_reported_with_its_message() {
    let payloads: [(Box<dyn std::any::Any + Send>, &str); 3] = [
        (Box::new("plain"), "plain"),
        (Box::new("formatted".to_owned()), "formatted"),
        (Box::new(7_u8), "panic without text"),
    ];
    for (payload, text) in payloads {
        let mut reply = String::new();
        append_panic(&mut reply, 5, payload.as_ref());
        assert_eq!(reply, format!("{{\"event_type\":\"panic\",\"i\":5,\"reasonText\":\"{text}\"}}\n"));
    }
}

/// Guards against a reply whose last line does not give the number of the batch.
#[test]
fn a_reply_ends_with_the_number_of_its_batch() {
    let mut reply = String::new();
    append_reply_end(&mut reply, 6);
    assert_eq!(reply, "{\"event_type\":\"ready\",\"round\":6}\n");
}

fn backlog_report() -> BacklogReport {
    BacklogReport {
        destination: 7,
        waiting: 4,
        in_backoff: 1,
        behind_others: 2,
        endpoint: 9,
        in_flight: 3,
        rate: Some(1.5),
        sent_last_second: 6.0,
        listed_rate_limit: None,
        retry_after: 8,
        health: EndpointHealth::Ejected,
    }
}
