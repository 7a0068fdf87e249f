//! Events that cross a process's end, on loopback sockets. What must hold is listed in `docs/crossings.md`.

mod common;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::{line, message, read_message, Discovery, Endpoint, Reply, Sender, Terms, LONG, OK, TAKEN_ON};

struct Stage {
    _folder: tempfile::TempDir,
    state: PathBuf,
    discovery: Discovery,
    endpoint: Endpoint,
    terms: Terms,
}

impl Stage {
    fn new(script: Vec<Reply>, terms: Terms) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let state = folder.path().join("state");
        std::fs::create_dir(&state).unwrap();
        let endpoint = Endpoint::start(script);
        let discovery = Discovery::start(vec![line("s-1", endpoint.address, 7, "up")]);
        Self { _folder: folder, state, discovery, endpoint, terms }
    }

    fn known(&self) -> Vec<serde_json::Value> {
        vec![line("s-1", self.endpoint.address, 7, "up")]
    }

    fn sender(&self) -> Sender {
        Sender::start(&self.state, &self.discovery, self.known(), &self.terms)
    }
}

/// A client's connection, with so much of a message written on it.
fn write_part(sender: &Sender, text: &str, part: usize) -> BufReader<TcpStream> {
    let mut stream = BufReader::new(sender.connect());
    stream.get_mut().write_all(&text.as_bytes()[..part]).unwrap();
    stream
}

fn status_after(stream: &mut BufReader<TcpStream>, rest: &str) -> Option<String> {
    stream.get_mut().write_all(rest.as_bytes()).ok()?;
    read_message(stream).map(|seen| seen.line)
}

/// Guards against a connection that is taken for idle, and closed, with a request half read on it: its client may have
/// written all of it.
#[test]
fn a_request_that_is_half_read_at_sigterm_is_answered() {
    let stage = Stage::new(vec![OK], Terms::default());
    let sender = stage.sender();
    let (first, second) = (message("m1", 20_000, "x"), message("m2", 20_000, "x"));
    // On a connection that is kept, and within the head.
    let mut stream = write_part(&sender, &first, first.len());
    assert_eq!(read_message(&mut stream).unwrap().line, TAKEN_ON);
    stream.get_mut().write_all(&second.as_bytes()[..40]).unwrap();
    // It is read at once; nothing tells so from outside.
    sleep(Duration::from_millis(300));
    sender.signal("-TERM");
    sender.await_log(&["draining"]);
    assert_eq!(status_after(&mut stream, &second[40..]).as_deref(), Some(TAKEN_ON));
    assert_eq!(stage.endpoint.next().headers["x-call-id"], "m1");
    assert_eq!(stage.endpoint.next().headers["x-call-id"], "m2");
}

/// Guards against a process that ends, with nothing left to do, under a request that it is still reading.
#[test]
fn a_process_with_nothing_else_to_do_waits_for_a_request_on_its_way() {
    let stage = Stage::new(vec![OK], Terms::default());
    let mut sender = stage.sender();
    sender.signal("-TERM");
    sender.await_log(&["draining"]);
    let text = message("m1", 20_000, "x");
    let mut stream = write_part(&sender, &text, text.len() - 1);
    // Idle, it would have left after one second.
    sleep(Duration::from_millis(1_400));
    assert_eq!(status_after(&mut stream, "x").as_deref(), Some(TAKEN_ON));
    assert_eq!(stage.endpoint.next().headers["x-call-id"], "m1");
    assert!(sender.wait().success());
}

/// Guards against messages taken on by a process that will not try them any more, and against one that does not end.
#[test]
fn late_in_a_drain_messages_are_sent_elsewhere() {
    let stage = Stage::new(vec![Reply::Hang], Terms::default());
    let mut sender = stage.sender();
    assert_eq!(sender.hand_in("m1", 20_000, "x"), TAKEN_ON);
    stage.endpoint.next();
    sender.signal("-TERM");
    sender.await_log(&["draining"]);
    // Calls go out for 2.4 s, and the process ends 3.3 s after SIGTERM.
    sleep(Duration::from_millis(2_750));
    let late = sender.ask(message("m2", 20_000, "x").as_bytes()).expect("an answer");
    assert!(late.line.contains("503") && late.headers.contains_key("retry-after"), "{late:?}");
    assert_eq!(late.headers["connection"], "close");
    assert!(sender.wait().success());
    assert!(stage.endpoint.is_quiet());
}

