//! The watch on the list of endpoints, and the notices that end messages.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{ensure, Context};
use bytes::Bytes;
use delivery_control::{DiscoveryMode, MessageId, Settings};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout, Instant};

use crate::endpoint_list::EndpointList;
use crate::event::SenderEvent;
use crate::http_connection::Connection;
use crate::notice::{Notice, NoticeResult};
use crate::time::duration;

/// A change counts as told 6 s after discovery had it and could be reached, whatever became of the calls in between:
/// from the start of a call that brings nothing to the answer of the next one, all below fits in that.
///
/// From the start of a call that brings nothing to the start of the next one, at most. Senders whose calls fail
/// together use all of it, lest they overbook discovery together.
const CYCLE: Duration = Duration::from_millis(3_600);
/// How long the answer to a new watch, or with the whole list, may take: longer than discovery lets a call wait in
/// its queue (2 s), lest its work on an answer be for nothing.
const LIST_PATIENCE: Duration = Duration::from_millis(2_200);
/// How long a call that goes on with a watch waits at most, and the part of that which is left to chance: answers
/// that went out together must not have all senders ask in step, nor find out in step that their watches are silent.
const WATCH: Duration = Duration::from_millis(2_000);
const WATCH_JITTER: f64 = 0.3;
const FIRST_WATCH: Duration = Duration::from_millis(50);
/// How long its answer may take beyond that: it comes at once, since it is no new watch.
const WATCH_PATIENCE: Duration = Duration::from_millis(800);
/// Longest pause before a watch that has fallen silent is made anew, the first time: each sender's part of it, and
/// the least. What is left of the cycle bounds it.
const RENEW_PART: Duration = Duration::from_millis(3);
const RENEW_LEAST: Duration = Duration::from_millis(200);
/// How long an answer to notices may take. It is given at once, so the connection may be dead; each time that it was
/// not, it is doubled, lest a slow platform never get to answer.
const NOTICE_PATIENCE: Duration = Duration::from_millis(150);
const NOTICE_PATIENCE_MOST: Duration = Duration::from_secs(2);
const LIST_BYTES: usize = 8 * 1024 * 1024;
/// Pause after a notice was not taken; it is stretched by chance, so that senders do not come in step.
const PAUSE: Duration = Duration::from_millis(50);
/// Each sender's part of the pause between failed calls for the list: all of them together then ask some twenty
/// times a second, as long as the cycle allows. Doubled with each further failure, so many times at most.
const ASK_GAP: Duration = Duration::from_millis(100);
const ASK_DOUBLINGS: u32 = 2;
/// And once senders' pauses have spread them out, so much of each is sure, so that they stay spread out.
const SURE_SHARE: f64 = 0.8;
/// Where lists are pushed, what the agent has counts as told at once.
const PUSHED_GAP_MOST: Duration = Duration::from_millis(200);
/// Least time between log lines on failed calls.
const TELL_EVERY: Duration = Duration::from_secs(1);
/// Notices sent in one request.
const NOTICES: usize = 64;

/// A connection to the agent that is made anew after any failure.
struct DiscoveryClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl DiscoveryClient {
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

/// How often discovery may be called, by what the settings say of it.
#[derive(Debug, Clone, Copy)]
pub struct PollPolicy {
    /// Longest pause before the first call of a process that knows a list.
    first: Duration,
    /// Longest pause after a failed call, doubled with each further one up to the utmost.
    gap: Duration,
    gap_most: Duration,
    /// Longest pause before a watch that has fallen silent is made anew.
    renew: Duration,
}

impl PollPolicy {
    pub fn new(settings: &Settings) -> Self {
        match settings.discovery {
            // The agent is this sender's alone.
            DiscoveryMode::Push => {
                Self { first: Duration::ZERO, gap: ASK_GAP, gap_most: PUSHED_GAP_MOST, renew: RENEW_LEAST }
            }
            // One discovery answers all senders. What the settings allow an old list is less, if anything.
            DiscoveryMode::Subscribe => {
                let most = CYCLE.min(duration(settings.rules.poll_within)).max(ASK_GAP);
                Self {
                    first: (ASK_GAP * settings.sender_count / 2).min(most),
                    gap: (ASK_GAP * settings.sender_count).min(most),
                    gap_most: most,
                    renew: (RENEW_PART * settings.sender_count).max(RENEW_LEAST),
                }
            }
        }
    }
}

/// Pauses between calls for the list: exponential backoff with full jitter. All senders share discovery, and
/// what refuses more calls than it can answer answers none: a refusal costs it as much.
struct Backoff {
    random: fastrand::Rng,
    manner: PollPolicy,
    failures: u32,
    /// A pause has spread the senders out since the last answer, which may have come to all of them at once.
    spread: bool,
    /// Failures since the last line of the log, and when that was.
    untold: u32,
    told: Option<Instant>,
}

impl Backoff {
    fn new(manner: PollPolicy, random: fastrand::Rng) -> Self {
        Self { random, manner, failures: 0, spread: false, untold: 0, told: None }
    }

