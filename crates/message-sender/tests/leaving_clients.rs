//! Clients that leave with much unread, come again under the same id, and meet an upgrade.

mod support;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::SockRef;
use support::client::submission;
use support::configuration::{Idempotency, SenderOptions};
use support::endpoint::OK;
use support::environment::Environment;
use support::sender_process::{SenderProcess, Signal};

/// Length of the longest body that the protocol allows, in bytes.
const LONGEST_BODY: usize = 64 * 1024;
/// Number of clients that stop within a large body, and hold all of the memory for bodies.
const STOPPED: usize = 60;
/// Number of clients that leave.
const LEAVING: usize = 120;
/// Longest time after its last byte at which a client leaves, in milliseconds.
const LONGEST_STAY_MS: u64 = 30;
/// Time from the end of the last client within which calls that were under way have arrived.
const SETTLE_TIME: Duration = Duration::from_secs(1);

fn start() -> (Environment, SenderProcess) {
    let options = SenderOptions {
        memory_mb: 32,
        max_descriptors: 1024,
        idempotency: Idempotency::Never,
        disk_mb: 40.0,
        buffer_capacity: 1_000,
        ..SenderOptions::default()
    };
    let environment = Environment::with_options(vec![OK], options);
    let sender = environment.start_sender();
    environment.discovery.await_watch_after(1);
    (environment, sender)
}

/// Opens connections that stop before the last byte of a large request.
fn open_stopped(sender: &SenderProcess) -> Vec<TcpStream> {
    let long = submission("stopped", 10_000, &"x".repeat(LONGEST_BODY));
    let connect = |_| {
        let mut stream = sender.connect();
        let _ = stream.write_all(&long.as_bytes()[..long.len() - 1]);
        stream
    };
    (0..STOPPED).map(connect).collect()
}

/// Writes a whole large request and leaves soon after it, with a reset if `resets` is set.
fn submit_and_leave(sender: SocketAddr, id: &str, stay: Duration, resets: bool) {
    let mut stream = TcpStream::connect(sender).unwrap();
    let text = submission(id, 10_000, &"x".repeat(LONGEST_BODY));
    // Fails if the sender has rejected the request for lack of memory.
    let _ = stream.write_all(text.as_bytes());
    thread::sleep(stay);
    if resets {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

fn stay(number: usize) -> Duration {
    Duration::from_millis(number as u64 % (LONGEST_STAY_MS + 1))
}

/// Waits until no message is open, and returns how often each message was called.
fn count_calls(environment: &Environment, sender: &SenderProcess) -> BTreeMap<String, usize> {
    thread::sleep(SETTLE_TIME);
    sender.await_metric("in_progress", 0);
    let mut calls = BTreeMap::new();
    for call in environment.endpoint.calls.try_iter() {
        *calls.entry(call.message_id().to_owned()).or_default() += 1;
    }
    calls
}

/// Guards against an id that runs twice because its client left the old process of an upgrade and came again at the new
/// one, while both have no memory left for bodies.
#[test]
fn requests_that_come_again_at_the_successor_run_at_most_once() {
    let (environment, mut predecessor) = start();
    let _stopped = open_stopped(&predecessor);
    let address = predecessor.address;
    let successor = thread::scope(|scope| {
        let leaving = scope.spawn(|| {
            for number in 0..LEAVING {
                submit_and_leave(address, &format!("m{number}"), stay(number), number % 2 == 0);
            }
        });
        let successor = environment.start_sender();
        let _stopped_too = open_stopped(&successor);
        leaving.join().unwrap();
        for number in 0..LEAVING {
            successor.submit(&format!("m{number}"), 10_000, "x");
        }
        successor
    });
    predecessor.signal(Signal::Terminate);
    assert!(predecessor.wait().success());
    let calls = count_calls(&environment, &successor);
    assert!(calls.values().all(|count| *count == 1), "{calls:?}");
    assert_eq!(calls.len(), LEAVING);
}
