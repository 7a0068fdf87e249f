//! Upgrades from, and downgrades to, the version that speaks handover protocol 2, simulated with frames and a
//! journal that were recorded from that version (`tests/data/handover`). The current version cannot read the
//! recorded state frame, so only the journal passes from one process to the other, and no message may be
//! lost.

mod support;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use rustix::net::{recvmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use support::client::ACCEPTED;
use support::configuration::{Idempotency, SenderOptions};
use support::discovery::{endpoint_line, Discovery};
use support::endpoint::{Endpoint, Reply, OK};
use support::handover::{read_frame, ScriptedPredecessor, LISTENER_MARK};
use support::sender_process::SenderProcess;
use support::TIMEOUT;

// Frames that the earlier version wrote, each preceded by its length.
const HELLO: &[u8] = include_bytes!("data/handover/hello.bin");
const HELLO_JOURNAL_ONLY: &[u8] = include_bytes!("data/handover/hello-journal-only.bin");
const OFFER_WITH_STATE: &[u8] = include_bytes!("data/handover/offer-with-state.bin");
const OFFER_WITHOUT_STATE: &[u8] = include_bytes!("data/handover/offer-without-state.bin");
const PREPARED: &[u8] = include_bytes!("data/handover/prepared.bin");
const COMMIT: &[u8] = include_bytes!("data/handover/commit.bin");
/// The journal at the time when `OFFER_WITH_STATE` was written.
const JOURNAL: &[u8] = include_bytes!("data/handover/journal.bin");

/// Protocol version of the recorded frames.
const EARLIER_PROTOCOL: u32 = 2;
/// Protocol version of the program under test.
const CURRENT_PROTOCOL: u32 = 3;
/// Lets the recorded ambiguous attempt be repeated. The journal was recorded with a clock a century ahead, so
/// that its messages are within their deadlines whenever a test runs. An attempt that seems to lie in the
/// future may be repeated only in a class whose messages are idempotent without a key.
const IDEMPOTENT: Idempotency = Idempotency::Always;
/// The idempotency of the class under which the messages were recorded.
const WITH_IDEMPOTENCY_KEY: Idempotency = Idempotency::WithKey;
/// How long a test waits before it checks that nothing more happens; a faulty process would act within it.
const SETTLING_TIME: Duration = Duration::from_millis(300);

/// A state directory, a discovery server, one endpoint of destination 7 and two of destination 8. In the
/// recorded journal the second endpoint of destination 8 is drained.
struct Fixture {
    _folder: tempfile::TempDir,
    state: PathBuf,
    discovery: Discovery,
    /// `s-1`, the only endpoint of destination 7.
    single: Endpoint,
    /// `s-2` of destination 8, which rejected m2 in the recorded journal.
    busy: Endpoint,
    /// `s-3` of destination 8, which is drained in the recorded journal.
    drained: Endpoint,
}

impl Fixture {
    fn new(single_script: Vec<Reply>) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let state = folder.path().join("state");
        std::fs::create_dir(&state).unwrap();
        let single = Endpoint::start(single_script);
        let busy = Endpoint::start(vec![OK]);
        let drained = Endpoint::start(vec![OK]);
        let discovery = Discovery::start(Self::endpoint_lines(&single, &busy, &drained));
        Self { _folder: folder, state, discovery, single, busy, drained }
    }

    fn endpoint_lines(single: &Endpoint, busy: &Endpoint, drained: &Endpoint) -> Vec<serde_json::Value> {
        vec![
            endpoint_line("s-1", single.address, 7, "up"),
            endpoint_line("s-2", busy.address, 8, "up"),
            endpoint_line("s-3", drained.address, 8, "up"),
        ]
    }

    fn launch(&self, idempotency: Idempotency) -> SenderProcess {
        let known = Self::endpoint_lines(&self.single, &self.busy, &self.drained);
        let options = SenderOptions { idempotency, ..SenderOptions::default() };
        SenderProcess::launch(&self.state, &self.discovery, known, &options)
    }

    fn launch_ready(&self) -> SenderProcess {
        let mut sender = self.launch(WITH_IDEMPOTENCY_KEY);
        sender.await_ready();
        sender
    }

    fn connect_as_successor(&self, hello: &[u8]) -> UnixStream {
        let mut stream = UnixStream::connect(self.state.join("handover")).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(hello).unwrap();
        stream
    }

    fn has_no_call(&self) -> bool {
        self.single.has_no_call() && self.busy.has_no_call() && self.drained.has_no_call()
    }

