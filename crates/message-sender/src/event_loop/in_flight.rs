//! The attempts that are in flight, here or at a predecessor process.

use std::collections::HashMap;

use delivery_control::MessageId;
use tokio::sync::oneshot;

use crate::event::AttemptId;

/// Attempts in flight, each with its cancellation handle: dropping the handle cancels the attempt.
#[derive(Default)]
pub struct InFlightAttempts {
    cancel_handles: HashMap<AttemptId, oneshot::Sender<()>>,
}

impl InFlightAttempts {
    /// Adds an attempt. The receiver that is returned completes when the attempt is cancelled.
    pub fn start(&mut self, attempt_id: AttemptId) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        self.cancel_handles.insert(attempt_id, cancel);
        cancelled
    }

    /// Removes an attempt that has ended, or cancels one that has not.
    pub fn remove(&mut self, attempt_id: AttemptId) {
        self.cancel_handles.remove(&attempt_id);
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.cancel_handles.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.cancel_handles.is_empty()
    }

    /// The attempts in the form in which they are handed over: message and number of the attempt.
    pub fn handover_ids(&self) -> Vec<(MessageId, u32)> {
        let ids = self.cancel_handles.keys();
        ids.map(|id| (id.message_id, id.attempt)).collect()
    }

    /// The cancellation handles by message and number of the attempt, for the relay to a successor.
    pub fn into_cancel_handles(self) -> HashMap<(MessageId, u32), oneshot::Sender<()>> {
        let handles = self.cancel_handles.into_iter();
        handles.map(|(id, cancel)| ((id.message_id, id.attempt), cancel)).collect()
    }
}
