//! Client-side rate limit of a route: additive increase, multiplicative decrease, bounded by what the route
//! lists or reports as its limit; and the Retry-After that binds it.

use crate::model::{RareCallRate, RateLimit, Rejection, ReportedLimit, SECOND};
use crate::{retry::JITTER, AttemptOutcome, Micros};

const MIN_RATE: f64 = 0.75; // In calls per second of all senders: they share a limit
/// No decrease below this part of a known limit's fair share or of the assured demand, unless rejections
/// go on: little traffic so far, or the rejections of an outage, must not starve a route that recovers.
const FLOOR_SHARE: f64 = 0.4;
const INCREASE: f64 = 0.04; // Growth with each success, as a fraction
const DOUBLING_SECONDS: f64 = 8.0; // Or doubled in this time, where calls are rare
const RECOVERY_DOUBLING_SECONDS: f64 = 3.0; // Doubled in this time while below the assured demand
const MAX_UNTRIED_GROWTH: f64 = 1.5; // No growth beyond so many times the calls of the last second
const HISTORY_SPAN: Micros = 8 * SECOND; // A rate that held nothing back for so long is forgotten
const LOW_REMAINING: f64 = 0.3; // Reported fraction left below which calls slow down before any rejection
const AMPLE_REMAINING: f64 = 0.5; // Reported fraction left with which the limit explains no rejection
const EXHAUSTED_SHARE: f64 = 0.5; // Part of a reported fair share that is used while nothing of it is left
const OUTAGE_REJECTIONS: u32 = 4; // Rejections in a row, over the span, that mean an outage, not a limit
const OUTAGE_REJECTION_SPAN: Micros = 2 * SECOND;
const OUTAGE_RETRY_AFTER: Micros = 3 * SECOND; // No rate limit asks for so long a Retry-After: an outage
/// Calls per second that a first rejection leaves for each call in the history, where calls are rare. It is
/// adapted: lower when a retry after a rejection is rejected again, higher when it is delivered.
const INITIAL_RARE_CALL_FACTOR: f64 = 0.125;
const MIN_RARE_CALL_FACTOR: f64 = 0.03;
const MAX_RARE_CALL_FACTOR: f64 = 0.5;
const RARE_CALL_DECREASE: f64 = 0.8;
const RARE_CALL_INCREASE: f64 = 1.1;
const YIELD_SHARE: f64 = 0.8; // Part of such a rate's interval for which a rejected message lets others go

impl RateLimit {
    /// The limit of all senders as reported last, or else as listed, in calls per second.
    pub fn limit(&self) -> Option<f64> {
        self.reported.map(|reported| reported.limit).or(self.listed_limit())
    }

    /// This sender's fair share of the limit.
    pub fn fair_share(&self, sender_count: f64) -> Option<f64> {
        self.limit().map(|limit| limit / sender_count)
    }

    /// This sender's fair share of a reported limit, less when little is left: what all senders together
    /// have overdrawn is made up. Zero without a report.
    fn reported_rate(&self, sender_count: f64) -> f64 {
        let Some(ReportedLimit { limit, remaining }) = self.reported else { return 0.0 };
        limit * (EXHAUSTED_SHARE + remaining).min(1.0) / sender_count
    }

    /// Much of the limit is left by the latest report, so that it explains no rejection.
    fn has_ample_remaining(&self) -> bool {
        self.reported.is_some_and(|reported| reported.remaining >= AMPLE_REMAINING)
    }

    fn has_low_remaining(&self) -> bool {
        self.reported.is_some_and(|reported| reported.remaining < LOW_REMAINING)
    }

    /// Slows down before the limit is used up: with many senders, each would have to be rejected first.
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

    pub fn record_call(&mut self, now: Micros, chance: f64) {
        self.sent.retain(|at| now - at <= HISTORY_SPAN);
        self.sent.push(now);
        self.rate = self.rate.filter(|_| now - self.next_permit_at <= HISTORY_SPAN);
        self.schedule_next_permit(now, chance);
    }

    /// The next permit comes after the rate's interval on average, with jitter: senders must not fall into
    /// step.
    fn schedule_next_permit(&mut self, from: Micros, chance: f64) {
        let factor = 1.0 + JITTER * (2.0 * chance - 1.0);
        let interval = self.rate.map_or(0.0, |rate| SECOND as f64 / rate * factor);
        self.next_permit_at = self.next_permit_at.max(from) + interval as Micros;
    }

    /// When the rate permits the next call. `assured_demand` may have become known since the interval began.
    pub fn next_permit(&self, now: Micros, assured_demand: impl FnOnce() -> f64) -> Micros {
        if self.rate.is_none() || self.next_permit_at <= now {
            return now;
        }
        let longest = (1.0 + JITTER) * SECOND as f64 / (FLOOR_SHARE * assured_demand());
        let last = self.sent.last().copied().unwrap_or(now);
        self.next_permit_at.min(last.saturating_add(longest as Micros))
    }

