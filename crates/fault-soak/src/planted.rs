//! Mistakes that are planted on purpose, by which the oracle proves that it sees them.
//!
//! Some are made by the surroundings while a seed plays; the others falsify what was seen, as a sender that
//! makes them would have caused it.

use std::collections::BTreeMap;
use std::time::Duration;

use clap::ValueEnum;

use crate::history::{Answer, EndpointCall, Records, Reply, Told};
use crate::settings::{Class, IDEMPOTENCY_WINDOW_MS};

/// Into the load, the planted drain is told.
const PLANTED_DRAIN: Duration = Duration::from_millis(500);
/// Every how many records one is falsified.
const STEP: usize = 50;

/// A planted mistake: the seed must go red.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Plant {
    /// Writes to the folder are reported as done and are not.
    LyingDisk,
    /// Notices are acknowledged and forgotten.
    SwallowedNotices,
    /// Each tenth call is made twice.
    RepeatedCalls,
    /// A drain that was told is not heeded.
    UnheededDrain,
    /// Connections of clients break after their request.
    BrokenClients,
    /// Messages of a key go in another order.
    OtherOrder,
    /// A repeat under an idempotency key comes after its window.
    LateRepeat,
    /// A call is made within a wait that was told.
    UnheededWait,
    /// Messages are sent although they were refused.
    SentRefused,
    /// A call goes to another destination.
    OtherDestination,
}

impl Plant {
    /// Falsifies what was seen, for a mistake that is not made while the seed plays.
    pub fn falsify(self, records: &mut Records) {
        match self {
            Self::LyingDisk | Self::SwallowedNotices => {}
            Self::RepeatedCalls => repeat_calls(records),
            Self::UnheededDrain => tell_drain(records),
            Self::BrokenClients => set_answers(records, Answer::Closed { is_fresh: true }),
            Self::SentRefused => set_answers(records, Answer::Refused),
            Self::OtherOrder => reverse_order(records),
            Self::LateRepeat => repeat_late(records),
            Self::UnheededWait => call_within_wait(records),
            Self::OtherDestination => {
                if let Some(call) = records.calls.first_mut() {
                    call.destination += 1;
                }
            }
        }
    }
}

fn repeat_calls(records: &mut Records) {
    let twice: Vec<EndpointCall> = records.calls.iter().step_by(10).cloned().collect();
    records.calls.extend(twice.into_iter().map(|call| {
        let arrived_at = call.arrived_at + Duration::from_millis(20);
        EndpointCall { arrived_at, ..call }
    }));
}

/// The endpoint that the first sender calls most is told to drain early in the load.
fn tell_drain(records: &mut Records) {
    let sender = 0;
    let is_own = |call: &&EndpointCall| {
        records.messages.get(&call.call_id).is_some_and(|message| message.sender == sender)
    };
    let mut calls: BTreeMap<usize, usize> = BTreeMap::new();
    for call in records.calls.iter().filter(is_own) {
        *calls.entry(call.endpoint).or_default() += 1;
    }
    let busiest = calls.into_iter().max_by_key(|(_, count)| *count);
    let (Some((endpoint, _)), Some(first)) = (busiest, records.calls.first()) else { return };
    let at = first.first_byte_at + PLANTED_DRAIN;
    records.told.retain(|told| told.endpoint != endpoint || told.sender != sender);
    records.told.push(Told { sender, endpoint, is_up: false, at });
}

fn set_answers(records: &mut Records, answer: Answer) {
    for message in records.messages.values_mut().step_by(STEP) {
        let at = message.answer.map_or(message.submitted_at, |(_, at)| at);
        message.answer = Some((answer, at));
    }
}

fn reverse_order(records: &mut Records) {
    for message in records.messages.values_mut() {
        if let Some((_, place)) = &mut message.order {
            *place = u64::MAX - *place;
        }
    }
}

fn repeat_late(records: &mut Records) {
    let is_keyed = |call: &&EndpointCall| {
        let message = records.messages.get(&call.call_id);
        message.is_some_and(|message| message.class == Class::Keyed) && call.may_have_run()
    };
    let Some(call) = records.calls.iter().find(is_keyed).cloned() else { return };
    let late = Duration::from_millis(IDEMPOTENCY_WINDOW_MS) + Duration::from_secs(1);
    let (first_byte_at, arrived_at) = (call.first_byte_at + late, call.arrived_at + late);
    records.calls.push(EndpointCall { first_byte_at, arrived_at, ..call });
}

/// A call of its own in the middle of each tenth wait, so that no restart near one of them hides it.
fn call_within_wait(records: &mut Records) {
    let long_wait = Duration::from_millis(600);
    let mut early = Vec::new();
    for call in records.calls.iter().step_by(2) {
        if let Some((Reply::Rejected { retry_after: Some(wait) }, at)) = call.reply {
            if wait > long_wait {
                let at = at + wait - Duration::from_millis(100);
                early.push(EndpointCall { first_byte_at: at, arrived_at: at, ..call.clone() });
            }
        }
    }
    records.calls.extend(early);
}
