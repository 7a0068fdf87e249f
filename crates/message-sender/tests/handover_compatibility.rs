//! Upgrades from, and downgrades to, the version that speaks handover protocol 2, played from frames and a
//! journal which that version wrote (`tests/data/handover`). Its state frame cannot be read here, so the
//! journal alone passes from one process to the other, and no message may be lost on the way.

mod support;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use support::client::ACCEPTED;
use support::configuration::{Idempotency, SenderOptions};
use support::discovery::{endpoint_line, Discovery};
use support::endpoint::{Endpoint, Reply, OK};
use support::sender_process::SenderProcess;
use support::TIMEOUT;

// Frames with their length in front, as the earlier version wrote them.
const HELLO: &[u8] = include_bytes!("data/handover/hello.bin");
const HELLO_JOURNAL_ONLY: &[u8] = include_bytes!("data/handover/hello-journal-only.bin");
const OFFER_WITH_STATE: &[u8] = include_bytes!("data/handover/offer-with-state.bin");
const OFFER_WITHOUT_STATE: &[u8] = include_bytes!("data/handover/offer-without-state.bin");
const PREPARED: &[u8] = include_bytes!("data/handover/prepared.bin");
const COMMIT: &[u8] = include_bytes!("data/handover/commit.bin");
/// The journal as it was when `OFFER_WITH_STATE` was written.
const JOURNAL: &[u8] = include_bytes!("data/handover/journal.bin");

const EARLIER_PROTOCOL: u32 = 2;
const CURRENT_PROTOCOL: u32 = 3;
/// The journal was written under a clock a century ahead, so that its messages are in time whenever a test
/// runs. Only a class whose messages are idempotent without a key may repeat an attempt that seems to lie in
/// the future.
const IDEMPOTENT: Idempotency = Idempotency::Always;
/// The class of the recorded messages.
const WITH_IDEMPOTENCY_KEY: Idempotency = Idempotency::WithKey;
/// Goes with the listening socket.
const LISTENER_MARK: u8 = b'L';
/// Long enough for a process that does the wrong thing to do it.
const SETTLING_TIME: Duration = Duration::from_millis(300);

/// Destination 7 has one endpoint; destination 8 has two, the second of which the journal knows as drained.
struct Fixture {
    _folder: tempfile::TempDir,
    state: PathBuf,
    discovery: Discovery,
    single: Endpoint,
    busy: Endpoint,
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

    /// The recorded journal holds m1 with an ambiguous attempt, m2 that was rejected with a Retry-After, m3
    /// and m4 without an attempt, the pending notice of m0, and the drained endpoint s-3.
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

    /// The messages that so many notices call failed.
    fn notified_failures(&self, count: usize) -> Vec<String> {
        let mut failed: Vec<String> = (0..count)
            .map(|_| {
                let notice = self.discovery.next_notice();
                assert_eq!(notice["result"], "dead", "{notice}");
                notice["ref"].as_str().expect("a notice names its message").to_owned()
            })
            .collect();
        failed.sort();
        failed
    }

    /// So many messages were delivered, none is left, and none has two outcomes.
    fn assert_settled(&self, successor: &SenderProcess, delivered: u64) {
        successor.await_metric("passed.notice", delivered);
        successor.await_metric("in_progress", 0);
        assert_eq!(successor.metric("skipped_endpoints"), 1);
        thread::sleep(SETTLING_TIME);
        assert!(self.has_no_call(), "a message went twice, or to a drained endpoint");
        assert!(self.discovery.notices.try_recv().is_err(), "a message has two outcomes");
    }
}

/// Stands for a process of the earlier version that is the sender: it owns the lock, the recorded journal and
/// the clients' listening socket.
struct EarlierPredecessor {
    lock: File,
    handover: UnixListener,
    clients: TcpListener,
}

impl EarlierPredecessor {
    fn start(state: &Path) -> Self {
        let lock = File::create(state.join("lock")).unwrap();
        lock.try_lock().unwrap();
        std::fs::write(state.join("journal"), JOURNAL).unwrap();
        let handover = UnixListener::bind(state.join("handover")).unwrap();
        handover.set_nonblocking(true).unwrap();
        let clients = TcpListener::bind("127.0.0.1:0").unwrap();
        // As an asynchronous process has it, and its successor needs it.
        clients.set_nonblocking(true).unwrap();
        Self { lock, handover, clients }
    }

    fn address(&self) -> SocketAddr {
        self.clients.local_addr().unwrap()
    }

