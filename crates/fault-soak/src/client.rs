//! Clients that submit messages and record the results, and peers that send incomplete or invalid requests.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use crate::exchange::{exchange, Exchange, SendStyle, RESPONSE_TIMEOUT};
use crate::history::{ConnectionUse, History, Message, SubmitResult};
use crate::network::NetworkDelay;
use crate::settings::{Class, DESTINATIONS, MAX_BODY_BYTES};

/// Longest pause within a request that is sent in pieces, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 900;
/// Time within which a sender must answer an incomplete or invalid request or close its connection.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay with which a close may be noticed by the peer.
const PEER_TOLERANCE: Duration = Duration::from_millis(300);
/// Pause between two peers with incomplete or invalid requests, in milliseconds.
const PEER_PAUSE_MS: std::ops::Range<u64> = 50..250;
/// Pause between two peers with large requests, in milliseconds: those that wait use less than a third of the
/// descriptors of a sender.
const LARGE_REQUEST_PAUSE_MS: std::ops::Range<u64> = 35..60;
/// Number of fields in a head of very many short fields.
const SHORT_FIELDS: usize = 2_000;
/// Size of large invalid requests, in bytes.
const GARBAGE_BYTES: usize = 200_000;
/// Time after which an accepted message has most likely ended, so that it can be submitted again under the
/// same id.
const REPLAY_DELAY: Duration = Duration::from_millis(1_500);

/// Switches for clients and other peers, which faults set while the load runs.
#[derive(Debug, Default)]
pub struct LoadControl {
    /// Some clients disconnect without waiting for the response.
    pub abandon: AtomicBool,
    /// Some accepted messages of class `Once` are submitted again under the same id.
    pub replay: AtomicBool,
    /// Some clients send their requests in two pieces.
    pub pieces: AtomicBool,
    /// Some clients end their sending side after the request.
    pub half_close: AtomicBool,
    /// Further clients open connections that rest before their only request.
    pub rest: AtomicBool,
    /// Peers hold more idle connections than a sender may have descriptors.
    pub hold: AtomicBool,
    /// Peers open and close connections without pause.
    pub churn: AtomicBool,
    /// Peers send incomplete requests.
    pub stall: AtomicBool,
    /// Peers send most of a large request.
    pub stall_in_bodies: AtomicBool,
    /// Peers send invalid requests.
    pub garbage: AtomicBool,
    /// Clients submit to any sender.
    pub moves: AtomicBool,
    /// All clients and peers stop.
    pub stop: AtomicBool,
}

impl LoadControl {
    /// Whether all clients and peers are to stop.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

/// Parameters of a client.
pub struct ClientSetup {
    /// Index of the sender that it submits to.
    pub sender: usize,
    /// Number of the client among the clients of its sender.
    pub number: usize,
    /// Addresses of all senders.
    pub addresses: Vec<SocketAddr>,
    /// Switches that faults set.
    pub load_control: Arc<LoadControl>,
    /// History for its messages.
    pub history: Arc<History>,
    /// Delay of the network to the senders.
    pub network_delay: NetworkDelay,
    /// Seed of its random choices.
    pub seed: u64,
}

/// A client that uses one connection at a time.
pub struct Client {
    setup: ClientSetup,
    /// Index of the sender that it submits to at present.
    sender: usize,
    /// Connection that is kept for the next request.
    connection: Option<BufReader<TcpStream>>,
    /// Number of messages submitted so far.
    submitted: u64,
    /// Number of messages with an order key submitted so far.
    ordered: u64,
    /// An accepted message of class `Once`: its call id, the request, and the time of its acceptance.
    replayable: Option<(String, String, Instant)>,
    random: fastrand::Rng,
}

impl Client {
    /// Creates a client.
    #[must_use]
    pub fn new(setup: ClientSetup) -> Self {
        Self {
            sender: setup.sender,
            random: fastrand::Rng::with_seed(setup.seed),
            setup,
            connection: None,
            submitted: 0,
            ordered: 0,
            replayable: None,
        }
    }

    /// Submits messages until the load stops.
    pub async fn run(mut self) {
        while !self.setup.load_control.is_stopped() {
            self.submit_next().await;
            self.replay().await;
            sleep(Duration::from_millis(self.random.u64(20..90))).await;
        }
    }

