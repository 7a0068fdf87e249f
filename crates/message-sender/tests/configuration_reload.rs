//! Reloading the configuration while the process runs.

mod support;

use support::client::ACCEPTED;
use support::discovery::{endpoint_line, Discovery};
use support::endpoint::{Endpoint, Reply, OK};
use support::environment::Environment;
use support::sender_process::Signal;

/// Guards against a process that exits on SIGHUP, a watch of the new server that names the old server's list
/// version, and a late list from the old server that overwrites the new server's list.
#[test]
fn watch_moves_to_the_new_address_with_a_snapshot() {
    let environment = Environment::new(vec![OK]);
    let first = &environment.endpoint;
    let second = Endpoint::start(vec![OK]);
    let old = &environment.discovery;
    let new = Discovery::start(vec![endpoint_line("s-2", second.address, 7, "up")]);
    let sender = environment.start_sender();
    old.await_watch_after(1);
    sender.reload_with_discovery(&new);
    assert_eq!(new.next_list_request(), "GET /v1/servers HTTP/1.1");
    new.await_watch_after(1);
    // The old server still holds the sender's watch and answers it only now.
    old.publish(vec![
        endpoint_line("s-1", first.address, 7, "up"),
        endpoint_line("s-2", second.address, 7, "removed"),
    ]);
    for number in 0..5 {
        assert_eq!(sender.submit(&format!("m{number}"), 20_000, "x"), ACCEPTED);
        second.next_call();
    }
    assert!(first.has_no_call());
}

/// Guards against a reload of an invalid or missing configuration file that ends the watch of discovery.
#[test]
fn unreadable_configuration_changes_nothing() {
    let environment = Environment::new(vec![OK]);
    let discovery = &environment.discovery;
    let other = Endpoint::start(vec![OK]);
    let sender = environment.start_sender();
    discovery.await_watch_after(1);
    std::fs::write(&sender.configuration, "{").unwrap();
    sender.signal(Signal::Hangup);
    std::fs::remove_file(&sender.configuration).unwrap();
    sender.signal(Signal::Hangup);
    discovery.publish(vec![
        endpoint_line("s-1", environment.endpoint.address, 7, "draining"),
        endpoint_line("s-2", other.address, 7, "up"),
    ]);
    discovery.await_watch_after(2);
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    assert_eq!(other.next_call().message_id(), "m1");
}

/// Guards against sending notices to the old discovery server after a reload has replaced it.
#[test]
fn unacknowledged_notices_go_to_the_new_address() {
    let environment = Environment::new(vec![Reply::NoAnswer]);
    let old = &environment.discovery;
    let new = Discovery::start(environment.endpoint_list());
    old.reject_notices(u32::MAX);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 300, "x"), ACCEPTED);
    old.await_rejected_notice();
    sender.reload_with_discovery(&new);
    assert_eq!(new.next_notice()["ref"], "m1");
}
