//! Judges a history by the rules of the protocol.
//!
//! It knows nothing of the sender but what its clients, endpoints and discovery saw, and when its processes
//! were killed, paused or ready.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::client::PEER_LIMIT;
use crate::disturbance::disturbances;
use crate::history::{Answer, EndpointCall, Message, ProcessEvent, Records, Reply, Told};
use crate::settings::{Class, DRAIN_GRACE_MS, IDEMPOTENCY_WINDOW_MS};
use crate::violation::Violation;

/// A message is lost so long after its time.
const END_GRACE: Duration = Duration::from_millis(300);
/// Nothing is overdue before so long after a process is ready.
const RESTART_GRACE: Duration = Duration::from_millis(1_500);
/// The protocol's allowance on each limit, and what this machine may add.
const SLACK: Duration = Duration::from_millis(150);
/// A sender may be held up so long between reading its clock and writing.
const HOLD_UP: Duration = Duration::from_millis(150);
/// Calls that arrive so soon after an answer with a wait are let through.
const WAIT_GRACE: Duration = Duration::from_millis(100);
/// Of fewer recovered messages than this, half says nothing.
const MIN_RECOVERED: usize = 6;
/// A message that is ended with more of its time left than this is given up early.
const EARLY: Duration = Duration::from_millis(800);
/// Peers that are no clients may fail to get an error or a close, this share of them.
const PEER_SHARE: usize = 20;
/// Longest that a client can have waited for its answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// Judges one history.
pub struct Oracle<'a> {
    records: &'a Records,
    calls: BTreeMap<&'a str, Vec<&'a EndpointCall>>,
    start: Instant,
    violations: Vec<Violation>,
}

impl<'a> Oracle<'a> {
    /// An oracle that tells times from this one on.
    #[must_use]
    pub fn new(records: &'a Records, start: Instant) -> Self {
        let mut calls: BTreeMap<&str, Vec<&EndpointCall>> = BTreeMap::new();
        for call in &records.calls {
            calls.entry(&call.call_id).or_default().push(call);
        }
        Self { records, calls, start, violations: Vec::new() }
    }

    /// All rules that were broken.
    #[must_use]
    pub fn judge(mut self) -> Vec<Violation> {
        for incident in &self.records.incidents {
            self.report("process", format!("sender {}: {}", incident.sender, incident.what));
        }
        for (id, message) in &self.records.messages {
            self.check_end(id, message);
            self.check_answer(id, message);
            self.check_repeats(id, message);
        }
        self.check_order();
        self.check_overlaps();
        self.check_foreign_calls();
        self.check_drains();
        self.check_waits();
        self.check_recovered();
        self.check_peers();
        self.violations
    }

    fn report(&mut self, rule: &'static str, details: String) {
        self.violations.push(Violation { rule, details });
    }

    fn report_all(&mut self, rule: &'static str, details: Vec<String>) {
        for details in details {
            self.report(rule, details);
        }
    }

