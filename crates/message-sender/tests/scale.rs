//! Large numbers of idle clients, endpoints and senders.

mod support;

use std::net::TcpStream;

use support::client::ACCEPTED;
use support::configuration::SenderOptions;
use support::discovery::{endpoint_line, Discovery};
use support::endpoint::{Endpoint, OK};
use support::environment::StateDirectory;
use support::sender_process::SenderProcess;

/// Guards against idle clients that connect all at once and use up the file descriptors which the sender
/// needs to poll discovery again.
#[test]
fn idle_clients_leave_descriptors_for_discovery() {
    let state = StateDirectory::create();
    let endpoint = Endpoint::start(vec![OK]);
    // The discovery server does not answer at first, and the sender has no endpoint list.
    let discovery = Discovery::start_unresponsive();
    let options = SenderOptions { max_descriptors: 128, ..SenderOptions::default() };
    let sender = SenderProcess::start(&state.path, &discovery, Vec::new(), &options);
    discovery.next_list_request();
    // While the sender is suspended, all connections queue up to be accepted at once.
    sender.suspend();
    let idle: Vec<TcpStream> = (0..120).map(|_| sender.connect()).collect();
    sender.resume();
    discovery.next_list_request();
    assert!(sender.open_descriptors() < options.max_descriptors, "{} descriptors", sender.open_descriptors());
    discovery.start_responding();
    discovery.publish(vec![endpoint_line("s-1", endpoint.address, 7, "up")]);
    discovery.await_watch_after(1);
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    assert_eq!(endpoint.next_call().message_id(), "m1");
    drop(idle);
    let failures = sender.log.try_iter().filter(|line| line.contains("was not accepted")).count();
    assert_eq!(failures, 0, "the sender failed to accept connections");
}

/// Guards against a hidden limit on the size of the endpoint list or on the number of senders, also with long
/// names and an indented list.
#[test]
fn thousand_endpoints_are_served_by_one_of_a_thousand_senders() {
    let state = StateDirectory::create();
    let endpoint = Endpoint::start(vec![OK]);
    let name = |number| format!("s-{number}-{}", "x".repeat(200));
    // The list has one endpoint for each of the destinations 0 to 1,023; the test submits only to
    // destination 7.
    let lines =
        (0..1_024).map(|number| endpoint_line(&name(number), endpoint.address, number, "up")).collect();
    let discovery = Discovery::start(lines);
    let options = SenderOptions { sender_count: 1_024, ..SenderOptions::default() };
    let sender = SenderProcess::start(&state.path, &discovery, Vec::new(), &options);
    discovery.await_watch_after(1);
    sender.await_metric("known_endpoints", 1_024);
    for number in 0..3 {
        let id = format!("m{number}");
        assert_eq!(sender.submit(&id, 20_000, "x"), ACCEPTED);
        assert_eq!(endpoint.next_call().message_id(), id);
    }
    assert_eq!(sender.management_status("POST", "/maintenance/enter", &name(1_023)), 200);
    sender.await_metric("skipped_endpoints", 1);
}