    /// Checks that the successor resumes all that the recorded journal holds: m1 with an ambiguous attempt,
    /// m2 that was rejected with a Retry-After, m3 and m4 without an attempt, the pending notice of m0, and
    /// the drained endpoint s-3.
    fn assert_everything_in_the_journal_is_resumed(&self, successor: &SenderProcess) {
        let ambiguous = self.single.next_call();
        assert_eq!(ambiguous.headers["x-call-id"], "m1");
        assert_eq!(ambiguous.headers["idempotency-key"], "key-of-m1");
        assert_eq!(ambiguous.body, b"one");
        self.assert_messages_without_an_ambiguous_attempt_are_resumed();
        assert_eq!(self.notified_failures(1), ["m0"]);
        self.assert_settled(successor, 4);
    }

    fn assert_messages_without_an_ambiguous_attempt_are_resumed(&self) {
        let buffered: BTreeMap<String, Vec<u8>> = (0..3)
            .map(|_| self.busy.next_call())
            .map(|call| (call.headers["x-call-id"].clone(), call.body))
            .collect();
        let expected = [("m2", "two"), ("m3", "three"), ("m4", "four")];
        let expected = expected.map(|(call_id, body)| (call_id.to_owned(), body.as_bytes().to_owned()));
        assert_eq!(buffered, BTreeMap::from(expected));
    }

    /// Waits for `count` notices, checks that each reports a failure, and returns their message ids, sorted.
    fn notified_failures(&self, count: usize) -> Vec<String> {
        let mut failed: Vec<String> = (0..count)
            .map(|_| {
                let notice = self.discovery.next_notice();
                assert_eq!(notice["result"], "dead", "{notice}");
                notice["ref"].as_str().expect("the notice does not name its message").to_owned()
            })
            .collect();
        failed.sort();
        failed
    }

    /// Checks that `delivered` messages were delivered, none is left, and none has two outcomes.
    fn assert_settled(&self, successor: &SenderProcess, delivered: u64) {
        successor.await_metric("passed.notice", delivered);
        successor.await_metric("in_progress", 0);
        assert_eq!(successor.metric("skipped_endpoints"), 1);
        thread::sleep(SETTLING_TIME);
        assert!(self.has_no_call(), "a message was sent twice or to a drained endpoint");
        assert!(self.discovery.notices.try_recv().is_err(), "a message has two outcomes");
    }
}

/// Starts a simulated process of the earlier version that holds the recorded journal.
fn start_earlier_predecessor(state: &Path) -> ScriptedPredecessor {
    std::fs::write(state.join("journal"), JOURNAL).unwrap();
    ScriptedPredecessor::start(state)
}

/// The frame, with its length prefix, by which a successor announces this protocol version.
fn hello(protocol: u32) -> Vec<u8> {
    let payload = rmp_serde::to_vec_named(&BTreeMap::from([("relay", Some(protocol))])).unwrap();
    let length = (payload.len() as u32).to_le_bytes();
    [&length[..], &payload].concat()
}

/// Reads what precedes an offer: the marker byte and the listening socket that is attached to it.
fn receive_listener(stream: &UnixStream) -> TcpListener {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut mark = [0];
    recvmsg(stream, &mut [IoSliceMut::new(&mut mark)], &mut ancillary, RecvFlags::CMSG_CLOEXEC).unwrap();
    assert_eq!(mark, [LISTENER_MARK]);
    let mut descriptors = ancillary.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    descriptors.next().expect("no descriptor is attached to the marker byte").into()
}

/// Checks that the successor closes the connection without sending anything more.
fn assert_closed(mut stream: UnixStream) {
    assert_eq!(stream.read(&mut [0; 8]).unwrap(), 0, "the successor accepted the state");
}

/// Checks that the successor neither serves nor sends while its predecessor still runs.
fn assert_waits(fixture: &Fixture, successor: &SenderProcess) {
    thread::sleep(SETTLING_TIME);
    assert_eq!(successor.management_status("GET", "/status", ""), 503);
    assert!(fixture.has_no_call());
}

/// Guards against recorded frames of another protocol version, with which the tests below would not cover the
/// earlier version.
#[test]
fn the_recorded_frames_speak_the_earlier_protocol() {
    assert_eq!(HELLO, hello(EARLIER_PROTOCOL));
    assert!(OFFER_WITH_STATE.len() > 100 * OFFER_WITHOUT_STATE.len());
}

/// Guards against losing messages in an upgrade from the earlier version, which offers no state to a
/// successor of a version that it does not know, but drains and exits.
#[test]
fn an_upgrade_from_the_earlier_version_resumes_from_its_journal() {
    let fixture = Fixture::new(vec![OK]);
    let predecessor = start_earlier_predecessor(&fixture.state);
    let mut successor = fixture.launch(IDEMPOTENT);
    let mut stream = predecessor.accept();
    assert_eq!(
        read_frame(&mut stream),
        hello(CURRENT_PROTOCOL),
        "the successor announces another protocol version"
    );
    predecessor.offer(&mut stream, OFFER_WITHOUT_STATE);
    assert_waits(&fixture, &successor);
    let address = predecessor.address();
    predecessor.end();
    successor.await_ready();
    assert_eq!(successor.address, address, "the successor listens on another address than its predecessor");
    fixture.assert_everything_in_the_journal_is_resumed(&successor);
}