    async fn submit_next(&mut self) {
        let class = Class::ALL[self.random.usize(0..Class::ALL.len())];
        let (home, number) = (self.setup.sender, self.setup.number);
        let id = format!("m-{home}-{number}-{}", self.submitted);
        self.choose_sender(class);
        self.submitted += 1;
        let order = (class == Class::Ordered).then(|| {
            self.ordered += 1;
            (format!("k-{home}-{number}"), self.ordered)
        });
        let destination = if class == Class::Ordered { 1 } else { self.random.u64(1..=DESTINATIONS) };
        let budget = Duration::from_millis(self.random.u64(3_000..8_000));
        let body_bytes = self.random.usize(20..1_500);
        let text = request_text(&id, class, destination, order.as_ref(), budget, body_bytes);
        let message = Message {
            sender: self.sender,
            class,
            destination,
            order,
            submitted_at: Instant::now(),
            budget,
            result: None,
            is_replayed: false,
        };
        self.setup.history.records().messages.insert(id.clone(), message);
        let result = self.submit(&id, &text).await;
        if let Some(message) = self.setup.history.records().messages.get_mut(&id) {
            message.result = Some((result, Instant::now()));
        }
        let is_home = self.sender == self.setup.sender;
        if class == Class::Once && result == SubmitResult::Accepted && is_home && self.replayable.is_none() {
            self.replayable = Some((id, text, Instant::now()));
        }
    }

    /// Chooses the sender for the next message. While clients move, it is any sender; messages with an order key go
    /// to the same one.
    fn choose_sender(&mut self, class: Class) {
        let moves = self.setup.load_control.moves.load(Ordering::Relaxed) && class != Class::Ordered;
        let sender = if moves { self.random.usize(0..self.setup.addresses.len()) } else { self.setup.sender };
        self.move_to(sender);
    }

    fn move_to(&mut self, sender: usize) {
        if sender != self.sender {
            self.connection = None;
            self.sender = sender;
        }
    }

    /// Submits on the kept connection or on a new one. If the kept connection ends without a response, the
    /// request is sent once more on a new one.
    async fn submit(&mut self, id: &str, text: &str) -> SubmitResult {
        let style = self.draw_style();
        if let Some(connection) = self.connection.take() {
            match self.exchange(id, connection, text, ConnectionUse::Accepted, style).await {
                SubmitResult::Closed => {}
                result => return result,
            }
        }
        match timeout(RESPONSE_TIMEOUT, TcpStream::connect(self.setup.addresses[self.sender])).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                self.exchange(id, BufReader::new(stream), text, ConnectionUse::Fresh, style).await
            }
            _ => SubmitResult::NotConnected,
        }
    }

    async fn exchange(
        &mut self,
        id: &str,
        connection: BufReader<TcpStream>,
        text: &str,
        connection_use: ConnectionUse,
        style: SendStyle,
    ) -> SubmitResult {
        self.record_submission_time(id, style);
        sleep(self.setup.network_delay.draw_one_way()).await;
        let ended = exchange(self.sender, connection, text, connection_use, style).await;
        sleep(self.setup.network_delay.draw_one_way()).await;
        match ended {
            Exchange::Response(response, connection) => {
                self.connection = connection;
                SubmitResult::of(response.status())
            }
            Exchange::Abandoned => SubmitResult::Abandoned,
            Exchange::Ended(ended) => {
                self.setup.history.records().ended_requests.push((id.to_owned(), ended));
                SubmitResult::Closed
            }
        }
    }

    /// Records the time at which the last byte of a request is written, from which the time left counts.
    fn record_submission_time(&self, id: &str, style: SendStyle) {
        if let Some(message) = self.setup.history.records().messages.get_mut(id) {
            if !message.is_replayed {
                message.submitted_at = Instant::now() + style.pause.unwrap_or_default();
            }
        }
    }

    /// Draws how the next request is sent, from what is switched on.
    fn draw_style(&mut self) -> SendStyle {
        let control = self.setup.load_control.clone();
        let mut draw = |flag: &AtomicBool, chance: f64, longest_ms: u64| {
            let is_drawn = flag.load(Ordering::Relaxed) && self.random.f64() < chance;
            is_drawn.then(|| Duration::from_millis(self.random.u64(0..longest_ms)))
        };
        SendStyle {
            abandons_after: draw(&control.abandon, 0.15, 4),
            pause: draw(&control.pieces, 0.5, LONGEST_PAUSE_MS),
            half_closes: draw(&control.half_close, 0.3, 1).is_some(),
        }
    }

    async fn replay(&mut self) {
        let is_due = self.replayable.as_ref().is_some_and(|(_, _, at)| at.elapsed() > REPLAY_DELAY);
        if !is_due {
            return;
        }
        let Some((id, text, _)) = self.replayable.take() else { return };
        if !self.setup.load_control.replay.load(Ordering::Relaxed) {
            return;
        }
        if let Some(message) = self.setup.history.records().messages.get_mut(&id) {
            message.is_replayed = true;
        }
        self.move_to(self.setup.sender);
        self.submit(&id, &text).await;
    }
}

