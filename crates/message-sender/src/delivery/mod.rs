//! Calls to endpoints, and the pool of connections that they use.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use delivery_control::{AttemptOutcome, DestinationId, EndpointId, Limits, LoadReport, Micros};
use deployment_config::load_report;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, Instant};

use crate::http_connection::{Connection, RestOfAnswer, SendError};
use crate::time::duration;

const PATH: &str = "/receive";
/// The body of an answer means nothing, but must be read before its connection can carry another call.
const ANSWER_BYTES: usize = 64 * 1024;
const DELIVERED: u16 = 200;
/// Connections are dropped after this share of the time that endpoints keep them: a call that crosses an
/// endpoint's close would end as a reset.
const IDLE_SHARE: f64 = 0.7;
/// Spans of idle time that are told apart, each twice the one before, from a millisecond on.
const IDLE_STEPS: usize = 16;
/// Share of calls on idle connections that may end as a reset: a handshake costs less than a lost call does, but
/// not nothing. So many calls that went well are taken for granted, lest one bad moment decide.
const RESETS_BORNE: f64 = 0.15;
const CALLS_GRANTED: f64 = 10.0;
/// What is left after each second of what was seen, so that trust comes back.
const SEEN_FADES: f64 = 0.98;
/// Reasons for broken calls that are told apart in the log.
const BREAKS: usize = 8;
/// And how often they are logged at most.
const BREAKS_EVERY: Duration = Duration::from_secs(5);
/// How long no connection is kept idle at an endpoint that has turned one away for want of room.
const CROWDED_FOR: Duration = Duration::from_secs(60);
/// What such an answer leaves of the time for which idle connections to the others are kept, and what each second
/// adds to that again.
const PATIENCE_CUT: f64 = 0.5;
const PATIENCE_REGAINS: f64 = 1.03;
/// How often it is looked what has been idle for too long.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// A told wait holds for a destination, or for an endpoint that is a route apart.
pub type Route = (DestinationId, Option<EndpointId>);

/// One call to make.
pub struct Call {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub route: Route,
    pub call_id: HeaderValue,
    pub key: Option<HeaderValue>,
    pub body: Bytes,
    pub timeout: Duration,
    /// When it was decided on.
    pub made: Instant,
    /// Later than this, nothing of it may be sent: a repeat would come outside its window.
    pub begin_by: Instant,
    /// Keeps how far it has come, for the time after the process's death; false where it must not go on.
    pub keep: Box<dyn Fn(AttemptPhase) -> bool>,
}

/// A step of a call that outlasts the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Its connection is up, and its first byte goes out next.
    Starting,
    /// None went out.
    NotStarted,
}

impl Call {
    fn at(&self) -> (EndpointId, SocketAddr) {
        (self.endpoint, self.address)
    }
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AttemptResult {
    pub outcome: AttemptOutcome,
    /// A wait that was told, from now on.
    pub wait: Micros,
    /// The message is over.
    pub last: bool,
    /// The report that came with the answer, if any.
    pub load: Option<LoadReport>,
    /// Bytes of it have gone out, and the journal tells so. Earlier versions, which do not say, wrote that of each.
    #[serde(default = "begun")]
    pub begun: bool,
}

fn begun() -> bool {
    true
}

impl From<AttemptOutcome> for AttemptResult {
    fn from(outcome: AttemptOutcome) -> Self {
        Self { outcome, wait: 0, last: outcome == AttemptOutcome::Delivered, load: None, begun: true }
    }
}

/// Belongs to its endpoint, not to the address: another one may have come to stand there.
struct Idle {
    connection: Connection,
    endpoint: EndpointId,
    address: SocketAddr,
    since: Instant,
}

/// How calls fared on connections that had been idle for a while. What lies between may forget these long before
/// the endpoint would close them, and without a word: it shows only in the reset of the next call, which may have
/// run. All endpoints count together, since with each apart there would be a lost call to learn from for each.
#[derive(Default)]
struct IdleLifetimeEstimator {
    /// Calls, and those that were reset, by the step of the idle time.
    seen: [(f64, f64); IDLE_STEPS],
}

impl IdleLifetimeEstimator {
    fn step(idle_for: Duration) -> usize {
        let ms = u32::try_from(idle_for.as_millis()).unwrap_or(u32::MAX);
        (ms.max(1).ilog2() as usize).min(IDLE_STEPS - 1)
    }

