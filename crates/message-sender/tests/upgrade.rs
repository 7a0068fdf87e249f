//! A new version beside the old one, with real processes on loopback sockets, and the death of either at each step.

mod common;

use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
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

    fn launch(&self, terms: &Terms) -> Sender {
        let known = vec![line("s-1", self.endpoint.address, 7, "up")];
        Sender::launch(&self.state, &self.discovery, known, terms)
    }

    fn sender(&self) -> Sender {
        let mut sender = self.launch(&self.terms);
        sender.await_ready();
        sender
    }

    /// What a new process says first, with the number of the relay that it understands.
    fn hello(&self) -> UnixStream {
        let mut stream = UnixStream::connect(self.state.join("handover")).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        say(&mut stream, &BTreeMap::from([("relay", Some(3))]));
        stream
    }
}

fn say(stream: &mut UnixStream, what: &impl serde::Serialize) {
    let text = rmp_serde::to_vec_named(what).unwrap();
    stream.write_all(&(text.len() as u32).to_le_bytes()).unwrap();
    stream.write_all(&text).unwrap();
}

/// Reads the old process's offer: the mark that goes with the listening socket, and a frame.
fn read_offer(stream: &mut UnixStream) -> Vec<u8> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).unwrap();
    let mut state = vec![0; u32::from_le_bytes(head[1..].try_into().unwrap()) as usize];
    stream.read_exact(&mut state).unwrap();
    state
}

/// What a client saw.
#[derive(Default)]
struct Served {
    taken: u32,
    /// Requests that met a connection which was closed while they were on their way.
    disturbed: u32,
    connections: u32,
}

/// The other end has closed it, which a client sees before it sends the next request.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let read = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    !read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Hands in message after message on one connection, and anew where that was closed between requests.
fn client(address: SocketAddr, name: usize, ends: &AtomicBool) -> Served {
    let (mut served, mut open) = (Served::default(), None::<BufReader<TcpStream>>);
    while !ends.load(Ordering::Relaxed) {
        let mut stream = open.take().filter(|stream| !is_closed(stream.get_ref())).unwrap_or_else(|| {
            served.connections += 1;
            let stream = TcpStream::connect(address).expect("no connection is refused");
            stream.set_read_timeout(Some(LONG)).unwrap();
            BufReader::new(stream)
        });
        let text = message(&format!("m-{name}-{}", served.taken), 20_000, "x");
        let answer =
            stream.get_mut().write_all(text.as_bytes()).ok().and_then(|()| read_message(&mut stream));
        match answer {
            Some(answer) => {
                assert_eq!(answer.line, TAKEN_ON);
                served.taken += 1;
                open = Some(stream);
            }
            None => served.disturbed += 1,
        }
        thread::sleep(Duration::from_millis(5));
    }
    served
}

/// Guards against a pause, a refused connection, a lost message and a message sent by both processes, upgrade after
/// upgrade under load.
#[test]
fn new_versions_take_over_under_load() {
    let stage = Stage::new(vec![OK], Terms { held: 500, ..Terms::default() });
    let mut sender = stage.sender();
    let (address, ends) = (sender.address, Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..4)
        .map(|name| {
            let ends = ends.clone();
            thread::spawn(move || client(address, name, &ends))
        })
        .collect();
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(500));
        let new = stage.sender();
        assert_eq!(new.operate("GET", "/status", "").0, 200);
        sender.signal("-TERM");
        assert!(sender.wait().success());
        sender = new;
    }
    thread::sleep(Duration::from_millis(300));
    ends.store(true, Ordering::Relaxed);
    let mut all = Served::default();
    for client in clients {
        let served = client.join().expect("a client got what it is owed");
        all.taken += served.taken;
        all.disturbed += served.disturbed;
        all.connections += served.connections;
    }
    assert!(all.taken > 100, "{} messages are no load", all.taken);
    assert!(all.disturbed <= 6, "{} requests met a closed connection in three upgrades", all.disturbed);
    assert!(all.connections <= 4 * 4 + all.disturbed, "{} connections of four clients", all.connections);
    sender.await_figure("in_progress", 0);
    let mut calls = BTreeMap::new();
    for call in stage.endpoint.calls.try_iter() {
        *calls.entry(call.headers["x-call-id"].clone()).or_insert(0) += 1;
    }
    assert!(calls.values().all(|times| *times == 1), "a message went twice: {calls:?}");
    assert_eq!(calls.len(), all.taken as usize);
    assert!(stage.discovery.notices.try_recv().is_err());
}

