//! What the controller asks for.

use delivery_control::{Action, Micros};

use super::attempts::AttemptLimits;
use super::EventLoop;
use crate::event::AttemptId;
use crate::notice::NoticeResult;

impl EventLoop {
    /// Carries out an action.
    pub(super) fn execute(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { id, endpoint, timeout, begin_by } => {
                self.start_attempt(now, id, endpoint, AttemptLimits { timeout, begin_by });
            }
            Action::Cancel { id, attempt } => self.in_flight.remove(AttemptId { message_id: id, attempt }),
            Action::Reject { id, retry_after } => {
                self.end_with_notice(id, NoticeResult::Rejected { retry_after });
            }
            Action::Fail { id } => self.end_with_notice(id, NoticeResult::Failed),
            Action::SetTimer { at, token } => self.timers.set(at, token),
            Action::CloseIdle { endpoint } => self.delivery.close_idle(endpoint),
            Action::Log { text } => tracing::info!("{text}"),
            // The watch runs all the time, and the settings allow neither probes nor notes.
            Action::Subscribe { .. } | Action::FetchList => {}
            Action::Probe { .. } | Action::SendNote { .. } => {}
        }
    }
}
