//! Tracks endpoints that have run out of connections and reduces the time for which connections are kept
//! idle.
//!
//! If many senders call each endpoint rarely, their idle connections use up the few that an endpoint
//! accepts. When one endpoint runs out of connections, others soon will.

use std::collections::HashMap;
use std::time::Duration;

use delivery_control::EndpointId;
use tokio::time::Instant;

/// Time for which no connection is kept idle at an endpoint after it has rejected one for lack of capacity.
const SATURATION_DURATION: Duration = Duration::from_secs(60);
/// Factor by which each such rejection reduces the time for which connections to other endpoints are kept
/// idle.
const IDLE_TIME_DECREASE: f64 = 0.5;
/// Factor by which that time grows again per second, up to its maximum.
const IDLE_TIME_RECOVERY_PER_SECOND: f64 = 1.03;

/// Tracks which endpoints are saturated, and scales the time for which connections to the others are kept
/// idle.
#[derive(Debug)]
pub struct SaturationTracker {
    saturated_at: HashMap<EndpointId, Instant>,
    /// Share of the maximum idle time for which connections are kept, at most 1.
    idle_time_scale: f64,
}

impl Default for SaturationTracker {
    fn default() -> Self {
        Self { saturated_at: HashMap::new(), idle_time_scale: 1.0 }
    }
}

impl SaturationTracker {
    /// Records that an endpoint has rejected a connection for lack of capacity, and reduces the idle time.
    pub fn record(&mut self, endpoint: EndpointId) {
        self.saturated_at.insert(endpoint, Instant::now());
        self.idle_time_scale *= IDLE_TIME_DECREASE;
    }

    /// Whether an endpoint has recently rejected a connection for lack of capacity.
    pub fn is_saturated(&self, endpoint: EndpointId) -> bool {
        self.saturated_at.contains_key(&endpoint)
    }

    /// Share of the maximum idle time for which connections are kept, at most 1.
    pub fn idle_time_scale(&self) -> f64 {
        self.idle_time_scale
    }

    /// Raises the idle time again, according to the time `elapsed` since the last call.
    pub fn recover(&mut self, elapsed: Duration) {
        let recovery = IDLE_TIME_RECOVERY_PER_SECOND.powf(elapsed.as_secs_f64());
        self.idle_time_scale = (self.idle_time_scale * recovery).min(1.0);
    }

    /// Forgets endpoints whose last rejection has expired.
    pub fn expire(&mut self) {
        self.saturated_at.retain(|_, since| since.elapsed() < SATURATION_DURATION);
    }
}
