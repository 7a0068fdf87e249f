//! What operators do by the management listener, on loopback sockets.

mod common;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::{line, message, read_message, Discovery, Endpoint, Reply, Sender, Terms, LONG, OK, TAKEN_ON};

struct Stage {
    folder: tempfile::TempDir,
    discovery: Discovery,
    endpoint: Endpoint,
}

impl Stage {
    fn new(script: Vec<Reply>) -> Self {
        let endpoint = Endpoint::start(script);
        let discovery = Discovery::start(vec![line("s-1", endpoint.address, 7, "up")]);
        Self { folder: tempfile::tempdir().unwrap(), discovery, endpoint }
    }

    fn sender(&self) -> Sender {
        let state = self.folder.path().join("state");
        std::fs::create_dir_all(&state).unwrap();
        Sender::start(&state, &self.discovery, self.known(), &Terms::default())
    }

    fn known(&self) -> Vec<serde_json::Value> {
        vec![line("s-1", self.endpoint.address, 7, "up")]
    }
}

/// Guards against a yes to what nobody serves, and against a panic or a silence on any input.
#[test]
fn calls_that_mean_nothing_get_a_no() {
    let stage = Stage::new(vec![OK]);
    let sender = stage.sender();
    assert_eq!(sender.operate("GET", "/status", "").0, 200);
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
        assert_eq!(sender.operate(method, path, body).0, status, "{method} {path} {body:?}");
    }
    let mut stream = TcpStream::connect(sender.management).unwrap();
    stream.write_all(b"what?\r\n\r\n").unwrap();
    assert!(read_message(&mut BufReader::new(stream)).unwrap().line.contains(" 400 "));
    // Putting back what is not out is no change, and so no error.
    assert_eq!(sender.operate("POST", "/maintenance/exit", "s-1").0, 200);
}

/// Guards against callers that hold up others: far more of them than there are seats say nothing.
#[test]
fn silent_callers_hold_up_no_other_and_are_closed() {
    let stage = Stage::new(vec![OK]);
    let sender = stage.sender();
    let silent: Vec<_> = (0..60).map(|_| TcpStream::connect(sender.management).unwrap()).collect();
    let since = Instant::now();
    for _ in 0..20 {
        assert_eq!(sender.operate("GET", "/status", "").0, 200);
    }
    assert!(since.elapsed() < Duration::from_secs(5), "{:?}", since.elapsed());
    for stream in silent {
        stream.set_read_timeout(Some(common::LONG)).unwrap();
        assert!(read_message(&mut BufReader::new(stream)).is_none());
    }
}

/// Guards against figures that are absent before their first count, or count twice or not at all.
#[test]
fn each_message_is_counted_once_where_it_ends() {
    let stage =
        Stage::new(vec![OK, Reply::Answer("500 Oops\r\n"), OK, Reply::Answer("410 Gone\r\n"), Reply::Hang]);
    let sender = stage.sender();
    let names = ["passed.notice", "dropped.notice", "bad_gateway.notice", "upstream_tries", "in_progress"];
    let figures = || names.map(|name| sender.figure(name));
    assert_eq!(figures(), [0; 5]);
    sender.await_figure("known_endpoints", 1);
    assert_eq!(sender.figure("skipped_endpoints"), 0);
    assert_eq!(sender.hand_in("m1", 20_000, "x"), TAKEN_ON);
    sender.await_figure("passed.notice", 1);
    assert_eq!(sender.hand_in("m2", 20_000, "x"), TAKEN_ON);
    sender.await_figure("passed.notice", 2);
    sender.await_figure("in_progress", 0);
    assert_eq!(figures(), [2, 0, 0, 3, 0]);
    // Over without a delivery, and without a notice.
    assert_eq!(sender.hand_in("m3", 20_000, "x"), TAKEN_ON);
    sender.await_figure("bad_gateway.notice", 1);
    // Without an answer it is held, tried again while that leaves room, and then given up: it may have run.
    assert_eq!(sender.hand_in("m4", 1_500, "x"), TAKEN_ON);
    let since = Instant::now();
    while sender.figure("upstream_tries") < 5 {
        assert!(since.elapsed() < LONG, "it is called");
    }
    assert_eq!(sender.figure("in_progress"), 1);
    assert_eq!(stage.discovery.notice()["result"], "dead");
    sender.await_figure("in_progress", 0);
    let calls = stage.endpoint.calls.try_iter().count() as u64;
    assert!(calls >= 5, "{calls}");
    assert_eq!(figures(), [2, 0, 2, calls, 0]);
    // Never tried: its subject rests, and then its time is up.
    stage.discovery.tell(vec![line("s-1", stage.endpoint.address, 7, "draining")]);
    sender.await_figure("skipped_endpoints", 1);
    assert_eq!(sender.hand_in("m5", 500, "x"), TAKEN_ON);
    assert_eq!(stage.discovery.notice()["result"], "bounced");
    sender.await_figure("dropped.notice", 1);
    sender.await_figure("in_progress", 0);
    assert_eq!(figures(), [2, 1, 2, calls, 0]);
}

