//! What a restart preserves: messages, their attempts and their order.

mod support;

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use support::client::{submission, ACCEPTED};
use support::configuration::{Idempotency, SenderOptions};
use support::discovery::{endpoint_line, Discovery};
use support::endpoint::{Reply, OK};
use support::environment::Environment;
use support::http::read_message;
use support::sender_process::{SenderProcess, Signal};

/// Guards against losing an accepted message when the process is killed with its call in flight.
#[test]
fn call_in_flight_at_a_kill_is_retried_with_its_idempotency_key() {
    let environment = Environment::new(vec![Reply::NoAnswer, OK]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "kept"), ACCEPTED);
    environment.endpoint.next_call();
    sender.kill();
    let _sender = environment.start_sender();
    let retry = environment.endpoint.next_call();
    assert_eq!(retry.message_id(), "m1");
    assert_eq!(retry.headers["idempotency-key"], "key-of-m1");
    assert_eq!(retry.body, b"kept");
}

/// Guards against losing the order of messages when the process is killed: the head of the subject's queue
/// must be sent first again, and must hold back the messages behind it.
#[test]
fn messages_about_one_subject_keep_their_order_across_a_kill() {
    let environment = Environment::with_options(
        vec![Reply::NoAnswer],
        SenderOptions { is_ordered: true, ..SenderOptions::default() },
    );
    let sender = environment.start_sender();
    for id in ["m1", "m2"] {
        assert_eq!(sender.submit_about("card", id), ACCEPTED);
    }
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
    sender.kill();
    let sender = environment.start_sender();
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
    // Recovered messages start up to 0.9 s apart: m2 would have arrived by the end of this pause.
    std::thread::sleep(Duration::from_millis(1_200));
    assert_eq!(sender.submit_about("other", "m3"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "m3");
}

/// Guards against sending a message while the platform still counts the previous message of its order key as
/// open, also if a process that has since been killed gave up the previous message.
#[test]
fn order_key_waits_for_the_acknowledgement_of_its_notice_across_a_kill() {
    let options =
        SenderOptions { is_ordered: true, idempotency: Idempotency::Never, ..SenderOptions::default() };
    let environment = Environment::with_options(vec![Reply::CloseConnection, OK], options);
    environment.discovery.reject_notices(10_000);
    let sender = environment.start_sender();
    assert_eq!(sender.submit_about("card", "m1"), ACCEPTED);
    environment.endpoint.next_call();
    environment.discovery.await_rejected_notice();
    assert_eq!(sender.submit_about("card", "m2"), ACCEPTED);
    std::thread::sleep(Duration::from_millis(300));
    assert!(environment.endpoint.has_no_call());
    sender.kill();
    let _sender = environment.start_sender();
    // Recovered messages are sent within 0.9 s of the start.
    std::thread::sleep(Duration::from_millis(1_200));
    assert!(environment.endpoint.has_no_call());
    environment.discovery.reject_notices(0);
    assert_eq!(environment.discovery.next_notice()["ref"], "m1");
    assert_eq!(environment.endpoint.next_call().message_id(), "m2");
}

/// Guards against treating a call that was in flight when the process was killed as never sent: its
/// non-idempotent message must be neither retried nor rejected.
#[test]
fn non_idempotent_message_in_flight_at_a_kill_fails() {
    let environment = Environment::with_options(
        vec![Reply::NoAnswer, OK],
        SenderOptions { idempotency: Idempotency::Never, ..SenderOptions::default() },
    );
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    sender.kill();
    let _sender = environment.start_sender();
    let notice = environment.discovery.next_notice();
    assert_eq!((&notice["ref"], &notice["result"]), (&"m1".into(), &"dead".into()));
    assert!(environment.endpoint.has_no_call());
}

/// Guards against rejections that operators cannot trace: the log must state their cause and destination.
#[test]
fn log_names_cause_and_destination_of_undelivered_messages() {
    let environment = Environment::with_options(
        vec![Reply::Answer("503 Busy\r\n")],
        SenderOptions { buffer_capacity: 2, ..SenderOptions::default() },
    );
    // A message that was given up stays in the buffer until its notice is acknowledged.
    environment.discovery.reject_notices(10_000);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 1_500, "x"), ACCEPTED);
    environment.endpoint.next_call();
    assert_eq!(sender.submit("m2", 1_500, "x"), ACCEPTED);
    assert!(sender.submit("m3", 1_500, "x").contains("503"));
    sender.await_log(&["messages not delivered", "cause=BufferFull", "messages=1", "{7: 1}"]);
    sender.await_log(&["messages not delivered", "cause=Rejected", "{7:"]);
}