    pub fn record_success(&mut self, now: Micros, assured_demand: f64, sender_count: f64) {
        self.consecutive_rejections = 0;
        let Some(rate) = self.rate else { return };
        let floored = rate.max(FLOOR_SHARE * assured_demand);
        let grown =
            if self.has_low_remaining() { floored } else { self.increased(now, floored, assured_demand) };
        let increased = grown.max(self.reported_rate(sender_count));
        // The interval that runs shrinks too: at a low rate, it lasts for seconds.
        let remaining = (self.next_permit_at - now) as f64 * rate / increased;
        self.next_permit_at = self.next_permit_at.min(now + remaining as Micros);
        self.rate = Some(increased);
    }

    fn increased(&self, now: Micros, rate: f64, assured_demand: f64) -> f64 {
        // A rate that held nothing back has not been tried: grown on, no halving would bring it down again.
        // Half a call is added, since where calls are rare a second may have none.
        let tried = (0.5 + self.sent_within(now, SECOND)) * MAX_UNTRIED_GROWTH;
        if rate > tried.max(assured_demand) {
            return rate;
        }
        // Calls may be rare: each counts for the interval before it.
        let doubling = if rate < assured_demand { RECOVERY_DOUBLING_SECONDS } else { DOUBLING_SECONDS };
        rate * 2f64.powf(1.0 / (doubling * rate)).max(1.0 + INCREASE)
    }

    /// Takes in a rejection; returns whether it looks like an outage rather than a limit.
    pub fn record_rejection(&mut self, now: Micros, rejection: &Rejection) -> bool {
        if self.consecutive_rejections == 0 {
            self.rejected_since = now;
        }
        // The limit is not the cause while much of it is left: where calls are rare, that says enough.
        self.consecutive_rejections += if self.has_ample_remaining() { OUTAGE_REJECTIONS / 2 } else { 1 };
        if self.decreased_at.is_none_or(|at| now - at >= SECOND) {
            self.decrease(now, rejection);
        }
        let is_persistent = self.consecutive_rejections >= OUTAGE_REJECTIONS
            && now - self.rejected_since >= OUTAGE_REJECTION_SPAN;
        is_persistent || rejection.retry_after >= OUTAGE_RETRY_AFTER
    }

    /// Halves the rate, but not far below the assured demand: limits lie above that, and rejections too rare
    /// to look like an outage must not hide one. May hurt where a limit is far below the demand: up to
    /// [`FLOOR_SHARE`] of it is rejected there.
    fn decrease(&mut self, now: Micros, rejection: &Rejection) {
        // Less one call: where calls are rare, one in a second says nothing of a rate.
        // Nor are the few of some seconds a rate that all senders could keep to.
        let fair_share = self.fair_share(rejection.sender_count).unwrap_or(f64::MAX);
        let rare = (rejection.rare_call_factor * self.sent_within(now, HISTORY_SPAN)).min(fair_share);
        let recent = (self.sent_within(now, SECOND) - 1.0).max(rare);
        let decreased = self.rate.map_or(recent, |rate| rate / 2.0);
        let known = self.limit().filter(|_| self.consecutive_rejections < OUTAGE_REJECTIONS).unwrap_or(0.0);
        let least = MIN_RATE.max(FLOOR_SHARE * known) / rejection.sender_count;
        let reported =
            if self.has_ample_remaining() { 0.0 } else { self.reported_rate(rejection.sender_count) };
        let floor = FLOOR_SHARE * rejection.assured_demand;
        self.rate = Some(decreased.max(least).max(floor).max(reported));
        self.decreased_at = Some(now);
        self.next_permit_at = now + rejection.retry_after;
        self.schedule_next_permit(now, rejection.chance);
    }
}

impl RareCallRate {
    pub fn new() -> Self {
        Self { factor: INITIAL_RARE_CALL_FACTOR }
    }

    /// Takes in how the retry of a rejected message ended.
    pub fn record_retry(&mut self, outcome: AttemptOutcome) {
        let step = match outcome {
            AttemptOutcome::Rejected => RARE_CALL_DECREASE,
            AttemptOutcome::Delivered => RARE_CALL_INCREASE,
            _ => return,
        };
        self.factor = (self.factor * step).clamp(MIN_RARE_CALL_FACTOR, MAX_RARE_CALL_FACTOR);
    }

    /// How long a rejected message lets others go first, in µs.
    pub fn yield_interval(&self) -> f64 {
        YIELD_SHARE / self.factor * SECOND as f64
    }
}
