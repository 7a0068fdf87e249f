//! The watch on the list of endpoints, and the notices that end messages.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{ensure, Context};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use roadshift::interface::MessageId;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep, timeout, Instant};

use crate::connection::Connection;
use crate::driver::Happening;
use crate::journal::Notice;

/// Short, so that a watch that was lost in silence is soon made anew.
const WATCH_MS: u64 = 10_000;
const FIRST_WATCH_MS: u64 = 50;
/// How long an answer to notices may take.
const PATIENCE: Duration = Duration::from_secs(2);
const LIST_BYTES: usize = 8 * 1024 * 1024;
/// Pause after a notice was not taken; it is stretched by chance, so that senders do not come in step.
const PAUSE: Duration = Duration::from_millis(50);
/// Each sender's part of the pause between failed calls for the list: all of them together then ask some twenty
/// times a second, however many they are. Doubled with each further failure, so many times at most.
const ASK_GAP: Duration = Duration::from_millis(100);
const ASK_DOUBLINGS: u32 = 2;
/// How long an answer with the list may take beyond the wait that was asked for: longer than discovery lets a call
/// wait in its queue (2 s), lest its work on an answer be for nothing.
const LIST_PATIENCE: Duration = Duration::from_secs(3);
/// Least time between log lines on failed calls.
const TELL_EVERY: Duration = Duration::from_secs(1);
/// Notices sent in one request.
const NOTICES: usize = 64;

/// A list of endpoints, or what changed in it.
#[derive(Debug, Clone, Deserialize)]
pub struct List {
    pub index: u64,
    pub snapshot: bool,
    pub endpoints: Vec<Line>,
}

/// One line of a list.
#[derive(Debug, Clone, Deserialize)]
pub struct Line {
    pub name: String,
    pub address: SocketAddr,
    pub zone: Option<String>,
    #[serde(rename = "type")]
    pub kind: Option<String>,
    pub group: u64,
    pub status: Status,
    #[serde(default)]
    pub weight: f64,
    #[serde(default)]
    pub since_ms: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    Up,
    Draining,
    Removed,
}

/// A connection to the agent that is made anew after any failure.
struct Agent {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Agent {
    fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    async fn ask(&mut self, method: Method, path: &str, body: Bytes) -> anyhow::Result<(StatusCode, Bytes)> {
        // Taken out, so that whatever fails on the way closes it.
        let mut open = match self.connection.take().filter(Connection::is_quiet) {
            Some(open) => open,
            None => Connection::open(self.address).await.context("no connection to discovery")?,
        };
        let request = Request::builder().method(method).uri(path).header(HOST, self.address.to_string());
        let response = open.send(request.body(Full::new(body))?).await?;
        let status = response.status();
        let body =
            Limited::new(response.into_body(), LIST_BYTES).collect().await.map_err(anyhow::Error::msg)?;
        if open.ready().await {
            self.connection = Some(open);
        }
        Ok((status, body.to_bytes()))
    }
}

async fn pause() {
    sleep(PAUSE.mul_f64(1.0 + 2.0 * fastrand::f64())).await;
}

/// Pauses between calls for the list: exponential backoff with full jitter. All senders share discovery, and
/// what refuses more calls than it can answer answers none: a refusal costs it as much.
struct Backoff {
    random: fastrand::Rng,
    gap: Duration,
    failures: u32,
    /// Failures since the last line of the log, and when that was.
    untold: u32,
    told: Option<Instant>,
}

impl Backoff {
    fn new(senders: u32, random: fastrand::Rng) -> Self {
        Self { random, gap: ASK_GAP * senders, failures: 0, untold: 0, told: None }
    }

    /// Before a first call that can wait: senders that are started together must not ask together.
    fn first(&mut self) -> Duration {
        (self.gap / 2).mul_f64(self.random.f64())
    }

