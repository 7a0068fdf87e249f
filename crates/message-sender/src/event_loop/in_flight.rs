//! The attempts that are in flight, in this process or in a predecessor process.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::attempt_id::AttemptId;

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

    /// Number of attempts in flight.
    pub fn len(&self) -> usize {
        self.cancel_handles.len()
    }

    /// Whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.cancel_handles.is_empty()
    }

    /// The ids of the attempts, in no particular order.
    pub fn ids(&self) -> Vec<AttemptId> {
        self.cancel_handles.keys().copied().collect()
    }

    /// The cancellation handles by attempt, for the relay to a successor.
    pub fn into_cancel_handles(self) -> HashMap<AttemptId, oneshot::Sender<()>> {
        self.cancel_handles
    }
}
