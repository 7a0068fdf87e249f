//! Client-side rate limit of a route: the rate grows with each delivery and is halved by rejections. The
//! limit that the route lists or reports bounds these changes, and a Retry-After postpones the next call.

use crate::model::{RareCallRate, RateLimit, Rejection, ReportedLimit, SECOND};
use crate::{retry::JITTER, AttemptOutcome, Micros};

/// Minimum rate in calls per second of all senders together, since they share a limit.
const MIN_RATE: f64 = 0.75;
/// A rejection does not lower the rate below this fraction of a known limit's fair share or of the assured
/// demand, so that neither little traffic so far nor the rejections of an outage starve a route that
/// recovers. The limit is disregarded from [`OUTAGE_REJECTIONS`] consecutive rejections on.
const FLOOR_SHARE: f64 = 0.4;
/// Minimum growth with each delivery, as a fraction of the rate.
const MIN_INCREASE: f64 = 0.04;
/// Doubling time of the rate in seconds, where calls are rare.
const DOUBLING_SECONDS: f64 = 8.0;
/// Doubling time of the rate in seconds while it is below the assured demand.
const RECOVERY_DOUBLING_SECONDS: f64 = 3.0;
/// The rate stops growing above this multiple of the last second's calls.
const MAX_UNTESTED_GROWTH: f64 = 1.5;
/// How long calls are remembered, in µs; a rate that has held back no call for this long is dropped.
const HISTORY_SPAN: Micros = 8 * SECOND;
/// Remaining fraction of a reported limit below which calls slow down even before a rejection.
const LOW_REMAINING: f64 = 0.3;
/// Remaining fraction of a reported limit from which on the limit does not explain a rejection.
const AMPLE_REMAINING: f64 = 0.5;
/// Fraction of this sender's fair share of a reported limit that is used while nothing of the limit is left.
const EXHAUSTED_SHARE: f64 = 0.5;
/// This many consecutive rejections, over at least [`OUTAGE_REJECTION_SPAN`], are taken for an outage instead
/// of a limit.
const OUTAGE_REJECTIONS: u32 = 4;
/// Minimum time in µs over which consecutive rejections are taken for an outage.
const OUTAGE_REJECTION_SPAN: Micros = 2 * SECOND;
/// A rejection with a Retry-After of at least this, in µs, is taken for an outage: rate limits ask for less.
const OUTAGE_RETRY_AFTER: Micros = 3 * SECOND;
/// Initial value of [`RareCallRate::factor`]: where calls are rare, a first rejection sets the rate to this
/// many calls per second for each call in the history. The factor adapts: it falls when the retry of a
/// rejected message is rejected again, and rises when the retry is delivered.
const INITIAL_RARE_CALL_FACTOR: f64 = 0.125;
/// Minimum of [`RareCallRate::factor`].
const MIN_RARE_CALL_FACTOR: f64 = 0.03;
/// Maximum of [`RareCallRate::factor`].
const MAX_RARE_CALL_FACTOR: f64 = 0.5;
/// Factor by which [`RareCallRate::factor`] changes when a retry is rejected again.
const RARE_CALL_DECREASE: f64 = 0.8;
/// Factor by which [`RareCallRate::factor`] changes when a retry is delivered.
const RARE_CALL_INCREASE: f64 = 1.1;
/// A rejected message yields to others for this fraction of 1 / [`RareCallRate::factor`] seconds.
const YIELD_SHARE: f64 = 0.8;

impl RateLimit {
    /// The limit for all senders together in calls per second, as last reported or else as listed.
    pub fn limit(&self) -> Option<f64> {
        self.reported.map(|reported| reported.limit).or(self.listed_limit())
    }

    /// This sender's fair share of the limit, in calls per second.
    pub fn fair_share(&self, sender_count: f64) -> Option<f64> {
        self.limit().map(|limit| limit / sender_count)
    }