    fn next(&mut self) -> Duration {
        let longest = self.gap * 2u32.pow(self.failures.min(ASK_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        longest.mul_f64(self.random.f64())
    }

    /// Logs a failure, at most one line a second.
    fn tell(&mut self, error: &anyhow::Error) {
        self.untold += 1;
        if self.told.is_none_or(|told| told.elapsed() >= TELL_EVERY) {
            tracing::info!(%error, failures = self.untold, "discovery does not answer");
            (self.untold, self.told) = (0, Some(Instant::now()));
        }
    }
}

/// Where discovery's agent is; the configuration may name another one while the process runs.
pub type Addresses = watch::Receiver<SocketAddr>;

/// Watches the list for good. A new address ends the watch at the old one with its connection, so that no list
/// of the old agent can follow one of the new agent.
pub async fn watch(
    mut addresses: Addresses,
    inbox: mpsc::Sender<Happening>,
    senders: u32,
    mut known: Option<u64>,
) {
    let mut backoff = Backoff::new(senders, fastrand::Rng::new());
    // Who knows a list can serve on it meanwhile. A new address is asked at once: it may know better.
    if known.is_some() {
        sleep(backoff.first()).await;
    }
    loop {
        let address = *addresses.borrow_and_update();
        tokio::select! {
            biased;
            Ok(()) = addresses.changed() => {}
            () = watch_at(address, known.take(), &inbox, &mut backoff) => return,
        }
    }
}

/// Watches the list of one agent, from the version on that is known of it, or else from a whole list: versions of
/// another agent mean nothing here. The next call goes out at once after each answer: a later one would begin a
/// new watch, and changes in between would count as told though they were not. A new watch is what costs
/// discovery; a first call for the whole list would be one more.
async fn watch_at(
    address: SocketAddr,
    known: Option<u64>,
    inbox: &mpsc::Sender<Happening>,
    backoff: &mut Backoff,
) {
    let mut agent = Agent::new(address);
    // The first answer comes at once: it settles that what is known is all there is.
    let (mut after, mut wait_ms) = (known, FIRST_WATCH_MS);
    loop {
        match next_list(&mut agent, after, wait_ms).await {
            Ok(list) if !list.snapshot && after.is_some_and(|after| list.index < after) => {
                tracing::warn!(index = list.index, ?after, "discovery counts anew: asks for the whole list");
                after = None;
            }
            Ok(list) => {
                wait_ms = WATCH_MS;
                let (index, whole, lines) = (list.index, list.snapshot, list.endpoints.len());
                tracing::info!(index, whole, lines, failures = backoff.failures, "discovery answers");
                (after, backoff.failures) = (Some(list.index), 0);
                if inbox.send(Happening::Listed(list)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                backoff.tell(&error);
                sleep(backoff.next()).await;
            }
        }
    }
}

async fn next_list(agent: &mut Agent, after: Option<u64>, wait_ms: u64) -> anyhow::Result<List> {
    let (path, patience) = match after {
        None => ("/v1/servers".to_owned(), LIST_PATIENCE),
        Some(after) => {
            let path = format!("/v1/servers?after={after}&wait_ms={wait_ms}");
            (path, LIST_PATIENCE + Duration::from_millis(wait_ms))
        }
    };
    let (status, body) = timeout(patience, agent.ask(Method::GET, &path, Bytes::new())).await??;
    ensure!(status == StatusCode::OK, "discovery answers {status}");
    serde_json::from_slice(&body).context("discovery's list is malformed")
}

/// Notices to be sent. The driver bounds how many there are by what it holds.
#[derive(Default)]
pub struct Notices {
    queue: RefCell<VecDeque<(MessageId, Notice)>>,
    added: Notify,
}

#[derive(Serialize)]
struct NoticeLine<'a> {
    #[serde(rename = "ref")]
    call_id: &'a str,
    result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<i64>,
}

impl Notices {
    pub fn push(&self, id: MessageId, notice: Notice) {
        self.queue.borrow_mut().push_back((id, notice));
        self.added.notify_one();
    }

    pub fn len(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Sends notices for good, each again until it is taken. What the agent at an old address has not
    /// acknowledged goes to the new one: a notice that comes twice does no harm.
    pub async fn send(self: Rc<Self>, mut addresses: Addresses, inbox: mpsc::Sender<Happening>) {
        let mut agent = Agent::new(*addresses.borrow_and_update());
        loop {
            let batch: Vec<_> = self.queue.borrow().iter().take(NOTICES).cloned().collect();
            if batch.is_empty() {
                self.added.notified().await;
                continue;
            }
            let answer = tokio::select! {
                biased;
                Ok(()) = addresses.changed() => {
                    agent = Agent::new(*addresses.borrow_and_update());
                    continue;
                }
                answer = timeout(PATIENCE, agent.ask(Method::POST, "/status", lines(&batch))) => answer,
            };
            match answer {
                Ok(Ok((StatusCode::NO_CONTENT, _))) => {
                    self.queue.borrow_mut().drain(..batch.len());
                    let sent = batch.into_iter().map(|(id, _)| id).collect();
                    if inbox.send(Happening::Noticed(sent)).await.is_err() {
                        return;
                    }
                }
                failed => {
                    tracing::warn!(?failed, "notices were not taken");
                    agent.connection = None;
                    pause().await;
                }
            }
        }
    }
}

fn lines(batch: &[(MessageId, Notice)]) -> Bytes {
    let mut text = Vec::new();
    for (_, notice) in batch {
        let result = if notice.bounced.is_some() { "bounced" } else { "dead" };
        let wait_ms = notice.bounced.map(|wait| wait / 1000).filter(|wait| *wait > 0);
        let line = NoticeLine { call_id: &notice.call_id, result, wait_ms };
        // Plain texts and numbers always serialize.
        text.extend(serde_json::to_vec(&line).unwrap_or_default());
        text.push(b'\n');
    }
    text.into()
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    /// Calls by the second of so many senders that discovery refuses from their common start on.
    fn refused_calls(senders: u32) -> [u32; 20] {
        let mut asked = [0; 20];
        for seed in 0..senders {
            let mut backoff = Backoff::new(senders, fastrand::Rng::with_seed(seed.into()));
            let mut at = backoff.first();
            while at < Duration::from_secs(20) {
                asked[at.as_secs() as usize] += 1;
                at += backoff.next();
            }
        }
        asked
    }

    /// Guards against a fleet that keeps discovery overbooked by asking again and again: at 820 calls a second of
    /// a hundred senders, and still at thirty, it refused nearly all.
    #[test]
    fn a_fleet_whose_calls_for_the_list_fail_asks_seldom_and_out_of_step() {
        let fleet = refused_calls(100);
        assert!(fleet.iter().all(|calls| *calls <= 40), "calls by second: {fleet:?}");
        assert!(fleet[10..].iter().sum::<u32>() <= 100, "calls by second: {fleet:?}");
        // A small fleet goes on asking several times a second.
        let few = refused_calls(2);
        assert!(few[1..].iter().all(|calls| (2..40).contains(calls)), "calls by second: {few:?}");
    }

    /// Guards against a handshake with each answer of 503, which costs an overbooked discovery still more.
    #[tokio::test]
    async fn a_refused_call_for_the_list_keeps_its_connection() {
        let test = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut agent = Agent::new(listener.local_addr().unwrap());
            tokio::task::spawn_local(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                drop(listener);
                while stream.read(&mut [0; 4096]).await.is_ok_and(|bytes| bytes > 0) {
                    let answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(answer).await.unwrap();
                }
            });
            for _ in 0..3 {
                let refused = next_list(&mut agent, None, 0).await.unwrap_err();
                assert!(refused.to_string().contains("503"), "{refused:#}");
                assert!(agent.connection.is_some());
            }
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    /// Guards against two calls by each process of a restarted fleet where one will do, and against a discovery
    /// that counts anew being waited for until it has caught up.
    #[tokio::test]
    async fn a_known_list_is_followed_from_its_version_on() {
        let test = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (_moved, addresses) = tokio::sync::watch::channel(listener.local_addr().unwrap());
            let (asked, mut asks) = mpsc::channel(8);
            tokio::task::spawn_local(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                for answer in [r#"{"index":9,"snapshot":false,"endpoints":[]}"#; 2]
                    .into_iter()
                    .chain([r#"{"index":3,"snapshot":false,"endpoints":[]}"#, ""])
                {
                    let mut request = [0; 4096];
                    let length = stream.read(&mut request).await.unwrap();
                    let line = String::from_utf8_lossy(&request[..length]).lines().next().unwrap().to_owned();
                    asked.send(line).await.unwrap();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", answer.len());
                    stream.write_all((head + answer).as_bytes()).await.unwrap();
                }
            });
            let (inbox, mut lists) = mpsc::channel(8);
            tokio::task::spawn_local(watch(addresses, inbox, 1, Some(7)));
            let mut lines = Vec::new();
            for _ in 0..4 {
                lines
                    .push(asks.recv().await.unwrap().replace(" HTTP/1.1", "").replace("GET /v1/servers", ""));
            }
            let after = |version: u64, wait: u64| format!("?after={version}&wait_ms={wait}");
            assert_eq!(
                lines,
                [after(7, FIRST_WATCH_MS), after(9, WATCH_MS), after(9, WATCH_MS), String::new()]
            );
            assert!(matches!(lists.recv().await, Some(Happening::Listed(List { index: 9, .. }))));
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }
}
