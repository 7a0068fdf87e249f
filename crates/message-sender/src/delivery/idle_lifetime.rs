//! Estimates how long idle connections survive.
//!
//! Devices between sender and endpoint may drop an idle connection silently, long before the endpoint would
//! close it. The sender notices only when the next attempt is reset, and the endpoint may have processed
//! that attempt.

use std::time::Duration;

/// Number of buckets for idle times. Each bucket ends at twice the idle time at which it begins. The first
/// one begins at 1 ms and also counts shorter times; the last one also counts longer times.
const BUCKETS: usize = 16;
/// Maximum acceptable share of attempts on idle connections that are reset. It is above 0 because avoiding
/// a reset costs a handshake, which is cheaper than a lost attempt but not free.
const MAX_RESET_SHARE: f64 = 0.15;
/// Number of successful attempts added to each bucket's count, so that a single reset does not rule the
/// bucket out.
const ASSUMED_SUCCESSES: f64 = 10.0;
/// Factor applied to all counts at each decay, so that idle times with resets become trusted again.
const DECAY_FACTOR: f64 = 0.98;

/// Whether a connection that had been idle was still alive at the next attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReuseOutcome {
    /// The connection was alive.
    Alive,
    /// The connection was reset.
    Reset,
}

/// Counts of attempts on connections that had been idle for a similar time. Decay makes them fractional.
#[derive(Debug, Default, Clone, Copy)]
struct ReuseRecord {
    attempts: f64,
    resets: f64,
}

impl ReuseRecord {
    fn is_acceptable(&self) -> bool {
        self.resets <= MAX_RESET_SHARE * (self.attempts + ASSUMED_SUCCESSES)
    }

    fn decay(&mut self) {
        self.attempts *= DECAY_FACTOR;
        self.resets *= DECAY_FACTOR;
    }
}

/// Estimates the idle time that connections survive. One estimate covers all endpoints: with separate
/// estimates, attempts would have to be lost at each endpoint before its estimate is known.
#[derive(Debug, Default)]
pub struct IdleLifetimeEstimator {
    buckets: [ReuseRecord; BUCKETS],
}

impl IdleLifetimeEstimator {
    /// Records the outcome of an attempt on a connection that had been idle for `idle_for`.
    pub fn record(&mut self, idle_for: Duration, outcome: ReuseOutcome) {
        let record = &mut self.buckets[bucket_index(idle_for)];
        record.attempts += 1.0;
        if outcome == ReuseOutcome::Reset {
            record.resets += 1.0;
        }
    }

    /// Whether a connection that has been idle for `idle_for` may be used.
    pub fn trusts(&self, idle_for: Duration) -> bool {
        bucket_index(idle_for) < self.trusted_buckets()
    }

    /// The idle time up to which connections are reused; zero if idle connections are not reused at all.
    pub fn trusted_idle_time(&self) -> Duration {
        match self.trusted_buckets() {
            0 => Duration::ZERO,
            buckets => Duration::from_millis(1 << buckets),
        }
    }

    /// Reduces the weight of what was recorded. Must be called once per second.
    pub fn decay(&mut self) {
        for record in &mut self.buckets {
            record.decay();
        }
    }

    /// Number of buckets before the first one with too many resets. Buckets after it are not trusted
    /// either, since a longer idle time is no safer.
    fn trusted_buckets(&self) -> usize {
        self.buckets.iter().take_while(|record| record.is_acceptable()).count()
    }
}

fn bucket_index(idle_for: Duration) -> usize {
    let ms = u32::try_from(idle_for.as_millis()).unwrap_or(u32::MAX);
    let bucket = ms.max(1).ilog2() as usize;
    bucket.min(BUCKETS - 1)
}

#[cfg(test)]
mod tests;