/// Guards against treating rejected attempts as ambiguous ones after a restart.
#[test]
fn non_idempotent_message_that_was_only_rejected_is_retried_after_a_restart() {
    // The Retry-After ends after the time at which a draining process stops starting attempts.
    let script = vec![Reply::Answer("429 Busy\r\nX-Come-Back-Ms: 2900\r\n"), OK];
    let environment = Environment::with_options(
        script,
        SenderOptions { idempotency: Idempotency::Never, ..SenderOptions::default() },
    );
    let mut sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    sender.signal(Signal::Terminate);
    assert!(sender.wait().success());
    let _sender = environment.start_sender();
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
}

/// Guards against a notice that is never sent because the deadline passed while no process was running.
#[test]
fn message_past_its_deadline_at_the_start_ends_at_once() {
    let environment = Environment::new(vec![Reply::NoAnswer]);
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 1_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    sender.kill();
    std::thread::sleep(Duration::from_millis(1_100));
    let _sender = environment.start_sender();
    assert_eq!(environment.discovery.next_notice()["ref"], "m1");
    assert!(environment.endpoint.has_no_call());
}

/// Guards against sending a delivered message again because the journal still holds it after a restart.
#[test]
fn delivered_message_is_not_sent_again_after_a_restart() {
    Environment::new(vec![OK]).assert_first_call_delivers();
}

/// Guards against rejecting new connections before the load balancer in front has noticed the drain, and
/// against a process that keeps running after SIGTERM until it gets SIGKILL.
#[test]
fn draining_sender_answers_and_delivers_before_it_exits() {
    let environment = Environment::new(vec![OK]);
    let mut sender = environment.start_sender();
    let mut connection = BufReader::new(sender.connect());
    connection.get_mut().write_all(submission("m1", 20_000, "x").as_bytes()).unwrap();
    assert_eq!(read_message(&mut connection).expect("the sender did not answer").start_line, ACCEPTED);
    environment.endpoint.next_call();
    sender.signal(Signal::Terminate);
    // The sender closes the connection between requests.
    assert!(read_message(&mut connection).is_none());
    let late = sender.request(&submission("m2", 20_000, "x")).expect("the sender did not answer");
    assert_eq!((late.start_line.as_str(), late.headers["connection"].as_str()), (ACCEPTED, "close"));
    assert_eq!(environment.endpoint.next_call().message_id(), "m2");
    assert!(sender.wait().success());
}

/// Guards against accepting messages for which the journal has no disk space left.
#[test]
fn full_journal_rejects_messages_with_retry_after() {
    let environment = Environment::with_options(
        vec![Reply::NoAnswer],
        SenderOptions { disk_mb: 0.5, ..SenderOptions::default() },
    );
    let sender = environment.start_sender();
    let body = "x".repeat(60_000);
    let rejection = (0..20).find_map(|number| {
        let answer = sender
            .request(&submission(&format!("m{number}"), 20_000, &body))
            .expect("the sender did not answer");
        (answer.start_line != ACCEPTED).then_some(answer)
    });
    let rejection = rejection.expect("the journal did not become full");
    assert!(
        rejection.start_line.contains("503") && rejection.headers.contains_key("retry-after"),
        "{rejection:?}"
    );
    let bytes = disk_usage(&environment.state.path);
    assert!(bytes <= 500_000, "{bytes}");
    sender.await_log(&["messages not delivered", "JournalFull", "{7: 1}"]);
}

/// Total size of the files in a directory, in bytes, with each file rounded up to full blocks.
fn disk_usage(directory: &Path) -> u64 {
    /// Size of a block, in bytes.
    const BLOCK: u64 = 512;
    let mut blocks = 0;
    for file in std::fs::read_dir(directory).unwrap() {
        blocks += file.unwrap().metadata().unwrap().len().div_ceil(BLOCK);
    }
    blocks * BLOCK
}

/// A listener whose accept queue is full: connections to it are not established until the value is dropped.
struct UnreachableListener {
    _listener: Socket,
    address: SocketAddr,
    /// The connections that fill the queue.
    _queued: Vec<Socket>,
}

impl UnreachableListener {
    fn start() -> Self {
        let socket = || Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let listener = socket();
        listener.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let mut queued = Vec::new();
        for _ in 0..4 {
            let client = socket();
            client.set_nonblocking(true).unwrap();
            // This fails because the connection is still in progress or the queue is already full.
            let _ = client.connect(&address);
            queued.push(client);
        }
        Self { _listener: listener, address: address.as_socket().unwrap(), _queued: queued }
    }
}

