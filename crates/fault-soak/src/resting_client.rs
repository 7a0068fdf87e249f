//! Clients whose connections rest before their only request, also while the sender drains.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use crate::client::{request_text, LoadControl};
use crate::exchange::{exchange, Exchange, SendStyle, RESPONSE_TIMEOUT};
use crate::history::{ConnectionUse, History, Message, SubmitResult};
use crate::settings::Class;

/// Longest time for which a connection rests, in milliseconds.
const LONGEST_REST_MS: u64 = 3_600;
/// Time after which an undisturbed sender has accepted a connection.
const ACCEPT_TIME: Duration = Duration::from_millis(500);
/// Pause between two connections to a sender, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 40..160;
/// Longest pause within a request, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 900;
/// Time to the deadline of a message.
const BUDGET: Duration = Duration::from_secs(6);
/// Number of bytes in a body.
const BODY_BYTES: usize = 300;

/// Opens connections to a sender while that is switched on, until the load stops.
pub async fn run_resting_clients(
    sender: usize,
    address: SocketAddr,
    load_control: Arc<LoadControl>,
    history: Arc<History>,
    seed: u64,
) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut clients = tokio::task::JoinSet::new();
    let mut number = 0;
    while !load_control.is_stopped() {
        sleep(Duration::from_millis(random.u64(PAUSE_MS))).await;
        if load_control.rest.load(Ordering::Relaxed) {
            let client = RestingClient {
                sender,
                address,
                history: history.clone(),
                id: format!("r-{sender}-{number}"),
                rest: Duration::from_millis(random.u64(0..LONGEST_REST_MS)),
                pause: Duration::from_millis(random.u64(0..LONGEST_PAUSE_MS)),
                class: Class::ALL[random.usize(0..3)],
            };
            number += 1;
            clients.spawn(client.run());
        }
    }
    clients.join_all().await;
}

/// A client with one connection and one request.
struct RestingClient {
    sender: usize,
    address: SocketAddr,
    history: Arc<History>,
    id: String,
    rest: Duration,
    pause: Duration,
    class: Class,
}

impl RestingClient {
    async fn run(self) {
        let Ok(Ok(stream)) = timeout(RESPONSE_TIMEOUT, TcpStream::connect(self.address)).await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        sleep(self.rest).await;
        let text = request_text(&self.id, self.class, 1, None, BUDGET, BODY_BYTES);
        self.record_submission();
        let may_stall = self.history.records().accepts_may_stall;
        let connection_use = match (self.rest >= ACCEPT_TIME, may_stall) {
            (false, _) => ConnectionUse::Fresh,
            (true, false) => ConnectionUse::Accepted,
            (true, true) => ConnectionUse::Rested,
        };
        let style = SendStyle { pause: Some(self.pause), ..SendStyle::default() };
        let ended = exchange(self.sender, BufReader::new(stream), &text, connection_use, style).await;
        self.record_result(ended);
    }

    fn record_submission(&self) {
        let message = Message {
            sender: self.sender,
            class: self.class,
            destination: 1,
            order: None,
            submitted_at: Instant::now() + self.pause,
            budget: BUDGET,
            result: None,
            is_replayed: false,
        };
        self.history.records().messages.insert(self.id.clone(), message);
    }

    fn record_result(&self, ended: Exchange) {
        let mut records = self.history.records();
        let result = match ended {
            Exchange::Response(response, _) => SubmitResult::of(response.status()),
            Exchange::Abandoned => SubmitResult::Abandoned,
            Exchange::Ended(ended) => {
                records.ended_requests.push((self.id.clone(), ended));
                SubmitResult::Closed
            }
        };
        if let Some(message) = records.messages.get_mut(&self.id) {
            message.result = Some((result, Instant::now()));
        }
    }
}
