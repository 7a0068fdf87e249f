//! Checks the rules of the protocol against the history of a run.
//!
//! All that the oracle knows about a sender is what clients, endpoints and discovery observed, its process
//! events, such as starts and pauses, and its incidents.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::client::PEER_TIMEOUT;
use crate::disturbance::disruptions;
use crate::history::{EndpointCall, Message, ProcessEvent, Records, Reply, SubmitResult};
use crate::settings::{Class, IDEMPOTENCY_WINDOW_MS};
use crate::violation::Violation;

/// How long after its deadline a message may end before it counts as late.
const END_GRACE: Duration = Duration::from_millis(300);
/// A message that is due during or soon after a disruption may end up to this long after the disruption.
const RESTART_GRACE: Duration = Duration::from_millis(1_500);
/// Added to each limit: the tolerance of the protocol, and delays of the test machine.
pub const TOLERANCE: Duration = Duration::from_millis(150);
/// Longest time that a sender may be delayed between reading its clock and writing a request.
pub const SCHEDULING_DELAY: Duration = Duration::from_millis(150);
/// Calls that arrive this soon after a rejection with a retry delay are not reported.
const RETRY_AFTER_GRACE: Duration = Duration::from_millis(100);
/// With fewer recovered messages than this, the share that was given up early is not meaningful.
const MIN_RECOVERED: usize = 6;
/// A message that ends more than this before its deadline was given up early.
const EARLY_FAILURE_MARGIN: Duration = Duration::from_millis(800);
/// At most one in this many peers with incomplete or invalid requests may get neither an error nor a close.
const PEERS_PER_UNANSWERED: usize = 20;

/// Checks the records of one run.
pub struct Oracle<'a> {
    pub(crate) records: &'a Records,
    calls: BTreeMap<&'a str, Vec<&'a EndpointCall>>,
    start: Instant,
    violations: Vec<Violation>,
}

impl<'a> Oracle<'a> {
    /// Creates an oracle for these records of a run that began at `start`.
    #[must_use]
    pub fn new(records: &'a Records, start: Instant) -> Self {
        let mut calls: BTreeMap<&str, Vec<&EndpointCall>> = BTreeMap::new();
        for call in &records.calls {
            calls.entry(&call.call_id).or_default().push(call);
        }
        Self { records, calls, start, violations: Vec::new() }
    }

    /// Checks all rules and returns the violations.
    #[must_use]
    pub fn find_violations(mut self) -> Vec<Violation> {
        for incident in &self.records.incidents {
            self.report("process", format!("sender {}: {}", incident.sender, incident.description));
        }
        for (id, message) in &self.records.messages {
            self.check_end(id, message);
            self.check_submission(id, message);
            self.check_repeats(id, message);
        }
        self.check_ended_requests();
        self.check_calls_after_end();
        self.check_failed_after_delivery();
        self.check_order();
        self.check_overlaps();
        self.check_unexpected_calls();
        self.check_drains();
        self.check_operator_drains();
        self.check_retry_after();
        self.check_restarts();
        self.check_peers();
        self.check_memory();
        self.violations
    }

    pub(crate) fn report(&mut self, rule: &'static str, details: String) {
        self.violations.push(Violation { rule, details });
    }

    pub(crate) fn report_all(&mut self, rule: &'static str, details: Vec<String>) {
        for details in details {
            self.report(rule, details);
        }
    }

