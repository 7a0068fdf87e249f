//! How messages end.

use delivery_control::{AttemptOutcome, Event, Idempotency, MessageId, Micros};

use super::journal_sync::{HeldNotice, UnrecordedStep};
use super::open_messages::{MessageOrigin, OpenMessage};
use super::summary::RejectionCause;
use super::EventLoop;
use crate::delivery::AttemptResult;
use crate::journal::JournalError;
use crate::metrics::MessageOutcome;
use crate::notice::{Notice, NoticeResult};

impl EventLoop {
    /// Ends a message about which the platform needs no notice. Without an outcome it is not counted: its
    /// client never heard that it was accepted.
    pub(super) fn end_without_notice(&mut self, id: MessageId, outcome: Option<MessageOutcome>) {
        if self.close_message(id, outcome).is_some() {
            self.guard_end(id, false);
            let recorded = self.journal.borrow_mut().record_end(id, None);
            self.note_outcome(recorded);
        }
    }

    /// Ends a message by a notice, unless its client has had a rejection for a reply already.
    pub(super) fn end_with_notice(&mut self, id: MessageId, result: NoticeResult) {
        let outcome = match result {
            NoticeResult::Rejected { .. } => MessageOutcome::Rejected,
            NoticeResult::Failed => MessageOutcome::Failed,
        };
        self.count_given_up(id, outcome);
        match self.close_message(id, Some(outcome)) {
            Some(message) => {
                self.guard_end(id, true);
                let notice = Notice { call_id: message.call_id, result };
                let is_repeatable = self.settings.classes[message.class].idempotency == Idempotency::Always;
                self.queue_notice(id, notice, is_repeatable, message.deadline);
            }
            None => self.events.push(Event::NoticeAcknowledged { id }),
        }
    }

    /// Counts a message that the controller rejects or fails.
    pub(super) fn count_given_up(&mut self, id: MessageId, outcome: MessageOutcome) {
        let Some(message) = self.open_messages.get(id) else { return };
        let cause = match (outcome, message.attempts, message.origin) {
            (MessageOutcome::Rejected, 0, MessageOrigin::Recovered) => RejectionCause::RecoveredUnattempted,
            (MessageOutcome::Rejected, 0, MessageOrigin::Submitted) => RejectionCause::RejectedUnattempted,
            (MessageOutcome::Rejected, _, _) => RejectionCause::RejectedAttempted,
            _ => RejectionCause::Failed,
        };
        tracing::debug!(
            message_id = id,
            call_id = message.call_id,
            ?cause,
            attempts = message.attempts,
            "message given up"
        );
        self.summary.count_rejection(cause, message.destination);
    }

    /// Writes a message's end to the journal, and queues the notice of it. A rejection asks the client to
    /// submit the message again: until it is sure that no later process sends this one too, it is held back.
    pub(super) fn queue_notice(
        &mut self,
        id: MessageId,
        notice: Notice,
        is_repeatable: bool,
        deadline: Micros,
    ) {
        let recorded = self.journal.borrow_mut().record_end(id, Some(notice.clone()));
        let is_recorded = recorded.is_ok();
        self.note_outcome(recorded);
        let is_rejection = matches!(notice.result, NoticeResult::Rejected { .. });
        if is_recorded || is_repeatable || !is_rejection {
            self.notices.push(id, notice);
        } else {
            self.journal_sync.hold(HeldNotice { id, deadline, notice });
        }
    }

    /// Notes whether what became of a message or an attempt could be recorded at once; if not, it is later.
    pub(super) fn note_outcome(&self, recorded: Result<(), JournalError>) {
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

/// What became of a message that an attempt ended. One that was not delivered is past its deadline, or was
/// given up by its client.
pub fn final_outcome(result: &AttemptResult) -> MessageOutcome {
    if result.outcome == AttemptOutcome::Delivered {
        MessageOutcome::Delivered
    } else {
        MessageOutcome::Failed
    }
}