    fn note(&mut self, idle_for: Duration, reset: bool) {
        let (calls, resets) = &mut self.seen[Self::step(idle_for)];
        (*calls, *resets) = (*calls + 1.0, *resets + f64::from(u8::from(reset)));
    }

    /// Steps up to the first at which too many were reset: a longer idle time is no safer.
    fn trusted(&self) -> usize {
        let bears = |(calls, resets): &(f64, f64)| *resets <= RESETS_BORNE * (calls + CALLS_GRANTED);
        self.seen.iter().take_while(|seen| bears(seen)).count()
    }

    fn trusts(&self, idle_for: Duration) -> bool {
        Self::step(idle_for) < self.trusted()
    }

    /// The idle time that is trusted, for the log.
    fn trusted_ms(&self) -> u64 {
        let steps = self.trusted();
        if steps == 0 {
            0
        } else {
            1 << steps
        }
    }

    fn fade(&mut self) {
        let fade = |(calls, resets): &mut (f64, f64)| {
            (*calls, *resets) = (*calls * SEEN_FADES, *resets * SEEN_FADES)
        };
        self.seen.iter_mut().for_each(fade);
    }
}

/// Connections to all endpoints, and the waits that they told.
pub struct DeliveryClient {
    idle: RefCell<VecDeque<Idle>>,
    idle_most: usize,
    /// Answers that are still being read, of calls that are over.
    kept: Cell<usize>,
    idle_time: Duration,
    survival: RefCell<IdleLifetimeEstimator>,
    connect_timeout: Duration,
    waits: RefCell<HashMap<Route, Instant>>,
    /// Endpoints to which nothing new may go, since when.
    left: RefCell<HashMap<EndpointId, Instant>>,
    /// Endpoints that have no room for more connections, since when: idle ones, of all senders, take it up.
    crowded: RefCell<HashMap<EndpointId, Instant>>,
    /// Share of the idle time for which connections to the others are kept: what one lacks, they soon will.
    patience: Cell<f64>,
    /// Another process is the sender: no call begins, and no connection is kept.
    retired: Cell<bool>,
    /// Messages written whole.
    attempts: Rc<Cell<u64>>,
    /// Calls that broke since the last line of the log: why, and whether on a reused connection.
    breaks: RefCell<BTreeMap<(String, bool), u32>>,
}

impl DeliveryClient {
    pub fn new(limits: &Limits, idle_most: usize, attempts: Rc<Cell<u64>>) -> Rc<Self> {
        Rc::new(Self {
            idle: RefCell::default(),
            idle_most,
            kept: Cell::new(0),
            idle_time: duration(limits.connection_idle).mul_f64(IDLE_SHARE),
            survival: RefCell::default(),
            connect_timeout: duration(limits.connect_timeout.max(1)),
            waits: RefCell::default(),
            left: RefCell::default(),
            crowded: RefCell::default(),
            patience: Cell::new(1.0),
            retired: Cell::new(false),
            attempts,
            breaks: RefCell::default(),
        })
    }

    /// Makes one call and says how it ended; `cancel` closes it. Unless the message was delivered, the answer
    /// has come in full or its connection is closed before this returns, so that two attempts of a message are
    /// never open together.
    pub async fn call(self: Rc<Self>, call: Call, cancel: oneshot::Receiver<()>) -> AttemptResult {
        let request = Prepared::new(&call);
        let ending = self.make(&call, &request, cancel).await;
        AttemptResult { begun: request.begun.get(), ..ending }
    }

