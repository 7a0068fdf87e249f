//! The periodic summary in the log: what the sender accepted, how its attempts ended, and what became of
//! messages that were not delivered, by cause and destination.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use delivery_control::{AttemptEnd, AttemptOutcome, DestinationId, Event, LoadReport, Micros};
use tokio::time::Instant;

use crate::delivery::AttemptResult;

/// Rejections are logged this often at most: a sender in trouble rejects hundreds of messages a second.
const REJECTION_INTERVAL: Duration = Duration::from_secs(1);
/// Traffic is logged this often at most.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(5);
/// Destinations that the traffic summary names: those whose attempts were longest in flight.
const MAX_DESTINATIONS: usize = 12;

const MICROS_PER_MILLI: Micros = 1000;

/// Why a message was not delivered, or not even accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionCause {
    /// The buffer is full.
    BufferFull,
    /// The journal has no room for it.
    JournalFull,
    /// The journal could not be written.
    JournalUnavailable,
    /// The journal may hold it although its write failed.
    JournalUncertain,
    /// No complete endpoint list has arrived that tells whether its destination exists.
    UndeterminedDestination,
    /// The endpoint list has no such destination.
    UnknownDestination,
    /// The process is about to end, and could make no attempt any more.
    ShuttingDown,
    /// The controller rejected it before any attempt.
    RejectedUnattempted,
    /// The controller rejected it before any attempt; an earlier process had accepted it.
    RecoveredUnattempted,
    /// The controller rejected it after attempts that had no effect, or that may be repeated.
    RejectedAttempted,
    /// The controller gave it up after an attempt that may have taken effect.
    Failed,
}

impl RejectionCause {
    /// Whether destinations are counted one by one. Clients may name any number of destinations that do not
    /// exist: those are counted together.
    fn is_counted_by_destination(self) -> bool {
        !matches!(self, Self::UndeterminedDestination | Self::UnknownDestination)
    }
}

/// Undelivered messages of one cause since the last summary.
#[derive(Debug, Default)]
struct RejectionCounts {
    messages: u32,
    by_destination: BTreeMap<DestinationId, u32>,
}

/// Time from a message's acceptance to its first attempt.
#[derive(Debug, Default, Clone, Copy)]
struct FirstAttemptDelay {
    count: u32,
    total: Micros,
    max: Micros,
}

impl FirstAttemptDelay {
    fn record(&mut self, delay: Micros) {
        self.count += 1;
        self.total = self.total.saturating_add(delay);
        self.max = self.max.max(delay);
    }

    fn mean_ms(&self) -> Micros {
        self.total / MICROS_PER_MILLI / Micros::from(self.count.max(1))
    }

    fn max_ms(&self) -> Micros {
        self.max / MICROS_PER_MILLI
    }
}

/// What passed through the controller since the last summary.
#[derive(Debug, Default)]
struct Traffic {
    accepted: u32,
    /// Of those, the ones with an order key.
    ordered: u32,
    /// Of those, the ones with a tenant.
    with_tenant: u32,
    first_attempt_delay: FirstAttemptDelay,
    outcomes: BTreeMap<AttemptOutcome, u32>,
    by_destination: BTreeMap<DestinationId, DestinationTraffic>,
}

impl Traffic {
    fn is_empty(&self) -> bool {
        self.accepted == 0 && self.outcomes.is_empty()
    }

    /// The destinations whose attempts were longest in flight, in falling order.
    fn busiest_destinations(self) -> Vec<(DestinationId, DestinationTraffic)> {
        let mut destinations: Vec<_> = self.by_destination.into_iter().collect();
        destinations.sort_by_key(|(_, traffic)| Reverse(traffic.in_flight_time));
        destinations.truncate(MAX_DESTINATIONS);
        destinations
    }
}

/// Attempts to one destination that ended since the last summary.
#[derive(Debug, Default, Clone, Copy)]
struct DestinationTraffic {
    delivered: u32,
    rejected: u32,
    /// Of the rejected, the ones with a Retry-After.
    with_retry_after: u32,
    failed: u32,
    /// For how long they were in flight, added up.
    in_flight_time: Micros,
    /// Messages that are buffered for it now.
    buffered: u32,
    /// The latest load report: the fraction of the rate limit that is left.
    limit_remaining: Option<f64>,
    /// The latest load report: the rate limit in calls per second.
    limit: Option<f64>,
}

