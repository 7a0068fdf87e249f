//! What an endpoint's record says of its health: quiet, unresponsive, or done with its slow start.

use crate::model::{Context, Endpoint, Health, SECOND};
use crate::Micros;

const UNRESPONSIVE_LATENCIES: f64 = 6.0; // Unresponsive: no answer for so many usual answer times
const MIN_UNRESPONSIVE: Micros = 1_500_000; // And for this time at least
const COLD_AFTER: Micros = 3 * SECOND; // Without a delivery for this long, an outage leaves an endpoint cold
const MAX_QUIET: Micros = 10 * SECOND; // An outage is not taken to have begun long before it was found

impl Endpoint {
    /// How long nothing was delivered, as far as it matters.
    fn quiet_time(&self, now: Micros) -> Micros {
        self.delivered_at.map_or(MAX_QUIET, |at| now - at).min(MAX_QUIET)
    }

    /// Nothing was delivered for so long that an outage leaves the endpoint cold.
    pub fn is_quiet(&self, now: Micros) -> bool {
        self.quiet_time(now) >= COLD_AFTER
    }

    /// When an outage that is found now began. Where calls are rare, that is halfway since the last delivery
    /// on average.
    pub fn outage_start(&self, now: Micros) -> Micros {
        let undetected = if self.is_quiet(now) { self.quiet_time(now) / 2 } else { 0 };
        now - undetected
    }

    /// A call without an answer for this long means that the endpoint is unresponsive.
    pub fn response_timeout(&self) -> Micros {
        MIN_UNRESPONSIVE.max((self.latency * UNRESPONSIVE_LATENCIES) as Micros)
    }

    /// The health as of now: a slow start ends by itself.
    pub fn health_now(&self, context: Context) -> Health {
        let warm_up_time = context.settings.rules.warm_up_time;
        match self.health {
            Health::SlowStart(start) if context.now - start.since > warm_up_time => Health::Healthy,
            health => health,
        }
    }
}