/// Returns the request that submits a message.
#[must_use]
pub fn request_text(
    id: &str,
    class: Class,
    destination: u64,
    order: Option<&(String, u64)>,
    budget: Duration,
    body_bytes: usize,
) -> String {
    let query = order.map(|(key, _)| format!("?subject={key}")).unwrap_or_default();
    let body = "x".repeat(body_bytes);
    format!(
        "POST /{0}{query} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {0}\r\n\
         X-Budget-Ms: {1}\r\nIdempotency-Key: key-of-{id}\r\nX-Consignee: dest={destination}\r\n\
         Content-Length: {2}\r\n\r\n{body}",
        class.name(),
        budget.as_millis(),
        body.len()
    )
}

/// Connects to a sender with incomplete or invalid requests, if those are switched on, until the load stops.
pub async fn run_peers(
    sender: usize,
    address: SocketAddr,
    load_control: Arc<LoadControl>,
    history: Arc<History>,
    seed: u64,
) {
    let mut random = fastrand::Rng::with_seed(seed);
    while !load_control.is_stopped() {
        let stalls_in_bodies = load_control.stall_in_bodies.load(Ordering::Relaxed);
        let pause_ms = if stalls_in_bodies { LARGE_REQUEST_PAUSE_MS } else { PEER_PAUSE_MS };
        sleep(Duration::from_millis(random.u64(pause_ms))).await;
        let text = if stalls_in_bodies {
            large_request_without_end(&mut random)
        } else if load_control.stall.load(Ordering::Relaxed) {
            stalled_request(&mut random)
        } else if load_control.garbage.load(Ordering::Relaxed) {
            garbage(&mut random)
        } else {
            continue;
        };
        tokio::spawn(run_peer(sender, address, text, history.clone()));
    }
}

async fn run_peer(sender: usize, address: SocketAddr, text: Vec<u8>, history: Arc<History>) {
    let started = Instant::now();
    let Ok(Ok(mut stream)) = timeout(RESPONSE_TIMEOUT, TcpStream::connect(address)).await else { return };
    let limit = PEER_TIMEOUT + PEER_TOLERANCE;
    let is_answered = timeout(limit, send_and_wait(&mut stream, &text)).await.is_ok();
    history.records().peers.push((sender, started, is_answered));
}

/// Sends the text and waits for a response or the end of the connection.
async fn send_and_wait(stream: &mut TcpStream, text: &[u8]) -> io::Result<usize> {
    stream.write_all(text).await?;
    stream.read(&mut [0; 64]).await
}

fn stalled_request(random: &mut fastrand::Rng) -> Vec<u8> {
    let whole = "POST /keyed HTTP/1.1\r\nHost: x\r\nX-Call-Id: never\r\nX-Call-Class: keyed\r\n\
                 X-Budget-Ms: 5000\r\nIdempotency-Key: k\r\nX-Consignee: dest=1\r\nContent-Length: 50\r\n\r\nxx";
    whole.as_bytes()[..random.usize(0..whole.len())].to_vec()
}

/// Returns a request with the longest body that the protocol permits, without its last bytes, or a head of very many
/// short fields without its end.
fn large_request_without_end(random: &mut fastrand::Rng) -> Vec<u8> {
    if random.bool() {
        return format!("POST /keyed HTTP/1.1\r\n{}", "a:\r\n".repeat(SHORT_FIELDS)).into_bytes();
    }
    let head = format!(
        "POST /keyed HTTP/1.1\r\nHost: x\r\nX-Call-Id: never\r\nX-Call-Class: keyed\r\nX-Budget-Ms: 5000\r\n\
         Idempotency-Key: k\r\nX-Consignee: dest=1\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let sent_bytes = random.usize(MAX_BODY_BYTES / 2..MAX_BODY_BYTES);
    [head.into_bytes(), vec![b'x'; sent_bytes]].concat()
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