/// Guards against a second SIGTERM that cuts a drain short.
#[test]
fn a_second_sigterm_changes_nothing() {
    let stage = Stage::new(vec![Reply::Slow(1_000), OK], Terms::default());
    let mut sender = stage.sender();
    assert_eq!(sender.hand_in("m1", 20_000, "x"), TAKEN_ON);
    stage.endpoint.next();
    sender.signal("-TERM");
    sender.await_log(&["draining"]);
    sender.signal("-TERM");
    sender.signal("-INT");
    assert!(sender.wait().success());
    // It was delivered: the next process has nothing to do.
    let sender = stage.sender();
    assert_eq!(sender.hand_in("m2", 20_000, "x"), TAKEN_ON);
    assert_eq!(stage.endpoint.next().headers["x-call-id"], "m2");
}

/// Guards against a process that was told to end before it became the sender, and waits for ever or takes over.
#[test]
fn sigterm_during_a_start_ends_it() {
    let stage = Stage::new(vec![OK], Terms::default());
    let sender = stage.sender();
    // Stopped, it neither serves nor gives way: the other one starts, and waits for it.
    sender.stop();
    let mut other = Sender::launch(&stage.state, &stage.discovery, stage.known(), &stage.terms);
    other.signal("-TERM");
    assert!(other.wait().success());
    sender.signal("-CONT");
    assert_eq!(sender.hand_in("m1", 20_000, "x"), TAKEN_ON);
    assert_eq!(stage.endpoint.next().headers["x-call-id"], "m1");
}

/// Guards against messages that are lost, or end twice, between SIGTERM and SIGKILL, while a client goes on sending on
/// whatever connection stays open: what was taken on is delivered once, by this process or the next.
#[test]
fn a_client_that_goes_on_sending_until_sigkill_loses_nothing() {
    let stage = Stage::new(vec![OK], Terms::default());
    let sender = stage.sender();
    let (mut taken, mut stream, mut told) = (Vec::new(), None, None);
    let since = Instant::now();
    for number in 0.. {
        if number == 20 {
            sender.signal("-TERM");
            told = Some(Instant::now());
        }
        if told.is_some_and(|told| told.elapsed() > Duration::from_millis(900)) || since.elapsed() > LONG {
            break;
        }
        let id = format!("m{number}");
        let text = message(&id, 20_000, "x");
        let mut open = match stream.take() {
            Some(open) => open,
            None => match TcpStream::connect(sender.address) {
                Ok(stream) => BufReader::new(stream),
                // It has ended already.
                Err(_) => break,
            },
        };
        open.get_ref().set_read_timeout(Some(LONG)).unwrap();
        if open.get_mut().write_all(text.as_bytes()).is_err() {
            continue;
        }
        // A close between requests may cross this one, which is then handed in again under another id.
        let Some(answer) = read_message(&mut open) else { continue };
        if answer.line == TAKEN_ON {
            taken.push(id);
        }
        stream = (!answer.headers.contains_key("connection")).then_some(open);
        sleep(Duration::from_millis(2));
    }
    assert!(taken.len() > 20, "{} taken on", taken.len());
    sender.kill();
    let _sender = stage.sender();
    let mut calls: BTreeMap<String, u32> = BTreeMap::new();
    while taken.iter().any(|id| !calls.contains_key(id)) {
        *calls.entry(stage.endpoint.next().headers["x-call-id"].clone()).or_default() += 1;
    }
    // A call may be repeated where its answer crossed the kill: that one alone.
    let again = calls.values().filter(|calls| **calls > 1).count();
    assert!(again <= 1, "{calls:?}");
}
