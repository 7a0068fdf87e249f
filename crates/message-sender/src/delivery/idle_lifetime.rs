//! Learns for how long idle connections survive.
//!
//! Devices between sender and endpoint may forget an idle connection long before the endpoint would close it,
//! and without notice: it shows only as a reset of the next attempt, which may have been processed by then.

use std::time::Duration;

/// Idle times are counted in buckets, each twice as long as the one before, from a millisecond on.
const BUCKETS: usize = 16;
/// Share of attempts on idle connections that may end as a reset: a handshake costs less than a lost attempt
/// does, but not nothing.
const MAX_RESET_SHARE: f64 = 0.15;
/// Successful attempts that are assumed for each bucket, so that a single reset does not decide.
const ASSUMED_SUCCESSES: f64 = 10.0;
/// What each decay leaves of the counts, so that trust returns.
const DECAY_FACTOR: f64 = 0.98;

/// How an attempt on a connection that had been idle ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReuseOutcome {
    /// The connection was alive.
    Alive,
    /// The connection was reset.
    Reset,
}

/// Attempts on connections that had been idle for a similar time; decayed, so not whole numbers.
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

/// Estimates the idle time that connections survive. All endpoints count together: with an estimate for each,
/// an attempt would have to be lost at each to learn from.
#[derive(Debug, Default)]
pub struct IdleLifetimeEstimator {
    buckets: [ReuseRecord; BUCKETS],
}

impl IdleLifetimeEstimator {
    /// Records how an attempt on a connection that had been idle for `idle_for` ended.
    pub fn record(&mut self, idle_for: Duration, outcome: ReuseOutcome) {
        let record = &mut self.buckets[bucket_of(idle_for)];
        record.attempts += 1.0;
        if outcome == ReuseOutcome::Reset {
            record.resets += 1.0;
        }
    }

    /// Whether a connection that has been idle for `idle_for` may be used.
    pub fn trusts(&self, idle_for: Duration) -> bool {
        bucket_of(idle_for) < self.trusted_buckets()
    }

    /// The idle time up to which connections are used; zero if they are used after none.
    pub fn trusted_idle_time(&self) -> Duration {
        match self.trusted_buckets() {
            0 => Duration::ZERO,
            buckets => Duration::from_millis(1 << buckets),
        }
    }

    /// Forgets part of what was recorded; to be called each second.
    pub fn decay(&mut self) {
        for record in &mut self.buckets {
            record.decay();
        }
    }

    /// Buckets up to the first with too many resets: a longer idle time is no safer.
    fn trusted_buckets(&self) -> usize {
        self.buckets.iter().take_while(|record| record.is_acceptable()).count()
    }
}

fn bucket_of(idle_for: Duration) -> usize {
    let ms = u32::try_from(idle_for.as_millis()).unwrap_or(u32::MAX);
    let bucket = ms.max(1).ilog2() as usize;
    bucket.min(BUCKETS - 1)
}

#[cfg(test)]
mod tests;
