//! Clients that send as much as they can, all at once and across an upgrade: floods of small or invalid requests, and
//! crowds that stop within large bodies or heads of short fields.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use support::client::{submission, ACCEPTED};
use support::configuration::SenderOptions;
use support::endpoint::{Reply, OK};
use support::environment::Environment;
use support::sender_process::{SenderProcess, Signal};

/// Least memory that the platform gives, in megabytes.
const MEMORY_MB: u64 = 32;
/// Most descriptors that the platform gives.
const MAX_DESCRIPTORS: usize = 1024;
/// Number of clients in a crowd: more than the share of the descriptors that clients use.
const CROWD: usize = 400;
/// Length of the longest body that the protocol allows, in bytes.
const LONGEST_BODY: usize = 64 * 1024;
/// Number of the shortest header fields that fit into the longest head.
const SHORT_FIELDS: usize = 2_000;
/// Time within which a client waits for its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which crowds and floods are watched.
const WATCH_TIME: Duration = Duration::from_secs(3);
/// Interval between the submissions of the client whose answers are checked.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(20);
/// Number of requests of each flood without which it would be none.
const MIN_FLOOD: u64 = 1_000;
/// Size of the pieces in which a flood is written, in bytes.
const FLOOD_PIECE_BYTES: usize = 16 * 1024;

fn options() -> SenderOptions {
    SenderOptions {
        memory_mb: MEMORY_MB,
        max_descriptors: MAX_DESCRIPTORS,
        disk_mb: 20.0,
        buffer_capacity: 2_000,
        ..SenderOptions::default()
    }
}

fn start(script: Vec<Reply>) -> (Environment, SenderProcess) {
    let environment = Environment::with_options(script, options());
    let sender = environment.start_sender();
    environment.discovery.await_watch_after(1);
    (environment, sender)
}

/// A head of very many short fields.
fn head_of_short_fields() -> String {
    format!("POST /notice HTTP/1.1\r\n{}", "a:\r\n".repeat(SHORT_FIELDS))
}

/// Opens connections, each of which sends one of the texts in turn and stays. The sender may close a connection at any
/// time.
fn open_crowd(address: SocketAddr, texts: &[String]) -> Vec<TcpStream> {
    let connect = |number: usize| {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_write_timeout(Some(CLIENT_TIMEOUT)).ok()?;
        let _ = stream.write_all(texts[number % texts.len()].as_bytes());
        Some(stream)
    };
    (0..CROWD).filter_map(connect).collect()
}

/// Checks that the processes stay within the memory of one sender together.
fn assert_within_memory(name: &str, processes: &[&SenderProcess]) {
    let bytes: u64 = processes.iter().map(|process| process.anonymous_memory()).sum();
    assert!(bytes <= MEMORY_MB * 1_000_000, "{name}: {bytes} bytes");
}

/// Submits small messages for [`WATCH_TIME`], and checks that each is answered in time and that the sender stays within
/// its memory.
fn assert_serves(name: &str, sender: &SenderProcess) {
    let (start, mut slowest, mut most) = (Instant::now(), Duration::ZERO, 0);
    for number in 0.. {
        if start.elapsed() > WATCH_TIME {
            break;
        }
        let submitted_at = Instant::now();
        assert_eq!(sender.submit(&format!("{name}-{number}"), 10_000, "x"), ACCEPTED);
        slowest = slowest.max(submitted_at.elapsed());
        assert!(submitted_at.elapsed() < CLIENT_TIMEOUT, "{name}: {:?}", submitted_at.elapsed());
        assert_within_memory(name, &[sender]);
        most = most.max(sender.anonymous_memory());
        thread::sleep(SUBMISSION_INTERVAL);
    }
    println!("{name}: slowest answer {slowest:?}, {most} bytes at most");
}

/// A peer that writes the same text over and over at full speed, reads no answer, and connects again when its
/// connection ends.
struct Flood {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<u64>,
}

