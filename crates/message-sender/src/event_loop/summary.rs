//! Counts for the log: what the sender took on and how its calls ended, and what became of messages that were
//! not delivered: who refused them, and for which destination.

use std::collections::BTreeMap;
use std::time::Duration;

use delivery_control::{AttemptEnd, AttemptOutcome, DestinationId, Event, MessageSubmission, Micros};
use tokio::time::Instant;

use crate::delivery::AttemptResult;

/// A line is logged so often at most: a sender in trouble refuses hundreds a second.
const EVERY: Duration = Duration::from_secs(1);
/// And the line of the traffic so often.
const TRAFFIC_EVERY: Duration = Duration::from_secs(5);

/// Destinations named in it.
const BUSIEST: usize = 12;

/// Why a message was not delivered, or not even taken on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionCause {
    /// As many messages as allowed are held.
    BufferFull,
    /// The journal did not take it.
    JournalFull,
    /// No whole list has come yet to tell whether its destination exists.
    UndeterminedDestination,
    /// Discovery lists no such destination.
    UnknownDestination,
    /// The process is about to end, and could not try it any more.
    AttemptResult,
    /// The module refused it before any attempt.
    RejectedUnattempted,
    /// So with one that another process had taken on and not tried.
    RecoveredUnattempted,
    /// The module refused it after attempts that never ran, or that may be repeated.
    RejectedAttempted,
    /// The module gave it up after an attempt that may have run.
    Failed,
}

/// What went through the module since the last line.
#[derive(Debug, Default)]
struct Traffic {
    taken: u32,
    /// Of those, the ones that the module was told an order key of, and a tenant.
    ordered: u32,
    with_tenant: u32,
    first_calls: u32,
    /// From being taken on to the first call, added up and at most.
    first_call_after: (Micros, Micros),
    outcomes: BTreeMap<AttemptOutcome, u32>,
    by_destination: BTreeMap<DestinationId, Calls>,
}

/// Calls to one destination that ended since the last line.
#[derive(Debug, Default, Clone, Copy)]
struct Calls {
    delivered: u32,
    /// Answered as full, and of those the ones that told a wait.
    full: u32,
    told: u32,
    failed: u32,
    /// For how long they held slots.
    held: Micros,
    /// Messages held for it now.
    waiting: u32,
    /// The latest report: the share of the limit that is left, and the limit in calls a second.
    left: Option<f64>,
    limit: Option<f64>,
}

impl Calls {
    fn line(&self, to: DestinationId) -> String {
        let Self { delivered, full, told, failed, held, waiting, left, limit } = self;
        let figure = |value: &Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.2}"));
        let (held_ms, left, limit) = (held / 1000, figure(left), figure(limit));
        format!("{to}: {delivered} ok {full} full {told} told {failed} failed {held_ms} ms {waiting} wait left {left} limit {limit}")
    }
}

/// Counts since the last line.
pub struct LogSummary {
    counts: BTreeMap<RejectionCause, BTreeMap<Option<DestinationId>, u32>>,
    told: Instant,
    traffic: Traffic,
    traffic_told: Instant,
}

impl LogSummary {
    pub fn new() -> Self {
        let (counts, traffic, now) = (BTreeMap::new(), Traffic::default(), Instant::now());
        Self { counts, told: now, traffic, traffic_told: now }
    }

    /// Counts what the module is told.
    pub fn record_event(&mut self, event: &Event) {
        match event {
            Event::MessageSubmitted(MessageSubmission { order_key, tenant, .. }) => {
                self.traffic.taken += 1;
                self.traffic.ordered += u32::from(order_key.is_some());
                self.traffic.with_tenant += u32::from(tenant.is_some());
            }
            Event::AttemptEnded(AttemptEnd { outcome, .. }) => {
                *self.traffic.outcomes.entry(*outcome).or_default() += 1
            }
            _ => {}
        }
    }

    /// Counts a message's first call.
    pub fn record_first_attempt(&mut self, after: Micros) {
        self.traffic.first_calls += 1;
        let (sum, most) = self.traffic.first_call_after;
        self.traffic.first_call_after = (sum.saturating_add(after), most.max(after));
    }

    /// Counts a call that ended, and the time for which it held a slot.
    pub fn record_attempt_end(
        &mut self,
        destination: DestinationId,
        elapsed: Micros,
        ending: &AttemptResult,
    ) {
        let calls = self.traffic.by_destination.entry(destination).or_default();
        calls.held = calls.held.saturating_add(elapsed);
        match ending.outcome {
            AttemptOutcome::Delivered => calls.delivered += 1,
            AttemptOutcome::Rejected => {
                (calls.full, calls.told) = (calls.full + 1, calls.told + u32::from(ending.retry_after > 0))
            }
            AttemptOutcome::NotSent | AttemptOutcome::Cancelled => {}
            _ => calls.failed += 1,
        }
        if let Some(load) = ending.load_report {
            (calls.left, calls.limit) = (load.limit_remaining, load.limit);
        }
    }

    /// Logs the traffic, if there was any and it is time.
    pub fn log_traffic(&mut self, held_for: impl ExactSizeIterator<Item = DestinationId>, out: usize) {
        let idle = self.traffic.taken == 0 && self.traffic.outcomes.is_empty();
        if idle || self.traffic_told.elapsed() < TRAFFIC_EVERY {
            return;
        }
        self.traffic_told = Instant::now();
        let held = held_for.len();
        for destination in held_for {
            self.traffic.by_destination.entry(destination).or_default().waiting += 1;
        }
        let Traffic { taken, ordered, with_tenant, first_calls, first_call_after, outcomes, by_destination } =
            std::mem::take(&mut self.traffic);
        let (sum, most) = first_call_after;
        let (mean_ms, most_ms) = (sum / 1000 / Micros::from(first_calls.max(1)), most / 1000);
        let mut busiest: Vec<_> = by_destination.into_iter().collect();
        busiest.sort_by_key(|(_, calls)| std::cmp::Reverse(calls.held));
        busiest.truncate(BUSIEST);
        let busiest = busiest.iter().map(|(to, calls)| calls.line(*to)).collect::<Vec<_>>().join("; ");
        tracing::info!(
            held,
            out,
            taken,
            ordered,
            with_tenant,
            first_calls,
            mean_ms,
            most_ms,
            ?outcomes,
            busiest,
            "traffic"
        );
    }

    pub fn count_rejection(&mut self, cause: RejectionCause, destination: DestinationId) {
        // Clients may name any number of destinations that do not exist: those are counted together.
        let listed =
            !matches!(cause, RejectionCause::UndeterminedDestination | RejectionCause::UnknownDestination);
        *self.counts.entry(cause).or_default().entry(listed.then_some(destination)).or_default() += 1;
    }

    /// When the next line is due, if there is anything to tell.
    pub fn due(&self) -> Option<Instant> {
        (!self.counts.is_empty()).then_some(self.told + EVERY)
    }

    /// Logs a line for each cause, if it is time.
    pub fn log_rejections(&mut self) {
        if self.due().is_none_or(|due| due > Instant::now()) {
            return;
        }
        self.told = Instant::now();
        for (cause, counts) in std::mem::take(&mut self.counts) {
            let messages: u32 = counts.values().sum();
            let listed = counts.iter().filter_map(|(destination, count)| Some(((*destination)?, *count)));
            let by_destination: BTreeMap<_, _> = listed.collect();
            tracing::warn!(?cause, messages, ?by_destination, "not delivered");
        }
    }
}
