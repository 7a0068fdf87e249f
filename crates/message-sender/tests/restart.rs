//! What outlasts the process: messages, their attempts and their order.

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

/// Guards against work that is lost with the process.
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

/// Guards against an order that is lost with the process: the head of the subject's queue is the head again,
/// and holds back the others.
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
    // Recovered messages start up to 0.9 s apart; the second would have come by then.
    std::thread::sleep(Duration::from_millis(1_200));
    assert_eq!(sender.submit_about("other", "m3"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "m3");
}

/// Guards against a message that is sent while the platform still counts its predecessor under the key as
/// open, also where that was given up by a process that has died since.
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
    // Recovered messages start up to 0.9 s after the start.
    std::thread::sleep(Duration::from_millis(1_200));
    assert!(environment.endpoint.has_no_call());
    environment.discovery.reject_notices(0);
    assert_eq!(environment.discovery.next_notice()["ref"], "m1");
    assert_eq!(environment.endpoint.next_call().message_id(), "m2");
}

/// Guards against a call that was in flight at the process's death being taken for one that was never sent: a
/// non-idempotent message must neither be retried nor be rejected.
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

/// Guards against rejections that nobody can trace: the log says what caused them, and for which destination.
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

/// Guards against rejected attempts being taken for ambiguous ones once the process has died.
#[test]
fn non_idempotent_message_that_was_only_rejected_is_retried_after_a_restart() {
    // A Retry-After that ends after the drain has stopped sending.
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

/// Guards against a notice that is never sent, when the deadline passes while no process is there.
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

/// Guards against delivered messages that come back from the journal.
#[test]
fn delivered_message_is_not_sent_again_after_a_restart() {
    Environment::new(vec![OK]).assert_first_call_delivers();
}

/// Guards against new connections being rejected while the front does not know of the drain yet, and against
/// a process that stays after SIGTERM until SIGKILL.
#[test]
fn draining_sender_answers_and_delivers_before_it_exits() {
    let environment = Environment::new(vec![OK]);
    let mut sender = environment.start_sender();
    let mut connection = BufReader::new(sender.connect());
    connection.get_mut().write_all(submission("m1", 20_000, "x").as_bytes()).unwrap();
    assert_eq!(read_message(&mut connection).expect("an answer").start_line, ACCEPTED);
    environment.endpoint.next_call();
    sender.signal(Signal::Terminate);
    // Closed between requests.
    assert!(read_message(&mut connection).is_none());
    let late = sender.request(&submission("m2", 20_000, "x")).expect("an answer");
    assert_eq!((late.start_line.as_str(), late.headers["connection"].as_str()), (ACCEPTED, "close"));
    assert_eq!(environment.endpoint.next_call().message_id(), "m2");
    assert!(sender.wait().success());
}

/// Guards against accepting messages that the disk has no space for.
#[test]
fn full_journal_rejects_messages_with_retry_after() {
    let environment = Environment::with_options(
        vec![Reply::NoAnswer],
        SenderOptions { disk_mb: 0.5, ..SenderOptions::default() },
    );
    let sender = environment.start_sender();
    let body = "x".repeat(60_000);
    let rejection = (0..20).find_map(|number| {
        let answer = sender.request(&submission(&format!("m{number}"), 20_000, &body)).expect("an answer");
        (answer.start_line != ACCEPTED).then_some(answer)
    });
    let rejection = rejection.expect("the disk is full at last");
    assert!(
        rejection.start_line.contains("503") && rejection.headers.contains_key("retry-after"),
        "{rejection:?}"
    );
    let bytes = disk_usage(&environment.state.path);
    assert!(bytes <= 500_000, "{bytes}");
    sender.await_log(&["messages not delivered", "JournalFull", "{7: 1}"]);
}

/// Size of the files in a directory, in full blocks.
fn disk_usage(directory: &Path) -> u64 {
    const BLOCK: u64 = 512;
    let mut blocks = 0;
    for file in std::fs::read_dir(directory).unwrap() {
        blocks += file.unwrap().metadata().unwrap().len().div_ceil(BLOCK);
    }
    blocks * BLOCK
}

/// A listener whose queue is full: connections to it are not established while the value lives.
struct UnreachableListener {
    _listener: Socket,
    address: SocketAddr,
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
            // It is being established, or the queue is full.
            let _ = client.connect(&address);
            queued.push(client);
        }
        Self { _listener: listener, address: address.as_socket().unwrap(), _queued: queued }
    }
}

/// Guards against a call that was decided on, but whose connection was not established when the process died,
/// being taken for an ambiguous attempt: a non-idempotent message would fail unattempted.
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
    // The call is decided on in the turn of the answer; the connect time-out is a second.
    std::thread::sleep(Duration::from_millis(300));
    sender.kill();
    environment.discovery.publish(vec![endpoint_line("s-1", environment.endpoint.address, 7, "up")]);
    let _sender = environment.start_sender();
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
    assert!(environment.discovery.notices.try_recv().is_err(), "there is no notice about it");
}

/// Number of messages that wait unattempted at the end of a process.
const UNATTEMPTED: usize = 12;

/// Ends a process with this signal while [`UNATTEMPTED`] messages wait for a Retry-After; returns how many of
/// them the next process attempts, whose endpoint then goes on with this script.
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
    // Until all have ended.
    sender.await_metric("in_progress", 0);
    let calls = environment.endpoint.calls.try_iter();
    let ids: BTreeSet<_> = calls.map(|call| call.message_id().to_owned()).collect();
    ids.iter().filter(|id| id.starts_with('m')).count()
}

/// Guards against messages that were accepted, and are given up after a restart without a call.
#[test]
fn recovered_unattempted_messages_are_attempted() {
    for signal in [Signal::Kill, Signal::Terminate] {
        let attempted = attempted_after_recovery(signal, &[OK], true);
        assert_eq!(attempted, UNATTEMPTED, "after {signal:?}");
    }
}

#[test]
fn recovered_unattempted_messages_are_attempted_with_discovery_down() {
    let attempted = attempted_after_recovery(Signal::Kill, &[OK], false);
    assert_eq!(attempted, UNATTEMPTED);
}

/// The destination rejects at first, as one that is closed or cold.
#[test]
fn recovered_unattempted_messages_are_attempted_where_the_destination_is_not_ready_yet() {
    let rejection = Reply::Answer("503 Shut\r\n");
    let script = [rejection.clone(), rejection.clone(), rejection, OK];
    let attempted = attempted_after_recovery(Signal::Kill, &script, true);
    assert!(2 * attempted > UNATTEMPTED, "{attempted} of {UNATTEMPTED}");
}
