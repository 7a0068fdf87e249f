//! Clients that make the sender hold as much memory as they can, with the least memory and the most descriptors
//! that the platform gives.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use support::client::{submission, ACCEPTED};
use support::configuration::SenderOptions;
use support::discovery::endpoint_line;
use support::endpoint::OK;
use support::environment::Environment;
use support::sender_process::SenderProcess;

/// Least memory that the platform gives, in megabytes.
const MEMORY_MB: u64 = 32;
/// Most descriptors that the platform gives.
const MAX_DESCRIPTORS: usize = 1024;
/// Number of clients that stop: more than the share of the descriptors that clients use.
const CROWD: usize = 400;
/// Most endpoints that discovery lists.
const MOST_ENDPOINTS: u64 = 3_200;
/// Length of the longest body that the protocol allows, in bytes.
const LONGEST_BODY: usize = 64 * 1024;
/// Time within which a client waits for its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a crowd is watched; the sender closes its connections within this time.
const CROWD_TIME: Duration = Duration::from_millis(2_800);
/// Interval between the submissions of the client that is not part of a crowd.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a sender with the least memory, which knows the endpoint list.
fn start() -> (Environment, SenderProcess) {
    let options =
        SenderOptions { memory_mb: MEMORY_MB, max_descriptors: MAX_DESCRIPTORS, ..SenderOptions::default() };
    let environment = Environment::with_options(vec![OK], options);
    let sender = environment.start_sender();
    environment.discovery.await_watch_after(1);
    (environment, sender)
}

/// Opens the connections of a crowd, each of which sends this text and stays. Fails for none: the sender may
/// close a connection at any time.
fn crowd(sender: &SenderProcess, text: &[u8]) -> Vec<TcpStream> {
    let connect = |_| {
        let mut stream = sender.connect();
        stream.set_write_timeout(Some(CLIENT_TIMEOUT)).unwrap();
        let _ = stream.write_all(text);
        stream
    };
    (0..CROWD).map(connect).collect()
}

/// Submits small messages while a crowd is there, and checks that each is accepted in time and that the sender
/// stays within its memory. `while_waiting` is called between two submissions.
fn assert_serves_within_memory(name: &str, sender: &SenderProcess, mut while_waiting: impl FnMut()) {
    let start = Instant::now();
    let mut most = 0;
    for number in 0.. {
        if start.elapsed() > CROWD_TIME {
            break;
        }
        let submitted_at = Instant::now();
        assert_eq!(sender.submit(&format!("{name}-{number}"), 10_000, "x"), ACCEPTED);
        assert!(submitted_at.elapsed() < CLIENT_TIMEOUT, "{name}: {:?}", submitted_at.elapsed());
        while_waiting();
        most = sender.anonymous_memory().max(most);
        assert!(most <= MEMORY_MB * 1_000_000, "{name}: the sender took {most} bytes");
        thread::sleep(SUBMISSION_INTERVAL);
    }
    println!("{name}: at most {most} bytes");
}

/// Guards against clients that stop in the middle of a request and take the sender over its memory, because only
/// their number is limited and not what each of them makes the sender hold.
#[test]
fn clients_that_stop_in_the_middle_of_a_request_do_not_exceed_the_memory() {
    let long = submission("stopped", 10_000, &"x".repeat(LONGEST_BODY));
    let endless_head = format!("POST /notice HTTP/1.1\r\nX-A: {}", "y".repeat(LONGEST_BODY));
    for (name, text) in
        [("body", &long[..long.len() - 1]), ("half", &long[..long.len() / 2]), ("head", &endless_head)]
    {
        let (_environment, sender) = start();
        let _crowd = crowd(&sender, text.as_bytes());
        assert_serves_within_memory(name, &sender, || {});
    }
}

/// Guards against two processes of an upgrade that take more memory together than the platform gives to one
/// sender, each with a crowd of its own, and both with the longest list of endpoints.
#[test]
fn both_processes_of_an_upgrade_stay_within_the_memory() {
    let (environment, predecessor) = start();
    let line = |number| endpoint_line(&format!("s-{number}"), environment.endpoint.address, 7, "up");
    environment.discovery.publish((1..=MOST_ENDPOINTS).map(line).collect());
    predecessor.await_metric("known_endpoints", MOST_ENDPOINTS);
    let long = submission("stopped", 10_000, &"x".repeat(LONGEST_BODY));
    let stopped = &long.as_bytes()[..long.len() - 1];
    let _first_crowd = crowd(&predecessor, stopped);
    let successor = environment.start_sender();
    let _second_crowd = crowd(&successor, stopped);
    let start = Instant::now();
    let mut most = 0;
    while start.elapsed() < CROWD_TIME {
        most = (predecessor.anonymous_memory() + successor.anonymous_memory()).max(most);
        thread::sleep(SUBMISSION_INTERVAL);
    }
    println!("upgrade: at most {most} bytes");
    assert!(most <= MEMORY_MB * 1_000_000, "both processes took {most} bytes together");
}

/// Guards against clients whose bodies never stop to arrive, a byte at a time, and keep their memory as long as
/// that.
#[test]
fn clients_whose_bodies_trickle_do_not_exceed_the_memory() {
    let (_environment, sender) = start();
    let long = submission("stopped", 10_000, &"x".repeat(LONGEST_BODY));
    let mut crowd = crowd(&sender, &long.as_bytes()[..LONGEST_BODY / 2]);
    assert_serves_within_memory("trickle", &sender, || {
        for stream in &mut crowd {
            let _ = stream.write_all(b"x");
        }
    });
}

/// Guards against a sender that rejects long messages for as long as others hold all of the memory for bodies.
#[test]
fn long_messages_are_accepted_while_others_hold_the_memory() {
    let (_environment, sender) = start();
    let long = submission("stopped", 10_000, &"x".repeat(LONGEST_BODY));
    let _crowd = crowd(&sender, &long.as_bytes()[..long.len() - 1]);
    let body = "y".repeat(LONGEST_BODY);
    for number in 0..10 {
        let submitted_at = Instant::now();
        assert_eq!(sender.submit(&format!("m{number}"), 10_000, &body), ACCEPTED);
        assert!(submitted_at.elapsed() < CLIENT_TIMEOUT, "{:?}", submitted_at.elapsed());
    }
}

/// Guards against memory that stays reserved for requests that have ended, so that long messages are rejected
/// for ever.
#[test]
fn memory_for_bodies_returns_after_the_clients_have_left() {
    let (environment, sender) = start();
    let long = submission("stopped", 10_000, &"x".repeat(LONGEST_BODY));
    for cut in [long.len() / 2, long.len() - 1, long.len()] {
        drop(crowd(&sender, &long.as_bytes()[..cut]));
    }
    sender.await_metric("in_progress", 0);
    let body = "y".repeat(LONGEST_BODY);
    for number in 0..200 {
        assert_eq!(sender.submit(&format!("m{number}"), 10_000, &body), ACCEPTED);
        environment.endpoint.next_call();
    }
}
