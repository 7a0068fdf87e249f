//! Accepts or rejects the messages that clients submit, and replies to the clients.

use std::collections::{BTreeMap, BTreeSet};

use delivery_control::{Event, MessageId, MessageSubmission, Micros};
use tokio::sync::oneshot;

use super::audit::GuardRegistration;
use super::journal_sync::UnrecordedStep;
use super::open_messages::{MessageOrigin, OpenMessage};
use super::summary::UndeliveredCause;
use super::EventLoop;
use crate::endpoint_registry::DestinationStatus;
use crate::journal::{AcceptedMessage, Body, JournalError};
use crate::metrics::MessageOutcome;
use crate::submission::{Submission, SubmissionReply};
use crate::time::micros;

/// Retry-After, in microseconds, for a client whose message can't be buffered, journalled or attempted now,
/// or whose destination is not known yet.
const UNAVAILABLE_RETRY_AFTER: Micros = 1_000_000;

/// Whether a submission opened a message, or repeated one that was open already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionKind {
    /// The submission opened the message.
    New,
    /// The client submitted the open message again, because the reply was lost.
    Duplicate,
}

/// The reply that a client waits for after its submission.
pub struct PendingReply {
    message_id: MessageId,
    kind: SubmissionKind,
    reply: oneshot::Sender<SubmissionReply>,
}

impl EventLoop {
    /// Handles a submission. Its message is rejected at once, or accepted unless the controller rejects it in
    /// its next turn. A message that is open already, or that was delivered or failed lately, is not accepted
    /// again.
    pub(super) fn handle_submission(
        &mut self,
        submission: Submission,
        reply: oneshot::Sender<SubmissionReply>,
    ) {
        // The client has disconnected.
        if reply.is_closed() {
            return;
        }
        if let Some(message_id) = self.open_messages.find_by_call_id(&submission.call_id) {
            self.pending_replies.push(PendingReply { message_id, kind: SubmissionKind::Duplicate, reply });
            return;
        }
        if self.journal.borrow().has_recently_ended(&submission.call_id) {
            tracing::debug!(call_id = submission.call_id, "message submitted again after its end");
            // A client that has disconnected needs no reply.
            let _ = reply.send(SubmissionReply::Accepted);
            return;
        }
        let deadline = self.deadline_of(&submission);
        match self.admit(deadline, &submission) {
            Ok(message_id) => {
                self.open_submission(deadline, message_id, submission);
                self.pending_replies.push(PendingReply { message_id, kind: SubmissionKind::New, reply });
            }
            Err(cause) => self.reject_submission(&submission, cause, reply),
        }
    }

    /// The deadline of a message, in microseconds of the journal's clock. The time left counts from the moment
    /// at which the message was received, not from now: it may have waited behind slow writes.
    fn deadline_of(&self, submission: &Submission) -> Micros {
        let received_at = self.clock.now() - micros(submission.received_at.elapsed());
        received_at.saturating_add(submission.time_left)
    }

    /// Stores a message in the journal under a new id, if the message can be accepted. Returns the id.
    fn admit(&mut self, deadline: Micros, submission: &Submission) -> Result<MessageId, UndeliveredCause> {
        self.check_admissible(submission)?;
        let id = self.next_message_id;
        self.journal_submission(deadline, id, submission)?;
        self.next_message_id += 1;
        Ok(id)
    }

    /// Checks whether a message can be accepted, as far as the event loop can tell without the controller.
    fn check_admissible(&self, submission: &Submission) -> Result<(), UndeliveredCause> {
        if self.shutdown.attempts_have_stopped() {
            // Only the next process could attempt the message, some seconds from now. Another sender can do
            // so sooner.
            return Err(UndeliveredCause::ShuttingDown);
        }
        match self.registry.destination_status(submission.destination) {
            DestinationStatus::Known => {}
            DestinationStatus::Unknown => return Err(UndeliveredCause::UnknownDestination),
            DestinationStatus::Undetermined => return Err(UndeliveredCause::UndeterminedDestination),
        }
        if self.open_messages.len() + self.notices.len() + self.journal_sync.held_count()
            >= self.settings.limits.buffer_capacity
        {
            return Err(UndeliveredCause::BufferFull);
        }
        if self.open_messages.body_bytes() + submission.body.len() > self.max_open_body_bytes {
            return Err(UndeliveredCause::MemoryFull);
        }
        Ok(())
    }

    fn journal_submission(
        &self,
        deadline: Micros,
        id: MessageId,
        submission: &Submission,
    ) -> Result<(), UndeliveredCause> {
        let accepted = AcceptedMessage {
            call_id: submission.call_id.clone(),
            key: submission.key.clone(),
            class: submission.class_name.clone(),
            destination: submission.destination,
            order_key: submission.order_key.clone(),
            deadline,
            body: Body(submission.body.clone()),
        };
        self.journal.borrow_mut().record_accepted(id, accepted).map_err(|error| {
            self.journal_failures.count(UnrecordedStep::Submission, &error);
            match error {
                JournalError::Full => UndeliveredCause::JournalFull,
                JournalError::Uncertain => UndeliveredCause::JournalUncertain,
                _ => UndeliveredCause::JournalUnavailable,
            }
        })
    }

