//! Makes attempts: each from its start to its result, on a pooled or a new connection.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use delivery_control::{AttemptOutcome, EndpointId, Limits};
use hyper::body::Incoming;
use hyper::Response;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, Instant};

use super::attempt::{AttemptPhase, AttemptResult, Call, Target};
use super::failure_log::FailureLog;
use super::idle_lifetime::ReuseOutcome;
use super::pool::ConnectionPool;
use super::request::PreparedRequest;
use super::response::{interpret, is_delivered};
use super::send_restrictions::{SendRestriction, SendRestrictions};
use crate::http_connection::{Connection, ResponseRemainder, SendError};
use crate::time::duration;
use crate::transient::is_local_shortage;

/// The body of a response means nothing, but must be read before its connection can carry another request.
const MAX_RESPONSE_BODY_BYTES: usize = 64 * 1024;
/// Share of the time for which endpoints keep idle connections after which they are closed here: an attempt
/// that crosses an endpoint's close would end as a reset.
const IDLE_TIME_SHARE: f64 = 0.7;
/// How often expired state is cleaned up.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Least time between log events on failed attempts.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// How often the record of idle connections' lifetimes decays.
const LIFETIME_DECAY_INTERVAL: Duration = Duration::from_secs(1);
/// Drains are remembered for this many connect time-outs: no attempt takes longer than that to connect.
const DRAIN_MEMORY_CONNECT_TIMEOUTS: u32 = 2;
/// Reason in the log for an attempt whose request was written in full and got no byte of a response.
const NO_RESPONSE: &str = "no response";

/// Makes attempts to all endpoints and reuses their connections.
pub struct DeliveryClient {
    pool: ConnectionPool,
    restrictions: SendRestrictions,
    failure_log: FailureLog,
    connect_timeout: Duration,
    /// Messages written in full.
    attempts_written: Rc<Cell<u64>>,
}

/// What an attempt has come to; it remains when the attempt is cancelled.
struct AttemptProgress {
    request: PreparedRequest,
    connection: Option<Connection>,
    /// The first byte of the request may have gone out.
    request_started: bool,
}

impl AttemptProgress {
    fn new(call: &Call) -> Self {
        Self { request: PreparedRequest::new(call), connection: None, request_started: false }
    }

    /// Whether the last byte of the request has gone out. An endpoint starts to process a message only then.
    fn is_request_written(&self) -> bool {
        let request_length = self.request.wire_length();
        self.connection.as_ref().is_some_and(|connection| connection.bytes_written() >= request_length)
    }

    /// Whether the request is on the wire and the status line of its response says that the message was
    /// delivered.
    fn is_delivered(&self) -> bool {
        let status = self.connection.as_ref().and_then(Connection::response_status);
        self.is_request_written() && status.is_some_and(is_delivered)
    }

    /// The outcome of an attempt without a usable response, in view of what was on the wire.
    fn outcome_on_wire(&self, outcome: AttemptOutcome) -> AttemptOutcome {
        match outcome {
            AttemptOutcome::NotSent => outcome,
            // True even if the rest of the response is corrupt.
            _ if self.is_delivered() => AttemptOutcome::Delivered,
            _ if self.is_request_written() => outcome,
            // An endpoint starts to process a message with its last byte, which it has not received.
            AttemptOutcome::Cancelled => AttemptOutcome::NotSent,
            _ => AttemptOutcome::ConnectFailed,
        }
    }
}

impl DeliveryClient {
    /// A client that keeps up to `max_idle_connections`, and counts in `attempts_written` the messages that
    /// are written in full.
    pub fn new(limits: &Limits, max_idle_connections: usize, attempts_written: Rc<Cell<u64>>) -> Rc<Self> {
        let max_idle_time = duration(limits.connection_idle).mul_f64(IDLE_TIME_SHARE);
        Rc::new(Self {
            pool: ConnectionPool::new(max_idle_connections, max_idle_time),
            restrictions: SendRestrictions::default(),
            failure_log: FailureLog::default(),
            connect_timeout: duration(limits.connect_timeout.max(1)),
            attempts_written,
        })
    }

    /// Makes one attempt and returns its result; `cancel` cancels it, also by being dropped. Unless the
    /// message was delivered, the response has arrived in full or its connection is closed before this
    /// returns, so that two attempts of a message are never open together.
    pub async fn call(self: Rc<Self>, call: Call, cancel: oneshot::Receiver<()>) -> AttemptResult {
        let mut progress = AttemptProgress::new(&call);
        let result = self.run_to_end(&call, &mut progress, cancel).await;
        AttemptResult { request_started: progress.request_started, ..result }
    }

