//! Operator calls to the management listener: metrics, maintenance and standby.

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use support::client::{submission, ACCEPTED};
use support::discovery::endpoint_line;
use support::endpoint::{Reply, OK};
use support::environment::Environment;
use support::http::read_message;
use support::sender_process::{SenderProcess, Signal};
use support::TIMEOUT;

/// Guards against reporting success for a call that has no effect, and against a panic or a missing answer on
/// invalid input.
#[test]
fn invalid_management_calls_are_rejected() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    assert_eq!(sender.management_status("GET", "/status", ""), 200);
    let long = "x".repeat(300);
    for (method, path, body, status) in [
        ("GET", "/", "", 404),
        ("GET", "/nothing", "", 404),
        ("POST", "/status", "", 405),
        ("GET", "/standby", "", 405),
        ("GET", "/maintenance/enter", "s-1", 405),
        ("POST", "/maintenance/enter", "", 400),
        ("POST", "/maintenance/enter", "\0", 400),
        ("POST", "/maintenance/enter", long.as_str(), 413),
        ("POST", "/maintenance/enter", "s-2", 404),
        ("POST", "/maintenance/exit", "s-2", 404),
    ] {
        assert_eq!(sender.management_status(method, path, body), status, "{method} {path} {body:?}");
    }
    let mut stream = TcpStream::connect(sender.management).unwrap();
    stream.write_all(b"what?\r\n\r\n").unwrap();
    assert!(read_message(&mut BufReader::new(stream)).unwrap().start_line.contains(" 400 "));
    // Restoring an endpoint that is not in maintenance changes nothing and is not an error.
    assert_eq!(sender.management_status("POST", "/maintenance/exit", "s-1"), 200);
}

/// Guards against callers that send nothing and block others, by occupying all 16 connection slots. The test
/// opens 60 such connections.
#[test]
fn silent_callers_block_no_other_and_are_disconnected() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    let silent: Vec<_> = (0..60).map(|_| TcpStream::connect(sender.management).unwrap()).collect();
    let start = Instant::now();
    for _ in 0..20 {
        assert_eq!(sender.management_status("GET", "/status", ""), 200);
    }
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    for stream in silent {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        assert!(read_message(&mut BufReader::new(stream)).is_none());
    }
}

/// Guards against metrics that are missing before their first count, and against outcomes or attempts that
/// are counted twice or not at all.
#[test]
fn each_message_is_counted_once_by_its_outcome() {
    let environment = Environment::new(vec![
        OK,
        Reply::Answer("500 Oops\r\n"),
        OK,
        Reply::Answer("410 Gone\r\n"),
        Reply::NoAnswer,
    ]);
    let sender = environment.start_sender();
    let names = ["passed.notice", "dropped.notice", "bad_gateway.notice", "upstream_tries", "in_progress"];
    let metrics = || names.map(|name| sender.metric(name));
    assert_eq!(metrics(), [0; 5]);
    sender.await_metric("known_endpoints", 1);
    assert_eq!(sender.metric("skipped_endpoints"), 0);
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    sender.await_metric("passed.notice", 1);
    assert_eq!(sender.submit("m2", 20_000, "x"), ACCEPTED);
    sender.await_metric("passed.notice", 2);
    sender.await_metric("in_progress", 0);
    assert_eq!(metrics(), [2, 0, 0, 3, 0]);
    // The platform has ended this message: it is not delivered and gets no notice.
    assert_eq!(sender.submit("m3", 20_000, "x"), ACCEPTED);
    sender.await_metric("bad_gateway.notice", 1);
    // A message without an answer stays in progress and is retried while time is left. Then it fails, because
    // it may have taken effect.
    assert_eq!(sender.submit("m4", 1_500, "x"), ACCEPTED);
    let start = Instant::now();
    while sender.metric("upstream_tries") < 5 {
        assert!(start.elapsed() < TIMEOUT, "the message is not retried");
    }
    assert_eq!(sender.metric("in_progress"), 1);
    assert_eq!(environment.discovery.next_notice()["result"], "dead");
    sender.await_metric("in_progress", 0);
    let calls = environment.endpoint.calls.try_iter().count() as u64;
    assert!(calls >= 5, "{calls}");
    assert_eq!(metrics(), [2, 0, 2, calls, 0]);
    // This message is never attempted: its endpoint drains until the message's deadline.
    environment.discovery.publish(vec![endpoint_line("s-1", environment.endpoint.address, 7, "draining")]);
    sender.await_metric("skipped_endpoints", 1);
    assert_eq!(sender.submit("m5", 500, "x"), ACCEPTED);
    assert_eq!(environment.discovery.next_notice()["result"], "bounced");
    sender.await_metric("dropped.notice", 1);
    sender.await_metric("in_progress", 0);
    assert_eq!(metrics(), [2, 1, 2, calls, 0]);
}

