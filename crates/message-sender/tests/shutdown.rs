//! Requests, signals and calls that coincide with the shutdown of a process. What must hold for them is
//! listed in `docs/crossings.md`.

mod support;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use support::client::{submission, ACCEPTED};
use support::endpoint::{Reply, OK};
use support::environment::Environment;
use support::http::read_message;
use support::sender_process::{SenderProcess, Signal};
use support::TIMEOUT;

/// Connects and writes the first part of a request.
fn connect_and_write(sender: &SenderProcess, part: &[u8]) -> BufReader<TcpStream> {
    let mut stream = BufReader::new(sender.connect());
    stream.get_mut().write_all(part).unwrap();
    stream
}

/// Writes the rest of a request; returns the status line of the answer, or `None` if the connection ends
/// first.
fn complete_request(stream: &mut BufReader<TcpStream>, rest: &[u8]) -> Option<String> {
    stream.get_mut().write_all(rest).ok()?;
    read_message(stream).map(|answer| answer.start_line)
}

/// Guards against closing a connection as idle although part of a request has been read from it: the client
/// may already have written the whole request.
#[test]
fn partially_read_request_at_sigterm_is_answered() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    let first = submission("m1", 20_000, "x");
    let second = submission("m2", 20_000, "x");
    let (first_part, second_part) = second.as_bytes().split_at(40);
    // The request is cut within its head, on a connection that has already carried a request.
    let mut stream = connect_and_write(&sender, first.as_bytes());
    assert_eq!(read_message(&mut stream).unwrap().start_line, ACCEPTED);
    stream.get_mut().write_all(first_part).unwrap();
    // The sender reads the first part at once, but nothing outside the process shows when it has.
    sleep(Duration::from_millis(300));
    sender.signal(Signal::Terminate);
    sender.await_log(&["draining"]);
    assert_eq!(complete_request(&mut stream, second_part).as_deref(), Some(ACCEPTED));
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
    assert_eq!(environment.endpoint.next_call().message_id(), "m2");
}

/// Guards against a draining process that exits, having nothing left to send, while it still reads a request.
#[test]
fn idle_draining_process_waits_for_a_request_in_transit() {
    let environment = Environment::new(vec![OK]);
    let mut sender = environment.start_sender();
    sender.signal(Signal::Terminate);
    sender.await_log(&["draining"]);
    let text = submission("m1", 20_000, "x");
    let (all_but_last, last) = text.as_bytes().split_at(text.len() - 1);
    let mut stream = connect_and_write(&sender, all_but_last);
    // Without the request the process would have exited after 1 s.
    sleep(Duration::from_millis(1_400));
    assert_eq!(complete_request(&mut stream, last).as_deref(), Some(ACCEPTED));
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
    assert!(sender.wait().success());
}

/// Guards against accepting messages so late in a drain that the process will no longer attempt them, and
/// against a process that does not exit.
#[test]
fn submissions_late_in_a_drain_are_rejected_with_retry_after() {
    let environment = Environment::new(vec![Reply::NoAnswer]);
    let mut sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    sender.signal(Signal::Terminate);
    sender.await_log(&["draining"]);
    // After SIGTERM the process starts attempts for 2.4 s and exits after 3.1 s.
    sleep(Duration::from_millis(2_750));
    let late = sender.request(&submission("m2", 20_000, "x")).expect("the sender did not answer");
    assert!(late.start_line.contains("503") && late.headers.contains_key("retry-after"), "{late:?}");
    assert_eq!(late.headers["connection"], "close");
    assert!(sender.wait().success());
    assert!(environment.endpoint.has_no_call());
}

/// Guards against a second SIGTERM, or a SIGINT, that cuts a drain short.
#[test]
fn second_sigterm_has_no_effect() {
    let environment = Environment::new(vec![Reply::Delayed(Duration::from_millis(1_000)), OK]);
    let mut sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    sender.signal(Signal::Terminate);
    sender.await_log(&["draining"]);
    sender.signal(Signal::Terminate);
    sender.signal(Signal::Interrupt);
    assert!(sender.wait().success());
    // m1 was delivered: the next process does not send it again.
    let sender = environment.start_sender();
    assert_eq!(sender.submit("m2", 20_000, "x"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "m2");
}

/// Guards against a successor that gets SIGTERM before it has taken over, and then takes over or never exits.
#[test]
fn sigterm_during_startup_ends_the_process() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    // While suspended, the first process neither serves nor hands over: the other one waits for it.
    sender.suspend();
    let mut other = environment.launch_sender(&environment.options);
    other.signal(Signal::Terminate);
    assert!(other.wait().success());
    sender.resume();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "m1");
}

/// Guards against losing or repeating messages that a client keeps submitting between SIGTERM and SIGKILL, on
/// any connection that stays open: each accepted message must be delivered once, by this process or the next.
#[test]
fn client_that_sends_until_sigkill_loses_no_accepted_message() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    let accepted = submit_until_shortly_before_sigkill(&sender);
    assert!(accepted.len() > 20, "{} accepted", accepted.len());
    sender.kill();
    let _sender = environment.start_sender();
    let mut calls: BTreeMap<String, u32> = BTreeMap::new();
    while accepted.iter().any(|id| !calls.contains_key(id)) {
        let id = environment.endpoint.next_call().message_id().to_owned();
        *calls.entry(id).or_default() += 1;
    }
    // Only a call whose answer was in transit at the kill may be repeated, and there is at most one.
    let repeated = calls.values().filter(|count| **count > 1).count();
    assert!(repeated <= 1, "{calls:?}");
}

/// Submits messages one after the other, sends SIGTERM after the first 20, and stops 0.9 s after SIGTERM.
/// Returns the ids of the accepted messages.
fn submit_until_shortly_before_sigkill(sender: &SenderProcess) -> Vec<String> {
    let mut accepted = Vec::new();
    let mut open_connection = None;
    let mut terminated_at: Option<Instant> = None;
    let start = Instant::now();
    for number in 0.. {
        if number == 20 {
            sender.signal(Signal::Terminate);
            terminated_at = Some(Instant::now());
        }
        let is_time_up = terminated_at.is_some_and(|at| at.elapsed() > Duration::from_millis(900));
        if is_time_up || start.elapsed() > TIMEOUT {
            break;
        }
        let mut connection = match open_connection.take() {
            Some(connection) => connection,
            None => match TcpStream::connect(sender.address) {
                Ok(stream) => BufReader::new(stream),
                // The process has already exited.
                Err(_) => break,
            },
        };
        connection.get_ref().set_read_timeout(Some(TIMEOUT)).unwrap();
        let id = format!("m{number}");
        if connection.get_mut().write_all(submission(&id, 20_000, "x").as_bytes()).is_err() {
            continue;
        }
        // The sender may close the connection while this request is in transit. The message is then dropped,
        // and the next one is submitted under another id.
        let Some(answer) = read_message(&mut connection) else { continue };
        if answer.start_line == ACCEPTED {
            accepted.push(id);
        }
        if !answer.headers.contains_key("connection") {
            open_connection = Some(connection);
        }
        sleep(Duration::from_millis(2));
    }
    accepted
}