    /// Closes expired connections, forgets what has expired, and logs failures, for good.
    pub async fn run_maintenance(self: Rc<Self>) {
        let mut failures_logged_at = Instant::now();
        let mut lifetimes_decayed_at = Instant::now();
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            self.pool.recover_idle_time(MAINTENANCE_INTERVAL);
            if failures_logged_at.elapsed() >= FAILURE_LOG_INTERVAL && !self.failure_log.is_empty() {
                failures_logged_at = Instant::now();
                self.failure_log.log(self.pool.trusted_idle_time());
            }
            if lifetimes_decayed_at.elapsed() >= LIFETIME_DECAY_INTERVAL {
                lifetimes_decayed_at = Instant::now();
                self.pool.decay_lifetimes();
            }
            self.pool.close_expired();
            self.pool.expire_saturation();
            self.restrictions.expire(DRAIN_MEMORY_CONNECT_TIMEOUTS * self.connect_timeout);
        }
    }

    /// Starts no more attempts and keeps no connection: a successor process is the sender.
    pub fn suspend(&self) {
        self.restrictions.suspend();
        self.pool.clear();
    }

    /// Starts attempts again: the successor has died.
    pub fn resume(&self) {
        self.restrictions.resume();
        self.pool.clear();
    }

    /// Keeps attempts that were decided on before now from the endpoint, unless their requests have been
    /// started.
    pub fn drain(&self, endpoint: EndpointId) {
        self.restrictions.drain(endpoint);
        self.close_idle(endpoint);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.pool.close_endpoint(endpoint);
    }

    /// Runs an attempt until it ends, is cancelled or times out.
    async fn run_to_end(
        self: &Rc<Self>,
        call: &Call,
        progress: &mut AttemptProgress,
        cancel: oneshot::Receiver<()>,
    ) -> AttemptResult {
        let ended = tokio::select! {
            biased;
            // A dropped sender cancels too: nobody is left to receive the outcome.
            _ = cancel => Err(AttemptOutcome::Cancelled),
            ended = self.attempt(call, progress) => ended,
            () = sleep(call.timeout) => Err(AttemptOutcome::Timeout),
        };
        match ended {
            Ok(result) => result,
            Err(outcome) => self.abort(progress, outcome).await.into(),
        }
    }

    /// Closes the connection of an attempt that ended without a usable response, and determines the outcome
    /// by what was on the wire.
    async fn abort(&self, progress: &mut AttemptProgress, outcome: AttemptOutcome) -> AttemptOutcome {
        let is_request_written = progress.is_request_written();
        let outcome = progress.outcome_on_wire(outcome);
        if let Some(connection) = progress.connection.take() {
            if is_request_written && !connection.has_response() {
                self.failure_log.record(NO_RESPONSE.to_owned(), connection.is_reused());
            }
            connection.close().await;
        }
        outcome
    }

    /// Sends the request and interprets its response. `Err` if there is none that can be used.
    async fn attempt(
        self: &Rc<Self>,
        call: &Call,
        progress: &mut AttemptProgress,
    ) -> Result<AttemptResult, AttemptOutcome> {
        let response = self.exchange(call, progress).await?;
        let result = interpret(response.status(), response.headers());
        if result.outcome != AttemptOutcome::Delivered {
            return self.conclude_undelivered(call, progress, result, response).await;
        }
        if let Some(connection) = progress.connection.take().filter(|_| self.may_read_further()) {
            tokio::task::spawn_local(self.clone().finish_response(call.target(), connection, response));
        }
        Ok(result)
    }

    /// Sends the request on an idle connection or a new one. `Err(Reset)` stands for any break.
    async fn exchange(
        &self,
        call: &Call,
        progress: &mut AttemptProgress,
    ) -> Result<Response<Incoming>, AttemptOutcome> {
        loop {
            let (connection, idle_for) = match self.pool.take(call.target()) {
                Some(pooled) => (pooled.connection, Some(pooled.idle_for)),
                None => (self.connect(call.address).await?, None),
            };
            let connection = progress.connection.insert(connection);
            if !self.may_start(call) || !(call.on_phase)(AttemptPhase::Starting) {
                return Err(AttemptOutcome::NotSent);
            }
            progress.request_started = true;
            connection.count_when_written(progress.request.wire_length(), &self.attempts_written);
            let sent = connection.send(progress.request.to_request()).await;
            match sent {
                Ok(response) => {
                    self.record_reuse(idle_for, ReuseOutcome::Alive);
                    return Ok(response);
                }
                // The endpoint had closed an idle connection before any byte was written: the attempt goes on
                // with another one.
                Err(SendError::NotSent) if idle_for.is_some() => {
                    (call.on_phase)(AttemptPhase::NotStarted);
                    progress.request_started = false;
                }
                Err(error) => {
                    self.record_broken(connection, idle_for, &error);
                    return Err(AttemptOutcome::Reset);
                }
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, AttemptOutcome> {
        match timeout(self.connect_timeout, Connection::open(address)).await {
            Ok(Ok(connection)) => Ok(connection),
            // It says nothing about the endpoint, which must not be ejected for it.
            Ok(Err(error)) if is_local_shortage(&error) => {
                self.failure_log.record(error.to_string(), false);
                Err(AttemptOutcome::NotSent)
            }
            Ok(Err(_)) | Err(_) => Err(AttemptOutcome::ConnectFailed),
        }
    }

    /// Whether the request may still be sent. While the connection was established, a Retry-After may have
    /// arrived, the endpoint may have begun to drain, or the time for a retry may have passed.
    fn may_start(&self, call: &Call) -> bool {
        let Some(reason) = self.send_restriction(call) else { return true };
        let call_id = &call.call_id;
        if reason == SendRestriction::StartDeadline {
            tracing::info!(?call_id, "start deadline passed before a connection was established");
        }
        tracing::debug!(?call_id, endpoint = call.endpoint, ?reason, "attempt not sent");
        false
    }

    fn send_restriction(&self, call: &Call) -> Option<SendRestriction> {
        if Instant::now() > call.start_deadline {
            return Some(SendRestriction::StartDeadline);
        }
        self.restrictions.find(call.endpoint, call.decided_at, call.route)
    }

    fn record_broken(&self, connection: &Connection, idle_for: Option<Duration>, error: &SendError) {
        // A response that has started, however corrupt, shows that the connection was alive.
        let reuse = if connection.has_response() { ReuseOutcome::Alive } else { ReuseOutcome::Reset };
        self.record_reuse(idle_for, reuse);
        self.failure_log.record(error.to_string(), idle_for.is_some());
    }

    fn record_reuse(&self, idle_for: Option<Duration>, outcome: ReuseOutcome) {
        if let Some(idle_for) = idle_for {
            self.pool.record_reuse(idle_for, outcome);
        }
    }

    /// Reads an undelivered message's response to its end. Where it says that the message was not processed,
    /// it must arrive in full to be believed: a corrupt one proves nothing.
    async fn conclude_undelivered(
        &self,
        call: &Call,
        progress: &mut AttemptProgress,
        result: AttemptResult,
        response: Response<Incoming>,
    ) -> Result<AttemptResult, AttemptOutcome> {
        let Some(connection) = progress.connection.as_mut() else { return Err(AttemptOutcome::Error) };
        let remainder = connection.read_remainder(response.into_body(), MAX_RESPONSE_BODY_BYTES).await;
        if remainder == ResponseRemainder::Incomplete {
            return Err(AttemptOutcome::Error);
        }
        self.restrictions.record_retry_after(call.route, result.retry_after);
        if is_connection_rejected(connection, remainder, &result) {
            self.pool.record_saturation(call.endpoint);
            return Ok(AttemptOutcome::NotSent.into());
        }
        match (remainder, progress.connection.take()) {
            (ResponseRemainder::Complete, Some(connection)) => self.put_idle(call.target(), connection),
            (ResponseRemainder::ExcessData, Some(connection)) => {
                connection.close().await;
                // The length may have been wrong: in doubt the message may have been processed. The
                // Retry-After applies all the same.
                let retry_after = result.retry_after;
                return Ok(AttemptResult { retry_after, ..AttemptOutcome::Error.into() });
            }
            // The connection has ended.
            _ => {}
        }
        Ok(result)
    }

    /// Reads the rest of a delivered message's response and keeps the connection for the next attempt.
    async fn finish_response(
        self: Rc<Self>,
        target: Target,
        mut connection: Connection,
        response: Response<Incoming>,
    ) {
        let remainder = {
            let _pending_read = self.pool.begin_read();
            connection.read_remainder(response.into_body(), MAX_RESPONSE_BODY_BYTES).await
        };
        if remainder == ResponseRemainder::Complete {
            self.put_idle(target, connection);
        }
    }

    /// Whether one more response may be read after its attempt has ended.
    fn may_read_further(&self) -> bool {
        self.pool.free_capacity_for_read() && !self.restrictions.is_suspended()
    }

    fn put_idle(&self, target: Target, connection: Connection) {
        if !self.restrictions.is_suspended() {
            self.pool.put(target, connection);
        }
    }
}

/// Whether an endpoint has rejected a new connection for lack of capacity. A rate limit, or a destination
/// that is closed, would have sent more details and kept the connection. The rejection proves nothing of
/// either, so it must neither slow down other attempts nor count as an outage.
fn is_connection_rejected(
    connection: &Connection,
    remainder: ResponseRemainder,
    result: &AttemptResult,
) -> bool {
    remainder == ResponseRemainder::CompleteAndClosed
        && result.outcome == AttemptOutcome::Rejected
        && result.retry_after == 0
        && result.load_report.is_none()
        && !connection.is_reused()
}

#[cfg(test)]
mod tests;
