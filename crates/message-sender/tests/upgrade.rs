//! Upgrades: a successor process takes over from its predecessor, and either may die or stall at each step.

mod support;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use support::client::{submission, ACCEPTED};
use support::configuration::{Idempotency, SenderOptions};
use support::endpoint::{Reply, OK};
use support::environment::Environment;
use support::handover::ScriptedSuccessor;
use support::http::read_message;
use support::load_client::{ClientReport, LoadClient};
use support::sender_process::Signal;
use support::TIMEOUT;

/// Guards against a pause, a refused connection, a lost message or a message that both processes send, in
/// several consecutive upgrades under load.
#[test]
fn new_versions_take_over_under_load() {
    /// Number of clients that submit messages at the same time.
    const CLIENTS: usize = 4;
    let options = SenderOptions { buffer_capacity: 500, ..SenderOptions::default() };
    let environment = Environment::with_options(vec![OK], options);
    let mut sender = environment.start_sender();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let client = LoadClient::new(sender.address, number);
        let is_over = is_over.clone();
        clients.push(thread::spawn(move || client.run(&is_over)));
    }
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(500));
        let successor = environment.start_sender();
        assert_eq!(successor.management_status("GET", "/status", ""), 200);
        sender.signal(Signal::Terminate);
        assert!(sender.wait().success());
        sender = successor;
    }
    thread::sleep(Duration::from_millis(300));
    is_over.store(true, Ordering::Relaxed);
    let mut total = ClientReport::default();
    for client in clients {
        total.add(&client.join().expect("the client thread panicked"));
    }
    assert!(total.accepted > 100, "only {} messages were accepted, which is too little load", total.accepted);
    assert!(
        total.interrupted <= 6,
        "{} requests met a closed connection in three upgrades",
        total.interrupted
    );
    assert!(
        total.connections <= 4 * 4 + total.interrupted,
        "four clients opened {} connections",
        total.connections
    );
    sender.await_metric("in_progress", 0);
    let mut calls = BTreeMap::new();
    for call in environment.endpoint.calls.try_iter() {
        *calls.entry(call.message_id().to_owned()).or_insert(0) += 1;
    }
    assert!(calls.values().all(|count| *count == 1), "a message was sent twice: {calls:?}");
    assert_eq!(calls.len(), total.accepted as usize);
    assert!(environment.discovery.notices.try_recv().is_err());
}

