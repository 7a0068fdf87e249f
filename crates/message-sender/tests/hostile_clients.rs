//! Clients that violate HTTP or occupy resources that other clients need.

mod support;

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use support::client::{submission, ACCEPTED};
use support::endpoint::OK;
use support::environment::Environment;
use support::http::{read_message, write_byte_by_byte, HttpMessage};
use support::sender_process::SenderProcess;
use support::TIMEOUT;

/// Time within which a client waits for its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);

/// Starts a sender and waits until it has the endpoint list, so that it knows which destinations exist.
fn start() -> (Environment, SenderProcess) {
    let environment = Environment::new(vec![OK]);
    let sender = environment.start_sender();
    environment.discovery.await_watch_after(1);
    (environment, sender)
}

/// Submits a message; returns the status line of the answer, and the connection, which stays open.
fn submit_and_stay_connected(sender: &SenderProcess, id: &str) -> (String, TcpStream) {
    let mut stream = sender.connect();
    stream.write_all(submission(id, 10_000, "x").as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    let answer = read_message(&mut reader).expect("the sender did not answer");
    (answer.start_line, reader.into_inner())
}

/// Waits until the sender closes the connection, and checks that it sends no answer.
fn assert_closed(mut stream: TcpStream) {
    match stream.read(&mut [0; 64]) {
        Ok(0) => {}
        Ok(_) => panic!("the sender answered a connection without a request"),
        Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset),
    }
}

/// Guards against idle connections that occupy all connection slots, so that new clients wait in the listen
/// backlog.
#[test]
fn idle_connections_do_not_exclude_other_clients() {
    let (environment, sender) = start();
    let mut open_connections = Vec::new();
    for number in 0..400 {
        let (status_line, stream) = submit_and_stay_connected(&sender, &format!("m{number}"));
        assert_eq!(status_line, ACCEPTED);
        environment.endpoint.next_call();
        open_connections.push(stream);
    }
}

/// Guards against hundreds of connections that send nothing and keep out other clients, or that are never
/// closed.
#[test]
fn silent_connections_exclude_no_client_and_are_closed() {
    let (_environment, sender) = start();
    let silent: Vec<_> = (0..400).map(|_| sender.connect()).collect();
    assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
    for stream in silent {
        assert_closed(stream);
    }
}

/// Guards against new clients that wait while stopped connections are closed for them, one after the other, each
/// for as long as its client takes to read its answer.
#[test]
fn stopped_connections_delay_no_other_client() {
    let (_environment, sender) = start();
    let stop_in_head = |_| {
        let mut stream = sender.connect();
        stream.write_all(b"POST /notice HTTP/1.1\r\n").unwrap();
        stream
    };
    let _stopped: Vec<_> = (0..400).map(stop_in_head).collect();
    for number in 0..10 {
        let start = Instant::now();
        assert_eq!(sender.submit(&format!("m{number}"), 20_000, "x"), ACCEPTED);
        assert!(start.elapsed() < CLIENT_TIMEOUT, "{:?}", start.elapsed());
    }
}

