//! Runs each attempt from its start to its result, on a pooled or a new connection.

mod responses;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use delivery_control::{AttemptOutcome, EndpointId, Limits};
use hyper::body::Incoming;
use hyper::Response;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, Instant};

use self::responses::failure_of_send;
use super::attempt::{AttemptPhase, AttemptResult, Call, Target};
use super::failure_log::FailureLog;
use super::idle_lifetime::ReuseOutcome;
use super::pool::ConnectionPool;
use super::progress::{AttemptFailure, AttemptProgress};
use super::response::interpret;
use super::send_restrictions::{SendRestriction, SendRestrictions};
use crate::http_connection::{Connection, Exchange, SendError};
use crate::metrics::DeliveryCounters;
use crate::time::duration;
use crate::transient::is_local_shortage;

/// Idle connections are closed after this share of the time for which endpoints keep them: an attempt that
/// is sent while the endpoint closes the connection would end as a reset.
const IDLE_TIME_SHARE: f64 = 0.7;
/// Interval between removals of expired state.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two log lines about failed attempts.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which the recorded lifetimes of idle connections decay.
const LIFETIME_DECAY_INTERVAL: Duration = Duration::from_secs(1);
/// Number of connect timeouts for which a drain is remembered: no attempt takes longer than that to connect.
const DRAIN_RETENTION_CONNECT_TIMEOUTS: u32 = 2;
/// Logged reason of an attempt whose request was written in full and that received no byte of a response.
const NO_RESPONSE: &str = "no response";

/// Sends attempts to all endpoints and reuses their connections.
pub struct DeliveryClient {
    pool: ConnectionPool,
    restrictions: SendRestrictions,
    failure_log: FailureLog,
    connect_timeout: Duration,
    /// Number of attempts whose request was written in full.
    attempts_written: Rc<Cell<u64>>,
}

impl DeliveryClient {
    /// Creates a client that keeps up to `max_idle_connections`.
    pub fn new(limits: &Limits, max_idle_connections: usize, counters: DeliveryCounters) -> Rc<Self> {
        let max_idle_time = duration(limits.connection_idle).mul_f64(IDLE_TIME_SHARE);
        Rc::new(Self {
            pool: ConnectionPool::new(max_idle_connections, max_idle_time, counters.excess_data),
            restrictions: SendRestrictions::default(),
            failure_log: FailureLog::default(),
            connect_timeout: duration(limits.connect_timeout.max(1)),
            attempts_written: counters.attempts_written,
        })
    }

    /// Makes one attempt and returns its result. A message on `cancelled`, or dropping its sender, cancels
    /// the attempt. Unless the message was delivered, the response has arrived in full or the connection is
    /// closed before this function returns, so that two attempts of a message are never open at the same
    /// time.
    pub async fn call(self: Rc<Self>, call: Call, cancelled: oneshot::Receiver<()>) -> AttemptResult {
        let mut progress = AttemptProgress::new(&call);
        let result = self.run_to_end(&call, &mut progress, cancelled).await;
        AttemptResult { request_started: progress.request_started(), ..result }
    }