impl DestinationTraffic {
    fn record(&mut self, elapsed: Micros, result: &AttemptResult) {
        self.in_flight_time = self.in_flight_time.saturating_add(elapsed);
        match result.outcome {
            AttemptOutcome::Delivered => self.delivered += 1,
            AttemptOutcome::Rejected => {
                self.rejected += 1;
                self.with_retry_after += u32::from(result.retry_after > 0);
            }
            AttemptOutcome::NotSent | AttemptOutcome::Cancelled => {}
            _ => self.failed += 1,
        }
        if let Some(LoadReport { limit_remaining, limit, .. }) = result.load_report {
            self.limit_remaining = limit_remaining;
            self.limit = limit;
        }
    }

    fn log(&self, destination: DestinationId) {
        tracing::info!(
            destination,
            delivered = self.delivered,
            rejected = self.rejected,
            with_retry_after = self.with_retry_after,
            failed = self.failed,
            in_flight_ms = self.in_flight_time / MICROS_PER_MILLI,
            buffered = self.buffered,
            limit_remaining = self.limit_remaining,
            limit = self.limit,
            "destination traffic"
        );
    }
}

/// Counts for the log since the last summary.
pub struct LogSummary {
    rejections: BTreeMap<RejectionCause, RejectionCounts>,
    rejections_logged_at: Instant,
    traffic: Traffic,
    traffic_logged_at: Instant,
}

impl LogSummary {
    /// Starts with nothing counted.
    pub fn new() -> Self {
        let now = Instant::now();
        Self {
            rejections: BTreeMap::new(),
            rejections_logged_at: now,
            traffic: Traffic::default(),
            traffic_logged_at: now,
        }
    }

    /// Counts an event that is reported to the controller.
    pub fn record_event(&mut self, event: &Event) {
        match event {
            Event::MessageSubmitted(submission) => {
                self.traffic.accepted += 1;
                self.traffic.ordered += u32::from(submission.order_key.is_some());
                self.traffic.with_tenant += u32::from(submission.tenant.is_some());
            }
            Event::AttemptEnded(AttemptEnd { outcome, .. }) => {
                *self.traffic.outcomes.entry(*outcome).or_default() += 1;
            }
            _ => {}
        }
    }

    /// Counts a message's first attempt, made so long after the message was accepted.
    pub fn record_first_attempt(&mut self, delay: Micros) {
        self.traffic.first_attempt_delay.record(delay);
    }

    /// Counts an attempt that ended, and the time for which it was in flight.
    pub fn record_attempt_end(
        &mut self,
        destination: DestinationId,
        elapsed: Micros,
        result: &AttemptResult,
    ) {
        self.traffic.by_destination.entry(destination).or_default().record(elapsed, result);
    }

    /// Counts a message that was not delivered.
    pub fn count_rejection(&mut self, cause: RejectionCause, destination: DestinationId) {
        let counts = self.rejections.entry(cause).or_default();
        counts.messages += 1;
        if cause.is_counted_by_destination() {
            *counts.by_destination.entry(destination).or_default() += 1;
        }
    }

    /// When rejections are to be logged next, if there are any.
    pub fn rejections_due(&self) -> Option<Instant> {
        if self.rejections.is_empty() {
            return None;
        }
        Some(self.rejections_logged_at + REJECTION_INTERVAL)
    }

    /// Logs an event for each cause of rejections, if they are due.
    pub fn log_rejections(&mut self) {
        if self.rejections_due().is_none_or(|due| due > Instant::now()) {
            return;
        }
        self.rejections_logged_at = Instant::now();
        for (cause, counts) in std::mem::take(&mut self.rejections) {
            let RejectionCounts { messages, by_destination } = counts;
            tracing::warn!(?cause, messages, ?by_destination, "messages not delivered");
        }
    }

    /// Logs the traffic, if there was any and it is due: an event for all of it, then one for each of the
    /// busiest destinations.
    pub fn log_traffic(
        &mut self,
        buffered_for: impl ExactSizeIterator<Item = DestinationId>,
        in_flight: usize,
    ) {
        if self.traffic.is_empty() || self.traffic_logged_at.elapsed() < TRAFFIC_INTERVAL {
            return;
        }
        self.traffic_logged_at = Instant::now();
        let buffered = buffered_for.len();
        let mut traffic = std::mem::take(&mut self.traffic);
        for destination in buffered_for {
            traffic.by_destination.entry(destination).or_default().buffered += 1;
        }
        tracing::info!(
            buffered,
            in_flight,
            accepted = traffic.accepted,
            ordered = traffic.ordered,
            with_tenant = traffic.with_tenant,
            first_attempts = traffic.first_attempt_delay.count,
            mean_first_attempt_delay_ms = traffic.first_attempt_delay.mean_ms(),
            max_first_attempt_delay_ms = traffic.first_attempt_delay.max_ms(),
            outcomes = ?traffic.outcomes,
            "traffic"
        );
        for (destination, destination_traffic) in traffic.busiest_destinations() {
            destination_traffic.log(destination);
        }
    }
}
