//! Counts for the log: what the sender took on and how its calls ended, and what became of messages that were
//! not delivered: who refused them, and for which destination.

use std::collections::BTreeMap;
use std::time::Duration;

use roadshift::interface::{DestinationId, Event, Micros, Outcome};
use tokio::time::Instant;

/// A line is logged so often at most: a sender in trouble refuses hundreds a second.
const EVERY: Duration = Duration::from_secs(1);
/// And the line of the traffic so often.
const TRAFFIC_EVERY: Duration = Duration::from_secs(5);

/// Destinations named in it.
const BUSIEST: usize = 4;

/// Why a message was not delivered, or not even taken on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// As many messages as allowed are held.
    HoldFull,
    /// The journal did not take it.
    JournalFull,
    /// No whole list has come yet to tell whether its destination exists.
    Unsettled,
    /// Discovery lists no such destination.
    UnknownDestination,
    /// The module refused it before any attempt.
    RefusedUntried,
    /// The module refused it after attempts that never ran, or that may be repeated.
    RefusedTried,
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
    outcomes: BTreeMap<Outcome, u32>,
    /// For each destination, how long calls held slots, and how many calls ended.
    slot_time: BTreeMap<DestinationId, (Micros, u32)>,
}

/// Counts since the last line.
pub struct Tally {
    counts: BTreeMap<Cause, BTreeMap<Option<DestinationId>, u32>>,
    told: Instant,
    traffic: Traffic,
    traffic_told: Instant,
}

impl Tally {
    pub fn new() -> Self {
        let (counts, traffic, now) = (BTreeMap::new(), Traffic::default(), Instant::now());
        Self { counts, told: now, traffic, traffic_told: now }
    }

    /// Counts what the module is told.
    pub fn note(&mut self, event: &Event) {
        match event {
            Event::Message { order_key, tenant, .. } => {
                self.traffic.taken += 1;
                self.traffic.ordered += u32::from(order_key.is_some());
                self.traffic.with_tenant += u32::from(tenant.is_some());
            }
            Event::Ended { outcome, .. } => *self.traffic.outcomes.entry(*outcome).or_default() += 1,
            _ => {}
        }
    }

    /// Counts a message's first call.
    pub fn first_call(&mut self, after: Micros) {
        self.traffic.first_calls += 1;
        let (sum, most) = self.traffic.first_call_after;
        self.traffic.first_call_after = (sum.saturating_add(after), most.max(after));
    }

    /// Counts the time for which a call held a slot.
    pub fn held_slot(&mut self, destination: DestinationId, elapsed: Micros) {
        let (sum, calls) = self.traffic.slot_time.entry(destination).or_default();
        (*sum, *calls) = (sum.saturating_add(elapsed), *calls + 1);
    }

    /// Logs the traffic, if there was any and it is time.
    pub fn tell_traffic(&mut self, held: usize, out: usize) {
        let idle = self.traffic.taken == 0 && self.traffic.outcomes.is_empty();
        if idle || self.traffic_told.elapsed() < TRAFFIC_EVERY {
            return;
        }
        self.traffic_told = Instant::now();
        let Traffic { taken, ordered, with_tenant, first_calls, first_call_after, outcomes, slot_time } =
            std::mem::take(&mut self.traffic);
        let (sum, most) = first_call_after;
        let (mean_ms, most_ms) = (sum / 1000 / Micros::from(first_calls.max(1)), most / 1000);
        // What holds the slots: destination, milliseconds, calls.
        let mut busiest: Vec<_> =
            slot_time.into_iter().map(|(to, (sum, calls))| (to, sum / 1000, calls)).collect();
        busiest.sort_by_key(|(_, held_ms, _)| std::cmp::Reverse(*held_ms));
        busiest.truncate(BUSIEST);
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
            ?busiest,
            "traffic"
        );
    }

    pub fn count(&mut self, cause: Cause, destination: DestinationId) {
        // Clients may name any number of destinations that do not exist: those are counted together.
        let listed = !matches!(cause, Cause::Unsettled | Cause::UnknownDestination);
        *self.counts.entry(cause).or_default().entry(listed.then_some(destination)).or_default() += 1;
    }

    /// When the next line is due, if there is anything to tell.
    pub fn due(&self) -> Option<Instant> {
        (!self.counts.is_empty()).then_some(self.told + EVERY)
    }

    /// Logs a line for each cause, if it is time.
    pub fn tell(&mut self) {
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
