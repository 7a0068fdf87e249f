//! Requests whose connection the sender ends before they are complete or decided on. Each gets an answer that
//! tells its client whether it may submit the message again.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use support::client::{submission, ACCEPTED};
use support::configuration::SenderOptions;
use support::endpoint::{Reply, OK};
use support::environment::Environment;
use support::sender_process::{SenderProcess, Signal};

/// Longest time from SIGTERM to the end of the process.
const LONGEST_SHUTDOWN: Duration = Duration::from_millis(3_700);

/// Opens a connection and writes all but the last byte of a submission.
fn connect_and_write_part(sender: &SenderProcess, id: &str) -> BufReader<TcpStream> {
    let text = submission(id, 20_000, "x");
    let mut stream = sender.connect();
    stream.write_all(&text.as_bytes()[..text.len() - 1]).unwrap();
    BufReader::new(stream)
}

/// Reads an answer without a body; returns its status code, or `None` if the connection ends without a complete
/// one. The support library's reader needs the address of the peer, which a connection that is closed in both
/// directions does not have.
fn read_status(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    head.split(' ').nth(1).map(str::to_owned)
}

/// Waits until the connection has been accepted and something of it has been read: then nothing is left in
/// the receive queue of the sender's socket, which only the sender's own log could show. The time is generous.
fn wait_until_read() {
    sleep(Duration::from_millis(200));
}

/// Guards against closing a connection without an answer when the time for its request is over: the client may
/// have written its last byte in the meantime.
#[test]
fn request_that_is_not_complete_in_time_is_answered() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    let mut stream = connect_and_write_part(&sender, "m1");
    assert_eq!(read_status(&mut stream).as_deref(), Some("408"));
    assert!(environment.endpoint.has_no_call());
}

/// Guards against closing a connection without an answer when a new connection needs its slot, although part of
/// a request has been read from it.
#[test]
fn request_whose_connection_is_evicted_is_answered() {
    let options = SenderOptions { max_descriptors: 128, ..SenderOptions::default() };
    let environment = Environment::with_options(vec![OK], options);
    let sender = environment.start_sender();
    let mut streams: Vec<_> =
        (0..60).map(|number| connect_and_write_part(&sender, &format!("m{number}"))).collect();
    let statuses: Vec<_> = streams.iter_mut().map(read_status).collect();
    let evicted = statuses.iter().filter(|status| status.as_deref() == Some("503")).count();
    let unanswered = statuses.iter().filter(|status| status.is_none()).count();
    assert_eq!(unanswered, 0, "{statuses:?}");
    assert!(evicted > 0, "{statuses:?}");
    assert!(environment.endpoint.has_no_call());
}

/// Guards against a process that ends while part of a request has been read, without an answer to it.
#[test]
fn request_that_is_not_complete_at_the_end_of_a_drain_is_answered() {
    let environment = Environment::new(vec![Reply::NoAnswer]);
    let mut sender = environment.start_sender();
    // The call that hangs keeps the process draining for as long as possible.
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    sender.signal(Signal::Terminate);
    let terminated_at = Instant::now();
    sleep(Duration::from_millis(2_500));
    let mut stream = connect_and_write_part(&sender, "m2");
    assert_eq!(read_status(&mut stream).as_deref(), Some("503"));
    assert!(sender.wait().success());
    assert!(terminated_at.elapsed() < LONGEST_SHUTDOWN, "{:?}", terminated_at.elapsed());
}

/// Guards against dropping a request because its client has shut down its sending side and only waits for the
/// answer.
#[test]
fn request_of_a_half_closed_client_is_answered() {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    for number in 0..20 {
        let mut stream = sender.connect();
        stream.write_all(submission(&format!("m{number}"), 20_000, "x").as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let status = read_status(&mut BufReader::new(stream)).expect("the sender did not answer");
        match status.as_str() {
            "202" => assert_eq!(environment.endpoint.next_call().message_id(), format!("m{number}")),
            "500" => {}
            other => panic!("status {other}"),
        }
    }
    // A withdrawn message is never sent.
    sleep(Duration::from_millis(200));
    assert!(environment.endpoint.has_no_call());
}

/// Guards against a refusal, which says that a message was not sent, of a message that was accepted before: its
/// client submits it again under the same id while the sender gives it up after attempts.
#[test]
fn message_submitted_again_while_it_is_given_up_is_not_refused() {
    let environment = Environment::new(vec![Reply::Answer("429 Busy\r\nX-Come-Back-Ms: 30000\r\n")]);
    let sender = environment.start_sender();
    let start = Instant::now();
    assert_eq!(sender.submit("m1", 1_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    // A message without an attempt in flight is given up 50 ms before its deadline.
    while start.elapsed() < Duration::from_millis(900) {
        sleep(Duration::from_millis(1));
    }
    let mut refused = 0;
    while start.elapsed() < Duration::from_millis(1_000) {
        refused += usize::from(sender.submit("m1", 20_000, "x").contains("503"));
    }
    assert_eq!(refused, 0);
}

/// Guards against a process that leaves a request unanswered because the signals to end it come in a series
/// and it is suspended in between: clients use their connections until SIGKILL.
#[test]
fn requests_until_sigkill_are_answered_or_unread() {
    let environment = Environment::new(vec![Reply::NoAnswer]);
    let mut sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    sender.suspend();
    sender.signal(Signal::Terminate);
    let terminated_at = Instant::now();
    sleep(Duration::from_millis(150));
    sender.resume();
    let mut unanswered = Vec::new();
    let mut number = 0;
    while let Ok(mut stream) = TcpStream::connect(sender.address) {
        stream.set_read_timeout(Some(LONGEST_SHUTDOWN)).unwrap();
        number += 1;
        let text = submission(&format!("late{number}"), 20_000, "x");
        let (first, rest) = text.as_bytes().split_at(60);
        if stream.write_all(first).is_err() {
            continue;
        }
        wait_until_read();
        // Without a successful write of the rest, the client has not submitted the message.
        let written = stream.write_all(rest);
        let mut stream = BufReader::new(stream);
        if read_status(&mut stream).is_none() && written.is_ok() {
            unanswered.push((number, terminated_at.elapsed(), stream.get_ref().take_error()));
        }
        if terminated_at.elapsed() > LONGEST_SHUTDOWN {
            break;
        }
    }
    assert!(sender.wait().success());
    assert!(terminated_at.elapsed() < LONGEST_SHUTDOWN, "{:?}", terminated_at.elapsed());
    assert!(unanswered.is_empty(), "{unanswered:?}");
}

/// Guards against a process that still has to answer a request when SIGKILL comes, because it is suspended at the
/// beginning of its shutdown and once more at the end.
#[test]
fn process_that_is_suspended_in_its_shutdown_ends_before_sigkill() {
    let environment = Environment::new(vec![Reply::NoAnswer]);
    let mut sender = environment.start_sender();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    let terminated_at = Instant::now();
    let sleep_until = |millis| {
        sleep(Duration::from_millis(millis).saturating_sub(terminated_at.elapsed()));
    };
    sender.suspend();
    sender.signal(Signal::Terminate);
    sleep_until(150);
    sender.resume();
    sleep_until(3_000);
    let mut stream = connect_and_write_part(&sender, "m2");
    sleep_until(3_440);
    sender.suspend();
    sleep_until(3_590);
    sender.resume();
    assert_eq!(read_status(&mut stream).as_deref(), Some("503"));
    assert!(sender.wait().success());
    assert!(terminated_at.elapsed() < LONGEST_SHUTDOWN, "{:?}", terminated_at.elapsed());
}