    async fn make(
        self: &Rc<Self>,
        call: &Call,
        request: &Prepared,
        cancel: oneshot::Receiver<()>,
    ) -> AttemptResult {
        let mut connection = None;
        let ended = tokio::select! {
            biased;
            // A dropped sender cancels too: nobody is left to hear the outcome.
            _ = cancel => Err(AttemptOutcome::Cancelled),
            ending = self.attempt(call, request, &mut connection) => ending,
            () = sleep(call.timeout) => Err(AttemptOutcome::Timeout),
        };
        let outcome = match ended {
            Ok(ending) => return ending,
            Err(outcome) => outcome,
        };
        let whole = connection.as_ref().is_some_and(|open| open.bytes_written() >= request.length);
        if let Some(open) = connection.as_ref().filter(|open| whole && !open.has_answer()) {
            self.count_break("no answer".to_owned(), open.is_reused);
        }
        let delivered = whole && connection.as_ref().and_then(Connection::answer_status) == Some(DELIVERED);
        if let Some(connection) = connection {
            connection.close().await;
        }
        match outcome {
            AttemptOutcome::NotSent => outcome,
            // True even where the rest of the answer is spoilt.
            _ if delivered => AttemptOutcome::Delivered,
            // An endpoint begins a call with its last byte: this one was never made.
            AttemptOutcome::Cancelled if !whole => AttemptOutcome::NotSent,
            AttemptOutcome::Cancelled => outcome,
            _ if !whole => AttemptOutcome::ConnectFailed,
            _ => outcome,
        }
        .into()
    }

    /// Sends the request and judges its answer. Where that says that the call never ran, it must have come in
    /// full to be believed: a spoilt one proves nothing.
    async fn attempt(
        self: &Rc<Self>,
        call: &Call,
        request: &Prepared,
        connection: &mut Option<Connection>,
    ) -> Result<AttemptResult, AttemptOutcome> {
        let answer = self.exchange(call, request, connection).await?;
        let Some(open) = connection.as_mut() else { return Err(AttemptOutcome::Error) };
        let ending = ending(answer.status(), answer.headers());
        if ending.outcome == AttemptOutcome::Delivered {
            if let Some(open) = connection.take().filter(|_| self.has_room()) {
                tokio::task::spawn_local(self.clone().keep(call.at(), open, answer));
            }
            return Ok(ending);
        }
        let rest = open.read_rest(answer.into_body(), ANSWER_BYTES).await;
        if rest == RestOfAnswer::Spoilt {
            return Err(AttemptOutcome::Error);
        }
        self.heed(call.route, ending.wait);
        // A limit on calls, or a destination that is shut, would have said more, and kept the connection. It proves
        // nothing of either, so it must neither slow the others' pace nor count as an outage.
        let told_nothing = ending.wait == 0 && ending.load.is_none();
        if rest == RestOfAnswer::Last
            && ending.outcome == AttemptOutcome::Rejected
            && told_nothing
            && !open.is_reused
        {
            self.note_crowded(call.endpoint);
            return Ok(AttemptOutcome::NotSent.into());
        }
        match (rest, connection.take()) {
            (RestOfAnswer::Whole, Some(open)) => self.put_idle(call.at(), open),
            // The length may have been wrong: in doubt it may have run. A wait that was told is kept all the same.
            (RestOfAnswer::Overfull, Some(open)) => {
                open.close().await;
                return Ok(AttemptResult { wait: ending.wait, ..AttemptOutcome::Error.into() });
            }
            _ => {}
        }
        Ok(ending)
    }