    /// This sender's fair share of a reported limit in calls per second, reduced when little is left, to
    /// make up for what all senders together have used beyond the limit. Zero without a report.
    fn reported_rate(&self, sender_count: f64) -> f64 {
        let Some(ReportedLimit { limit, remaining }) = self.reported else { return 0.0 };
        limit * (EXHAUSTED_SHARE + remaining).min(1.0) / sender_count
    }

    /// Whether so much of the limit was left in the latest report that it does not explain a rejection.
    fn has_ample_remaining(&self) -> bool {
        self.reported.is_some_and(|reported| reported.remaining >= AMPLE_REMAINING)
    }

    /// Whether so little of the limit was left in the latest report that calls must slow down.
    fn has_low_remaining(&self) -> bool {
        self.reported.is_some_and(|reported| reported.remaining < LOW_REMAINING)
    }

    /// Lowers the rate if little of the reported limit is left. Without this, each of many senders would
    /// slow down only after a rejection of its own.
    pub fn apply_load_report(&mut self, now: Micros, sender_count: f64, random: &mut fastrand::Rng) {
        if !self.has_low_remaining() {
            return;
        }
        let recent = (self.sent_within(now, SECOND) - 1.0).max(self.reported_rate(sender_count));
        let was_unlimited = self.rate.is_none();
        self.rate = Some(self.rate.unwrap_or(f64::MAX).min(recent));
        if was_unlimited {
            self.next_permit_at = now;
            self.schedule_next_permit(now, random.f64());
        }
    }

    /// Records a call and schedules the next permit; `jitter_sample` is a random number in [0, 1).
    pub fn record_call(&mut self, now: Micros, jitter_sample: f64) {
        self.sent.retain(|at| now - at <= HISTORY_SPAN);
        self.sent.push(now);
        self.rate = self.rate.filter(|_| now - self.next_permit_at <= HISTORY_SPAN);
        self.schedule_next_permit(now, jitter_sample);
    }

    /// Schedules the next permit for one interval of the rate later on average, with jitter so that senders
    /// do not synchronize. `jitter_sample` is a random number in [0, 1).
    fn schedule_next_permit(&mut self, from: Micros, jitter_sample: f64) {
        let factor = 1.0 + JITTER * (2.0 * jitter_sample - 1.0);
        let interval = self.rate.map_or(0.0, |rate| SECOND as f64 / rate * factor);
        self.next_permit_at = self.next_permit_at.max(from) + interval as Micros;
    }

    /// When the rate permits the next call. The interval is shortened if the assured demand, which may have
    /// become known only after the interval began, calls for a higher rate.
    pub fn next_permit(&self, now: Micros, assured_demand: impl FnOnce() -> f64) -> Micros {
        if self.rate.is_none() || self.next_permit_at <= now {
            return now;
        }
        let longest = (1.0 + JITTER) * SECOND as f64 / (FLOOR_SHARE * assured_demand());
        let last = self.sent.last().copied().unwrap_or(now);
        self.next_permit_at.min(last.saturating_add(longest as Micros))
    }

    /// Raises the rate after a delivery.
    pub fn record_delivery(&mut self, now: Micros, assured_demand: f64, sender_count: f64) {
        self.consecutive_rejections = 0;
        let Some(rate) = self.rate else { return };
        let floored = rate.max(FLOOR_SHARE * assured_demand);
        let grown =
            if self.has_low_remaining() { floored } else { self.increased(now, floored, assured_demand) };
        let increased = grown.max(self.reported_rate(sender_count));
        // The current interval is shortened as well: at a low rate, it lasts for seconds.
        let remaining = (self.next_permit_at - now) as f64 * rate / increased;
        self.next_permit_at = self.next_permit_at.min(now + remaining as Micros);
        self.rate = Some(increased);
    }