/// Makes a sender log until lines are lost, and checks that it still delivers messages.
fn assert_loses_only_log_lines(environment: &Environment, sender: &SenderProcess) {
    let start = Instant::now();
    while sender.metric("log_lines_lost") < 3 {
        assert!(start.elapsed() < TIMEOUT, "no log line was lost");
        // Each of these calls is logged.
        assert_eq!(sender.management_status("POST", "/maintenance/enter", "s-1"), 200);
        assert_eq!(sender.management_status("POST", "/maintenance/exit", "s-1"), 200);
    }
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
}

/// Guards against a process that ends at its next log line because nobody reads its log any more.
#[test]
fn a_log_that_nobody_reads_ends_no_process() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    sender.await_metric("known_endpoints", 1);
    sender.close_log();
    assert_loses_only_log_lines(&environment, &sender);
}

/// Guards against a process that stops at a log line, because its log goes to a pipe that stays open and is full.
#[test]
fn a_log_that_is_not_read_blocks_no_process() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    sender.await_metric("known_endpoints", 1);
    sender.pause_log();
    assert_loses_only_log_lines(&environment, &sender);
}

/// Guards against calls to an endpoint in maintenance after the operator has repeated the command, discovery
/// has removed the endpoint and listed it again, or the process has been killed.
#[test]
fn endpoint_in_maintenance_gets_no_calls_until_it_is_restored() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    for _ in 0..2 {
        assert_eq!(sender.management_status("POST", "/maintenance/enter", "s-1\n"), 200);
    }
    sender.await_metric("skipped_endpoints", 1);
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.discovery.publish(vec![endpoint_line("s-1", environment.endpoint.address, 7, "removed")]);
    sender.await_metric("known_endpoints", 0);
    sender.kill();
    environment.discovery.publish(environment.endpoint_list());
    let sender = environment.start_sender();
    sender.await_metric("known_endpoints", 1);
    sender.await_metric("skipped_endpoints", 1);
    assert_eq!(sender.submit("m2", 20_000, "x"), ACCEPTED);
    // A recovered message is sent after at most 0.9 s.
    std::thread::sleep(Duration::from_millis(1_200));
    assert!(environment.endpoint.has_no_call());
    assert_eq!(sender.management_status("POST", "/maintenance/exit", "s-1"), 200);
    let calls = [environment.endpoint.next_call(), environment.endpoint.next_call()];
    let mut ids = calls.map(|call| call.message_id().to_owned());
    ids.sort();
    assert_eq!(ids, ["m1", "m2"]);
    sender.await_metric("skipped_endpoints", 0);
}

/// Guards against clients that stay connected to a sender on standby, against answers that are lost in the
/// transition to standby, and against a sender that does not become active again.
#[test]
fn standby_sender_closes_client_connections_and_becomes_active_again() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    let health = || sender.request("GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n").unwrap().start_line;
    let text = submission("m2", 20_000, "a body");
    let (first_part, second_part) = text.as_bytes().split_at(40);
    let mut idle = sender.connect();
    let mut partial = sender.connect();
    idle.write_all(submission("m1", 20_000, "x").as_bytes()).unwrap();
    let mut idle = BufReader::new(idle);
    assert_eq!(read_message(&mut idle).unwrap().start_line, ACCEPTED);
    partial.write_all(first_part).unwrap();
    assert!(health().contains(" 200 "));
    for _ in 0..2 {
        assert_eq!(sender.management_status("POST", "/standby", ""), 200);
    }
    let start = Instant::now();
    assert!(health().contains(" 503 "));
    assert_eq!(sender.management_status("GET", "/status", ""), 503);
    assert!(read_message(&mut idle).is_none(), "the idle connection was not closed");
    partial.write_all(second_part).unwrap();
    let mut partial = BufReader::new(partial);
    let answer = read_message(&mut partial).expect("the partially sent request was not answered");
    assert_eq!((answer.start_line.as_str(), answer.headers["connection"].as_str()), (ACCEPTED, "close"));
    assert!(read_message(&mut partial).is_none());
    // The load balancer in front notices the standby only after a while: requests that still arrive are
    // served, and connections that send nothing are closed.
    let silent = sender.connect();
    assert_eq!(sender.submit("m3", 20_000, "x"), ACCEPTED);
    assert!(read_message(&mut BufReader::new(silent)).is_none());
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    for _ in 0..3 {
        environment.endpoint.next_call();
    }
    assert_eq!(sender.management_status("POST", "/active", ""), 200);
    assert!(health().contains(" 200 "));
    assert_eq!(sender.management_status("GET", "/status", ""), 200);
    assert_eq!(sender.submit("m4", 20_000, "x"), ACCEPTED);
}

/// Guards against an operator activating a process that is about to exit.
#[test]
fn terminating_sender_does_not_become_active_again() {
    let environment = Environment::new(vec![Reply::NoAnswer]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    sender.signal(Signal::Terminate);
    sender.await_log(&["draining"]);
    assert_eq!(sender.management_status("POST", "/active", ""), 503);
    assert_eq!(sender.management_status("GET", "/status", ""), 503);
}
