//! Endpoints that have run out of connections, and what that means for keeping connections idle.
//!
//! Where many senders call each endpoint rarely, the connections that all of them keep idle fill the few that
//! an endpoint accepts. What one endpoint runs out of, others soon will.

use std::collections::HashMap;
use std::time::Duration;

use delivery_control::EndpointId;
use tokio::time::Instant;

/// For how long no connection is kept idle at an endpoint that has rejected one for lack of capacity.
const SATURATED_FOR: Duration = Duration::from_secs(60);
/// What each such rejection leaves of the time for which connections to other endpoints are kept idle.
const IDLE_TIME_DECREASE: f64 = 0.5;
/// What each second multiplies that time by again.
const IDLE_TIME_RECOVERY_PER_SECOND: f64 = 1.03;

/// Tracks which endpoints are saturated, and scales the time for which connections to the others are kept
/// idle.
#[derive(Debug)]
pub struct SaturationTracker {
    saturated_at: HashMap<EndpointId, Instant>,
    idle_time_scale: f64,
}

impl Default for SaturationTracker {
    fn default() -> Self {
        Self { saturated_at: HashMap::new(), idle_time_scale: 1.0 }
    }
}

impl SaturationTracker {
    /// Records that an endpoint has rejected a connection for lack of capacity.
    pub fn record(&mut self, endpoint: EndpointId) {
        self.saturated_at.insert(endpoint, Instant::now());
        self.idle_time_scale *= IDLE_TIME_DECREASE;
    }

    /// Whether an endpoint has recently rejected a connection.
    pub fn is_saturated(&self, endpoint: EndpointId) -> bool {
        self.saturated_at.contains_key(&endpoint)
    }

    /// Share of the configured idle time for which connections are kept, up to 1.
    pub fn idle_time_scale(&self) -> f64 {
        self.idle_time_scale
    }

    /// Lets the idle time recover by the time that has passed.
    pub fn recover(&mut self, elapsed: Duration) {
        let recovery = IDLE_TIME_RECOVERY_PER_SECOND.powf(elapsed.as_secs_f64());
        self.idle_time_scale = (self.idle_time_scale * recovery).min(1.0);
    }

    /// Forgets rejections that are long past.
    pub fn expire(&mut self) {
        self.saturated_at.retain(|_, since| since.elapsed() < SATURATED_FOR);
    }
}