    pub(crate) fn calls_of(&self, id: &str) -> Vec<&'a EndpointCall> {
        self.calls.get(id).cloned().unwrap_or_default()
    }

    pub(crate) fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub(crate) fn describe(&self, id: &str, message: &Message) -> String {
        let calls: Vec<String> = self
            .calls_of(id)
            .iter()
            .map(|call| {
                let ended = call.ended_at().map_or(f64::NAN, |at| self.seconds(at));
                let reply = call.reply.map(|(reply, _)| reply);
                format!("s-{} {:.3}-{ended:.3} {reply:?}", call.endpoint, self.seconds(call.first_byte_at))
            })
            .collect();
        let notices = self.records.notices.get(id).map(|notices| {
            let times = notices.iter().map(|(result, at)| format!("{result:?} {:.3}", self.seconds(*at)));
            times.collect::<Vec<_>>()
        });
        format!(
            "{id} ({:?}, to {}) submitted {:.3}, due {:.3}, result {:?}, calls {calls:?}, notices {notices:?}",
            message.class,
            message.destination,
            self.seconds(message.submitted_at),
            self.seconds(message.deadline()),
            message.result.map(|(result, _)| result),
        )
    }

    pub(crate) fn delivered_at(&self, id: &str) -> Option<Instant> {
        let delivered = |call: &&EndpointCall| match call.reply {
            Some((Reply::Delivered | Reply::Gone, at)) => Some(at),
            _ => None,
        };
        self.calls_of(id).iter().filter_map(delivered).min()
    }

    pub(crate) fn notified_at(&self, id: &str) -> Option<Instant> {
        self.records.notices.get(id)?.iter().map(|(_, at)| *at).min()
    }

    /// Checks that an accepted message is delivered or ended by a notice in time.
    fn check_end(&mut self, id: &str, message: &Message) {
        if message.result.is_none_or(|(result, _)| result != SubmitResult::Accepted) {
            return;
        }
        let due = self.due_with_refusals(id, message);
        let ended = self.delivered_at(id).into_iter().chain(self.notified_at(id)).min();
        match ended {
            Some(at) if at <= due => {}
            Some(at) => {
                let late = at - due;
                self.report("late", format!("{late:?} after the limit: {}", self.describe(id, message)));
            }
            None => self.report("lost", self.describe(id, message)),
        }
    }

    /// Returns the time by which a message must have ended. Each refusal of its notice before that time gives the sender
    /// as long again to send the next one.
    fn due_with_refusals(&self, id: &str, message: &Message) -> Instant {
        let limit_after = |at: Instant| self.extend_due_time(message.sender, at + END_GRACE) + TOLERANCE;
        let mut due = limit_after(message.deadline());
        for refused_at in self.records.refused_notices.get(id).into_iter().flatten() {
            if *refused_at <= due {
                due = due.max(limit_after(*refused_at));
            }
        }
        due
    }

    /// Returns the due time, extended to allow for disruptions of the sender that begin before it.
    fn extend_due_time(&self, sender: usize, due: Instant) -> Instant {
        let mut due = due;
        for (start, end) in disruptions(self.records, sender, self.start) {
            if let Some(end) = end.filter(|_| start <= due) {
                due = due.max(end + RESTART_GRACE);
            }
        }
        due
    }

    /// Whether a process of the sender was ending, starting or paused around this period.
    pub(crate) fn is_disrupted(&self, sender: usize, from: Instant, to: Instant) -> bool {
        let disruptions = disruptions(self.records, sender, self.start);
        disruptions
            .into_iter()
            .any(|(start, end)| start <= to + TOLERANCE && end.is_none_or(|end| from <= end + TOLERANCE))
    }

    /// Checks that a refused message is never sent.
    fn check_submission(&mut self, id: &str, message: &Message) {
        let is_refused = message.result.is_some_and(|(result, _)| result == SubmitResult::Refused);
        if is_refused && !self.calls_of(id).is_empty() {
            self.report("sent after refusal", self.describe(id, message));
        }
    }

    /// Checks that a message that may have taken effect is sent again only as its class permits, and that its
    /// calls have its idempotency key.
    fn check_repeats(&mut self, id: &str, message: &Message) {
        let calls = self.calls_of(id);
        let ambiguous: Vec<_> = calls.iter().filter(|call| call.may_have_run()).collect();
        let Some(first) = ambiguous.first() else { return };
        let later: Vec<_> = calls.iter().filter(|call| call.arrived_at > first.arrived_at).collect();
        match message.class {
            Class::Once if !later.is_empty() => {
                let replayed = if message.is_replayed { "submitted again by its client, " } else { "" };
                self.report("duplicate", format!("{replayed}{}", self.describe(id, message)));
            }
            Class::Once | Class::Pure => {}
            Class::Keyed | Class::Ordered => {
                let limit = Duration::from_millis(IDEMPOTENCY_WINDOW_MS) + SCHEDULING_DELAY + TOLERANCE;
                let is_late = |call: &&&EndpointCall| call.first_byte_at > first.first_byte_at + limit;
                if later.iter().any(is_late) {
                    self.report("repeated after idempotency window", self.describe(id, message));
                }
            }
        }
        if calls.iter().any(|call| call.idempotency_key != format!("key-of-{id}")) {
            self.report("idempotency key", self.describe(id, message));
        }
    }

    /// Checks that a message with an order key is sent only after all accepted messages before it have ended.
    fn check_order(&mut self) {
        let mut keys: BTreeMap<&str, Vec<(u64, &String, &Message)>> = BTreeMap::new();
        for (id, message) in &self.records.messages {
            if let Some((key, position)) = &message.order {
                keys.entry(key).or_default().push((*position, id, message));
            }
        }
        let mut details = Vec::new();
        for messages in keys.values_mut() {
            messages.sort_by_key(|(position, ..)| *position);
            self.check_key_order(messages, &mut details);
        }
        self.report_all("order", details);
    }

    fn check_key_order(&self, messages: &[(u64, &String, &Message)], details: &mut Vec<String>) {
        for (index, (_, id, message)) in messages.iter().enumerate() {
            let Some(first_call) = self.calls_of(id).iter().map(|call| call.arrived_at).min() else {
                continue;
            };
            let is_open = |(_, other, earlier): &&(u64, &String, &Message)| {
                let over = self.delivered_at(other).into_iter().chain(self.notified_at(other)).min();
                let is_accepted = earlier.result.is_some_and(|(result, _)| result == SubmitResult::Accepted);
                is_accepted && over.is_none_or(|over| over > first_call)
            };
            if let Some((_, other, earlier)) = messages[..index].iter().find(is_open) {
                let (later, earlier) = (self.describe(id, message), self.describe(other, earlier));
                details.push(format!("{later} was sent before the end of {earlier}"));
            }
        }
    }

    /// Checks that no message has two calls in flight at the same time.
    fn check_overlaps(&mut self) {
        let mut overlapping = Vec::new();
        for (id, calls) in &self.calls {
            for (index, call) in calls.iter().enumerate() {
                let is_in_flight = |other: &&EndpointCall| {
                    other.ended_at().is_none_or(|ended| ended > call.arrived_at)
                        && other.first_byte_at <= call.first_byte_at
                };
                if calls[..index].iter().any(is_in_flight) {
                    overlapping.push((*id).to_owned());
                }
            }
        }
        for id in overlapping {
            let Some(message) = self.records.messages.get(&id) else { continue };
            self.report("overlapping attempts", self.describe(&id, message));
        }
    }

    /// Checks that each call is for a submitted message and arrives at the destination of that message.
    fn check_unexpected_calls(&mut self) {
        let mut details = Vec::new();
        for call in &self.records.calls {
            let message = self.records.messages.get(&call.call_id);
            if message.is_none_or(|message| message.destination != call.destination) {
                details.push(format!("{} at endpoint s-{}", call.call_id, call.endpoint));
            }
        }
        self.report_all("unexpected call", details);
    }

    pub(crate) fn sender_of(&self, call: &EndpointCall) -> Option<usize> {
        Some(self.records.messages.get(&call.call_id)?.sender)
    }

    /// Checks that a process waits for the retry delay of a destination that rejected one of its calls.
    fn check_retry_after(&mut self) {
        let mut details = Vec::new();
        for (sender, destination, calls) in self.calls_by_sender_and_destination() {
            for rejected in &calls {
                let Some((Reply::Rejected { retry_after: Some(wait) }, replied_at)) = rejected.reply else {
                    continue;
                };
                let (from, to) = (replied_at + RETRY_AFTER_GRACE + TOLERANCE, replied_at + wait);
                let first = calls.partition_point(|call| call.first_byte_at <= from);
                let early = calls[first..].first().filter(|call| call.first_byte_at < to);
                if let Some(early) =
                    early.filter(|early| !self.is_disrupted(sender, replied_at, early.first_byte_at))
                {
                    details.push(format!(
                        "{} sent within the retry delay that destination {destination} gave {}",
                        early.call_id, rejected.call_id
                    ));
                }
            }
        }
        self.report_all("retry-after", details);
    }

    /// Returns the calls of each sender to each destination, in the order of the arrival of their first
    /// bytes.
    fn calls_by_sender_and_destination(&self) -> Vec<(usize, u64, Vec<&'a EndpointCall>)> {
        let mut groups: BTreeMap<(usize, u64), Vec<&EndpointCall>> = BTreeMap::new();
        for call in &self.records.calls {
            if let Some(sender) = self.sender_of(call) {
                groups.entry((sender, call.destination)).or_default().push(call);
            }
        }
        let sorted = groups.into_iter().map(|((sender, destination), mut calls)| {
            calls.sort_by_key(|call| call.first_byte_at);
            (sender, destination, calls)
        });
        sorted.collect()
    }

    /// Checks that peers with incomplete or invalid requests get an error or a close in time.
    fn check_peers(&mut self) {
        let undisrupted: Vec<bool> = self
            .records
            .peers
            .iter()
            .filter(|(sender, at, _)| !self.is_disrupted(*sender, *at, *at + PEER_TIMEOUT))
            .map(|(_, _, is_answered)| *is_answered)
            .collect();
        let unanswered = undisrupted.iter().filter(|is_answered| !**is_answered).count();
        if unanswered * PEERS_PER_UNANSWERED > undisrupted.len() {
            self.report(
                "unanswered peers",
                format!("{unanswered} of {} got no error or close", undisrupted.len()),
            );
        }
    }

    /// Checks for each restart that, of the messages recovered without an attempt and with at least half of
    /// their time left, at most half are given up early without a call.
    fn check_restarts(&mut self) {
        let process_events = &self.records.process_events;
        let ready = process_events.iter().filter(|(_, event, _)| *event == ProcessEvent::Ready);
        let restarts: Vec<(usize, Instant, Instant)> = ready
            .filter_map(|(sender, _, ready_at)| {
                let ending = |(other, event, at): &&(usize, ProcessEvent, Instant)| {
                    other == sender && *event == ProcessEvent::Ending && at < ready_at
                };
                Some((*sender, process_events.iter().rfind(ending)?.2, *ready_at))
            })
            .collect();
        for (sender, ending_at, ready_at) in restarts {
            self.check_restart(sender, ending_at, ready_at);
        }
    }

    /// Whether a message was ended by a notice without a call, well before its deadline.
    fn is_given_up_early(&self, id: &str) -> bool {
        let Some(message) = self.records.messages.get(id) else { return false };
        self.calls_of(id).is_empty()
            && self.notified_at(id).is_some_and(|at| at + EARLY_FAILURE_MARGIN < message.deadline())
    }

    fn check_restart(&mut self, sender: usize, ending_at: Instant, ready_at: Instant) {
        let is_unattempted = |id: &str| self.calls_of(id).iter().all(|call| call.arrived_at > ready_at);
        let recovered: Vec<&String> = self
            .records
            .messages
            .iter()
            .filter(|(_, message)| {
                message.sender == sender && message.deadline() >= ready_at + message.budget / 2
            })
            .filter(|(_, message)| {
                message.result.is_some_and(|(result, at)| result == SubmitResult::Accepted && at < ending_at)
            })
            .filter(|(id, _)| is_unattempted(id) && self.notified_at(id).is_none_or(|at| at > ending_at))
            .map(|(id, _)| id)
            .collect();
        let given_up = recovered.iter().filter(|id| self.is_given_up_early(id)).count();
        if recovered.len() >= MIN_RECOVERED && 2 * given_up > recovered.len() {
            self.report(
                "recovered but not attempted",
                format!(
                    "sender {sender}, ready at {:.3} s: {given_up} of {} ended early without a call",
                    self.seconds(ready_at),
                    recovered.len()
                ),
            );
        }
    }
}