    /// Sends the request on an idle connection or a new one. `Err(Reset)` stands for any break.
    async fn exchange(
        &self,
        call: &Call,
        request: &Prepared,
        connection: &mut Option<Connection>,
    ) -> Result<Response<Incoming>, AttemptOutcome> {
        loop {
            let reused = self.take_idle(call);
            let idle_for = reused.as_ref().map(|(_, idle_for)| *idle_for);
            let open = match reused {
                Some((open, _)) => connection.insert(open),
                None => connection.insert(self.connect(call.address).await?),
            };
            // While the connection was made, a wait may have been told, the endpoint may have begun to drain, or
            // the time for another try may have passed: nothing may go there now.
            let left = self.left.borrow().get(&call.endpoint).is_some_and(|since| *since >= call.made);
            let late = Instant::now() > call.begin_by;
            if late {
                tracing::info!(?call.call_id, "its time to be sent had passed before a connection was up");
            }
            let held_back = left || late || self.retired.get() || self.must_wait(call.route);
            if held_back || !(call.keep)(AttemptPhase::Starting) {
                return Err(AttemptOutcome::NotSent);
            }
            request.begun.set(true);
            open.count_when_written(request.length, &self.attempts);
            match open.send(request.request()).await {
                Ok(response) => {
                    idle_for.inspect(|idle_for| self.survival.borrow_mut().note(*idle_for, false));
                    return Ok(response);
                }
                // Where an endpoint had closed an idle connection before any byte was written, the call has not
                // been made.
                Err(SendError::Unsent) if idle_for.is_some() => {
                    (call.keep)(AttemptPhase::NotStarted);
                    request.begun.set(false);
                }
                Err(error) => {
                    // An answer that has begun, however spoilt, shows that the connection was alive.
                    let dead = !open.has_answer();
                    idle_for.inspect(|idle_for| self.survival.borrow_mut().note(*idle_for, dead));
                    self.count_break(error.to_string(), idle_for.is_some());
                    return Err(AttemptOutcome::Reset);
                }
            }
        }
    }

    fn count_break(&self, why: String, is_reused: bool) {
        let mut breaks = self.breaks.borrow_mut();
        let why = (why, is_reused);
        if breaks.len() < BREAKS || breaks.contains_key(&why) {
            *breaks.entry(why).or_default() += 1;
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, AttemptOutcome> {
        match timeout(self.connect_timeout, Connection::open(address)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(_)) | Err(_) => Err(AttemptOutcome::ConnectFailed),
        }
    }

    /// The connection used last, and how long it was idle: the others may then become idle for good.
    fn take_idle(&self, call: &Call) -> Option<(Connection, Duration)> {
        let mut idle = self.idle.borrow_mut();
        loop {
            let at = idle.iter().rposition(|idle| idle.endpoint == call.endpoint)?;
            let found = idle.remove(at)?;
            let idle_for = found.since.elapsed();
            let stands = found.address == call.address
                && idle_for < self.idle_time
                && self.survival.borrow().trusts(idle_for);
            if stands && found.connection.is_quiet() {
                return Some((found.connection, idle_for));
            }
        }
    }

    /// Reads the rest of an answer and keeps the connection for the next call.
    async fn keep(
        self: Rc<Self>,
        at: (EndpointId, SocketAddr),
        mut open: Connection,
        answer: Response<Incoming>,
    ) {
        self.kept.set(self.kept.get() + 1);
        let rest = open.read_rest(answer.into_body(), ANSWER_BYTES).await;
        self.kept.set(self.kept.get() - 1);
        if rest == RestOfAnswer::Whole {
            self.put_idle(at, open);
        }
    }

    fn put_idle(&self, (endpoint, address): (EndpointId, SocketAddr), mut connection: Connection) {
        if self.retired.get() || self.crowded.borrow().contains_key(&endpoint) {
            return;
        }
        connection.is_reused = true;
        let mut idle = self.idle.borrow_mut();
        idle.push_back(Idle { connection, endpoint, address, since: Instant::now() });
        while idle.len() > self.idle_most {
            idle.pop_front();
        }
    }

    /// Whether one more answer may be read beside the calls. Descriptors for that come out of the idle ones'.
    fn has_room(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        while self.kept.get() + idle.len() >= self.idle_most && idle.pop_front().is_some() {}
        !self.retired.get() && self.kept.get() < self.idle_most
    }

    /// Closes what has been idle for too long, and logs why calls broke.
    pub async fn run_maintenance(self: Rc<Self>) {
        let (mut told, mut faded) = (Instant::now(), Instant::now());
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            self.patience.set(
                (self.patience.get() * PATIENCE_REGAINS.powf(MAINTENANCE_INTERVAL.as_secs_f64())).min(1.0),
            );
            let idle_time = self.idle_time.mul_f64(self.patience.get());
            if told.elapsed() >= BREAKS_EVERY && !self.breaks.borrow().is_empty() {
                told = Instant::now();
                let idle_ms_trusted = self.survival.borrow().trusted_ms();
                tracing::warn!(by_reason_and_reuse = ?self.breaks.take(), idle_ms_trusted, "calls broke");
            }
            if faded.elapsed() >= Duration::from_secs(1) {
                faded = Instant::now();
                self.survival.borrow_mut().fade();
            }
            self.idle
                .borrow_mut()
                .retain(|idle| idle.since.elapsed() < idle_time && idle.connection.is_quiet());
            self.waits.borrow_mut().retain(|_, until| *until > Instant::now());
            // No call takes longer than that to connect.
            self.crowded.borrow_mut().retain(|_, since| since.elapsed() < CROWDED_FOR);
            self.left.borrow_mut().retain(|_, since| since.elapsed() < 2 * self.connect_timeout);
        }
    }

