//! Keeps idle connections for the next attempt to their endpoint.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use delivery_control::EndpointId;
use tokio::time::{timeout, Instant};

use super::attempt::Target;
use super::excess_data::ExcessDataTracker;
use super::idle_lifetime::{IdleLifetimeEstimator, ReuseOutcome};
use super::response::DELIVERED;
use super::response_times::{ResponseTimes, MAX_CROSSING_TIME};
use super::saturation::SaturationTracker;
use crate::http_connection::{Connection, EarlyData, IdleState, REUSE_DELAY};

struct IdleConnection {
    connection: Connection,
    target: Target,
    idle_since: Instant,
}

/// Why a connection is closed instead of being used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DiscardReason {
    /// Its endpoint has another address now.
    AddressChanged,
    /// It has been idle for the maximum time.
    IdleTimeout,
    /// Connections that were idle for as long have not survived.
    LifetimeNotTrusted,
    /// Its endpoint has closed it.
    Ended,
    /// Its endpoint sends data that belongs to no response.
    ExcessData,
    /// Its endpoint has no capacity for more connections.
    Saturated,
    /// Others have been idle for less time.
    PoolFull,
    /// Its endpoint is draining, has departed, or rejects connections.
    EndpointClosed,
}

impl DiscardReason {
    /// The reason for which the state of a connection forbids its use, if any.
    fn of_state(state: IdleState) -> Option<Self> {
        match state {
            IdleState::Reusable => None,
            IdleState::Ended => Some(Self::Ended),
            IdleState::ExcessData => Some(Self::ExcessData),
        }
    }

    fn log(self, target: Target) {
        tracing::debug!(endpoint = target.endpoint, address = %target.address, reason = ?self, "connection closed");
    }
}

impl IdleConnection {
    /// Whether the connection has rested for long enough to carry its next request.
    fn is_rested(&self, now: Instant) -> bool {
        self.idle_for(now) >= REUSE_DELAY
    }

    /// How long the connection has been idle.
    fn idle_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.idle_since)
    }
}

/// A connection taken from the pool.
pub struct PooledConnection {
    /// The connection, ready for a request.
    pub connection: Connection,
    /// How long the connection was idle.
    pub idle_for: Duration,
    /// Time to wait before the request.
    pub remaining_rest: Duration,
}

/// Keeps idle connections to all endpoints, ordered from the longest idle one, and limits their number and
/// idle time.
pub struct ConnectionPool {
    idle: RefCell<VecDeque<IdleConnection>>,
    /// Maximum number of idle connections. Pending reads count against it only when another read is to
    /// begin.
    capacity: usize,
    /// Number of responses that are still being read although their attempts have ended.
    pending_reads: Cell<usize>,
    max_idle_time: Duration,
    lifetime_estimator: RefCell<IdleLifetimeEstimator>,
    saturation: RefCell<SaturationTracker>,
    excess_data: ExcessDataTracker,
    response_times: ResponseTimes,
}

impl ConnectionPool {
    /// Creates an empty pool of up to `capacity` connections, each idle for at most `max_idle_time`. Counts in
    /// `excess_data` how often data arrived that belonged to no response.
    pub fn new(capacity: usize, max_idle_time: Duration, excess_data: Rc<Cell<u64>>) -> Self {
        Self {
            idle: RefCell::default(),
            capacity,
            pending_reads: Cell::new(0),
            max_idle_time,
            lifetime_estimator: RefCell::default(),
            saturation: RefCell::default(),
            excess_data: ExcessDataTracker::new(excess_data),
            response_times: ResponseTimes::default(),
        }
    }