    fn accept(&self) -> UnixStream {
        let since = Instant::now();
        loop {
            match self.handover.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
                    return stream;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    assert!(since.elapsed() < TIMEOUT, "a successor connects");
                    thread::sleep(Duration::from_millis(1));
                }
                Err(error) => panic!("the handover socket fails: {error}"),
            }
        }
    }

    fn offer(&self, stream: &mut UnixStream, offer: &[u8]) {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        let descriptors = [self.clients.as_fd()];
        assert!(ancillary.push(SendAncillaryMessage::ScmRights(&descriptors)));
        sendmsg(&*stream, &[IoSlice::new(&[LISTENER_MARK])], &mut ancillary, SendFlags::NOSIGNAL).unwrap();
        stream.write_all(offer).unwrap();
    }

    /// Ends as a process does: the kernel closes its sockets and frees its lock.
    fn end(self) {
        let Self { lock, handover, clients } = self;
        drop(handover);
        drop(clients);
        drop(lock);
    }
}

/// Reads a frame with its length in front.
fn read_frame(stream: &mut UnixStream) -> Vec<u8> {
    let mut frame = vec![0; 4];
    stream.read_exact(&mut frame).unwrap();
    let length = u32::from_le_bytes(frame[..4].try_into().unwrap()) as usize;
    frame.resize(4 + length, 0);
    stream.read_exact(&mut frame[4..]).unwrap();
    frame
}

fn hello(protocol: u32) -> Vec<u8> {
    let payload = rmp_serde::to_vec_named(&BTreeMap::from([("relay", Some(protocol))])).unwrap();
    let length = (payload.len() as u32).to_le_bytes();
    [&length[..], &payload].concat()
}

/// Reads what precedes an offer: the mark, and the listening socket that comes with it.
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
    descriptors.next().expect("a descriptor comes with the mark").into()
}

/// The successor ended the conversation and said nothing more.
fn assert_closed(mut stream: UnixStream) {
    assert_eq!(stream.read(&mut [0; 8]).unwrap(), 0, "the successor prepared to take the state over");
}

/// Until the earlier process has ended its successor neither serves nor sends.
fn assert_waits(fixture: &Fixture, successor: &SenderProcess) {
    thread::sleep(SETTLING_TIME);
    assert_eq!(successor.management_status("GET", "/status", ""), 503);
    assert!(fixture.has_no_call());
}

/// The stand-ins below rest on this.
#[test]
fn the_recorded_frames_speak_the_earlier_protocol() {
    assert_eq!(HELLO, hello(EARLIER_PROTOCOL));
    assert!(OFFER_WITH_STATE.len() > 100 * OFFER_WITHOUT_STATE.len());
}

/// Guards against messages that are lost in an upgrade from the earlier version, which offers no state to a
/// version it does not know, drains and ends.
#[test]
fn an_upgrade_from_the_earlier_version_resumes_from_its_journal() {
    let fixture = Fixture::new(vec![OK]);
    let predecessor = EarlierPredecessor::start(&fixture.state);
    let mut successor = fixture.launch(IDEMPOTENT);
    let mut stream = predecessor.accept();
    assert_eq!(read_frame(&mut stream), hello(CURRENT_PROTOCOL), "another version than the earlier one's");
    predecessor.offer(&mut stream, OFFER_WITHOUT_STATE);
    assert_waits(&fixture, &successor);
    let address = predecessor.address();
    predecessor.end();
    successor.await_ready();
    assert_eq!(successor.address, address, "clients find the successor where its predecessor was");
    fixture.assert_everything_in_the_journal_is_resumed(&successor);
}

/// Guards against a message without an outcome where nobody can tell how long ago its ambiguous attempt was:
/// it fails, once, and the others are resumed.
#[test]
fn an_ambiguous_attempt_of_the_earlier_version_outside_the_idempotency_window_fails_with_a_notice() {
    let fixture = Fixture::new(vec![OK]);
    let predecessor = EarlierPredecessor::start(&fixture.state);
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

/// Guards against a state that is read as something it does not mean: the successor requests the journal
/// alone instead.
#[test]
fn the_state_of_the_earlier_version_is_declined_and_the_journal_is_read() {
    let fixture = Fixture::new(vec![OK]);
    let predecessor = EarlierPredecessor::start(&fixture.state);
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

/// Guards against a successor that gives in to a predecessor which offers nothing but its state.
#[test]
fn the_state_of_the_earlier_version_is_declined_however_often_it_is_offered() {
    let fixture = Fixture::new(vec![OK]);
    let predecessor = EarlierPredecessor::start(&fixture.state);
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

/// Guards against a downgrade that hands the earlier version a state which it would misread, and against
/// messages that are lost in it.
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
    assert!(predecessor.wait().success(), "it drains and ends");
    let lock = File::open(fixture.state.join("lock")).unwrap();
    lock.try_lock().expect("its end frees the lock");
    drop(lock);
    let _next = fixture.launch_ready();
    let again = fixture.single.next_call();
    assert_eq!(again.headers["x-call-id"], "m1");
    assert_eq!(again.headers["idempotency-key"], "key-of-m1");
}

/// Guards against frames around the state that come to differ from version to version: those must stay
/// readable.
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