impl Flood {
    /// Starts a flood of the texts that `text` returns for 0, 1, 2 and so on. If `reads` is set, the peer reads and
    /// discards the answers.
    fn start(address: SocketAddr, reads: bool, text: impl Fn(u64) -> String + Send + 'static) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let ends = is_over.clone();
        let thread = thread::spawn(move || {
            let mut sent = 0;
            while !ends.load(Ordering::Relaxed) {
                let Ok(mut stream) = TcpStream::connect(address) else { continue };
                if reads {
                    discard_answers(&stream);
                }
                stream.set_write_timeout(Some(CLIENT_TIMEOUT)).unwrap();
                while !ends.load(Ordering::Relaxed) {
                    let mut piece = String::new();
                    while piece.len() < FLOOD_PIECE_BYTES {
                        piece += &text(sent);
                        sent += 1;
                    }
                    if stream.write_all(piece.as_bytes()).is_err() {
                        break;
                    }
                }
            }
            sent
        });
        Self { is_over, thread }
    }

    /// Ends the flood; returns the number of texts that were written.
    fn stop(self) -> u64 {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

/// Reads and discards what arrives on a connection, until it ends.
fn discard_answers(stream: &TcpStream) {
    let mut stream = stream.try_clone().unwrap();
    thread::spawn(move || while stream.read(&mut [0; 4096]).is_ok_and(|bytes| bytes > 0) {});
}

/// The floods of clients, by name: small valid requests that wait for no answer, under ever new names; health checks;
/// requests of unknown classes; and noise.
fn client_floods(address: SocketAddr) -> Vec<Flood> {
    vec![
        Flood::start(address, true, |number| {
            submission(&format!("f{number}"), 10_000, "").replace("dest=7", &format!("dest={}", 100 + number))
        }),
        Flood::start(address, true, |_| "GET /healthz HTTP/1.1\r\nHost: m\r\n\r\n".to_owned()),
        Flood::start(address, false, |_| "GET /healthz HTTP/1.1\r\nHost: m\r\n\r\n".to_owned()),
        Flood::start(address, true, |number| {
            submission(&format!("g{number}"), 10_000, "").replace("/notice", &format!("/c{number}"))
        }),
        Flood::start(address, false, |number| format!("\0noise {number}\r\n\r\n")),
    ]
}

/// Guards against clients that get their answers late, and against memory that grows, while several peers send small or
/// invalid requests at full speed at once; and against an upgrade that they hold up.
#[test]
fn floods_across_an_upgrade_delay_no_other_client() {
    let (environment, mut predecessor) = start(vec![OK]);
    let floods = client_floods(predecessor.address);
    assert_serves("before an upgrade", &predecessor);
    let started_at = Instant::now();
    let successor = environment.start_sender();
    assert!(started_at.elapsed() < Duration::from_secs(3), "{:?}", started_at.elapsed());
    assert_within_memory("upgrade", &[&predecessor, &successor]);
    predecessor.signal(Signal::Terminate);
    assert!(predecessor.wait().success());
    assert_serves("after an upgrade", &successor);
    let sent: Vec<u64> = floods.into_iter().map(Flood::stop).collect();
    assert!(sent.iter().all(|sent| *sent > MIN_FLOOD), "{sent:?}");
}

/// Guards against two processes of an upgrade that exceed the memory together: the buffer for messages is full, as
/// endpoints hang, and each process has a crowd of clients that stopped within large bodies or heads of short fields.
#[test]
fn an_upgrade_with_a_full_buffer_and_two_crowds_stays_within_the_memory() {
    let (environment, predecessor) = start(vec![Reply::NoAnswer]);
    let body = "x".repeat(LONGEST_BODY);
    let accepted = (0..1_000)
        .take_while(|number| predecessor.submit(&format!("m{number}"), 20_000, &body) == ACCEPTED)
        .count();
    assert!((10..1_000).contains(&accepted), "{accepted} messages accepted");
    let long = submission("stopped", 10_000, &body);
    let texts =
        [long[..long.len() - 1].to_owned(), head_of_short_fields(), long[..LONGEST_BODY / 2].to_owned()];
    let _first_crowd = open_crowd(predecessor.address, &texts);
    assert_within_memory("predecessor", &[&predecessor]);
    let successor = environment.start_sender();
    let _second_crowd = open_crowd(successor.address, &texts);
    let (start, mut most) = (Instant::now(), 0);
    while start.elapsed() < WATCH_TIME {
        assert_within_memory("both", &[&predecessor, &successor]);
        most = most.max(predecessor.anonymous_memory() + successor.anonymous_memory());
        thread::sleep(SUBMISSION_INTERVAL);
    }
    println!("{accepted} messages held, both processes {most} bytes at most");
}
