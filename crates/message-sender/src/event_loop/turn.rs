//! Runs a turn of the controller: reports the events to it and executes its actions.

use std::collections::BTreeMap;

use delivery_control::{Action, AttemptId, BacklogReport, Event, MessageId, Micros};

use super::attempts::AttemptLimits;
use super::EventLoop;
use crate::notice::NoticeResult;

impl EventLoop {
    /// Runs a turn of the controller. Clients learn whether their message was accepted before any action
    /// is executed, so that messages whose clients have disconnected are withdrawn by then.
    pub(super) fn turn(&mut self) {
        let now = self.clock.now();
        if self.shutdown.attempts_have_stopped() {
            self.events.clear();
            self.send_replies(&BTreeMap::new());
            return;
        }
        while let Some(token) = self.timers.pop_due(now) {
            self.events.push(Event::TimerFired { token });
        }
        for event in &self.events {
            self.summary.record_event(event);
        }
        self.update_time_left(now);
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.controller.turn(now, &events, &mut actions);
        self.send_replies(&rejections(&actions));
        for action in actions {
            self.execute(now, action);
        }
    }

    /// Sets the time left to each submitted message as of this turn: time has passed since it was accepted, more
    /// so if the process was suspended or its folder is slow.
    fn update_time_left(&mut self, now: Micros) {
        for event in &mut self.events {
            if let Event::MessageSubmitted(submission) = event {
                if let Some(message) = self.open_messages.get(submission.id) {
                    submission.time_left = message.deadline - now;
                }
            }
        }
    }

    fn execute(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { id, attempt, endpoint, timeout, start_deadline } => {
                let attempt_id = AttemptId { message_id: id, attempt };
                self.start_attempt(now, attempt_id, endpoint, AttemptLimits { timeout, start_deadline });
            }
            Action::Cancel { id, attempt } => self.in_flight.cancel(AttemptId { message_id: id, attempt }),
            Action::Reject { id, retry_after } => {
                self.end_with_notice(id, NoticeResult::Rejected { retry_after });
            }
            Action::Fail { id } => self.end_with_notice(id, NoticeResult::Failed),
            Action::SetTimer { at, token } => self.timers.set(at, token),
            Action::CloseIdle { endpoint } => self.delivery.close_idle(endpoint),
            Action::ReportBacklog(report) => log_backlog(&report),
            // Not supported here: discovery is watched all the time, endpoints are not probed, and senders
            // exchange no notes.
            Action::Subscribe { .. } | Action::FetchList | Action::Probe { .. } | Action::SendNote { .. } => {
            }
        }
    }
}

/// The messages that a turn rejects, each with its Retry-After in microseconds.
fn rejections(actions: &[Action]) -> BTreeMap<MessageId, Micros> {
    let mut rejections = BTreeMap::new();
    for action in actions {
        if let Action::Reject { id, retry_after } = action {
            rejections.insert(*id, *retry_after);
        }
    }
    rejections
}

/// Logs why messages for a destination are late.
fn log_backlog(report: &BacklogReport) {
    tracing::info!(
        destination = report.destination,
        waiting = report.waiting,
        in_backoff = report.in_backoff,
        behind_others = report.behind_others,
        endpoint = report.endpoint,
        in_flight = report.in_flight,
        rate = report.rate,
        sent_last_second = report.sent_last_second,
        listed_rate_limit = report.listed_rate_limit,
        retry_after_us = report.retry_after,
        health = ?report.health,
        "latency objective missed"
    );
}