    fn calls_of(&self, id: &str) -> Vec<&'a EndpointCall> {
        self.calls.get(id).cloned().unwrap_or_default()
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    fn describe(&self, id: &str, message: &Message) -> String {
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
            "{id} ({:?}, to {}) submitted {:.3}, due {:.3}, answer {:?}, calls {calls:?}, notices {notices:?}",
            message.class,
            message.destination,
            self.seconds(message.submitted_at),
            self.seconds(message.deadline()),
            message.answer.map(|(answer, _)| answer),
        )
    }

    fn delivered_at(&self, id: &str) -> Option<Instant> {
        let delivered = |call: &&EndpointCall| match call.reply {
            Some((Reply::Delivered, at)) => Some(at),
            _ => None,
        };
        self.calls_of(id).iter().filter_map(delivered).min()
    }

    fn notified_at(&self, id: &str) -> Option<Instant> {
        self.records.notices.get(id)?.iter().map(|(_, at)| *at).min()
    }

    /// An accepted message is delivered or ended by a notice in time.
    fn check_end(&mut self, id: &str, message: &Message) {
        if message.answer.is_none_or(|(answer, _)| answer != Answer::Accepted) {
            return;
        }
        let due = self.extended(message.sender, message.deadline() + END_GRACE) + SLACK;
        let ended = self.delivered_at(id).into_iter().chain(self.notified_at(id)).min();
        match ended {
            Some(at) if at <= due => {}
            Some(at) => {
                let late = at - due;
                self.report("late", format!("by {late:?}: {}", self.describe(id, message)));
            }
            None => self.report("lost", self.describe(id, message)),
        }
    }

    /// When something is due at the latest that a restart or a pause of the sender may delay.
    fn extended(&self, sender: usize, due: Instant) -> Instant {
        let mut due = due;
        for (began, ended) in disturbances(self.records, sender, self.start) {
            if let Some(ended) = ended.filter(|_| began <= due) {
                due = due.max(ended + RESTART_GRACE);
            }
        }
        due
    }

    /// Whether a process of the sender was ending, starting or paused around this span.
    fn is_disturbed(&self, sender: usize, from: Instant, to: Instant) -> bool {
        let spans = disturbances(self.records, sender, self.start);
        spans
            .into_iter()
            .any(|(began, ended)| began <= to + SLACK && ended.is_none_or(|ended| from <= ended + SLACK))
    }

    /// A refusal promises that nothing happens; a request that was read gets an answer.
    fn check_answer(&mut self, id: &str, message: &Message) {
        let Some((answer, at)) = message.answer else { return };
        if answer == Answer::Refused && !self.calls_of(id).is_empty() {
            self.report("sent after refusal", self.describe(id, message));
        }
        let submitted = at.checked_sub(ANSWER_LIMIT).unwrap_or(at);
        if answer == (Answer::Closed { is_fresh: true }) && !self.is_disturbed(message.sender, submitted, at)
        {
            self.report("closed without an answer", self.describe(id, message));
        }
    }

    /// What may have run is repeated only as its class allows.
    fn check_repeats(&mut self, id: &str, message: &Message) {
        let calls = self.calls_of(id);
        let ambiguous: Vec<_> = calls.iter().filter(|call| call.may_have_run()).collect();
        let Some(first) = ambiguous.first() else { return };
        let later: Vec<_> = calls.iter().filter(|call| call.arrived_at > first.arrived_at).collect();
        match message.class {
            Class::Once if !later.is_empty() => {
                let replayed = if message.is_replayed { "replayed by its client, " } else { "" };
                self.report("duplicate", format!("{replayed}{}", self.describe(id, message)));
            }
            Class::Once | Class::Pure => {}
            Class::Keyed | Class::Ordered => {
                let limit = Duration::from_millis(IDEMPOTENCY_WINDOW_MS) + HOLD_UP + SLACK;
                let is_late = |call: &&&EndpointCall| call.first_byte_at > first.first_byte_at + limit;
                if later.iter().any(is_late) {
                    self.report("outside the window", self.describe(id, message));
                }
            }
        }
        if calls.iter().any(|call| call.idempotency_key != format!("key-of-{id}")) {
            self.report("idempotency key", self.describe(id, message));
        }
    }

    /// A message of a key goes only once all before it are over.
    fn check_order(&mut self) {
        let mut keys: BTreeMap<&str, Vec<(u64, &String, &Message)>> = BTreeMap::new();
        for (id, message) in &self.records.messages {
            if let Some((key, place)) = &message.order {
                keys.entry(key).or_default().push((*place, id, message));
            }
        }
        let mut found = Vec::new();
        for messages in keys.values_mut() {
            messages.sort_by_key(|(place, ..)| *place);
            self.check_key(messages, &mut found);
        }
        self.report_all("order", found);
    }

    fn check_key(&self, messages: &[(u64, &String, &Message)], found: &mut Vec<String>) {
        for (index, (_, id, message)) in messages.iter().enumerate() {
            let Some(first_call) = self.calls_of(id).iter().map(|call| call.arrived_at).min() else {
                continue;
            };
            let is_open = |(_, other, earlier): &&(u64, &String, &Message)| {
                let over = self.delivered_at(other).into_iter().chain(self.notified_at(other)).min();
                let is_accepted = earlier.answer.is_some_and(|(answer, _)| answer == Answer::Accepted);
                is_accepted && over.is_none_or(|over| over > first_call)
            };
            if let Some((_, other, earlier)) = messages[..index].iter().find(is_open) {
                let (later, earlier) = (self.describe(id, message), self.describe(other, earlier));
                found.push(format!("{later} went before {earlier}"));
            }
        }
    }

    /// Never two calls of a message out together.
    fn check_overlaps(&mut self) {
        let mut found = Vec::new();
        for (id, calls) in &self.calls {
            for (index, call) in calls.iter().enumerate() {
                let is_out = |other: &&EndpointCall| {
                    other.ended_at().is_none_or(|ended| ended > call.arrived_at)
                        && other.first_byte_at <= call.first_byte_at
                };
                if calls[..index].iter().any(is_out) {
                    found.push((*id).to_owned());
                }
            }
        }
        for id in found {
            let Some(message) = self.records.messages.get(&id) else { continue };
            self.report("two attempts out", self.describe(&id, message));
        }
    }

    /// Each call is of a message that a client handed in, at its own destination.
    fn check_foreign_calls(&mut self) {
        let mut found = Vec::new();
        for call in &self.records.calls {
            let message = self.records.messages.get(&call.call_id);
            if message.is_none_or(|message| message.destination != call.destination) {
                found.push(format!("{} at s-{}", call.call_id, call.endpoint));
            }
        }
        self.report_all("foreign call", found);
    }

    fn sender_of(&self, call: &EndpointCall) -> Option<usize> {
        Some(self.records.messages.get(&call.call_id)?.sender)
    }

    /// Nothing new goes to an endpoint some time after the sender was told that it drains or is gone. What an
    /// earlier process was told counts for nothing.
    fn check_drains(&mut self) {
        let grace = Duration::from_millis(DRAIN_GRACE_MS) + HOLD_UP + SLACK;
        let mut found = Vec::new();
        for call in &self.records.calls {
            let Some(sender) = self.sender_of(call) else { continue };
            let at = call.first_byte_at;
            let is_own =
                |told: &&Told| told.sender == sender && told.endpoint == call.endpoint && told.at <= at;
            let Some(last) = self.records.told.iter().rfind(is_own) else { continue };
            if !last.is_up && at > last.at + grace && !self.is_disturbed(sender, last.at, at) {
                found.push(format!("{} at {:.3}", call.call_id, self.seconds(at)));
            }
        }
        self.report_all("drain", found);
    }

    /// A wait that a destination told is heeded by the process that was told.
    fn check_waits(&mut self) {
        let mut found = Vec::new();
        for (sender, destination, calls) in self.calls_by_route() {
            for told in &calls {
                let Some((Reply::Rejected { retry_after: Some(wait) }, replied_at)) = told.reply else {
                    continue;
                };
                let (from, to) = (replied_at + WAIT_GRACE + SLACK, replied_at + wait);
                let first = calls.partition_point(|call| call.first_byte_at <= from);
                let early = calls[first..].first().filter(|call| call.first_byte_at < to);
                if let Some(early) =
                    early.filter(|early| !self.is_disturbed(sender, replied_at, early.first_byte_at))
                {
                    found.push(format!(
                        "{} within the wait that {destination} told to {}",
                        early.call_id, told.call_id
                    ));
                }
            }
        }
        self.report_all("retry-after", found);
    }

    /// The calls of each sender to each destination, in the order of their first bytes.
    fn calls_by_route(&self) -> Vec<(usize, u64, Vec<&'a EndpointCall>)> {
        let mut routes: BTreeMap<(usize, u64), Vec<&EndpointCall>> = BTreeMap::new();
        for call in &self.records.calls {
            if let Some(sender) = self.sender_of(call) {
                routes.entry((sender, call.destination)).or_default().push(call);
            }
        }
        let sorted = routes.into_iter().map(|((sender, destination), mut calls)| {
            calls.sort_by_key(|call| call.first_byte_at);
            (sender, destination, calls)
        });
        sorted.collect()
    }

    /// Peers that are no clients get an error or a close in time.
    fn check_peers(&mut self) {
        let undisturbed: Vec<bool> = self
            .records
            .peers
            .iter()
            .filter(|(sender, at, _)| !self.is_disturbed(*sender, *at, *at + PEER_LIMIT))
            .map(|(_, _, is_answered)| *is_answered)
            .collect();
        let unanswered = undisturbed.iter().filter(|is_answered| !**is_answered).count();
        if unanswered * PEER_SHARE > undisturbed.len() {
            self.report("peers", format!("{unanswered} of {} got no error or close", undisturbed.len()));
        }
    }

    /// What a restart finds unattempted, with half of its time left, is attempted.
    fn check_recovered(&mut self) {
        let processes = &self.records.processes;
        let ready = processes.iter().filter(|(_, event, _)| *event == ProcessEvent::Ready);
        let restarts: Vec<(usize, Instant, Instant)> = ready
            .filter_map(|(sender, _, ready_at)| {
                let ending = |(other, event, at): &&(usize, ProcessEvent, Instant)| {
                    other == sender && *event == ProcessEvent::Ending && at < ready_at
                };
                Some((*sender, processes.iter().rfind(ending)?.2, *ready_at))
            })
            .collect();
        for (sender, ending_at, ready_at) in restarts {
            self.check_restart(sender, ending_at, ready_at);
        }
    }

    /// Whether a message was ended with no call well before its time.
    fn is_given_up_early(&self, id: &str) -> bool {
        let Some(message) = self.records.messages.get(id) else { return false };
        self.calls_of(id).is_empty() && self.notified_at(id).is_some_and(|at| at + EARLY < message.deadline())
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
                message.answer.is_some_and(|(answer, at)| answer == Answer::Accepted && at < ending_at)
            })
            .filter(|(id, _)| is_unattempted(id) && self.notified_at(id).is_none_or(|at| at > ending_at))
            .map(|(id, _)| id)
            .collect();
        let given_up = recovered.iter().filter(|id| self.is_given_up_early(id)).count();
        if recovered.len() >= MIN_RECOVERED && 2 * given_up > recovered.len() {
            self.report(
                "recovered and given up",
                format!(
                    "sender {sender} ready at {:.3}: {given_up} of {} with no call",
                    self.seconds(ready_at),
                    recovered.len()
                ),
            );
        }
    }
}