/// Guards against calls to an endpoint that an operator works on: whatever discovery lists, how often the operator
/// called, and though the process was killed.
#[test]
fn an_endpoint_taken_out_by_hand_gets_nothing_until_it_is_put_back() {
    let stage = Stage::new(vec![OK]);
    let sender = stage.sender();
    for _ in 0..2 {
        assert_eq!(sender.operate("POST", "/maintenance/enter", "s-1\n").0, 200);
    }
    sender.await_figure("skipped_endpoints", 1);
    assert_eq!(sender.hand_in("m1", 20_000, "x"), TAKEN_ON);
    stage.discovery.tell(vec![line("s-1", stage.endpoint.address, 7, "removed")]);
    sender.await_figure("known_endpoints", 0);
    sender.kill();
    stage.discovery.tell(stage.known());
    let sender = stage.sender();
    sender.await_figure("known_endpoints", 1);
    sender.await_figure("skipped_endpoints", 1);
    assert_eq!(sender.hand_in("m2", 20_000, "x"), TAKEN_ON);
    // A resumed message waits 0.9 s at most before it goes.
    std::thread::sleep(Duration::from_millis(1_200));
    assert!(stage.endpoint.is_quiet());
    assert_eq!(sender.operate("POST", "/maintenance/exit", "s-1").0, 200);
    let mut ids =
        [stage.endpoint.next(), stage.endpoint.next()].map(|call| call.headers["x-call-id"].clone());
    ids.sort();
    assert_eq!(ids, ["m1", "m2"]);
    sender.await_figure("skipped_endpoints", 0);
}

/// Guards against clients that are kept by a sender they were sent away from, against answers that are lost on the
/// way, and against a sender that does not come back.
#[test]
fn a_drained_sender_sends_clients_away_and_comes_back() {
    let stage = Stage::new(vec![OK]);
    let sender = stage.sender();
    let health = || sender.ask(b"GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n").unwrap().line;
    let whole = message("m2", 20_000, "a body");
    let (mut idle, mut half) = (sender.connect(), sender.connect());
    idle.write_all(message("m1", 20_000, "x").as_bytes()).unwrap();
    let mut idle = BufReader::new(idle);
    assert_eq!(read_message(&mut idle).unwrap().line, TAKEN_ON);
    half.write_all(&whole.as_bytes()[..40]).unwrap();
    assert!(health().contains(" 200 "));
    for _ in 0..2 {
        assert_eq!(sender.operate("POST", "/standby", "").0, 200);
    }
    let since = Instant::now();
    assert!(health().contains(" 503 "));
    assert_eq!(sender.operate("GET", "/status", "").0, 503);
    assert!(read_message(&mut idle).is_none(), "an idle connection is closed");
    half.write_all(&whole.as_bytes()[40..]).unwrap();
    let mut half = BufReader::new(half);
    let answer = read_message(&mut half).expect("what was begun is answered");
    assert_eq!((answer.line.as_str(), answer.headers["connection"].as_str()), (TAKEN_ON, "close"));
    assert!(read_message(&mut half).is_none());
    // The front notices only after a while: one that still comes is served, and one that says nothing is closed.
    let silent = sender.connect();
    assert_eq!(sender.hand_in("m3", 20_000, "x"), TAKEN_ON);
    assert!(read_message(&mut BufReader::new(silent)).is_none());
    assert!(since.elapsed() < Duration::from_secs(4), "{:?}", since.elapsed());
    for _ in 0..3 {
        stage.endpoint.next();
    }
    assert_eq!(sender.operate("POST", "/active", "").0, 200);
    assert!(health().contains(" 200 "));
    assert_eq!(sender.operate("GET", "/status", "").0, 200);
    assert_eq!(sender.hand_in("m4", 20_000, "x"), TAKEN_ON);
}

/// Guards against a process that an operator calls back to work though it is about to end.
#[test]
fn a_sender_that_was_told_to_end_does_not_come_back() {
    let stage = Stage::new(vec![Reply::Hang]);
    let sender = stage.sender();
    assert_eq!(sender.hand_in("m1", 20_000, "x"), TAKEN_ON);
    stage.endpoint.next();
    sender.signal("-TERM");
    sender.await_log(&["draining"]);
    assert_eq!(sender.operate("POST", "/active", "").0, 503);
    assert_eq!(sender.operate("GET", "/status", "").0, 503);
}
