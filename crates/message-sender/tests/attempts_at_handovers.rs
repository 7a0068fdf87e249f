//! Attempts and messages across a handover: numbers of attempts, and damaged states.

mod support;

use std::thread;
use std::time::Duration;

use support::client::ACCEPTED;
use support::configuration::SenderOptions;
use support::discovery::{endpoint_line, Discovery};
use support::endpoint::{Endpoint, Reply, OK};
use support::environment::{Environment, StateDirectory};
use support::handover::{ScriptedPredecessor, ScriptedSuccessor};
use support::sender_process::SenderProcess;

/// Number of messages that wait for an endpoint.
const MESSAGES: usize = 5;
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
