//! Health of a single endpoint as derived from its record: the time since its last delivery, the response
//! timeout, and the end of a slow start.

use crate::model::{Context, Endpoint, Health, SECOND};
use crate::Micros;

/// An endpoint is unresponsive after this multiple of its average latency without a response.
const RESPONSE_TIMEOUT_LATENCIES: f64 = 6.0;
/// Lower bound in µs of the time without a response after which an endpoint is unresponsive.
const MIN_RESPONSE_TIMEOUT: Micros = 1_500_000;
/// An outage leaves an endpoint cold if it had no delivery for this long, in µs.
const COLD_AFTER: Micros = 3 * SECOND;
/// Upper bound in µs of the time without a delivery, since an outage is not assumed to have begun long
/// before it was detected.
const MAX_TIME_WITHOUT_DELIVERY: Micros = 10 * SECOND;

impl Endpoint {
    /// Time since the last delivery in µs, up to [`MAX_TIME_WITHOUT_DELIVERY`]; that bound if there was
    /// none.
    fn time_without_delivery(&self, now: Micros) -> Micros {
        self.delivered_at.map_or(MAX_TIME_WITHOUT_DELIVERY, |at| now - at).min(MAX_TIME_WITHOUT_DELIVERY)
    }

    /// Whether the last delivery was so long ago that an outage leaves the endpoint cold.
    pub fn lacks_recent_delivery(&self, now: Micros) -> bool {
        self.time_without_delivery(now) >= COLD_AFTER
    }

    /// Estimated start of an outage that is detected now. Where calls are rare, that is on average halfway
    /// between the last delivery and now.
    pub fn outage_start(&self, now: Micros) -> Micros {
        let undetected_time =
            if self.lacks_recent_delivery(now) { self.time_without_delivery(now) / 2 } else { 0 };
        now - undetected_time
    }

    /// A call without a response for this long, in µs, means that the endpoint is unresponsive.
    pub fn response_timeout(&self) -> Micros {
        MIN_RESPONSE_TIMEOUT.max((self.latency * RESPONSE_TIMEOUT_LATENCIES) as Micros)
    }

    /// Current health: a slow start ends once the warm-up time has passed.
    pub fn health_now(&self, context: Context) -> Health {
        let warm_up_time = context.settings.rules.warm_up_time;
        match self.health {
            Health::SlowStart(start) if context.now - start.since > warm_up_time => Health::Healthy,
            health => health,
        }
    }
}