    /// Starts no more calls and keeps no connection: a successor process is the sender.
    pub fn suspend(&self) {
        self.retired.set(true);
        self.idle.borrow_mut().clear();
    }

    /// Starts calls again: the successor has died.
    pub fn resume(&self) {
        self.retired.set(false);
        self.idle.borrow_mut().clear();
    }

    /// Calls that were decided on before now do not go to the endpoint any more, unless they have begun to.
    pub fn drain(&self, endpoint: EndpointId) {
        self.left.borrow_mut().insert(endpoint, Instant::now());
        self.close_idle(endpoint);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().retain(|idle| idle.endpoint != endpoint);
    }

    /// An endpoint has turned a connection away for want of room. Where many senders call each rarely, what all
    /// keep idle fills the few that it holds; soon others lack room too.
    fn note_crowded(&self, endpoint: EndpointId) {
        self.crowded.borrow_mut().insert(endpoint, Instant::now());
        self.close_idle(endpoint);
        self.patience.set(self.patience.get() * PATIENCE_CUT);
    }

    fn heed(&self, route: Route, wait: Micros) {
        if wait > 0 {
            let until = Instant::now() + duration(wait);
            let mut waits = self.waits.borrow_mut();
            let kept = waits.entry(route).or_insert(until);
            *kept = until.max(*kept);
        }
    }

    fn must_wait(&self, route: Route) -> bool {
        self.waits.borrow().get(&route).is_some_and(|until| *until > Instant::now())
    }
}

/// A request whose length on the wire is known, to tell whether all of it was written.
struct Prepared {
    headers: HeaderMap,
    body: Bytes,
    length: u64,
    /// Its first byte may have gone out.
    begun: Cell<bool>,
}

impl Prepared {
    fn new(call: &Call) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(HeaderName::from_static("x-call-id"), call.call_id.clone());
        if let Some(key) = &call.key {
            headers.insert(HeaderName::from_static("idempotency-key"), key.clone());
        }
        let budget = u64::try_from(call.timeout.as_millis()).unwrap_or(u64::MAX);
        headers.insert(HeaderName::from_static("x-budget-ms"), budget.into());
        headers.insert(CONTENT_LENGTH, call.body.len().into());

        if let Ok(value) = HeaderValue::from_str(&call.address.to_string()) {
            headers.insert(HOST, value);
        }
        let lines = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
        let head = "POST  HTTP/1.1\r\n\r\n".len() + PATH.len() + lines.sum::<usize>();
        let length = (head + call.body.len()) as u64;
        Self { headers, body: call.body.clone(), length, begun: Cell::new(false) }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = hyper::Uri::from_static(PATH);
        *request.headers_mut() = self.headers.clone();
        request
    }
}

/// What an answer means, by the protocol's table. What the table does not name may have run.
fn ending(status: StatusCode, headers: &HeaderMap) -> AttemptResult {
    AttemptResult { load: report(headers), ..meaning(status, headers) }
}