    /// Periodically closes expired connections, removes other expired state and logs failures. Never
    /// returns.
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
            self.pool.expire_endpoints();
            self.restrictions.expire(DRAIN_RETENTION_CONNECT_TIMEOUTS * self.connect_timeout);
        }
    }

    /// Stops starting attempts and closes all idle connections, because a successor process is now the
    /// sender.
    pub fn suspend(&self) {
        self.restrictions.suspend();
        self.pool.clear();
    }

    /// Starts attempts again, because the successor has died.
    pub fn resume(&self) {
        self.restrictions.resume();
        self.pool.clear();
    }

    /// Prevents attempts to the endpoint that were decided on before now, unless their requests have been
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
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptResult {
        let ended = tokio::select! {
            biased;
            // A dropped sender cancels the attempt too: nobody is left to receive the outcome.
            _ = cancelled => Err(AttemptFailure::Cancelled),
            ended = self.attempt(call, progress) => ended,
            () = sleep(call.timeout) => Err(AttemptFailure::TimedOut),
        };
        match ended {
            Ok(result) => result,
            Err(failure) => self.abort(call.endpoint, progress, failure).await.into(),
        }
    }

    /// Closes the connection of an attempt that ended without a usable response, and determines the outcome
    /// from what was written and received.
    async fn abort(
        &self,
        endpoint: EndpointId,
        progress: &mut AttemptProgress,
        failure: AttemptFailure,
    ) -> AttemptOutcome {
        if let Some(connection) = &mut progress.connection {
            connection.stop().await;
        }
        // Dropping the connection closes the socket.
        if let Some(connection) = progress.connection.take() {
            if progress.lacks_response() {
                self.failure_log.record(NO_RESPONSE.to_owned(), connection.is_reused());
            }
        }
        let unreplaced = progress.exchange().and_then(|exchange| exchange.unreplaced_response_time());
        if let Some(response_time) = unreplaced {
            tracing::debug!(endpoint, ?response_time, ?failure, "doubted response counts, no other followed");
            self.pool.record_response_time(endpoint, response_time);
        }
        progress.outcome(failure)
    }

    /// Sends the request and interprets its response. `Err` if there is no usable response.
    async fn attempt(
        self: &Rc<Self>,
        call: &Call,
        progress: &mut AttemptProgress,
    ) -> Result<AttemptResult, AttemptFailure> {
        let response = match self.exchange(call, progress).await {
            Ok(response) => response,
            // Boxed, so that each attempt does not hold the state of this rare case.
            Err(AttemptFailure::DelayedResponse) => {
                return Box::pin(self.receive_delayed_response(call, progress)).await;
            }
            Err(failure) => return Err(failure),
        };
        let result = interpret(response.status(), response.headers());
        if result.outcome != AttemptOutcome::Delivered {
            return self.finish_undelivered(call, progress, result, response).await;
        }
        if let Some(response_time) = progress.exchange().and_then(|exchange| exchange.response_time()) {
            self.pool.record_response_time(call.endpoint, response_time);
        }
        if let Some(connection) = progress.connection.take().filter(|_| self.may_finish_delivered()) {
            tokio::task::spawn_local(self.clone().finish_delivered(call.target(), connection, response));
        }
        Ok(result)
    }

    /// Sends the request on an idle or a new connection and returns the head of its response. Any failure
    /// after the request has started is `Err(Broken)`.
    async fn exchange(
        &self,
        call: &Call,
        progress: &mut AttemptProgress,
    ) -> Result<Response<Incoming>, AttemptFailure> {
        loop {
            let idle_for = self.take_connection(call, progress).await?;
            if !self.may_start(call) || !(call.on_phase)(AttemptPhase::Starting) {
                return Err(AttemptFailure::NotStarted);
            }
            let early_data = idle_for.and_then(|idle_for| self.pool.early_data(call.endpoint, idle_for));
            let exchange = progress.begin_exchange(&self.attempts_written, early_data);
            let request = progress.request().to_request();
            let Some(connection) = &mut progress.connection else { return Err(AttemptFailure::Broken) };
            let sent = connection.send(request, &exchange).await;
            match sent {
                Ok(response) => {
                    self.record_reuse(idle_for, ReuseOutcome::Alive);
                    if exchange.has_doubted_response() {
                        return Err(AttemptFailure::DelayedResponse);
                    }
                    return Ok(response);
                }
                // The endpoint had closed an idle connection, or had sent excess data on it, before any byte
                // was written: try another connection.
                Err(SendError::NotSent) if idle_for.is_some() => {
                    (call.on_phase)(AttemptPhase::NotStarted);
                    self.discard_connection(call.target(), progress).await;
                }
                Err(error) => {
                    self.record_send_error(&exchange, idle_for, &error);
                    return Err(failure_of_send(&exchange));
                }
            }
        }
    }

    /// Takes an idle connection and lets it rest, or opens a new one. Returns how long it was idle, or `None` if
    /// it is new.
    async fn take_connection(
        &self,
        call: &Call,
        progress: &mut AttemptProgress,
    ) -> Result<Option<Duration>, AttemptFailure> {
        let Some(pooled) = self.pool.take(call.target()) else {
            progress.connection = Some(self.connect(call.address).await?);
            return Ok(None);
        };
        progress.connection = Some(pooled.connection);
        // Even an empty sleep would cost a timer.
        if !pooled.remaining_rest.is_zero() {
            sleep(pooled.remaining_rest).await;
        }
        Ok(Some(pooled.idle_for + pooled.remaining_rest))
    }

    /// Closes the connection on which nothing of an attempt was written. It stays with the attempt until it
    /// has been stopped: the attempt may be cancelled meanwhile.
    async fn discard_connection(&self, target: Target, progress: &mut AttemptProgress) {
        let Some(connection) = &mut progress.connection else { return };
        if connection.has_excess_data() {
            self.pool.record_excess_data(target);
        }
        connection.stop().await;
        progress.revoke_exchange();
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, AttemptFailure> {
        match timeout(self.connect_timeout, Connection::open(address)).await {
            Ok(Ok(connection)) => Ok(connection),
            // A local shortage says nothing about the endpoint, which must not be ejected because of it.
            Ok(Err(error)) if is_local_shortage(&error) => {
                self.failure_log.record(error.to_string(), false);
                Err(AttemptFailure::NotStarted)
            }
            Ok(Err(_)) | Err(_) => Err(AttemptFailure::NotConnected),
        }
    }

    /// Whether the request may still be sent. While the connection was being established, a Retry-After may
    /// have arrived, the endpoint may have begun to drain, or the start deadline may have passed.
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

    fn record_send_error(&self, exchange: &Exchange, idle_for: Option<Duration>, error: &SendError) {
        // Any byte of a response, even of a corrupt one, shows that the connection was alive.
        let reuse = if exchange.has_received() { ReuseOutcome::Alive } else { ReuseOutcome::Reset };
        self.record_reuse(idle_for, reuse);
        self.failure_log.record(error.to_string(), idle_for.is_some());
    }

    fn record_reuse(&self, idle_for: Option<Duration>, outcome: ReuseOutcome) {
        if let Some(idle_for) = idle_for {
            self.pool.record_reuse(idle_for, outcome);
        }
    }
}

#[cfg(test)]
mod tests;
