//! Ends messages: counts their outcome, records it in the journal and queues the notice of it.

use delivery_control::{AttemptOutcome, Event, MessageId, Micros};

use super::journal_sync::{HeldNotice, UnrecordedStep};
use super::open_messages::{MessageOrigin, OpenMessage};
use super::summary::UndeliveredCause;
use super::EventLoop;
use crate::delivery::AttemptResult;
use crate::journal::JournalError;
use crate::metrics::MessageOutcome;
use crate::notice::{Notice, NoticeResult};

impl EventLoop {
    /// Ends a message for which the platform needs no notice. An outcome of `None` is not counted; it stands
    /// for a message whose client never got the reply that the message was accepted.
    pub(super) fn end_without_notice(&mut self, id: MessageId, outcome: Option<MessageOutcome>) {
        if self.close_message(id, outcome).is_some() {
            self.check_end(id, false);
            let recorded = self.journal.borrow_mut().record_end(id, None);
            tracing::debug!(message_id = id, ?outcome, is_recorded = recorded.is_ok(), "message ended");
            self.count_unrecorded_outcome(recorded);
        }
    }

    /// Ends a message whose rejection at its submission is recorded already.
    pub(super) fn end_rejected(&mut self, id: MessageId) {
        if self.close_message(id, Some(MessageOutcome::Rejected)).is_some() {
            self.check_end(id, false);
            tracing::debug!(message_id = id, "message rejected at its submission");
        }
    }

    /// Ends a message with a notice to the platform. If the message is not open any more, its client got the
    /// rejection as the reply to its submission: the controller gets the event of an acknowledged notice.
    pub(super) fn end_with_notice(&mut self, id: MessageId, result: NoticeResult) {
        let outcome = match result {
            NoticeResult::Rejected { .. } => MessageOutcome::Rejected,
            NoticeResult::Failed => MessageOutcome::Failed,
        };
        self.count_undelivered(id, outcome);
        match self.close_message(id, Some(outcome)) {
            Some(message) => {
                self.check_end(id, true);
                let notice = Notice { call_id: message.call_id, result };
                self.queue_notice(id, notice, message.deadline);
            }
            None => self.events.push(Event::NoticeAcknowledged { id }),
        }
    }

    /// Counts and logs a message that the controller rejects or fails.
    pub(super) fn count_undelivered(&mut self, id: MessageId, outcome: MessageOutcome) {
        let Some(message) = self.open_messages.get(id) else { return };
        let cause = match (outcome, message.is_attempted, message.origin) {
            (MessageOutcome::Rejected, true, _) => UndeliveredCause::RejectedAttempted,
            (MessageOutcome::Rejected, false, MessageOrigin::Recovered) => {
                UndeliveredCause::RecoveredUnattempted
            }
            (MessageOutcome::Rejected, false, MessageOrigin::Submitted) => {
                UndeliveredCause::RejectedUnattempted
            }
            _ => UndeliveredCause::Failed,
        };
        tracing::debug!(
            message_id = id,
            call_id = message.call_id,
            ?cause,
            is_attempted = message.is_attempted,
            "message rejected or failed"
        );
        self.summary.count_undelivered(cause, message.destination);
    }

    /// Records a message's end in the journal and queues its notice. The notice is held back until no later
    /// process can send the message: nothing may be sent after its end.
    pub(super) fn queue_notice(&mut self, id: MessageId, notice: Notice, deadline: Micros) {
        let recorded = self.journal.borrow_mut().record_end(id, Some(notice.clone()));
        let is_recorded = recorded.is_ok();
        self.count_unrecorded_outcome(recorded);
        tracing::debug!(
            message_id = id,
            call_id = notice.call_id,
            is_recorded,
            "message ended with a notice"
        );
        if is_recorded {
            self.notices.push(id, notice);
        } else {
            self.journal_sync.hold(HeldNotice { id, deadline, notice });
        }
    }

    /// Counts an outcome of a message or an attempt if it could not be recorded at once. The journal records
    /// it later.
    pub(super) fn count_unrecorded_outcome(&self, recorded: Result<(), JournalError>) {
        if let Err(error) = recorded {
            self.journal_failures.count(UnrecordedStep::Outcome, &error);
        }
    }

    fn close_message(&mut self, id: MessageId, outcome: Option<MessageOutcome>) -> Option<OpenMessage> {
        let message = self.open_messages.remove(id)?;
        if let Some(outcome) = outcome {
            self.metrics.count_outcome(message.class, outcome);
        }
        Some(message)
    }
}

/// The outcome of a message that ended with an attempt. A message that was not delivered is past its
/// deadline, or was given up by its client.
pub fn final_outcome(result: &AttemptResult) -> MessageOutcome {
    if result.outcome == AttemptOutcome::Delivered {
        MessageOutcome::Delivered
    } else {
        MessageOutcome::Failed
    }
}
