//! Endpoints that operators have drained, across upgrades and the death of a successor.

mod support;

use std::io::Write;
use std::thread;
use std::time::Duration;

use support::client::ACCEPTED;
use support::configuration::SenderOptions;
use support::discovery::{endpoint_line, Discovery};
use support::endpoint::{Endpoint, OK};
use support::environment::StateDirectory;
use support::handover::{ScriptedPredecessor, ScriptedSuccessor};
use support::sender_process::SenderProcess;

/// How long a test waits before it checks that nothing has happened; a faulty process would act within it.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Endpoint `s-1` of destination 7 and endpoint `s-2` of destination 8.
struct Fixture {
    state: StateDirectory,
    discovery: Discovery,
    first: Endpoint,
    second: Endpoint,
}

impl Fixture {
    fn new() -> Self {
        let first = Endpoint::start(vec![OK]);
        let second = Endpoint::start(vec![OK]);
        let discovery = Discovery::start(Self::lines(&first, &second));
        Self { state: StateDirectory::create(), discovery, first, second }
    }

    fn lines(first: &Endpoint, second: &Endpoint) -> Vec<serde_json::Value> {
        vec![endpoint_line("s-1", first.address, 7, "up"), endpoint_line("s-2", second.address, 8, "up")]
    }

    fn launch(&self) -> SenderProcess {
        let known = Self::lines(&self.first, &self.second);
        SenderProcess::launch(&self.state.path, &self.discovery, known, &SenderOptions::default())
    }

    fn start_sender(&self) -> SenderProcess {
        let mut sender = self.launch();
        sender.await_ready();
        sender
    }

    /// Checks that a message for s-1 is delivered, and that one for s-2 is held back until s-2 is restored.
    fn assert_only_the_second_is_drained(&self, sender: &SenderProcess) {
        sender.await_metric("skipped_endpoints", 1);
        assert_eq!(sender.submit_to(8, "for-s-2"), ACCEPTED);
        assert_eq!(sender.submit_to(7, "for-s-1"), ACCEPTED);
        assert_eq!(self.first.next_call().message_id(), "for-s-1");
        thread::sleep(SETTLING_TIME);
        assert!(self.second.has_no_call(), "a drained endpoint was called");
        assert_eq!(sender.management_status("POST", "/maintenance/exit", "s-2"), 200);
        assert_eq!(self.second.next_call().message_id(), "for-s-2");
        assert_eq!(sender.metric("invariant_violations"), 0);
    }
}

/// Guards against an upgrade that drains an endpoint which no operator has drained, because the number of a
/// drained endpoint is looked up among the numbers of another registry.
#[test]
fn an_upgrade_drains_no_endpoint_that_no_operator_has_drained() {
    let fixture = Fixture::new();
    let predecessor = fixture.start_sender();
    predecessor.await_metric("known_endpoints", 2);
    assert_eq!(predecessor.management_status("POST", "/maintenance/enter", "s-2"), 200);
    let _successor = fixture.start_sender();
    let second_successor = fixture.start_sender();
    fixture.assert_only_the_second_is_drained(&second_successor);
}

/// Guards against an endpoint that stays drained for ever, because a predecessor of an earlier version hands
/// over a state in which it is drained, although no operator has drained it.
#[test]
fn an_upgrade_restores_endpoints_that_the_predecessor_drained_by_mistake() {
    let fixture = Fixture::new();
    let sender = fixture.start_sender();
    sender.await_metric("known_endpoints", 2);
    assert_eq!(sender.management_status("POST", "/maintenance/enter", "s-1"), 200);
    let damaged_state = ScriptedSuccessor::request_handover(&fixture.state.path).read_offer();
    // The journal has the operators' last commands: s-1 is in service, s-2 is drained.
    assert_eq!(sender.management_status("POST", "/maintenance/exit", "s-1"), 200);
    assert_eq!(sender.management_status("POST", "/maintenance/enter", "s-2"), 200);
    sender.kill();
    let predecessor = ScriptedPredecessor::start(&fixture.state.path);
    let mut successor = fixture.launch();
    predecessor.hand_over(&damaged_state);
    successor.await_log(&["invariant violated", "DrainedByOperator"]);
    successor.await_ready();
    assert_eq!(successor.submit_to(7, "for-s-1"), ACCEPTED);
    assert_eq!(fixture.first.next_call().message_id(), "for-s-1");
    assert_eq!(successor.submit_to(8, "for-s-2"), ACCEPTED);
    thread::sleep(SETTLING_TIME);
    assert!(fixture.second.has_no_call(), "a drained endpoint was called");
    assert_eq!(successor.metric("invariant_violations"), 1);
}

/// Guards against an endpoint that stays marked as drained, and a violation that is none, because a successor
/// restored the endpoint before it died.
#[test]
fn an_endpoint_that_a_dead_successor_restored_is_in_service() {
    let fixture = Fixture::new();
    let predecessor = fixture.start_sender();
    predecessor.await_metric("known_endpoints", 2);
    assert_eq!(predecessor.management_status("POST", "/maintenance/enter", "s-1"), 200);
    assert_eq!(predecessor.management_status("POST", "/maintenance/enter", "s-2"), 200);
    // A request that is still being received keeps the predecessor alive after the handover.
    let mut client = predecessor.connect();
    client.write_all(b"POST /notice HTTP/1.1\r\n").unwrap();
    let successor = fixture.start_sender();
    assert_eq!(successor.management_status("POST", "/maintenance/exit", "s-1"), 200);
    successor.kill();
    predecessor.await_log(&["taking the work back"]);
    fixture.assert_only_the_second_is_drained(&predecessor);
}