/// Guards against a call that is cut off by an upgrade, and against messages that overtake one of their subject
/// which the old process still has out.
#[test]
fn a_call_of_the_old_process_is_seen_to_its_end_and_keeps_its_turn() {
    let stage = Stage::new(vec![Reply::Slow(2_000), OK], Terms { ordered: true, ..Terms::default() });
    let mut old = stage.sender();
    assert_eq!(old.hand_in_about("card", "m1"), TAKEN_ON);
    let first = stage.endpoint.next();
    let new = stage.sender();
    old.signal("-TERM");
    assert_eq!(new.figure("in_progress"), 1);
    assert_eq!(new.hand_in_about("card", "m2"), TAKEN_ON);
    assert_eq!(new.hand_in_about("other", "m3"), TAKEN_ON);
    assert_eq!(stage.endpoint.next().headers["x-call-id"], "m3");
    let second = stage.endpoint.next();
    assert_eq!(second.headers["x-call-id"], "m2");
    assert!(second.at - first.at >= Duration::from_secs(2), "{:?}", second.at - first.at);
    new.await_figure("passed.notice", 3);
    assert!(old.wait().success());
    assert!(stage.endpoint.is_quiet() && stage.discovery.notices.try_recv().is_err());
}

/// Guards against waits that an upgrade brings to an end, and endpoints that it puts back.
#[test]
fn told_waits_and_endpoints_out_by_hand_outlast_an_upgrade() {
    let stage = Stage::new(vec![Reply::Answer("429 Busy\r\nX-Come-Back-Ms: 2500\r\n"), OK], Terms::default());
    let old = stage.sender();
    assert_eq!(old.hand_in("m1", 20_000, "x"), TAKEN_ON);
    let told = stage.endpoint.next();
    let new = stage.sender();
    assert_eq!(new.hand_in("m2", 20_000, "x"), TAKEN_ON);
    assert!(stage.endpoint.next().at - told.at >= Duration::from_millis(2_500));
    stage.endpoint.next();
    new.await_figure("in_progress", 0);
    assert_eq!(new.operate("POST", "/maintenance/enter", "s-1").0, 200);
    let newest = stage.sender();
    newest.await_figure("skipped_endpoints", 1);
    assert_eq!(newest.hand_in("m3", 20_000, "x"), TAKEN_ON);
    thread::sleep(Duration::from_millis(500));
    assert!(stage.endpoint.is_quiet());
    assert_eq!(newest.operate("POST", "/maintenance/exit", "s-1").0, 200);
    assert_eq!(stage.endpoint.next().headers["x-call-id"], "m3");
}

/// Guards against a request that is lost because the process which read half of it is no longer the sender.
#[test]
fn a_request_that_the_old_process_has_begun_to_read_is_answered() {
    let stage = Stage::new(vec![OK], Terms::default());
    let mut old = stage.sender();
    let (text, mut half) = (message("m1", 20_000, "a body"), old.connect());
    half.write_all(&text.as_bytes()[..60]).unwrap();
    // Read, so that the connection is not one between requests.
    thread::sleep(Duration::from_millis(200));
    let new = stage.sender();
    assert_eq!(old.operate("GET", "/status", "").0, 503);
    half.write_all(&text.as_bytes()[60..]).unwrap();
    assert_eq!(read_message(&mut BufReader::new(half)).expect("an answer").line, TAKEN_ON);
    new.await_figure("passed.notice", 1);
    assert!(old.wait().success());
}

/// Guards against an old process that gives up, or stands still, for a new one which dies on the way.
#[test]
fn the_old_process_goes_on_when_the_new_one_dies_or_stalls_before_the_commit() {
    let stage = Stage::new(vec![OK], Terms::default());
    let old = stage.sender();
    drop(UnixStream::connect(stage.state.join("handover")).unwrap());
    drop(stage.hello());
    let mut read = stage.hello();
    read_offer(&mut read);
    drop(read);
    let mut stalls = stage.hello();
    read_offer(&mut stalls);
    let since = Instant::now();
    for id in ["m1", "m2"] {
        assert_eq!(old.hand_in(id, 20_000, "x"), TAKEN_ON);
        assert_eq!(stage.endpoint.next().headers["x-call-id"], id);
    }
    assert!(since.elapsed() < Duration::from_secs(10), "{:?}", since.elapsed());
    // What it gave up on must not take over late: the word for that never comes.
    assert_eq!(stalls.read(&mut [0; 8]).unwrap(), 0);
    assert_eq!(old.operate("GET", "/status", "").0, 200);
}

