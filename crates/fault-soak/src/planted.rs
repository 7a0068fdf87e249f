//! Defects that are planted on purpose, to test that the oracle detects them.
//!
//! Some are applied to the environment while a seed runs. The others alter the records after the run, to what
//! a sender with the defect would have caused.

use std::collections::BTreeMap;
use std::time::Duration;

use clap::ValueEnum;
use tokio::time::Instant;

use crate::drains::DRAIN_LIMIT;
use crate::history::{
    ConnectionEnd, ConnectionUse, EndedRequest, EndpointCall, NoticeResult, Records, Reply, StatusUpdate,
    SubmitResult,
};
use crate::memory::MEMORY_LIMIT_KIB;
use crate::oracle::TOLERANCE;
use crate::settings::{Class, IDEMPOTENCY_WINDOW_MS};

/// Time from the first call to the planted drain.
const DRAIN_DELAY: Duration = Duration::from_millis(500);
/// Time for which a planted request without a response is open, if it is answered right away otherwise.
const BRIEF_REQUEST: Duration = Duration::from_millis(5);
/// Time for which a planted request is open whose first bytes have certainly been read.
const LONG_REQUEST: Duration = Duration::from_millis(800);
/// Time from the end of a message to a planted call.
const LATE_CALL_DELAY: Duration = Duration::from_millis(600);
/// Of this many messages with an end, one gets a planted call.
const LATE_CALL_INTERVAL: usize = 10;
/// Of this many messages, one gets an altered result.
const SAMPLE_INTERVAL: usize = 50;

/// A planted defect, with which a seed must fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum PlantedDefect {
    /// Some writes to files are not done, but reported as successful.
    LyingDisk,
    /// Notices are acknowledged, but not recorded.
    SwallowedNotices,
    /// Every tenth call is made twice.
    RepeatedCalls,
    /// An endpoint that is listed as draining still gets calls.
    UnheededDrain,
    /// Some connections of clients are closed without a response to their first request.
    BrokenClients,
    /// Some connections on which part of a request was read are closed without a response during a shutdown.
    DroppedRequests,
    /// Some messages are sent after their notice was acknowledged.
    SentAfterNotice,
    /// Some messages are sent after an endpoint confirmed their delivery.
    SentAfterDelivery,
    /// Some messages are reported as failed after an endpoint confirmed their delivery.
    FailedAfterDelivery,
    /// Some messages are sent after their time.
    SentAfterTime,
    /// Messages with an order key are sent in the wrong order.
    OtherOrder,
    /// A call is repeated under its idempotency key after the idempotency window.
    LateRepeat,
    /// Calls are made to a destination within the retry delay that it gave.
    UnheededWait,
    /// Some messages are sent although they were refused.
    SentRefused,
    /// A call goes to the wrong destination.
    OtherDestination,
    /// A sender uses more memory than it may.
    ExcessiveMemory,
}

impl PlantedDefect {
    /// Alters the records for a defect that is not applied while the seed runs.
    pub fn apply(self, records: &mut Records) {
        match self {
            Self::LyingDisk | Self::SwallowedNotices => {}
            Self::RepeatedCalls => duplicate_calls(records),
            Self::UnheededDrain => drain_busiest_endpoint(records),
            Self::BrokenClients => end_requests(records, ConnectionUse::Fresh, BRIEF_REQUEST),
            Self::DroppedRequests => end_requests(records, ConnectionUse::Accepted, LONG_REQUEST),
            Self::SentAfterNotice => call_after(records, notified_at),
            Self::SentAfterDelivery => call_after(records, delivered_at),
            Self::FailedAfterDelivery => report_delivered_as_failed(records),
            Self::SentAfterTime => {
                call_after(records, |records, id| Some(records.messages.get(id)?.deadline()));
            }
            Self::SentRefused => set_results(records, SubmitResult::Refused),
            Self::OtherOrder => reverse_order(records),
            Self::LateRepeat => repeat_after_window(records),
            Self::UnheededWait => call_before_retry_after(records),
            Self::ExcessiveMemory => {
                records.peak_memory_kib.insert(0, MEMORY_LIMIT_KIB + 1);
            }
            Self::OtherDestination => {
                if let Some(call) = records.calls.first_mut() {
                    call.destination += 1;
                }
            }
        }
    }
}

fn duplicate_calls(records: &mut Records) {
    let twice: Vec<EndpointCall> = records.calls.iter().step_by(10).cloned().collect();
    records.calls.extend(twice.into_iter().map(|call| {
        let arrived_at = call.arrived_at + Duration::from_millis(20);
        EndpointCall { arrived_at, ..call }
    }));
}