    /// Before a first call that can wait: senders that are started together must not ask together.
    fn first(&mut self) -> Duration {
        self.spread = true;
        self.manner.first.mul_f64(self.random.f64())
    }

    /// How long a call that goes on with a watch waits.
    fn wait(&mut self) -> Duration {
        WATCH.mul_f64(1.0 - WATCH_JITTER * self.random.f64())
    }

    /// After a failed call that took so long. Silence says nothing of discovery, but that the connection is dead:
    /// the first time, a new one is made soon, since changes go on to count as told.
    fn next(&mut self, is_silence: bool, took: Duration) -> Duration {
        let PollPolicy { gap, gap_most, renew, .. } = self.manner;
        let longest = match self.failures {
            0 if is_silence => renew,
            failures => (gap * 2u32.pow(failures.min(ASK_DOUBLINGS))).min(gap_most),
        };
        let sure = if self.spread { SURE_SHARE } else { 0.0 };
        (self.failures, self.spread) = (self.failures.saturating_add(1), true);
        longest.min(CYCLE.saturating_sub(took)).mul_f64(sure + (1.0 - sure) * self.random.f64())
    }

    fn answered(&mut self) {
        (self.failures, self.spread) = (0, false);
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
pub type DiscoveryAddress = watch::Receiver<SocketAddr>;

/// Watches the list for good. A new address ends the watch at the old one with its connection, so that no list
/// of the old agent can follow one of the new agent.
pub async fn watch(
    mut addresses: DiscoveryAddress,
    inbox: mpsc::Sender<SenderEvent>,
    manner: PollPolicy,
    mut known: Option<u64>,
) {
    let mut backoff = Backoff::new(manner, fastrand::Rng::new());
    // Who knows a list can serve on it meanwhile. A new address is asked at once: it may know better.
    if known.is_some() {
        sleep(backoff.first()).await;
    }
    loop {
        let address = *addresses.borrow_and_update();
        tokio::select! {
            biased;
            // What failed at the old address says nothing of the new one.
            Ok(()) = addresses.changed() => backoff.answered(),
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
    inbox: &mpsc::Sender<SenderEvent>,
    backoff: &mut Backoff,
) {
    let mut agent = DiscoveryClient::new(address);
    // The first answer comes at once: it settles that what is known is all there is.
    let (mut after, mut wait, mut patience) = (known, FIRST_WATCH, LIST_PATIENCE);
    loop {
        let began = Instant::now();
        match next_list(&mut agent, after, wait, patience).await {
            Ok(list) if !list.snapshot && after.is_some_and(|after| list.index < after) => {
                tracing::warn!(index = list.index, ?after, "discovery counts anew: asks for the whole list");
                after = None;
            }
            Ok(list) => {
                (wait, patience) = (backoff.wait(), WATCH_PATIENCE);
                let (index, whole, lines) = (list.index, list.snapshot, list.endpoints.len());
                tracing::info!(index, whole, lines, failures = backoff.failures, "discovery answers");
                after = Some(list.index);
                backoff.answered();
                if inbox.send(SenderEvent::EndpointListReceived(list)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                backoff.tell(&error);
                let pause = backoff.next(error.is::<Elapsed>(), began.elapsed());
                sleep(pause).await;
                // The next call begins a new watch, whose first answer again comes at once.
                (wait, patience) = (FIRST_WATCH, LIST_PATIENCE);
            }
        }
    }
}

async fn next_list(
    agent: &mut DiscoveryClient,
    after: Option<u64>,
    wait: Duration,
    patience: Duration,
) -> anyhow::Result<EndpointList> {
    let (path, patience) = match after {
        None => ("/v1/servers".to_owned(), patience),
        Some(after) => (format!("/v1/servers?after={after}&wait_ms={}", wait.as_millis()), patience + wait),
    };
    let (status, body) = timeout(patience, agent.ask(Method::GET, &path, Bytes::new())).await??;
    ensure!(status == StatusCode::OK, "discovery answers {status}");
    serde_json::from_slice(&body).context("discovery's list is malformed")
}

/// Notices to be sent. The driver bounds how many there are by what it holds.
#[derive(Default)]
pub struct NoticeQueue {
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

impl NoticeQueue {
    pub fn push(&self, id: MessageId, notice: Notice) {
        self.queue.borrow_mut().push_back((id, notice));
        self.added.notify_one();
    }

    pub fn len(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Sends notices for good, each again until it is taken. What the agent at an old address has not
    /// acknowledged goes to the new one: a notice that comes twice does no harm.
    pub async fn send(self: Rc<Self>, mut addresses: DiscoveryAddress, inbox: mpsc::Sender<SenderEvent>) {
        let mut agent = DiscoveryClient::new(*addresses.borrow_and_update());
        let mut patience = NOTICE_PATIENCE;
        loop {
            let batch: Vec<_> = self.queue.borrow().iter().take(NOTICES).cloned().collect();
            if batch.is_empty() {
                self.added.notified().await;
                continue;
            }
            let answer = tokio::select! {
                biased;
                Ok(()) = addresses.changed() => {
                    agent = DiscoveryClient::new(*addresses.borrow_and_update());
                    continue;
                }
                answer = timeout(patience, agent.ask(Method::POST, "/status", lines(&batch))) => answer,
            };
            match answer {
                Ok(Ok((StatusCode::NO_CONTENT, _))) => {
                    patience = NOTICE_PATIENCE;
                    self.queue.borrow_mut().drain(..batch.len());
                    let sent = batch.into_iter().map(|(id, _)| id).collect();
                    if inbox.send(SenderEvent::NoticesAcknowledged(sent)).await.is_err() {
                        return;
                    }
                }
                Err(_) => {
                    tracing::warn!(?patience, "notices were not answered");
                    agent.connection = None;
                    patience = (2 * patience).min(NOTICE_PATIENCE_MOST);
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
        let (result, retry_after) = match notice.result {
            NoticeResult::Failed => ("dead", 0),
            NoticeResult::Rejected { retry_after } => ("bounced", retry_after),
        };
        let wait_ms = Some(retry_after / 1000).filter(|wait| *wait > 0);
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
    use delivery_control::Rules;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    /// So many senders that ask, and need not for 10 s.
    fn asks(senders: u32) -> PollPolicy {
        let rules = Rules { poll_within: 10_000_000, ..Rules::default() };
        PollPolicy::new(&Settings {
            discovery: DiscoveryMode::Subscribe,
            sender_count: senders,
            rules,
            ..Settings::default()
        })
    }

    fn pushed(senders: u32) -> PollPolicy {
        PollPolicy::new(&Settings {
            discovery: DiscoveryMode::Push,
            sender_count: senders,
            ..Settings::default()
        })
    }

    /// Calls by the second of so many senders that discovery refuses from their common start on.
    fn refused_calls(senders: u32) -> [u32; 20] {
        let mut asked = [0; 20];
        for seed in 0..senders {
            let mut backoff = Backoff::new(asks(senders), fastrand::Rng::with_seed(seed.into()));
            let mut at = backoff.first();
            while at < Duration::from_secs(20) {
                asked[at.as_secs() as usize] += 1;
                at += backoff.next(false, Duration::ZERO);
            }
        }
        asked
    }

    /// Guards against a fleet that keeps discovery overbooked by asking again and again: at 820 calls a second of
    /// a hundred senders, and still at thirty, it refused nearly all.
    #[test]
    fn a_fleet_whose_calls_for_the_list_fail_asks_seldom_and_out_of_step() {
        let fleet = refused_calls(100);
        assert!(fleet.iter().all(|calls| *calls <= 42), "calls by second: {fleet:?}");
        // Each has to ask once in 3.6 s, since a change counts as told 6 s after discovery can be reached.
        assert!(fleet[10..].iter().sum::<u32>() <= 340, "calls by second: {fleet:?}");
        // A small fleet goes on asking several times a second.
        let few = refused_calls(2);
        assert!(few[1..].iter().all(|calls| (2..40).contains(calls)), "calls by second: {few:?}");
    }

    /// Guards against a handshake with each answer of 503, which costs an overbooked discovery still more.
    #[tokio::test]
    async fn a_refused_call_for_the_list_keeps_its_connection() {
        let test = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut agent = DiscoveryClient::new(listener.local_addr().unwrap());
            tokio::task::spawn_local(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                drop(listener);
                while stream.read(&mut [0; 4096]).await.is_ok_and(|bytes| bytes > 0) {
                    let answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(answer).await.unwrap();
                }
            });
            for _ in 0..3 {
                let refused = next_list(&mut agent, None, Duration::ZERO, LIST_PATIENCE).await.unwrap_err();
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
            let (asked, mut lines_asked) = mpsc::channel(8);
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
            tokio::task::spawn_local(watch(addresses, inbox, asks(1), Some(7)));
            let mut lines = Vec::new();
            for _ in 0..4 {
                lines.push(
                    lines_asked.recv().await.unwrap().replace(" HTTP/1.1", "").replace("GET /v1/servers", ""),
                );
            }
            // The wait of those that go on is partly chance.
            let (waits, lines): (Vec<u64>, Vec<_>) = lines
                .iter()
                .map(|line| match line.split_once("&wait_ms=") {
                    Some((line, wait)) => (wait.parse().unwrap(), line),
                    None => (0, line.as_str()),
                })
                .unzip();
            assert_eq!(lines, ["?after=7", "?after=9", "?after=9", ""]);
            assert_eq!(waits[0], 50);
            assert!(waits[1..3].iter().all(|wait| (1_400..=2_000).contains(wait)), "{waits:?}");
            assert!(matches!(
                lists.recv().await,
                Some(SenderEvent::EndpointListReceived(EndpointList { index: 9, .. }))
            ));
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    /// What an agent does with a call, whatever connection it comes on.
    #[derive(Clone, Copy)]
    enum Does {
        /// Answers with this version, and no lines.
        Version(u64),
        /// Answers nothing, or no more than the start of a list, and keeps the connection open.
        Nothing,
        Half,
        Refuses,
    }

    /// An agent that plays a script, one entry a call, the last for all that follow. Gives its address and the
    /// version that each call names.
    async fn agent(script: Vec<Does>) -> (SocketAddr, mpsc::UnboundedReceiver<Option<u64>>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (post, calls) = mpsc::unbounded_channel();
        let script = Rc::new(RefCell::new(script));
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (post, script) = (post.clone(), script.clone());
                tokio::task::spawn_local(async move {
                    let mut request = [0; 4096];
                    while let Some(length) = stream.read(&mut request).await.ok().filter(|length| *length > 0)
                    {
                        let text = String::from_utf8_lossy(&request[..length]);
                        let after = text.split_once("after=").and_then(|(_, rest)| rest.split('&').next());
                        let does = {
                            let mut script = script.borrow_mut();
                            if script.len() > 1 {
                                script.remove(0)
                            } else {
                                script[0]
                            }
                        };
                        post.send(after.and_then(|after| after.parse().ok())).unwrap();
                        let answer = match does {
                            Does::Version(index) => {
                                // Indented, as lists may come.
                                let list = format!("{{\n  \"index\": {index},\n  \"snapshot\": false,\n  \"endpoints\": [\n  ]\n}}\n");
                                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
                            }
                            Does::Nothing => String::new(),
                            Does::Half => {
                                "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"index\":9,".to_owned()
                            }
                            Does::Refuses => "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_owned(),
                        };
                        stream.write_all(answer.as_bytes()).await.unwrap();
                    }
                });
            }
        });
        (address, calls)
    }

    /// A change counts as told so long after discovery had it and could be reached.
    const CLOCK: Duration = Duration::from_secs(6);

    /// Versions named by an agent's calls, in order, each within the clock of the one before.
    async fn named(calls: &mut mpsc::UnboundedReceiver<Option<u64>>, count: usize) -> Vec<Option<u64>> {
        let mut named = Vec::new();
        for _ in 0..count {
            named.push(timeout(CLOCK, calls.recv()).await.expect("in time").unwrap());
        }
        named
    }

    /// Guards against a change that counts as told before it is asked for: after silence from the first call, right
    /// after an answer, or in the middle of a list; after refusals; with one sender and with the most there are.
    #[tokio::test]
    async fn what_failed_is_asked_again_in_time() {
        let test = |script: Vec<Does>, manner: PollPolicy, versions: &'static [Option<u64>]| async move {
            let (address, mut calls) = agent(script).await;
            let (_moved, addresses) = tokio::sync::watch::channel(address);
            let (inbox, _lists) = mpsc::channel(8);
            tokio::task::spawn_local(watch(addresses, inbox, manner, Some(7)));
            assert_eq!(named(&mut calls, versions.len()).await, versions);
        };
        let silent = || vec![Does::Nothing, Does::Version(8), Does::Nothing];
        let later = || vec![Does::Version(8), Does::Nothing, Does::Version(9), Does::Nothing];
        let half = || vec![Does::Half, Does::Version(8), Does::Nothing];
        let refused = || vec![Does::Refuses, Does::Refuses, Does::Version(8), Does::Nothing];
        let both = || vec![Does::Nothing, Does::Refuses, Does::Version(8), Does::Nothing];
        let all = async {
            let runs = [asks(1), asks(1_024), pushed(1_024)].map(|manner| async move {
                tokio::join!(
                    test(silent(), manner, &[Some(7), Some(7), Some(8)]),
                    test(later(), manner, &[Some(7), Some(8), Some(8), Some(9)]),
                    test(half(), manner, &[Some(7), Some(7), Some(8)]),
                    test(refused(), manner, &[Some(7), Some(7), Some(7), Some(8)]),
                    test(both(), manner, &[Some(7), Some(7), Some(7), Some(8)]),
                );
            });
            let [one, most, own] = runs;
            tokio::join!(one, most, own);
        };
        tokio::task::LocalSet::new().run_until(all).await;
    }

    /// Guards against a new address that is heeded only after the pause of a call that failed at the old one, or after
    /// the old one's silence.
    #[tokio::test]
    async fn a_new_address_is_asked_at_once_whatever_became_of_the_old_one() {
        let test = |first: Does| async move {
            let (old, mut old_calls) = agent(vec![first]).await;
            let (new, mut new_calls) = agent(vec![Does::Version(3), Does::Nothing]).await;
            let (moved, addresses) = tokio::sync::watch::channel(old);
            let (inbox, mut lists) = mpsc::channel(8);
            // So many that pauses last for half a minute.
            tokio::task::spawn_local(watch(addresses, inbox, asks(3_000), None));
            assert_eq!(named(&mut old_calls, 1).await, [None]);
            moved.send(new).unwrap();
            assert_eq!(named(&mut new_calls, 2).await, [None, Some(3)]);
            assert!(matches!(
                lists.recv().await,
                Some(SenderEvent::EndpointListReceived(EndpointList { index: 3, .. }))
            ));
        };
        let all = async {
            tokio::join!(test(Does::Refuses), test(Does::Nothing), test(Does::Half));
        };
        tokio::task::LocalSet::new().run_until(all).await;
    }

    /// Guards against calls, waits and pauses that together outlast the time after which a change counts as told,
    /// whatever became of the call before and however many senders there are.
    #[test]
    fn whatever_became_of_a_call_the_next_answer_comes_before_a_change_counts_as_told() {
        let answer = FIRST_WATCH + LIST_PATIENCE;
        for senders in 1..=1_024 {
            for manner in [asks(senders), pushed(senders)] {
                let mut backoff = Backoff::new(manner, fastrand::Rng::with_seed(senders.into()));
                assert!(backoff.first() + answer < CLOCK, "{senders} senders");
                // Silent after an answer, then calls that fail at once, late, or never end.
                let silent = backoff.wait() + WATCH_PATIENCE;
                assert!(silent + backoff.next(true, silent) + answer < CLOCK, "{senders} senders");
                for took in [Duration::ZERO, LIST_PATIENCE, FIRST_WATCH, answer, Duration::from_secs(1)] {
                    for is_silence in [false, true] {
                        let pause = backoff.next(is_silence, took);
                        assert!(took + pause + answer < CLOCK, "{senders} senders, {took:?}");
                    }
                }
            }
            let mut own = Backoff::new(pushed(senders), fastrand::Rng::with_seed(senders.into()));
            assert!((0..10).all(|_| own.next(false, Duration::ZERO) <= PUSHED_GAP_MOST), "{senders} senders");
        }
    }

    /// Guards against a message that is lost because its notice was written to a connection which has fallen silent.
    #[tokio::test]
    async fn a_notice_goes_out_again_soon_when_its_connection_is_silent() {
        let test = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (_moved, addresses) = tokio::sync::watch::channel(listener.local_addr().unwrap());
            let (inbox, mut noticed) = mpsc::channel(8);
            let notices = Rc::new(NoticeQueue::default());
            tokio::task::spawn_local(notices.clone().send(addresses, inbox));
            notices.push(1, Notice { call_id: "m1".to_owned(), result: NoticeResult::Failed });
            let (mut first, _) = listener.accept().await.unwrap();
            assert!(first.read(&mut [0; 4096]).await.unwrap() > 0);
            let since = Instant::now();
            // It stays open and says nothing.
            let (mut second, _) = listener.accept().await.unwrap();
            assert!(second.read(&mut [0; 4096]).await.unwrap() > 0);
            assert!(since.elapsed() < Duration::from_millis(1_500), "{:?}", since.elapsed());
            second.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.unwrap();
            assert!(
                matches!(noticed.recv().await, Some(SenderEvent::NoticesAcknowledged(ids)) if ids == [1])
            );
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }
}