    /// Opens a message: reports it to the controller and stores what its attempts need.
    fn open_submission(&mut self, deadline: Micros, id: MessageId, submission: Submission) {
        tracing::debug!(
            message_id = id,
            call_id = submission.call_id,
            class = submission.class,
            destination = submission.destination,
            time_left_us = submission.time_left,
            "message submitted"
        );
        self.register_with_guard(
            id,
            GuardRegistration {
                class: submission.class,
                destination: submission.destination,
                deadline,
                order_key: submission.order_key.clone(),
                first_ambiguous: None,
            },
        );
        self.events.push(Event::MessageSubmitted(MessageSubmission {
            id,
            class: submission.class,
            tenant: submission.tenant,
            destination: submission.destination,
            time_left: submission.time_left,
            // The client protocol states neither the expected work nor whether the message is a write.
            work: None,
            order_key: submission.order_key,
            returned: submission.returned,
            repeat: submission.repeat,
            write: false,
        }));
        let message = OpenMessage {
            call_id: submission.call_id,
            class: submission.class,
            idempotency_key: submission.key,
            destination: submission.destination,
            body: submission.body,
            is_attempted: false,
            accepted_at: self.clock.now(),
            deadline,
            origin: MessageOrigin::Submitted,
        };
        self.open_messages.insert(id, message);
    }

    fn reject_submission(
        &mut self,
        submission: &Submission,
        cause: UndeliveredCause,
        reply: oneshot::Sender<SubmissionReply>,
    ) {
        tracing::debug!(call_id = submission.call_id, ?cause, "submission rejected");
        self.summary.count_undelivered(cause, submission.destination);
        let answer = match cause {
            UndeliveredCause::UnknownDestination => SubmissionReply::UnknownDestination,
            UndeliveredCause::JournalUncertain => {
                self.metrics.count_outcome(submission.class, MessageOutcome::Failed);
                SubmissionReply::Undetermined
            }
            _ => {
                self.metrics.count_outcome(submission.class, MessageOutcome::Rejected);
                SubmissionReply::Rejected(UNAVAILABLE_RETRY_AFTER)
            }
        };
        // A client that has disconnected needs no reply.
        let _ = reply.send(answer);
    }

    /// Replies to all waiting clients. A message that the controller rejects in the message's first turn was
    /// never accepted. A new message whose clients have all disconnected is withdrawn.
    pub(super) fn send_replies(&mut self, rejections: &BTreeMap<MessageId, Micros>) {
        let pending_replies = std::mem::take(&mut self.pending_replies);
        let answers = self.reject_new_messages(&pending_replies, rejections);
        let mut abandoned = BTreeSet::new();
        let mut replied = BTreeSet::new();
        for PendingReply { message_id, kind, reply } in pending_replies {
            let answer = answers.get(&message_id).copied().unwrap_or(SubmissionReply::Accepted);
            let is_sent = reply.send(answer);
            tracing::debug!(message_id, ?kind, ?answer, client_left = is_sent.is_err(), "submission decided");
            match is_sent {
                Ok(()) => {
                    replied.insert(message_id);
                }
                Err(_) if kind == SubmissionKind::New => {
                    abandoned.insert(message_id);
                }
                Err(_) => {}
            }
        }
        for id in abandoned.difference(&replied) {
            self.end_without_notice(*id, None);
            self.events.push(Event::MessageWithdrawn { id: *id });
        }
    }

    /// Ends the new messages that the controller rejects, and returns the answers to their clients. A message
    /// that was submitted in an earlier turn was accepted then, so it ends with a notice.
    fn reject_new_messages(
        &mut self,
        pending_replies: &[PendingReply],
        rejections: &BTreeMap<MessageId, Micros>,
    ) -> BTreeMap<MessageId, SubmissionReply> {
        let mut answers = BTreeMap::new();
        for pending in pending_replies.iter().filter(|pending| pending.kind == SubmissionKind::New) {
            if let Some(retry_after) = rejections.get(&pending.message_id) {
                let answer = self.reject_new_message(pending.message_id, *retry_after);
                answers.insert(pending.message_id, answer);
            }
        }
        answers
    }

    /// Ends a new message, if the end can be recorded now. If not, the message counts as accepted and ends with
    /// a notice: the next process would send it if this one were killed after a rejection.
    fn reject_new_message(&mut self, id: MessageId, retry_after: Micros) -> SubmissionReply {
        let recorded = self.journal.borrow_mut().record_rejected(id);
        match recorded {
            Ok(()) => {
                self.count_undelivered(id, MessageOutcome::Rejected);
                self.end_rejected(id);
                SubmissionReply::Rejected(retry_after)
            }
            Err(JournalError::Uncertain) => {
                self.count_undelivered(id, MessageOutcome::Rejected);
                self.end_without_notice(id, Some(MessageOutcome::Rejected));
                SubmissionReply::Undetermined
            }
            Err(error) => {
                self.journal_failures.count(UnrecordedStep::Outcome, &error);
                SubmissionReply::Accepted
            }
        }
    }
}
