//! Attempts and messages across a handover: numbers of attempts, damaged states, and the return of the work to a
//! predecessor whose successor has died.

mod support;

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use support::client::{submission, ACCEPTED};
use support::configuration::{Idempotency, SenderOptions};
use support::discovery::{endpoint_line, Discovery};
use support::endpoint::{Endpoint, Reply, OK};
use support::environment::{Environment, StateDirectory};
use support::handover::{ScriptedPredecessor, ScriptedSuccessor};
use support::sender_process::SenderProcess;
use support::TIMEOUT;

/// Number of messages that wait for an endpoint.
const MESSAGES: usize = 5;
/// Time for which an order key is quarantined after a call that may still be running, by the settings.
const QUARANTINE_TIME: Duration = Duration::from_millis(100);
/// Time by which a test may notice the end of a call late.
const SCHEDULING_TOLERANCE: Duration = Duration::from_millis(10);
/// How long a test waits before it checks that nothing has happened; a faulty process would act within it.
const SETTLING_TIME: Duration = Duration::from_millis(700);

/// Guards against a successor that makes no calls any more: an attempt that could not connect counts at the
/// controller, but not in the journal, so that the ends of all later attempts were dropped and their permits held.
#[test]
fn attempts_that_could_not_connect_hold_no_permits_after_an_upgrade() {
    let state = StateDirectory::create();
    let address = Endpoint::unused_address();
    let line = || vec![endpoint_line("s-1", address, 7, "up")];
    let discovery = Discovery::start(line());
    let options = SenderOptions { max_in_flight: 1, ..SenderOptions::default() };
    let start = || SenderProcess::start(&state.path, &discovery, line(), &options);
    let predecessor = start();
    for number in 0..MESSAGES {
        assert_eq!(predecessor.submit(&format!("m{number}"), 20_000, "x"), ACCEPTED);
    }
    // The refused connections eject the endpoint.
    predecessor.await_metric("skipped_endpoints", 1);
    thread::sleep(SETTLING_TIME);
    let successor = start();
    let endpoint = Endpoint::start_at(address, vec![OK]);
    successor.await_metric("passed.notice", MESSAGES as u64);
    assert_eq!(successor.metric("invariant_violations"), 0);
    assert_eq!(endpoint.calls.try_iter().count(), MESSAGES, "each message is sent once");
    assert!(discovery.notices.try_recv().is_err());
}

/// Guards against a message that is never sent again because a predecessor of an earlier version hands over a
/// state in which an attempt of it is in flight although no call carries it.
#[test]
fn an_upgrade_ends_attempts_that_no_call_carries() {
    let environment = Environment::new(vec![Reply::NoAnswer, OK]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    let offer = ScriptedSuccessor::request_handover(&environment.state.path).read_offer();
    sender.kill();
    let predecessor = ScriptedPredecessor::start(&environment.state.path);
    let mut successor = environment.launch_sender(&environment.options);
    predecessor.hand_over(&without_calls_in_flight(&offer));
    successor.await_log(&["invariant violated", "AttemptHasCall"]);
    successor.await_ready();
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
    successor.await_metric("passed.notice", 1);
    successor.await_metric("in_progress", 0);
}

/// Removes the calls in flight from an offer. They are the last field of the state.
fn without_calls_in_flight(offer: &[u8]) -> Vec<u8> {
    const FIELD: &[u8] = b"\xa9in_flight";
    const EMPTY_ARRAY: u8 = 0x90;
    let start =
        offer.windows(FIELD.len()).rposition(|bytes| bytes == FIELD).expect("the state has the field");
    let mut payload = offer[4..start + FIELD.len()].to_vec();
    payload.push(EMPTY_ARRAY);
    [&(payload.len() as u32).to_le_bytes()[..], &payload].concat()
}

/// Makes a simulated successor the sender, and lets it die.
fn hand_over_to_a_dying_successor(predecessor: &SenderProcess, state: &StateDirectory) {
    let mut successor = ScriptedSuccessor::request_handover(&state.path);
    successor.read_offer();
    successor.confirm_prepared();
    predecessor.await_log(&["handed over"]);
    drop(successor);
}

/// The request that submits an ordered message about one subject to a destination.
fn ordered_submission(id: &str, destination: u64) -> String {
    submission(id, 20_000, "x")
        .replace("/notice ", "/notice?subject=card ")
        .replace("dest=7", &format!("dest={destination}"))
}

/// Guards against a message of an order key that follows a cancelled call at once, while that call may still be
/// running, because its sender has taken the work back from a dead successor.
#[test]
fn order_keys_are_quarantined_when_the_work_is_taken_back() {
    let first = Endpoint::start(vec![Reply::NoAnswer]);
    let second = Endpoint::start(vec![OK]);
    let lines =
        || vec![endpoint_line("s-1", first.address, 7, "up"), endpoint_line("s-2", second.address, 8, "up")];
    let discovery = Discovery::start(lines());
    let state = StateDirectory::create();
    let options =
        SenderOptions { idempotency: Idempotency::Never, is_ordered: true, ..SenderOptions::default() };
    let predecessor = SenderProcess::start(&state.path, &discovery, lines(), &options);
    predecessor.await_metric("known_endpoints", 2);
    assert_eq!(predecessor.request(&ordered_submission("m1", 7)).unwrap().start_line, ACCEPTED);
    first.next_call();
    assert_eq!(predecessor.request(&ordered_submission("m2", 8)).unwrap().start_line, ACCEPTED);
    hand_over_to_a_dying_successor(&predecessor, &state);
    assert_eq!(first.closed_connections.recv_timeout(TIMEOUT).unwrap(), "m1");
    let cancelled_at = Instant::now();
    assert_eq!(discovery.next_notice()["ref"], "m1");
    let pause = second.next_call().received_at - cancelled_at;
    assert!(
        pause + SCHEDULING_TOLERANCE >= QUARANTINE_TIME,
        "m2 was sent {pause:?} after the cancelled call"
    );
}

/// Guards against a call to an endpoint that drains, because a sender that takes the work back starts from the
/// list of its configuration.
#[test]
fn a_sender_that_takes_the_work_back_knows_which_endpoints_drain() {
    let draining = Endpoint::start(vec![OK]);
    let rejecting = Endpoint::start(vec![Reply::Answer("503 No\r\n")]);
    let configured = vec![endpoint_line("s-1", draining.address, 7, "up")];
    let discovery = Discovery::start(configured.clone());
    let state = StateDirectory::create();
    let predecessor = SenderProcess::start(&state.path, &discovery, configured, &SenderOptions::default());
    discovery.publish(vec![
        endpoint_line("s-1", draining.address, 7, "draining"),
        endpoint_line("s-2", rejecting.address, 7, "up"),
    ]);
    predecessor.await_metric("known_endpoints", 2);
    predecessor.await_metric("skipped_endpoints", 1);
    for number in 0..MESSAGES {
        assert_eq!(predecessor.submit(&format!("m{number}"), 20_000, "x"), ACCEPTED);
    }
    rejecting.next_call();
    // A request that is still being received keeps the predecessor alive after the handover.
    let mut client = predecessor.connect();
    client.write_all(b"POST /notice HTTP/1.1\r\n").unwrap();
    thread::sleep(SETTLING_TIME);
    hand_over_to_a_dying_successor(&predecessor, &state);
    predecessor.await_log(&["taking the work back"]);
    thread::sleep(SETTLING_TIME);
    assert!(draining.has_no_call(), "a draining endpoint was called");
}