/// Guards against a request timeout that starts again with each byte received.
#[test]
fn endless_request_is_closed_though_bytes_keep_arriving() {
    let (environment, sender) = start();
    let large = submission("m1", 20_000, &"x".repeat(9_000));
    let endless_head = "POST /notice HTTP/1.1\r\nX-A: ";
    let endless_body = large.split_at(1_000).0;
    for beginning in [endless_head, endless_body] {
        let mut stream = sender.connect();
        stream.write_all(beginning.as_bytes()).unwrap();
        let start = Instant::now();
        while stream.write_all(b"y").is_ok() {
            assert!(start.elapsed() < TIMEOUT);
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    assert!(environment.endpoint.has_no_call());
}

/// Guards against request smuggling: forwarding bytes that another HTTP parser would read as a further
/// request.
#[test]
fn request_that_may_smuggle_another_is_not_forwarded() {
    let (environment, sender) = start();
    let chunked = submission("m1", 20_000, "0\r\n\r\n")
        .replace("X-Consignee", "Transfer-Encoding: chunked\r\nX-Consignee");
    let pipelined = submission("m1", 20_000, "x") + &submission("m2", 20_000, "x");
    let longer = submission("m1", 20_000, "x") + "y";
    let twice = submission("m1", 20_000, "xx").replace("X-Consignee", "Content-Length: 1\r\nX-Consignee");
    for text in [chunked, pipelined, longer, twice] {
        let mut stream = sender.connect();
        stream.write_all(text.as_bytes()).unwrap();
        let mut reader = BufReader::new(stream);
        let answer = read_message(&mut reader).expect("the sender did not answer");
        assert!(
            answer.start_line.contains(" 400 ") || answer.start_line.contains(" 501 "),
            "{} to {text}",
            answer.start_line
        );
        assert!(read_message(&mut reader).is_none());
    }
    assert_eq!(sender.submit("m3", 20_000, "x"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "m3");
    assert!(environment.endpoint.has_no_call());
}

/// Guards against reading the body of a request that its head already makes invalid, and against buffering a
/// message that cannot be delivered.
#[test]
fn undeliverable_request_is_rejected_by_its_head() {
    let (environment, sender) = start();
    let good = submission("m1", 20_000, "");
    let cases = [
        (good.replace("Content-Length: 0", "Content-Length: 60000000"), " 413 "),
        (good.replace("Content-Length: 0", "Content-Length: -5"), " 400 "),
        (good.replace("dest=7", "dest=8"), " 404 "),
        (good.replace("Budget-Ms: 20000", "Budget-Ms: 99999999999999999999999"), " 400 "),
        (good.replace("Budget-Ms: 20000", "Budget-Ms: 0"), " 503 "),
    ];
    for (text, status) in cases {
        let answer = sender.request(&text).expect("the sender did not answer");
        assert!(answer.start_line.contains(status), "{} to {text}", answer.start_line);
    }
    assert!(environment.endpoint.has_no_call());
}

/// Guards against losing a request, or reading it as two, because it arrives one byte at a time.
#[test]
fn request_in_single_bytes_is_accepted() {
    let (environment, sender) = start();
    let mut stream = BufReader::new(sender.connect());
    for id in ["m1", "m2"] {
        write_byte_by_byte(stream.get_mut(), submission(id, 10_000, "in pieces").as_bytes()).unwrap();
        assert_eq!(read_message(&mut stream).expect("the sender did not answer").start_line, ACCEPTED);
        let call = environment.endpoint.next_call();
        assert_eq!((call.message_id(), call.body.as_slice()), (id, b"in pieces".as_slice()));
    }
}

/// Guards against leaking connection slots, file descriptors or messages when a client disconnects, whatever
/// part of its request it has sent by then.
#[test]
fn disconnected_clients_leak_nothing() {
    let (environment, sender) = start();
    assert_eq!(sender.submit("m", 10_000, "x"), ACCEPTED);
    environment.endpoint.next_call();
    let before = sender.open_descriptors();
    for number in 0..300 {
        let text = submission(&format!("m{number}"), 10_000, "x");
        // Nothing, part of the head, all but the last byte, or all of it without waiting for the answer.
        let sent = [0, 20, text.len() - 1, text.len()][number % 4];
        sender.connect().write_all(&text.as_bytes()[..sent]).unwrap();
    }
    let start = Instant::now();
    while sender.open_descriptors() > before + 3 || sender.metric("in_progress") > 0 {
        assert!(start.elapsed() < TIMEOUT, "{} descriptors, {before} before", sender.open_descriptors());
        std::thread::sleep(Duration::from_millis(50));
    }
    // Complete requests were forwarded or withdrawn; nothing else was forwarded.
    let calls: Vec<_> = environment.endpoint.calls.try_iter().collect();
    let was_complete = |call: &HttpMessage| {
        let number = call.message_id().trim_start_matches('m').parse::<usize>();
        number.is_ok_and(|number| number % 4 == 3)
    };
    assert!(calls.iter().all(was_complete));
    assert_eq!(sender.submit("n", 10_000, "x"), ACCEPTED);
    assert_eq!(environment.endpoint.next_call().message_id(), "n");
}
