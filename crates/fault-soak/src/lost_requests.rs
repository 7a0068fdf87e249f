//! Checks that no request is lost between its client and the endpoints: each one that a sender has begun to read
//! gets a response, nothing is sent to an endpoint after the end of its message, and no delivered message is
//! reported as failed or rejected.

use std::time::Duration;

use tokio::time::Instant;

use crate::history::{ConnectionEnd, ConnectionUse, EndedRequest, Message, ProcessEvent, Reply};
use crate::oracle::{Oracle, SCHEDULING_DELAY, TOLERANCE};

/// Time after which an undisturbed sender has read the first bytes of a request on an accepted connection.
const READ_TIME: Duration = Duration::from_millis(400);

impl Oracle<'_> {
    /// Checks that each request gets a complete response if the sender has read part of it, or if nothing
    /// disrupted the sender. A request that crosses the end of a connection may be unread; its client sends it
    /// again on a new one.
    pub(crate) fn check_ended_requests(&mut self) {
        let mut unanswered = Vec::new();
        for (id, ended) in &self.records.ended_requests {
            if self.must_be_answered(ended) {
                unanswered.push(format!("{id} {:.3}: {ended:?}", self.seconds(ended.first_byte_at)));
            }
        }
        self.report_all("closed without response", unanswered);
    }

    fn must_be_answered(&self, ended: &EndedRequest) -> bool {
        let EndedRequest { sender, connection_use, first_byte_at, ended_at, end } = *ended;
        if self.is_interrupted(sender, first_byte_at, ended_at) {
            return false;
        }
        let is_undisturbed = connection_use == ConnectionUse::Fresh
            && !self.records.is_crowded
            && !self.is_disrupted(sender, first_byte_at, ended_at);
        let is_accepted = connection_use == ConnectionUse::Accepted || !self.records.accepts_may_stall;
        let is_complete = end != ConnectionEnd::BeforeLastByte;
        let is_read = is_accepted && ended_at >= first_byte_at + READ_TIME;
        is_undisturbed || (is_complete && is_read)
    }

    /// Whether processes of the sender were killed, suspended or continued in this period, or were suspended
    /// throughout it. Another fault may continue a suspended process before its suspension is recorded as over.
    fn is_interrupted(&self, sender: usize, from: Instant, to: Instant) -> bool {
        let mut is_paused = false;
        for (_, event, at) in self.records.process_events.iter().filter(|(index, ..)| *index == sender) {
            if *at > to + TOLERANCE {
                break;
            }
            let is_interruption =
                matches!(event, ProcessEvent::Killed | ProcessEvent::Paused | ProcessEvent::Resumed);
            if is_interruption && *at + TOLERANCE >= from {
                return true;
            }
            match event {
                ProcessEvent::Paused => is_paused = true,
                ProcessEvent::Resumed | ProcessEvent::Killed => is_paused = false,
                ProcessEvent::Ending | ProcessEvent::Upgrading | ProcessEvent::Ready => {}
            }
        }
        is_paused
    }

    /// Checks that no call is made after the message was ended by a notice, after its delivery, or after its
    /// time. After a restart, a call may repeat one whose response the killed process had not recorded.
    pub(crate) fn check_calls_after_end(&mut self) {
        for (id, message) in &self.records.messages {
            if let Some(rule) = self.call_after_end(id, message) {
                self.report(rule, self.describe(id, message));
            }
        }
    }

    /// Checks that no message is reported as failed or rejected after an endpoint has written a 200. An attempt may end
    /// just when its response arrives, and a killed process may not have recorded the response.
    pub(crate) fn check_failed_after_delivery(&mut self) {
        for (id, message) in &self.records.messages {
            let (Some(delivered_at), Some(reported_at)) = (self.confirmed_at(id), self.first_notice_at(id))
            else {
                continue;
            };
            if reported_at > delivered_at + TOLERANCE
                && !self.is_disrupted(message.sender, delivered_at, reported_at)
            {
                self.report("failed after delivery", self.describe(id, message));
            }
        }
    }

    /// Returns the time at which an endpoint first wrote a 200 for a message, or began to write it.
    fn confirmed_at(&self, id: &str) -> Option<Instant> {
        let confirmed = self.calls_of(id).into_iter().filter_map(|call| call.reply);
        confirmed.filter(|(reply, _)| *reply == Reply::Delivered).map(|(_, at)| at).min()
    }

    /// Returns the time of the first notice of a message, whether it was acknowledged or refused.
    fn first_notice_at(&self, id: &str) -> Option<Instant> {
        let refused = self.records.refused_notices.get(id).into_iter().flatten().copied();
        refused.chain(self.notified_at(id)).min()
    }

    /// Returns the rule that the last call of a message violates, if it does.
    fn call_after_end(&self, id: &str, message: &Message) -> Option<&'static str> {
        let last_call = self.calls_of(id).iter().map(|call| call.first_byte_at).max()?;
        let is_after = |end: Option<Instant>| end.is_some_and(|end| last_call > end + TOLERANCE);
        let deadline = message.deadline() + SCHEDULING_DELAY;
        let delivered_at = self.delivered_at(id);
        let is_restarted = delivered_at.is_some_and(|at| self.is_disrupted(message.sender, at, last_call));
        if message.is_replayed {
            None
        } else if is_after(self.notified_at(id)) {
            Some("sent after notice")
        } else if is_after(Some(deadline)) {
            Some("sent after deadline")
        } else if is_after(delivered_at) && !is_restarted {
            Some("sent after delivery")
        } else {
            None
        }
    }
}