    /// Takes the most recently used connection to the target that need not rest, so that the others can reach
    /// the maximum idle time. Closes unusable connections to the target's endpoint that it finds before that
    /// one.
    pub fn take(&self, target: Target) -> Option<PooledConnection> {
        // One reading for all candidates: it may only make them seem to have rested for too short a time.
        let now = Instant::now();
        loop {
            let candidate = self.remove_latest(target.endpoint, now)?;
            let idle_for = candidate.idle_for(now);
            let remaining_rest = REUSE_DELAY.saturating_sub(idle_for);
            if candidate.connection.has_excess_data() {
                self.record_excess_data(candidate.target);
            }
            match self.discard_reason(&candidate, idle_for, target) {
                Some(reason) => reason.log(candidate.target),
                None => {
                    return Some(PooledConnection {
                        connection: candidate.connection,
                        idle_for,
                        remaining_rest,
                    })
                }
            }
        }
    }

    /// Removes the most recently used connection to an endpoint that need not rest, or the one that has rested
    /// longest.
    fn remove_latest(&self, endpoint: EndpointId, now: Instant) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let rested = idle.iter().rposition(|idle| idle.target.endpoint == endpoint && idle.is_rested(now));
        let index = rested.or_else(|| idle.iter().position(|idle| idle.target.endpoint == endpoint))?;
        idle.remove(index)
    }

    /// The reason for which a connection cannot carry a request to `target`, if any.
    fn discard_reason(
        &self,
        candidate: &IdleConnection,
        idle_for: Duration,
        target: Target,
    ) -> Option<DiscardReason> {
        if candidate.target.address != target.address {
            Some(DiscardReason::AddressChanged)
        } else if idle_for >= self.max_idle_time {
            Some(DiscardReason::IdleTimeout)
        } else if !self.lifetime_estimator.borrow().trusts(idle_for) {
            Some(DiscardReason::LifetimeNotTrusted)
        } else {
            DiscardReason::of_state(candidate.connection.idle_state())
        }
    }

    /// Keeps a connection for the next attempt, unless its endpoint is saturated or has sent excess data.
    /// Closes the longest idle connections to stay within the pool's capacity.
    pub fn put(&self, target: Target, connection: Connection) {
        if self.saturation.borrow().is_saturated(target.endpoint) {
            return DiscardReason::Saturated.log(target);
        }
        if self.excess_data.avoids_reuse(target.endpoint) {
            return DiscardReason::ExcessData.log(target);
        }
        let mut idle = self.idle.borrow_mut();
        idle.push_back(IdleConnection { connection, target, idle_since: Instant::now() });
        while idle.len() > self.capacity {
            if let Some(longest_idle) = idle.pop_front() {
                DiscardReason::PoolFull.log(longest_idle.target);
            }
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_endpoint(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().retain(|idle| {
            let is_kept = idle.target.endpoint != endpoint;
            if !is_kept {
                DiscardReason::EndpointClosed.log(idle.target);
            }
            is_kept
        });
    }

    /// Whether one more response may be read after its attempt has ended. Its descriptor counts against the
    /// capacity for idle connections, so the longest idle connections are closed to make room.
    pub fn free_capacity_for_read(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        while self.pending_reads.get() + idle.len() >= self.capacity && idle.pop_front().is_some() {}
        self.pending_reads.get() < self.capacity
    }

    /// Counts a response that is read after its attempt has ended, until the returned guard is dropped.
    pub fn begin_read(&self) -> PendingRead<'_> {
        self.pending_reads.set(self.pending_reads.get() + 1);
        PendingRead { pool: self }
    }

    /// Records whether a connection was still alive after it had been idle for `idle_for`.
    pub fn record_reuse(&self, idle_for: Duration, outcome: ReuseOutcome) {
        self.lifetime_estimator.borrow_mut().record(idle_for, outcome);
    }

    /// The idle time up to which connections are expected to survive and are reused.
    pub fn trusted_idle_time(&self) -> Duration {
        self.lifetime_estimator.borrow().trusted_idle_time()
    }

    /// Reduces the weight of what was recorded about reuse. Must be called once per second.
    pub fn decay_lifetimes(&self) {
        self.lifetime_estimator.borrow_mut().decay();
    }

    /// Records that an endpoint has rejected a connection for lack of capacity, and closes the idle
    /// connections to it.
    pub fn record_saturation(&self, endpoint: EndpointId) {
        self.close_endpoint(endpoint);
        self.saturation.borrow_mut().record(endpoint);
    }

    /// Records that an endpoint has sent data that belongs to no response, and closes the idle connections to
    /// it.
    pub fn record_excess_data(&self, target: Target) {
        self.close_endpoint(target.endpoint);
        self.excess_data.record(target);
    }

    /// Records the response time of a message that an endpoint has delivered.
    pub fn record_response_time(&self, endpoint: EndpointId, response_time: Duration) {
        self.response_times.record(endpoint, response_time);
    }

    /// What is unusual soon after a request on a connection to an endpoint that was idle for `idle_for`, if the
    /// endpoint's response times are known. A delivery is doubted if data may still have been on its way when the
    /// request was written, or if the endpoint has sent excess data.
    pub fn early_data(&self, endpoint: EndpointId, idle_for: Duration) -> Option<EarlyData> {
        let within = self.response_times.min_response_time(endpoint)?;
        let is_doubted = idle_for < MAX_CROSSING_TIME || self.excess_data.is_remembered(endpoint);
        Some(EarlyData { within, doubted_status: is_doubted.then_some(DELIVERED) })
    }

    /// Waits until nothing suggests any more that a response belongs to an earlier request, because none has followed
    /// it in the time that the endpoint usually takes, or because the endpoint has become as fast.
    pub async fn wait_until_plausible(&self, endpoint: EndpointId, response_time: Duration) {
        let max_response_time = self.response_times.max_response_time(endpoint);
        let usual = self.response_times.wait_until_usual(endpoint, response_time);
        // After either, the response counts.
        let _ = timeout(max_response_time, usual).await;
    }

    /// Raises the idle time that saturation has reduced, according to the time `elapsed` since the last
    /// call.
    pub fn recover_idle_time(&self, elapsed: Duration) {
        self.saturation.borrow_mut().recover(elapsed);
    }

    /// Closes connections that have been idle for too long, were closed by their endpoint or received
    /// unexpected bytes.
    pub fn close_expired(&self) {
        let max_idle_time = self.max_idle_time.mul_f64(self.saturation.borrow().idle_time_scale());
        let mut with_excess_data = Vec::new();
        self.idle.borrow_mut().retain(|idle| {
            let is_expired = idle.idle_since.elapsed() >= max_idle_time;
            let expired = is_expired.then_some(DiscardReason::IdleTimeout);
            let reason = DiscardReason::of_state(idle.connection.inspect()).or(expired);
            if let Some(reason) = reason {
                reason.log(idle.target);
            }
            if reason == Some(DiscardReason::ExcessData) {
                with_excess_data.push(idle.target);
            }
            reason.is_none()
        });
        for target in with_excess_data {
            self.record_excess_data(target);
        }
    }

    /// Forgets endpoints whose saturation has expired, those that have sent no excess data for long, and those
    /// to which no connection can be idle any more.
    pub fn expire_endpoints(&self) {
        self.saturation.borrow_mut().expire();
        self.excess_data.expire();
        self.response_times.expire(self.max_idle_time);
    }
}

/// Guard that counts a response as being read after its attempt has ended.
pub struct PendingRead<'pool> {
    pool: &'pool ConnectionPool,
}

impl Drop for PendingRead<'_> {
    fn drop(&mut self) {
        let pending_reads = &self.pool.pending_reads;
        pending_reads.set(pending_reads.get() - 1);
    }
}

#[cfg(test)]
impl ConnectionPool {
    /// Records that an endpoint has sent excess data, so long ago that its connections are reused again.
    pub fn record_past_excess_data(&self, endpoint: EndpointId) {
        self.excess_data.record_past(endpoint);
    }

    /// Forgets the response times of all endpoints.
    pub fn forget_response_times(&self) {
        self.response_times.expire(Duration::ZERO);
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.idle.borrow().is_empty()
    }

    /// Share of the maximum idle time for which connections are kept.
    pub fn idle_time_scale(&self) -> f64 {
        self.saturation.borrow().idle_time_scale()
    }
}
