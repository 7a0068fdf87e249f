//! Periodic summaries in the log: accepted messages, outcomes of attempts, and messages that were not
//! delivered, by cause and destination.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use delivery_control::{AttemptEnd, AttemptOutcome, DestinationId, Event, LoadReport, Micros};
use tokio::time::Instant;

use crate::delivery::AttemptResult;

/// Minimum time between two summaries of undelivered messages. An overloaded sender rejects hundreds of
/// messages a second.
const UNDELIVERED_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two summaries of traffic.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of destinations in a traffic summary, which lists those whose attempts were in flight
/// longest.
const MAX_LOGGED_DESTINATIONS: usize = 12;

const MICROS_PER_MILLI: Micros = 1000;

/// Why a message was not delivered, or not even accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UndeliveredCause {
    /// The buffer is full.
    BufferFull,
    /// The bodies of open messages take all the memory that they may.
    MemoryFull,
    /// The journal has no space left for the message.
    JournalFull,
    /// The journal could not be written.
    JournalUnavailable,
    /// Writing the message to the journal failed, but the journal may hold it all the same.
    JournalUncertain,
    /// No complete endpoint list has arrived yet, so it is unknown whether the destination exists.
    UndeterminedDestination,
    /// The endpoint list has no such destination.
    UnknownDestination,
    /// The process is shutting down and starts no more attempts.
    ShuttingDown,
    /// The controller rejected the message before any attempt.
    RejectedUnattempted,
    /// The controller rejected the message before any attempt; an earlier process had accepted it.
    RecoveredUnattempted,
    /// The controller rejected the message after attempts that had no effect or that may be repeated.
    RejectedAttempted,
    /// The controller gave the message up after an attempt that may have taken effect.
    Failed,
}

impl UndeliveredCause {
    /// Whether messages are counted for each destination separately. Clients may name any number of
    /// destinations that do not exist, so messages for those are counted together.
    fn is_counted_by_destination(self) -> bool {
        !matches!(self, Self::UndeterminedDestination | Self::UnknownDestination)
    }
}

/// Messages not delivered for one cause since the last summary.
#[derive(Debug, Default)]
struct UndeliveredCounts {
    messages: u32,
    by_destination: BTreeMap<DestinationId, u32>,
}

/// Statistics of the time from a message's acceptance to its first attempt, in microseconds.
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

/// Messages and attempts reported to the controller since the last summary.
#[derive(Debug, Default)]
struct Traffic {
    accepted: u32,
    /// Accepted messages with an order key.
    ordered: u32,
    /// Accepted messages with a tenant.
    with_tenant: u32,
    first_attempt_delay: FirstAttemptDelay,
    outcomes: BTreeMap<AttemptOutcome, u32>,
    by_destination: BTreeMap<DestinationId, DestinationTraffic>,
}

impl Traffic {
    fn is_empty(&self) -> bool {
        self.accepted == 0 && self.outcomes.is_empty()
    }

    /// The destinations whose attempts were in flight longest, in descending order of that time.
    fn busiest_destinations(self) -> Vec<(DestinationId, DestinationTraffic)> {
        let mut destinations: Vec<_> = self.by_destination.into_iter().collect();
        destinations.sort_by_key(|(_, traffic)| Reverse(traffic.in_flight_time));
        destinations.truncate(MAX_LOGGED_DESTINATIONS);
        destinations
    }
}

/// Counts of one destination: its attempts that ended since the last summary, and its state at present.
#[derive(Debug, Default, Clone, Copy)]
struct DestinationTraffic {
    delivered: u32,
    rejected: u32,
    /// Rejected attempts with a Retry-After.
    with_retry_after: u32,
    failed: u32,
    /// Total time that the attempts were in flight, in microseconds.
    in_flight_time: Micros,
    /// Messages that are buffered for the destination at present.
    buffered: u32,
    /// Fraction of the rate limit that is left, by the latest load report.
    limit_remaining: Option<f64>,
    /// The rate limit in calls per second, by the latest load report.
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

/// Counts messages and attempts, and logs the counts periodically.
pub struct LogSummary {
    undelivered: BTreeMap<UndeliveredCause, UndeliveredCounts>,
    undelivered_logged_at: Instant,
    traffic: Traffic,
    traffic_logged_at: Instant,
}

impl LogSummary {
    /// Creates a summary with no counts.
    pub fn new() -> Self {
        let now = Instant::now();
        Self {
            undelivered: BTreeMap::new(),
            undelivered_logged_at: now,
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

    /// Counts a message's first attempt. `delay` is the time since the message was accepted, in microseconds.
    pub fn record_first_attempt(&mut self, delay: Micros) {
        self.traffic.first_attempt_delay.record(delay);
    }

    /// Counts an attempt that ended. `elapsed` is the time for which it was in flight, in microseconds.
    pub fn record_attempt_end(
        &mut self,
        destination: DestinationId,
        elapsed: Micros,
        result: &AttemptResult,
    ) {
        self.traffic.by_destination.entry(destination).or_default().record(elapsed, result);
    }

    /// Counts a message that was not delivered.
    pub fn count_undelivered(&mut self, cause: UndeliveredCause, destination: DestinationId) {
        let counts = self.undelivered.entry(cause).or_default();
        counts.messages += 1;
        if cause.is_counted_by_destination() {
            *counts.by_destination.entry(destination).or_default() += 1;
        }
    }

    /// When the next summary of undelivered messages is due; `None` if there are none.
    pub fn undelivered_due(&self) -> Option<Instant> {
        if self.undelivered.is_empty() {
            return None;
        }
        Some(self.undelivered_logged_at + UNDELIVERED_LOG_INTERVAL)
    }

    /// Logs the undelivered messages if their summary is due, with a log line for each cause.
    pub fn log_undelivered(&mut self) {
        if self.undelivered_due().is_none_or(|due| due > Instant::now()) {
            return;
        }
        self.undelivered_logged_at = Instant::now();
        for (cause, counts) in std::mem::take(&mut self.undelivered) {
            let UndeliveredCounts { messages, by_destination } = counts;
            tracing::warn!(?cause, messages, ?by_destination, "messages not delivered");
        }
    }

    /// Logs the traffic if there was any and a summary is due: a log line for the total, then one for each
    /// of the busiest destinations. `buffered_for` gives the destination of each buffered message.
    pub fn log_traffic(
        &mut self,
        buffered_for: impl ExactSizeIterator<Item = DestinationId>,
        in_flight: usize,
    ) {
        if self.traffic.is_empty() || self.traffic_logged_at.elapsed() < TRAFFIC_LOG_INTERVAL {
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