/// Records that one sender was asked, early in the load, to drain the endpoint that it then called most while
/// its processes were left alone, because the oracle ignores calls around a restart.
fn drain_busiest_endpoint(records: &mut Records) {
    let Some(first) = records.calls.first() else { return };
    let at = first.first_byte_at + DRAIN_DELAY;
    let mut calls: BTreeMap<(usize, usize), usize> = BTreeMap::new();
    for call in &records.calls {
        let Some(message) = records.messages.get(&call.call_id) else { continue };
        let sender = message.sender;
        let is_judged = call.first_byte_at > at + DRAIN_LIMIT
            && first_disruption_after(records, sender, at)
                .is_none_or(|disrupted_at| call.first_byte_at + TOLERANCE < disrupted_at);
        if is_judged {
            *calls.entry((sender, call.endpoint)).or_default() += 1;
        }
    }
    let busiest = calls.into_iter().max_by_key(|(_, count)| *count);
    let Some(((sender, endpoint), _)) = busiest else { return };
    records.status_updates.retain(|update| update.endpoint != endpoint || update.sender != sender);
    records.status_updates.push(StatusUpdate { sender, endpoint, is_up: false, at });
}

/// Returns the time of the first event of the sender's processes after `at`.
fn first_disruption_after(records: &Records, sender: usize, at: Instant) -> Option<Instant> {
    let events =
        records.process_events.iter().filter(|(index, _, event_at)| *index == sender && *event_at > at);
    events.map(|(_, _, event_at)| *event_at).min()
}

/// Records requests without a response that took this long.
fn end_requests(records: &mut Records, connection_use: ConnectionUse, open_for: Duration) {
    for (id, message) in records.messages.iter().step_by(SAMPLE_INTERVAL) {
        let ended = EndedRequest {
            sender: message.sender,
            connection_use,
            first_byte_at: message.submitted_at,
            ended_at: message.submitted_at + open_for,
            end: ConnectionEnd::Reset,
        };
        records.ended_requests.push((id.clone(), ended));
    }
}

fn notified_at(records: &Records, id: &str) -> Option<Instant> {
    records.notices.get(id)?.iter().map(|(_, at)| *at).min()
}

fn delivered_at(records: &Records, id: &str) -> Option<Instant> {
    let calls = records.calls.iter().filter(|call| call.call_id == id);
    calls.filter_map(|call| Some(call.reply.filter(|(reply, _)| *reply == Reply::Delivered)?.1)).min()
}

/// Adds a call 0.6 s after the time that `end` returns, to some of the messages for which it returns one.
fn call_after(records: &mut Records, end: impl Fn(&Records, &str) -> Option<Instant>) {
    let mut late = Vec::new();
    for call in &records.calls {
        if let Some(end) = end(records, &call.call_id) {
            let at = end + LATE_CALL_DELAY;
            late.push(EndpointCall { first_byte_at: at, arrived_at: at, ..call.clone() });
        }
    }
    records.calls.extend(late.into_iter().step_by(LATE_CALL_INTERVAL));
}

/// Adds a notice 0.6 s after their delivery for some messages.
fn report_delivered_as_failed(records: &mut Records) {
    let ids: Vec<String> = records.messages.keys().step_by(LATE_CALL_INTERVAL).cloned().collect();
    for id in ids {
        if let Some(delivered_at) = delivered_at(records, &id) {
            let notice = (NoticeResult::Failed, delivered_at + LATE_CALL_DELAY);
            records.notices.entry(id).or_default().push(notice);
        }
    }
}

fn set_results(records: &mut Records, result: SubmitResult) {
    for message in records.messages.values_mut().step_by(SAMPLE_INTERVAL) {
        let at = message.result.map_or(message.submitted_at, |(_, at)| at);
        message.result = Some((result, at));
    }
}

fn reverse_order(records: &mut Records) {
    for message in records.messages.values_mut() {
        if let Some((_, position)) = &mut message.order {
            *position = u64::MAX - *position;
        }
    }
}

fn repeat_after_window(records: &mut Records) {
    let is_keyed = |call: &&EndpointCall| {
        let message = records.messages.get(&call.call_id);
        message.is_some_and(|message| message.class == Class::Keyed) && call.may_have_run()
    };
    let Some(call) = records.calls.iter().find(is_keyed).cloned() else { return };
    let late = Duration::from_millis(IDEMPOTENCY_WINDOW_MS) + Duration::from_secs(1);
    let (first_byte_at, arrived_at) = (call.first_byte_at + late, call.arrived_at + late);
    records.calls.push(EndpointCall { first_byte_at, arrived_at, ..call });
}

/// Adds calls 100 ms before the end of all retry delays that are long enough for them to be judged. A few might not
/// be reported, as the oracle ignores calls around a restart.
fn call_before_retry_after(records: &mut Records) {
    let long_wait = Duration::from_millis(400);
    let mut early = Vec::new();
    for call in &records.calls {
        if let Some((Reply::Rejected { retry_after: Some(wait) }, at)) = call.reply {
            if wait > long_wait {
                let at = at + wait - Duration::from_millis(100);
                early.push(EndpointCall { first_byte_at: at, arrived_at: at, ..call.clone() });
            }
        }
    }
    records.calls.extend(early);
}