    /// The rate after a delivery, in calls per second.
    fn increased(&self, now: Micros, rate: f64, assured_demand: f64) -> f64 {
        // A rate far above the recent calls has held nothing back and is untested. If it kept growing,
        // halving it would not bring it back down to the actual calls. Half a call is added because, where
        // calls are rare, a second may contain none.
        let max_tested_rate = (0.5 + self.sent_within(now, SECOND)) * MAX_UNTESTED_GROWTH;
        if rate > max_tested_rate.max(assured_demand) {
            return rate;
        }
        // Calls may be rare, so each one accounts for the growth over a whole interval of the rate.
        let doubling = if rate < assured_demand { RECOVERY_DOUBLING_SECONDS } else { DOUBLING_SECONDS };
        rate * 2f64.powf(1.0 / (doubling * rate)).max(1.0 + MIN_INCREASE)
    }

    /// Applies a rejection; returns whether it looks like an outage rather than a limit.
    pub fn record_rejection(&mut self, now: Micros, rejection: &Rejection) -> bool {
        if self.consecutive_rejections == 0 {
            self.rejected_since = now;
        }
        // While much of the limit is left, the limit is not the cause. Two such rejections suffice for
        // an outage, since there will be few where calls are rare.
        self.consecutive_rejections += if self.has_ample_remaining() { OUTAGE_REJECTIONS / 2 } else { 1 };
        if self.decreased_at.is_none_or(|at| now - at >= SECOND) {
            self.decrease(now, rejection);
        }
        let is_persistent = self.consecutive_rejections >= OUTAGE_REJECTIONS
            && now - self.rejected_since >= OUTAGE_REJECTION_SPAN;
        is_persistent || rejection.retry_after >= OUTAGE_RETRY_AFTER
    }

    /// Halves the rate, but not far below the assured demand: limits are expected to be above the demand,
    /// and at a lower rate, rejections could be too rare to reveal an outage. Where a limit is far below
    /// the demand, up to [`FLOOR_SHARE`] of the demand is rejected.
    fn decrease(&mut self, now: Micros, rejection: &Rejection) {
        // One call is subtracted because, where calls are rare, a single call in a second does not indicate
        // a rate. The estimate from the few calls in the history is bounded by the fair share, since not
        // all senders could keep to a higher rate.
        let fair_share = self.fair_share(rejection.sender_count).unwrap_or(f64::MAX);
        let rare_rate = (rejection.rare_call_factor * self.sent_within(now, HISTORY_SPAN)).min(fair_share);
        let recent = (self.sent_within(now, SECOND) - 1.0).max(rare_rate);
        let decreased = self.rate.map_or(recent, |rate| rate / 2.0);
        let applicable_limit =
            self.limit().filter(|_| self.consecutive_rejections < OUTAGE_REJECTIONS).unwrap_or(0.0);
        let min_rate = MIN_RATE.max(FLOOR_SHARE * applicable_limit) / rejection.sender_count;
        let reported =
            if self.has_ample_remaining() { 0.0 } else { self.reported_rate(rejection.sender_count) };
        let floor = FLOOR_SHARE * rejection.assured_demand;
        self.rate = Some(decreased.max(min_rate).max(floor).max(reported));
        self.decreased_at = Some(now);
        self.next_permit_at = now + rejection.retry_after;
        self.schedule_next_permit(now, rejection.jitter_sample);
    }
}

impl RareCallRate {
    pub fn new() -> Self {
        Self { factor: INITIAL_RARE_CALL_FACTOR }
    }

    /// Adapts the factor to the outcome of a rejected message's retry.
    pub fn record_retry(&mut self, outcome: AttemptOutcome) {
        let step = match outcome {
            AttemptOutcome::Rejected => RARE_CALL_DECREASE,
            AttemptOutcome::Delivered => RARE_CALL_INCREASE,
            _ => return,
        };
        self.factor = (self.factor * step).clamp(MIN_RARE_CALL_FACTOR, MAX_RARE_CALL_FACTOR);
    }

    /// How long a rejected message yields to others, in µs.
    pub fn yield_interval(&self) -> f64 {
        YIELD_SHARE / self.factor * SECOND as f64
    }
}
