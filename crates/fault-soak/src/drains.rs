//! Checks that endpoints that drain get no calls, whether discovery or an operator says so.

use std::time::Duration;

use crate::history::{OperatorCommand, StatusUpdate};
use crate::oracle::{Oracle, SCHEDULING_DELAY, TOLERANCE};
use crate::settings::DRAIN_GRACE_MS;

/// Longest time from a listed drain to the first byte of a call that is not reported.
pub const DRAIN_LIMIT: Duration =
    Duration::from_millis(DRAIN_GRACE_MS).saturating_add(SCHEDULING_DELAY).saturating_add(TOLERANCE);
impl Oracle<'_> {
    /// Checks that no call goes to an endpoint that was listed to the sender as draining or removed, once the
    /// drain grace is over. A status that was sent to an earlier process does not count.
    pub(crate) fn check_drains(&mut self) {
        let mut details = Vec::new();
        for call in &self.records.calls {
            let Some(sender) = self.sender_of(call) else { continue };
            let at = call.first_byte_at;
            let is_own =
                |it: &&StatusUpdate| it.sender == sender && it.endpoint == call.endpoint && it.at <= at;
            let Some(last) = self.records.status_updates.iter().rfind(is_own) else { continue };
            if !last.is_up && at > last.at + DRAIN_LIMIT && !self.is_disrupted(sender, last.at, at) {
                details.push(format!("{} sent at {:.3} s", call.call_id, self.seconds(at)));
            }
        }
        self.report_all("drain", details);
    }

    /// Checks that no call goes to an endpoint that an operator has drained and not restored, once the drain grace
    /// is over, whatever happens to the processes meanwhile.
    pub(crate) fn check_operator_drains(&mut self) {
        let mut details = Vec::new();
        for call in &self.records.calls {
            let Some(sender) = self.sender_of(call) else { continue };
            let at = call.first_byte_at;
            let is_own =
                |it: &&OperatorCommand| it.sender == sender && it.endpoint == call.endpoint && it.at <= at;
            let Some(last) = self.records.operator_commands.iter().rfind(is_own) else { continue };
            if last.is_drained && at > last.at + DRAIN_LIMIT {
                details.push(format!(
                    "{} sent to s-{} at {:.3} s",
                    call.call_id,
                    call.endpoint,
                    self.seconds(at)
                ));
            }
        }
        self.report_all("operator's drain", details);
    }
}
