//! Tests the checks of drains against made-up records, in which the calls of a sender around a kill are known.

use std::time::Duration;

use fault_soak::history::{
    EndpointCall, Message, OperatorCommand, ProcessEvent, Records, Reply, SubmitResult,
};
use fault_soak::oracle::Oracle;
use fault_soak::planted::PlantedDefect;
use fault_soak::settings::Class;
use tokio::time::Instant;

/// Endpoint that is called a few times, all of them before the kill.
const CALLED_BEFORE_KILL: usize = 0;
/// Endpoint that is called most over the whole run, but only after the kill.
const CALLED_AFTER_KILL: usize = 1;

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// Adds a message that is delivered by one call to this endpoint.
fn add_delivered(records: &mut Records, endpoint: usize, at: Instant) {
    let id = format!("m{}", records.calls.len());
    let message = Message {
        sender: 0,
        class: Class::Pure,
        destination: 1,
        order: None,
        submitted_at: at,
        budget: Duration::from_secs(5),
        result: Some((SubmitResult::Accepted, at)),
        is_replayed: false,
    };
    records.messages.insert(id.clone(), message);
    records.calls.push(EndpointCall {
        idempotency_key: format!("key-of-{id}"),
        call_id: id,
        endpoint,
        destination: 1,
        first_byte_at: at,
        arrived_at: at,
        reply: Some((Reply::Delivered, at)),
        closed_at: None,
    });
}

/// Guards against a planted drain that falls on an endpoint whose calls the oracle does not judge, because all
/// of them come after a kill: such a run says nothing about the check of drains.
#[test]
fn planted_drain_falls_on_an_endpoint_with_judged_calls() {
    let start = Instant::now();
    let mut records = Records::default();
    records.process_events.push((0, ProcessEvent::Ready, after(start, 10)));
    for millis in [100, 1_400, 1_500] {
        add_delivered(&mut records, CALLED_BEFORE_KILL, after(start, millis));
    }
    records.process_events.push((0, ProcessEvent::Ending, after(start, 2_000)));
    for millis in 2_001..2_050 {
        add_delivered(&mut records, CALLED_AFTER_KILL, after(start, millis));
    }
    PlantedDefect::UnheededDrain.apply(&mut records);
    let violations = Oracle::new(&records, start).find_violations();
    let drained: Vec<&str> = violations.iter().map(|violation| violation.rule).collect();
    assert_eq!(drained, ["drain", "drain"]);
}

/// Guards against a check of operators' drains that misses calls after a restart, or that reports calls before the
/// drain, within its grace, or after the endpoint was restored.
#[test]
fn calls_to_an_endpoint_that_an_operator_has_drained_are_noticed() {
    let start = Instant::now();
    let mut records = Records::default();
    records.process_events.push((0, ProcessEvent::Ready, after(start, 10)));
    let command = |endpoint, is_drained, millis| OperatorCommand {
        sender: 0,
        endpoint,
        is_drained,
        at: after(start, millis),
    };
    records.operator_commands =
        vec![command(0, true, 1_000), command(1, true, 1_000), command(1, false, 1_500)];
    add_delivered(&mut records, 0, after(start, 900));
    add_delivered(&mut records, 0, after(start, 1_300));
    add_delivered(&mut records, 1, after(start, 2_500));
    records.process_events.push((0, ProcessEvent::Ending, after(start, 3_000)));
    records.process_events.push((0, ProcessEvent::Ready, after(start, 4_000)));
    add_delivered(&mut records, 0, after(start, 4_500));
    let violations = Oracle::new(&records, start).find_violations();
    let rules: Vec<&str> = violations.iter().map(|violation| violation.rule).collect();
    assert_eq!(rules, ["operator's drain"], "{violations:?}");
}
