//! Clients that submit messages and hold the sender to its answers, and peers that are no clients.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use crate::history::{Answer, History, Message};
use crate::http::read_message;
use crate::settings::{Class, DESTINATIONS};

/// A client waits so long for its answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// A peer that is no client is owed an error or a close by then.
pub const PEER_LIMIT: Duration = Duration::from_secs(3);
/// How late a close may be noticed here.
const PEER_SLACK: Duration = Duration::from_millis(300);
const GARBAGE_BYTES: usize = 200_000;
/// After so long a message has most likely ended, so that its id can be used again.
const REPLAY_AGE: Duration = Duration::from_millis(1_500);

/// What clients do beside submitting, at the moment.
#[derive(Debug, Default)]
pub struct Habits {
    /// Some leave without their answer.
    pub leave: AtomicBool,
    /// Some submit a message again after its end.
    pub replay: AtomicBool,
    /// Peers stop half-way in a request.
    pub stall: AtomicBool,
    /// Peers send what is no request.
    pub garbage: AtomicBool,
    /// All stop.
    pub stop: AtomicBool,
}

impl Habits {
    fn are_over(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

/// A client with one connection.
pub struct Client {
    sender: usize,
    number: usize,
    address: SocketAddr,
    habits: Arc<Habits>,
    history: Arc<History>,
    connection: Option<BufReader<TcpStream>>,
    submitted: u64,
    ordered: u64,
    /// A message of the class that is never repeated, and when it was submitted.
    replayable: Option<(String, String, Instant)>,
    random: fastrand::Rng,
}

impl Client {
    /// A client of this sender.
    #[must_use]
    pub fn new(
        sender: usize,
        number: usize,
        address: SocketAddr,
        habits: Arc<Habits>,
        history: Arc<History>,
        seed: u64,
    ) -> Self {
        Self {
            sender,
            number,
            address,
            habits,
            history,
            connection: None,
            submitted: 0,
            ordered: 0,
            replayable: None,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Submits messages until told to stop.
    pub async fn run(mut self) {
        while !self.habits.are_over() {
            self.submit_next().await;
            self.replay().await;
            sleep(Duration::from_millis(self.random.u64(20..90))).await;
        }
    }

    async fn submit_next(&mut self) {
        let class = Class::ALL[self.random.usize(0..Class::ALL.len())];
        let id = format!("m-{}-{}-{}", self.sender, self.number, self.submitted);
        self.submitted += 1;
        let order = (class == Class::Ordered).then(|| {
            self.ordered += 1;
            (format!("k-{}-{}", self.sender, self.number), self.ordered)
        });
        let destination = if class == Class::Ordered { 1 } else { self.random.u64(1..=DESTINATIONS) };
        let budget = Duration::from_millis(self.random.u64(3_000..8_000));
        let text = self.request_text(&id, class, destination, order.as_ref(), budget);
        let message = Message {
            sender: self.sender,
            class,
            destination,
            order,
            submitted_at: Instant::now(),
            budget,
            answer: None,
            is_replayed: false,
        };
        self.history.records().messages.insert(id.clone(), message);
        let answer = self.submit(&text).await;
        if let Some(message) = self.history.records().messages.get_mut(&id) {
            message.answer = Some((answer, Instant::now()));
        }
        if class == Class::Once && answer == Answer::Accepted && self.replayable.is_none() {
            self.replayable = Some((id, text, Instant::now()));
        }
    }

    fn request_text(
        &mut self,
        id: &str,
        class: Class,
        destination: u64,
        order: Option<&(String, u64)>,
        budget: Duration,
    ) -> String {
        let query = order.map(|(key, _)| format!("?subject={key}")).unwrap_or_default();
        let body = "x".repeat(self.random.usize(20..1_500));
        format!(
            "POST /{0}{query} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {0}\r\n\
             X-Budget-Ms: {1}\r\nIdempotency-Key: key-of-{id}\r\nX-Consignee: dest={destination}\r\n\
             Content-Length: {2}\r\n\r\n{body}",
            class.name(),
            budget.as_millis(),
            body.len()
        )
    }

    /// Submits on the kept connection or on a new one. A kept connection that was closed before the sender
    /// read the request is replaced, and the request sent once more.
    async fn submit(&mut self, text: &str) -> Answer {
        let leaves = self.habits.leave.load(Ordering::Relaxed) && self.random.f64() < 0.15;
        if let Some(connection) = self.connection.take() {
            match self.exchange(connection, text, leaves, false).await {
                Answer::Closed { .. } => {}
                answer => return answer,
            }
        }
        match timeout(ANSWER_LIMIT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                self.exchange(BufReader::new(stream), text, leaves, true).await
            }
            _ => Answer::NotConnected,
        }
    }

    async fn exchange(
        &mut self,
        mut connection: BufReader<TcpStream>,
        text: &str,
        leaves: bool,
        is_fresh: bool,
    ) -> Answer {
        if connection.get_mut().write_all(text.as_bytes()).await.is_err() {
            return Answer::Closed { is_fresh };
        }
        if leaves {
            sleep(Duration::from_millis(self.random.u64(0..4))).await;
            return Answer::Abandoned;
        }
        match timeout(ANSWER_LIMIT, read_message(&mut connection)).await {
            Err(_) => Answer::Abandoned,
            Ok(Ok(Some(answer))) => {
                if answer.header("connection") != "close" {
                    self.connection = Some(connection);
                }
                match answer.status() {
                    200 | 202 => Answer::Accepted,
                    429 | 503 => Answer::Refused,
                    status => Answer::Failed(status),
                }
            }
            Ok(_) => Answer::Closed { is_fresh },
        }
    }

    async fn replay(&mut self) {
        let is_due = self.replayable.as_ref().is_some_and(|(_, _, at)| at.elapsed() > REPLAY_AGE);
        if !is_due {
            return;
        }
        let Some((id, text, _)) = self.replayable.take() else { return };
        if !self.habits.replay.load(Ordering::Relaxed) {
            return;
        }
        if let Some(message) = self.history.records().messages.get_mut(&id) {
            message.is_replayed = true;
        }
        self.submit(&text).await;
    }
}

/// Connects to a sender as peers do that are no clients, until told to stop.
pub async fn run_peers(
    sender: usize,
    address: SocketAddr,
    habits: Arc<Habits>,
    history: Arc<History>,
    seed: u64,
) {
    let mut random = fastrand::Rng::with_seed(seed);
    while !habits.are_over() {
        sleep(Duration::from_millis(random.u64(50..250))).await;
        let text = if habits.stall.load(Ordering::Relaxed) {
            stalled_request(&mut random)
        } else if habits.garbage.load(Ordering::Relaxed) {
            garbage(&mut random)
        } else {
            continue;
        };
        tokio::spawn(play_peer(sender, address, text, history.clone()));
    }
}

async fn play_peer(sender: usize, address: SocketAddr, text: Vec<u8>, history: Arc<History>) {
    let started = Instant::now();
    let Ok(Ok(mut stream)) = timeout(ANSWER_LIMIT, TcpStream::connect(address)).await else { return };
    let limit = PEER_LIMIT + PEER_SLACK;
    let is_answered = timeout(limit, send_and_wait(&mut stream, &text)).await.is_ok();
    history.records().peers.push((sender, started, is_answered));
}

/// Sends the text and waits for an answer or the connection's end.
async fn send_and_wait(stream: &mut TcpStream, text: &[u8]) -> io::Result<usize> {
    stream.write_all(text).await?;
    stream.read(&mut [0; 64]).await
}

fn stalled_request(random: &mut fastrand::Rng) -> Vec<u8> {
    let whole = "POST /keyed HTTP/1.1\r\nHost: x\r\nX-Call-Id: never\r\nX-Call-Class: keyed\r\n\
                 X-Budget-Ms: 5000\r\nIdempotency-Key: k\r\nX-Consignee: dest=1\r\nContent-Length: 50\r\n\r\nxx";
    whole.as_bytes()[..random.usize(0..whole.len())].to_vec()
}

fn garbage(random: &mut fastrand::Rng) -> Vec<u8> {
    match random.usize(0..3) {
        0 => (0..random.usize(1..GARBAGE_BYTES)).map(|_| random.u8(..)).collect(),
        1 => b"POST /keyed HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"
            .iter()
            .copied()
            .chain(std::iter::repeat_n(b'x', GARBAGE_BYTES))
            .collect(),
        _ => b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n".repeat(200),
    }
}