/// Guards against an upgrade that cuts off a call, and against a message that overtakes another one about its
/// subject which the predecessor still has in flight.
#[test]
fn call_of_the_predecessor_is_completed_and_keeps_its_place_in_order() {
    let environment = Environment::with_options(
        vec![Reply::Delayed(Duration::from_millis(2_000)), OK],
        SenderOptions { is_ordered: true, ..SenderOptions::default() },
    );
    let mut predecessor = environment.start_sender();
    assert_eq!(predecessor.submit_about("card", "m1"), ACCEPTED);
    let first = environment.endpoint.next_call();
    let successor = environment.start_sender();
    predecessor.signal(Signal::Terminate);
    assert_eq!(successor.metric("in_progress"), 1);
    assert_eq!(successor.submit_about("card", "m2"), ACCEPTED);
    assert_eq!(successor.submit_about("other", "m3"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "m3");
    let second = environment.endpoint.next_call();
    assert_eq!(second.message_id(), "m2");
    assert!(
        second.received_at - first.received_at >= Duration::from_secs(2),
        "{:?}",
        second.received_at - first.received_at
    );
    successor.await_metric("passed.notice", 3);
    assert!(predecessor.wait().success());
    assert!(environment.endpoint.has_no_call() && environment.discovery.notices.try_recv().is_err());
}

/// Guards against an upgrade that ends a Retry-After early or restores endpoints in maintenance.
#[test]
fn retry_after_and_maintenance_survive_an_upgrade() {
    let environment = Environment::new(vec![Reply::Answer("429 Busy\r\nX-Come-Back-Ms: 2500\r\n"), OK]);
    let predecessor = environment.start_sender();
    assert_eq!(predecessor.submit("m1", 20_000, "x"), ACCEPTED);
    let rejected = environment.endpoint.next_call();
    let successor = environment.start_sender();
    assert_eq!(successor.submit("m2", 20_000, "x"), ACCEPTED);
    assert!(
        environment.endpoint.next_call().received_at - rejected.received_at >= Duration::from_millis(2_500)
    );
    environment.endpoint.next_call();
    successor.await_metric("in_progress", 0);
    assert_eq!(successor.management_status("POST", "/maintenance/enter", "s-1"), 200);
    let second_successor = environment.start_sender();
    second_successor.await_metric("skipped_endpoints", 1);
    assert_eq!(second_successor.submit("m3", 20_000, "x"), ACCEPTED);
    thread::sleep(Duration::from_millis(500));
    assert!(environment.endpoint.has_no_call());
    assert_eq!(second_successor.management_status("POST", "/maintenance/exit", "s-1"), 200);
    assert_eq!(environment.endpoint.next_call().message_id(), "m3");
}

/// Guards against losing a request because the process that has read part of it hands over.
#[test]
fn request_partially_read_by_the_predecessor_is_answered() {
    let environment = Environment::new(vec![OK]);
    let mut predecessor = environment.start_sender();
    let text = submission("m1", 20_000, "a body");
    let (first_part, second_part) = text.as_bytes().split_at(60);
    let mut connection = predecessor.connect();
    connection.write_all(first_part).unwrap();
    // Time for the predecessor to read the first part, so that the connection does not count as idle.
    thread::sleep(Duration::from_millis(200));
    let successor = environment.start_sender();
    assert_eq!(predecessor.management_status("GET", "/status", ""), 503);
    connection.write_all(second_part).unwrap();
    let answer = read_message(&mut BufReader::new(connection)).expect("the sender did not answer");
    assert_eq!(answer.start_line, ACCEPTED);
    successor.await_metric("passed.notice", 1);
    assert!(predecessor.wait().success());
}

/// Guards against a predecessor that stops serving or stalls because a successor dies or stalls before the
/// commit.
#[test]
fn predecessor_continues_when_the_successor_dies_or_stalls_before_the_commit() {
    let environment = Environment::new(vec![OK]);
    let predecessor = environment.start_sender();
    let state = &environment.state.path;
    drop(ScriptedSuccessor::connect(state));
    drop(ScriptedSuccessor::request_handover(state));
    let mut dying = ScriptedSuccessor::request_handover(state);
    dying.read_offer();
    drop(dying);
    let mut stalling = ScriptedSuccessor::request_handover(state);
    stalling.read_offer();
    let start = Instant::now();
    for id in ["m1", "m2"] {
        assert_eq!(predecessor.submit(id, 20_000, "x"), ACCEPTED);
        assert_eq!(environment.endpoint.next_call().message_id(), id);
    }
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
    // A successor that has been abandoned must not take over later: it gets no commit.
    stalling.assert_abandoned();
    assert_eq!(predecessor.management_status("GET", "/status", ""), 200);
}

/// Guards against messages that neither process sends because the successor dies right after the commit.
#[test]
fn predecessor_resumes_when_the_successor_dies_after_the_commit() {
    let environment = Environment::new(vec![Reply::NoAnswer, OK]);
    let predecessor = environment.start_sender();
    assert_eq!(predecessor.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    let mut successor = ScriptedSuccessor::request_handover(&environment.state.path);
    successor.read_offer();
    successor.confirm_prepared();
    predecessor.await_log(&["handed over"]);
    drop(successor);
    let retry = environment.endpoint.next_call();
    assert_eq!(retry.message_id(), "m1");
    assert_eq!(retry.headers["idempotency-key"], "key-of-m1");
    assert_eq!(
        environment.endpoint.closed_connections.recv_timeout(TIMEOUT).unwrap(),
        "m1",
        "the first call was not cancelled"
    );
    predecessor.await_log(&["ready"]);
    assert_eq!(predecessor.management_status("GET", "/status", ""), 200);
    assert_eq!(predecessor.submit("m2", 20_000, "x"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "m2");
    // The predecessor can still hand over to another successor.
    let successor = environment.start_sender();
    assert_eq!(successor.submit("m3", 20_000, "x"), ACCEPTED);
}

/// Guards against a successor that becomes active while a stalled predecessor still is, and against one that
/// keeps waiting for a predecessor that has died.
#[test]
fn successor_waits_for_a_stalled_predecessor_and_takes_over_from_a_dead_one() {
    let environment = Environment::new(vec![Reply::NoAnswer, OK]);
    let predecessor = environment.start_sender();
    assert_eq!(predecessor.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    predecessor.suspend();
    let mut successor = environment.launch_sender(&environment.options);
    successor.await_log(&["no handover yet"]);
    assert_eq!(successor.management_status("GET", "/status", ""), 503);
    assert_eq!(successor.management_status("POST", "/maintenance/enter", "s-1"), 503);
    assert!(environment.endpoint.has_no_call());
    predecessor.kill();
    successor.await_ready();
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
    assert_eq!(successor.management_status("GET", "/status", ""), 200);
}

/// Guards against calls whose outcome is never learned because the predecessor is killed after the handover
/// with a call still in flight.
#[test]
fn calls_in_flight_at_the_death_of_the_predecessor_are_reset() {
    for (idempotency, is_retried) in [(Idempotency::WithKey, true), (Idempotency::Never, false)] {
        let environment = Environment::with_options(
            vec![Reply::NoAnswer, OK],
            SenderOptions { idempotency, ..SenderOptions::default() },
        );
        let predecessor = environment.start_sender();
        assert_eq!(predecessor.submit("m1", 20_000, "x"), ACCEPTED);
        environment.endpoint.next_call();
        let _successor = environment.start_sender();
        thread::sleep(Duration::from_millis(500));
        assert!(environment.endpoint.has_no_call());
        predecessor.kill();
        if is_retried {
            assert_eq!(environment.endpoint.next_call().message_id(), "m1");
        } else {
            assert_eq!(environment.discovery.next_notice()["result"], "dead");
            assert!(environment.endpoint.has_no_call());
        }
    }
}

/// Guards against a successor that misreads the state of a predecessor with other names in its configuration:
/// it must use the journal alone, once the predecessor has drained.
#[test]
fn incompatible_version_restores_from_the_journal_alone() {
    let environment = Environment::new(vec![Reply::NoAnswer, OK]);
    let mut predecessor = environment.start_sender();
    assert_eq!(predecessor.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    let mut idle = BufReader::new(predecessor.connect());
    idle.get_mut().write_all(b"GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n").unwrap();
    assert!(read_message(&mut idle).unwrap().start_line.contains(" 200 "));
    let mut successor =
        environment.launch_sender(&SenderOptions { tenant: "other", ..SenderOptions::default() });
    predecessor.await_log(&["draining for a successor that reads only the journal"]);
    assert_eq!(predecessor.management_status("GET", "/status", ""), 503);
    assert!(read_message(&mut idle).is_none(), "the idle client connection was not closed");
    assert!(predecessor.wait().success());
    successor.await_ready();
    assert_eq!(successor.address, predecessor.address);
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
}

/// Guards against repeating a message that an endpoint has confirmed: the predecessor relays the delivery to its
/// successor, which dies before it has recorded it.
#[test]
fn delivery_that_a_dying_successor_has_not_recorded_is_not_repeated() {
    let environment = Environment::new(vec![Reply::Delayed(Duration::from_millis(800)), OK]);
    let predecessor = environment.start_sender();
    assert_eq!(predecessor.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    // A request that is still being received keeps the predecessor alive.
    let mut client = predecessor.connect();
    client.write_all(b"POST /notice HTTP/1.1\r\n").unwrap();
    thread::sleep(Duration::from_millis(100));
    let successor = environment.start_sender();
    // It does not read the end of the call, which the predecessor relays 0.8 s after the call.
    successor.suspend();
    thread::sleep(Duration::from_millis(1_200));
    successor.kill();
    predecessor.await_log(&["taking the work back"]);
    assert_eq!(predecessor.submit("m2", 20_000, "x"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "m2");
    thread::sleep(Duration::from_millis(1_500));
    assert!(environment.endpoint.has_no_call(), "m1 was sent again");
}