/// Guards against treating a call whose connection was not yet established when the process was killed as an
/// ambiguous attempt: a non-idempotent message would fail without having been sent.
#[test]
fn non_idempotent_message_whose_connection_was_not_established_at_a_kill_is_attempted() {
    let environment = Environment::with_options(
        vec![OK],
        SenderOptions { idempotency: Idempotency::Never, ..SenderOptions::default() },
    );
    let unreachable = UnreachableListener::start();
    let address = unreachable.address;
    environment.discovery.publish(vec![endpoint_line("s-1", address, 7, "up")]);
    let sender = SenderProcess::start(
        &environment.state.path,
        &environment.discovery,
        vec![endpoint_line("s-1", address, 7, "up")],
        &environment.options,
    );
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    // The sender decides on the call in the turn in which it answers the client; the connect timeout is 1 s.
    std::thread::sleep(Duration::from_millis(300));
    sender.kill();
    environment.discovery.publish(vec![endpoint_line("s-1", environment.endpoint.address, 7, "up")]);
    let _sender = environment.start_sender();
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
    assert!(environment.discovery.notices.try_recv().is_err(), "a notice was sent for m1");
}

/// Number of messages that wait without an attempt when the first process ends.
const UNATTEMPTED: usize = 12;

/// Ends a process with this signal while [`UNATTEMPTED`] messages wait for a Retry-After, and starts another
/// one, whose calls the endpoint answers by the script `then`. Unless `discovery_is_up`, the second process
/// has a discovery server that answers no request for the list. Returns how many of the messages the second
/// process attempts.
fn attempted_after_recovery(signal: Signal, then: &[Reply], discovery_is_up: bool) -> usize {
    let script = [&[Reply::Answer("429 Busy\r\nX-Come-Back-Ms: 9000\r\n")], then].concat();
    let options = SenderOptions { idempotency: Idempotency::Never, ..SenderOptions::default() };
    let environment = Environment::with_options(script, options);
    let mut sender = environment.start_sender();
    assert_eq!(sender.submit("first", 9_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    for number in 0..UNATTEMPTED {
        assert_eq!(sender.submit(&format!("m{number}"), 9_000, "x"), ACCEPTED);
    }
    sender.signal(signal);
    sender.wait();
    assert!(environment.endpoint.has_no_call());
    let unresponsive;
    let discovery = if discovery_is_up {
        &environment.discovery
    } else {
        unresponsive = Discovery::start_unresponsive();
        &unresponsive
    };
    let mut sender = SenderProcess::launch(
        &environment.state.path,
        discovery,
        environment.endpoint_list(),
        &environment.options,
    );
    sender.await_log(&["recovered messages from the journal", "unattempted=12 attempted=1 pending_notices="]);
    sender.await_ready();
    // Wait until all messages have ended.
    sender.await_metric("in_progress", 0);
    let calls = environment.endpoint.calls.try_iter();
    let ids: BTreeSet<_> = calls.map(|call| call.message_id().to_owned()).collect();
    ids.iter().filter(|id| id.starts_with('m')).count()
}

/// Guards against giving up accepted messages after a restart without a call.
#[test]
fn recovered_unattempted_messages_are_attempted() {
    for signal in [Signal::Kill, Signal::Terminate] {
        let attempted = attempted_after_recovery(signal, &[OK], true);
        assert_eq!(attempted, UNATTEMPTED, "after {signal:?}");
    }
}

/// Guards against giving up recovered messages without a call because discovery does not answer.
#[test]
fn recovered_unattempted_messages_are_attempted_with_discovery_down() {
    let attempted = attempted_after_recovery(Signal::Kill, &[OK], false);
    assert_eq!(attempted, UNATTEMPTED);
}

/// Guards against giving up most recovered messages without a call because the destination rejects the first
/// calls, as one does that is closed or has just started.
#[test]
fn recovered_unattempted_messages_are_attempted_where_the_destination_is_not_ready_yet() {
    let rejection = Reply::Answer("503 Shut\r\n");
    let script = [rejection.clone(), rejection.clone(), rejection, OK];
    let attempted = attempted_after_recovery(Signal::Kill, &script, true);
    assert!(2 * attempted > UNATTEMPTED, "{attempted} of {UNATTEMPTED}");
}