/// The report of an answer, as `x0=0.4,x1=25`. What cannot be read of it, or cannot be, is left out.
fn report(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get("x-load-report")?.to_str().ok()?;
    let value = |name: &str| {
        let (_, value) =
            text.split(',').filter_map(|part| part.split_once('=')).find(|(key, _)| key.trim() == name)?;
        value.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0)
    };
    Some(load_report(value)).filter(|load| *load != LoadReport::default())
}

fn meaning(status: StatusCode, headers: &HeaderMap) -> AttemptResult {
    let number = |name| headers.get(name).and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    match status.as_u16() {
        DELIVERED => AttemptOutcome::Delivered.into(),
        503 if headers.contains_key("x-line-busy") => AttemptOutcome::NotSent.into(),
        429 | 503 => {
            let wait = number("x-come-back-ms").filter(|ms| ms.is_finite()).unwrap_or(0.0).clamp(0.0, 1e9);
            AttemptResult { wait: (wait * 1e3).ceil() as Micros, ..AttemptOutcome::Rejected.into() }
        }
        504 => AttemptOutcome::NotSent.into(),
        410 => AttemptResult { last: true, ..AttemptOutcome::NotSent.into() },
        _ => AttemptOutcome::Error.into(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use socket2::{Domain, Socket, Type};
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    /// Answers each call on each connection with 200.
    async fn serve(listener: TcpListener) {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                while stream.read(&mut [0; 4096]).await.is_ok_and(|bytes| bytes > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(answer).await.unwrap();
                }
            });
        }
    }

    /// Answers one call on each connection, and resets it when another one comes.
    async fn serve_once(listener: TcpListener) {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
                // Closed with bytes that were not read, it is reset.
                stream.readable().await.unwrap();
            });
        }
    }

    /// Guards against a limit that is told and not heard, and against figures that nobody can mean.
    #[test]
    fn reports_are_read_as_far_as_they_make_sense() {
        let read = |text: &'static str| {
            let headers = [(HeaderName::from_static("x-load-report"), HeaderValue::from_static(text))];
            let ending = ending(StatusCode::SERVICE_UNAVAILABLE, &headers.into_iter().collect());
            ending.load.map(|load| (load.limit_remaining, load.limit))
        };
        assert_eq!(read("x0=0.4,x1=25"), Some((Some(0.4), Some(25.0))));
        assert_eq!(read(" x1 = 25 , y=3"), Some((None, Some(25.0))));
        assert_eq!(read("x0=-1,x1=25"), Some((None, Some(25.0))));
        for spoilt in ["", "x0", "x0=,x1=nan", "x1=inf", "x0=0.4.1;x1=25", "=,=,="] {
            assert_eq!(read(spoilt), None, "{spoilt}");
        }
        assert_eq!(ending(StatusCode::OK, &HeaderMap::new()).load, None);
    }

    fn endpoints() -> Rc<DeliveryClient> {
        let second = 1_000_000;
        let limits = Limits { connect_timeout: second, connection_idle: 60 * second, ..Limits::default() };
        DeliveryClient::new(&limits, 10, Rc::default())
    }

    fn call_to(address: SocketAddr) -> Call {
        let (endpoint, route, timeout) = (1, (7, None), Duration::from_secs(30));
        let (call_id, key) = (HeaderValue::from_static("m"), None);
        let (made, body) = (Instant::now(), Bytes::new());
        let (begin_by, keep) = (made + timeout, Box::new(|_| true));
        Call { endpoint, address, route, call_id, key, body, timeout, made, begin_by, keep }
    }

    async fn outcome(endpoints: &Rc<DeliveryClient>, address: SocketAddr) -> AttemptOutcome {
        let (_kept, cancel) = oneshot::channel();
        endpoints.clone().call(call_to(address), cancel).await.outcome
    }

    /// Guards against call after call being lost to connections that do not live through an idle time.
    #[tokio::test]
    async fn connections_are_not_used_after_an_idle_time_that_others_did_not_live_through() {
        let test = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            tokio::task::spawn_local(serve_once(listener));
            let endpoints = endpoints();
            let mut lost = 0;
            for _ in 0..20 {
                lost += u32::from(outcome(&endpoints, address).await == AttemptOutcome::Reset);
                sleep(Duration::from_millis(20)).await;
            }
            // Ten without: one is borne in each step, and a loaded machine may touch a few steps.
            assert!(lost <= 6, "{lost} of 20");
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    /// Guards against handshakes for good after one bad moment, and against distrust of what is used at once.
    #[test]
    fn trust_in_idle_connections_is_lost_where_resets_are_and_comes_back() {
        let (soon, late) = (Duration::from_millis(5), Duration::from_millis(150));
        let mut survival = IdleLifetimeEstimator::default();
        for number in 0..40 {
            survival.note(soon, number == 20);
            survival.note(late, number % 3 == 0);
        }
        assert!(survival.trusts(soon) && !survival.trusts(late) && !survival.trusts(2 * late));
        (0..200).for_each(|_| survival.fade());
        assert!(survival.trusts(late));
    }

    /// Answers calls on one connection at a time with 200, and turns others away: for want of room, or with a limit's
    /// refusal, which keeps the connection.
    async fn serve_one(listener: TcpListener, free: Rc<Cell<bool>>, by_limit: bool) {
        while let Ok((mut stream, _)) = listener.accept().await {
            let free = free.clone();
            tokio::task::spawn_local(async move {
                let mine = free.replace(false);
                let answer = match (mine, by_limit) {
                    (true, _) => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    (false, true) => "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                    (false, false) => "HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                };
                while stream.read(&mut [0; 4096]).await.is_ok_and(|bytes| bytes > 0) {
                    stream.write_all(answer.as_bytes()).await.unwrap();
                    if !mine && !by_limit {
                        return;
                    }
                }
                free.set(free.get() || mine);
            });
        }
    }

    /// Guards against idle connections of hundreds of senders that fill the few which an endpoint holds: on a day
    /// with no fault, two calls in five were turned away for want of room.
    #[tokio::test]
    async fn an_endpoint_without_room_has_no_connection_kept_idle() {
        let test = |by_limit: bool| async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let free = Rc::new(Cell::new(true));
            tokio::task::spawn_local(serve_one(listener, free.clone(), by_limit));
            let endpoints = endpoints();
            assert_eq!(outcome(&endpoints, address).await, AttemptOutcome::Delivered);
            while endpoints.idle.borrow().is_empty() {
                tokio::task::yield_now().await;
            }
            // One goes on the idle connection, the other on a new one.
            let both = tokio::join!(outcome(&endpoints, address), outcome(&endpoints, address));
            let turned_away = if by_limit { AttemptOutcome::Rejected } else { AttemptOutcome::NotSent };
            assert_eq!(both, (AttemptOutcome::Delivered, turned_away));
            // Until both have been kept, or the one that has room is closed.
            while endpoints.idle.borrow().len() < 2 && !free.get() {
                sleep(Duration::from_millis(1)).await;
            }
            (free.get(), endpoints.patience.get() < 1.0)
        };
        let all = async {
            assert_eq!(test(false).await, (true, true));
            assert_eq!(test(true).await, (false, false), "a limit is no reason for new connections");
        };
        let within = timeout(Duration::from_secs(20), tokio::task::LocalSet::new().run_until(all)).await;
        assert!(within.is_ok(), "far sooner than the 42 s of an idle connection");
    }

    /// Guards against each endpoint having to turn each sender away once before its idle connections make room.
    #[tokio::test]
    async fn what_some_endpoints_lack_is_not_hoarded_at_others() {
        let test = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            tokio::task::spawn_local(serve(listener));
            let endpoints = endpoints();
            let other = Connection::open(address).await.unwrap();
            endpoints.put_idle((2, address), other);
            (0..12).for_each(|_| endpoints.note_crowded(1));
            let connection = Connection::open(address).await.unwrap();
            endpoints.put_idle((1, address), connection);
            assert_eq!(endpoints.idle.borrow().len(), 1, "the other's only");
            tokio::task::spawn_local(endpoints.clone().run_maintenance());
            while !endpoints.idle.borrow().is_empty() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let within = timeout(Duration::from_secs(20), tokio::task::LocalSet::new().run_until(test)).await;
        assert!(within.is_ok(), "far sooner than the 42 s of an idle connection");
    }

    /// Guards against the answer to an earlier call being taken for that to one which was held back on the same
    /// connection: the message would be dropped as delivered.
    #[tokio::test]
    async fn a_call_that_is_held_back_has_no_answer() {
        let local = tokio::task::LocalSet::new();
        let test = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            tokio::task::spawn_local(serve(listener));
            let endpoints = endpoints();
            assert_eq!(outcome(&endpoints, address).await, AttemptOutcome::Delivered);
            while endpoints.idle.borrow().is_empty() {
                tokio::task::yield_now().await;
            }
            endpoints.heed((7, None), 60_000_000);
            assert_eq!(outcome(&endpoints, address).await, AttemptOutcome::NotSent);
        };
        local.run_until(test).await;
    }

    /// Guards against a message that may not be repeated failing because a call was called off that no endpoint began.
    #[tokio::test]
    async fn a_call_that_is_called_off_before_its_last_byte_has_not_run() {
        let test = async {
            // Its queue is full: connections do not come up.
            let socket = || Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            let listener = socket();
            listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
            listener.listen(0).unwrap();
            let address = listener.local_addr().unwrap();
            let filling = [socket(), socket(), socket(), socket()];
            filling.iter().for_each(|client| {
                client.set_nonblocking(true).unwrap();
                drop(client.connect(&address));
            });
            let (kept, cancel) = oneshot::channel();
            let call = endpoints().call(call_to(address.as_socket().unwrap()), cancel);
            let called_off = async {
                tokio::task::yield_now().await;
                drop(kept);
            };
            let (ending, ()) = tokio::join!(call, called_off);
            assert_eq!((ending.outcome, ending.begun), (AttemptOutcome::NotSent, false));
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    /// Guards against a repeat outside its window: it was decided on inside, and its connection came up late.
    #[tokio::test]
    async fn a_call_whose_connection_comes_up_late_is_not_sent() {
        let test = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            tokio::task::spawn_local(serve(listener));
            let endpoints = endpoints();
            let (_kept, cancel) = oneshot::channel();
            let made = Instant::now();
            let late = Call { begin_by: made, ..call_to(address) };
            assert_eq!(endpoints.clone().call(late, cancel).await.outcome, AttemptOutcome::NotSent);
            assert_eq!(endpoints.attempts.get(), 0);
            assert_eq!(outcome(&endpoints, address).await, AttemptOutcome::Delivered);
            assert_eq!(endpoints.attempts.get(), 1);
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    /// Guards against a call that was decided on before its endpoint began to drain, or before another process
    /// became the sender, and whose connection comes up only then.
    #[tokio::test]
    async fn a_call_that_has_not_begun_goes_no_more_to_what_was_left() {
        let test = async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            tokio::task::spawn_local(serve(listener));
            let endpoints = endpoints();
            let (_kept, cancel) = oneshot::channel();
            let before = call_to(address);
            endpoints.drain(before.endpoint);
            assert_eq!(endpoints.clone().call(before, cancel).await.outcome, AttemptOutcome::NotSent);
            sleep(Duration::from_millis(1)).await;
            // What the module sends later, it sends knowing better.
            assert_eq!(outcome(&endpoints, address).await, AttemptOutcome::Delivered);
            endpoints.suspend();
            assert_eq!(outcome(&endpoints, address).await, AttemptOutcome::NotSent);
            assert!(endpoints.idle.borrow().is_empty());
            endpoints.resume();
            assert_eq!(outcome(&endpoints, address).await, AttemptOutcome::Delivered);
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }
}
