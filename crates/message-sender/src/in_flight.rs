//! The attempts in flight, in this process or in a predecessor process.

use std::collections::HashMap;

use delivery_control::AttemptId;
use tokio::sync::oneshot;

/// Attempts whose end has not been reported, each with its cancellation handle: dropping the handle cancels the
/// attempt. A cancelled attempt stays in flight until it ends.
#[derive(Default)]
pub struct InFlightAttempts {
    cancel_handles: HashMap<AttemptId, Option<oneshot::Sender<()>>>,
}

impl InFlightAttempts {
    /// Adds an attempt. The receiver that is returned completes when the attempt is cancelled.
    pub fn start(&mut self, attempt_id: AttemptId) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        self.cancel_handles.insert(attempt_id, Some(cancel));
        cancelled
    }

    /// Cancels an attempt, which is in flight until its end is reported.
    pub fn cancel(&mut self, attempt_id: AttemptId) {
        if let Some(handle) = self.cancel_handles.get_mut(&attempt_id) {
            handle.take();
        }
    }

    /// Cancels all attempts.
    pub fn cancel_all(&mut self) {
        for handle in self.cancel_handles.values_mut() {
            handle.take();
        }
    }

    /// Removes an attempt that has ended.
    pub fn remove(&mut self, attempt_id: AttemptId) {
        self.cancel_handles.remove(&attempt_id);
    }

    /// Whether an attempt is in flight.
    pub fn contains(&self, attempt_id: AttemptId) -> bool {
        self.cancel_handles.contains_key(&attempt_id)
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
}