/// Guards against a message that never gets an outcome because the time since its ambiguous attempt is
/// unknown: it must fail with one notice, and the other messages must be resumed.
#[test]
fn an_ambiguous_attempt_of_the_earlier_version_outside_the_idempotency_window_fails_with_a_notice() {
    let fixture = Fixture::new(vec![OK]);
    let predecessor = start_earlier_predecessor(&fixture.state);
    let mut successor = fixture.launch(WITH_IDEMPOTENCY_KEY);
    let mut stream = predecessor.accept();
    read_frame(&mut stream);
    predecessor.offer(&mut stream, OFFER_WITHOUT_STATE);
    predecessor.end();
    successor.await_ready();
    fixture.assert_messages_without_an_ambiguous_attempt_are_resumed();
    assert_eq!(fixture.notified_failures(2), ["m0", "m1"]);
    fixture.assert_settled(&successor, 3);
}

/// Guards against misreading the state of the earlier version: the successor must decline it and request the
/// journal alone.
#[test]
fn the_state_of_the_earlier_version_is_declined_and_the_journal_is_read() {
    let fixture = Fixture::new(vec![OK]);
    let predecessor = start_earlier_predecessor(&fixture.state);
    let mut successor = fixture.launch(IDEMPOTENT);
    let mut stream = predecessor.accept();
    assert_eq!(read_frame(&mut stream), hello(CURRENT_PROTOCOL));
    predecessor.offer(&mut stream, OFFER_WITH_STATE);
    assert_closed(stream);
    let mut stream = predecessor.accept();
    assert_eq!(read_frame(&mut stream), HELLO_JOURNAL_ONLY);
    predecessor.offer(&mut stream, OFFER_WITHOUT_STATE);
    assert_waits(&fixture, &successor);
    let address = predecessor.address();
    predecessor.end();
    successor.await_ready();
    assert_eq!(successor.address, address);
    fixture.assert_everything_in_the_journal_is_resumed(&successor);
}

/// Guards against a successor that finally accepts the state because the predecessor offers nothing else.
#[test]
fn the_state_of_the_earlier_version_is_declined_however_often_it_is_offered() {
    let fixture = Fixture::new(vec![OK]);
    let predecessor = start_earlier_predecessor(&fixture.state);
    let mut successor = fixture.launch(IDEMPOTENT);
    for _ in 0..5 {
        let mut stream = predecessor.accept();
        read_frame(&mut stream);
        predecessor.offer(&mut stream, OFFER_WITH_STATE);
        assert_closed(stream);
    }
    assert_waits(&fixture, &successor);
    predecessor.end();
    successor.await_ready();
    fixture.assert_everything_in_the_journal_is_resumed(&successor);
}

/// Guards against a downgrade in which the earlier version gets a state that it would misread, or in which
/// messages are lost.
#[test]
fn a_downgrade_to_the_earlier_version_passes_the_journal_alone() {
    let fixture = Fixture::new(vec![Reply::NoAnswer, OK]);
    let mut predecessor = fixture.launch_ready();
    assert_eq!(predecessor.submit("m1", 20_000, "x"), ACCEPTED);
    assert_eq!(fixture.single.next_call().headers["x-call-id"], "m1");
    let mut stream = fixture.connect_as_successor(HELLO);
    let listener = receive_listener(&stream);
    assert_eq!(listener.local_addr().unwrap(), predecessor.address);
    assert_eq!(read_frame(&mut stream), OFFER_WITHOUT_STATE);
    assert_eq!(predecessor.management_status("GET", "/status", ""), 503);
    assert!(predecessor.wait().success(), "the predecessor did not drain and exit");
    let lock = File::open(fixture.state.join("lock")).unwrap();
    lock.try_lock().expect("the predecessor still holds the lock after its exit");
    drop(lock);
    let _next = fixture.launch_ready();
    let again = fixture.single.next_call();
    assert_eq!(again.headers["x-call-id"], "m1");
    assert_eq!(again.headers["idempotency-key"], "key-of-m1");
}

/// Guards against changes to the frames around the state, which every other version must be able to read.
#[test]
fn the_frames_around_the_state_are_those_of_the_earlier_version() {
    let fixture = Fixture::new(vec![OK]);
    let predecessor = fixture.launch_ready();
    let mut stream = fixture.connect_as_successor(&hello(CURRENT_PROTOCOL));
    let _listener = receive_listener(&stream);
    let offer = read_frame(&mut stream);
    assert_ne!(offer, OFFER_WITHOUT_STATE);
    stream.write_all(PREPARED).unwrap();
    assert_eq!(read_frame(&mut stream), COMMIT);
    drop(stream);
    drop(predecessor);
}