/// Guards against messages that nobody sends once the new process has died right after the commit.
#[test]
fn the_old_process_takes_its_work_back_when_the_new_one_dies_after_the_commit() {
    let stage = Stage::new(vec![Reply::Hang, OK], Terms::default());
    let old = stage.sender();
    assert_eq!(old.hand_in("m1", 20_000, "x"), TAKEN_ON);
    stage.endpoint.next();
    let mut new = stage.hello();
    read_offer(&mut new);
    say(&mut new, &Prepared);
    old.await_log(&["handed over"]);
    drop(new);
    let again = stage.endpoint.next();
    assert_eq!(again.headers["x-call-id"], "m1");
    assert_eq!(again.headers["idempotency-key"], "key-of-m1");
    assert_eq!(stage.endpoint.ended.recv_timeout(LONG).unwrap(), "m1", "the first call has ended");
    old.await_log(&["ready"]);
    assert_eq!(old.operate("GET", "/status", "").0, 200);
    assert_eq!(old.hand_in("m2", 20_000, "x"), TAKEN_ON);
    assert_eq!(stage.endpoint.next().headers["x-call-id"], "m2");
    // And it can still hand over.
    let new = stage.sender();
    assert_eq!(new.hand_in("m3", 20_000, "x"), TAKEN_ON);
}

#[derive(serde::Serialize)]
struct Prepared;

/// Guards against two senders beside an old process that hangs, and against one that waits for the dead.
#[test]
fn a_new_process_waits_for_a_stalled_one_and_takes_over_from_a_dead_one() {
    let stage = Stage::new(vec![Reply::Hang, OK], Terms::default());
    let old = stage.sender();
    assert_eq!(old.hand_in("m1", 20_000, "x"), TAKEN_ON);
    stage.endpoint.next();
    old.stop();
    let mut new = stage.launch(&stage.terms);
    new.await_log(&["no handover yet"]);
    assert_eq!(new.operate("GET", "/status", "").0, 503);
    assert_eq!(new.operate("POST", "/maintenance/enter", "s-1").0, 503);
    assert!(stage.endpoint.is_quiet());
    old.kill();
    new.await_ready();
    assert_eq!(stage.endpoint.next().headers["x-call-id"], "m1");
    assert_eq!(new.operate("GET", "/status", "").0, 200);
}

/// Guards against calls that nobody hears the end of: the old process is killed while it has one out.
#[test]
fn what_the_old_process_had_out_at_its_death_has_been_reset() {
    for (effect, again) in [("token", true), ("side_effect", false)] {
        let stage = Stage::new(vec![Reply::Hang, OK], Terms { effect, ..Terms::default() });
        let old = stage.sender();
        assert_eq!(old.hand_in("m1", 20_000, "x"), TAKEN_ON);
        stage.endpoint.next();
        let _new = stage.sender();
        thread::sleep(Duration::from_millis(500));
        assert!(stage.endpoint.is_quiet());
        old.kill();
        if again {
            assert_eq!(stage.endpoint.next().headers["x-call-id"], "m1");
        } else {
            assert_eq!(stage.discovery.notice()["result"], "dead");
            assert!(stage.endpoint.is_quiet());
        }
    }
}

/// Guards against a version that misreads what the old one knew: it reads the journal, once the old one has drained.
#[test]
fn a_version_that_means_something_else_reads_the_journal_alone() {
    let stage = Stage::new(vec![Reply::Hang, OK], Terms::default());
    let mut old = stage.sender();
    assert_eq!(old.hand_in("m1", 20_000, "x"), TAKEN_ON);
    stage.endpoint.next();
    let mut idle = BufReader::new(old.connect());
    idle.get_mut().write_all(b"GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n").unwrap();
    assert!(read_message(&mut idle).unwrap().line.contains(" 200 "));
    let mut new = stage.launch(&Terms { tenant: "other", ..Terms::default() });
    old.await_log(&["draining for a successor that reads only the journal"]);
    assert_eq!(old.operate("GET", "/status", "").0, 503);
    assert!(read_message(&mut idle).is_none(), "clients are sent away between requests");
    assert!(old.wait().success());
    new.await_ready();
    assert_eq!(new.address, old.address);
    assert_eq!(stage.endpoint.next().headers["x-call-id"], "m1");
}
