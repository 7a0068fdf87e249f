//! The serving state of the process: whether it serves clients, and how this changes.

use std::cell::Cell;

use tokio::sync::watch;

#[cfg(test)]
mod tests;

/// Whether the process serves clients, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingState {
    /// The process accepts messages.
    Serving,
    /// An operator has put the process on standby, and may activate it again.
    Standby,
    /// A successor process is the sender and serves the clients.
    HandedOver,
    /// The process is about to end; this state is final.
    ShuttingDown,
}

impl ServingState {
    /// Whether this process accepts messages and keeps clients' connections open.
    pub fn is_serving(self) -> bool {
        self == Self::Serving
    }

    /// Whether the sender as a whole serves clients, in this process or in a successor.
    pub fn is_healthy(self) -> bool {
        match self {
            Self::Serving | Self::HandedOver => true,
            Self::Standby | Self::ShuttingDown => false,
        }
    }

    /// Waits until the process serves, and then until it no longer does. A connection that is accepted while
    /// the process does not serve is therefore not closed at once.
    pub async fn wait_until_not_serving(state: &mut watch::Receiver<ServingState>) {
        // These fail only if the control has been dropped: then the process ends, and with it the waiting
        // task.
        let _ = state.wait_for(|state| state.is_serving()).await;
        let _ = state.wait_for(|state| !state.is_serving()).await;
    }
}

/// Owns the process's serving state. All receivers see each transition immediately.
pub struct ServingStateControl {
    state: watch::Sender<ServingState>,
    /// The state to which the process returns if its successor dies.
    before_handover: Cell<ServingState>,
}

/// The error when an operator changes the state of a process that is shutting down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the process is shutting down")]
pub struct ShuttingDown;

impl ServingStateControl {
    /// Starts as [`ServingState::Serving`].
    pub fn new() -> Self {
        Self {
            state: watch::Sender::new(ServingState::Serving),
            before_handover: Cell::new(ServingState::Serving),
        }
    }

    /// Returns a receiver that follows the state.
    pub fn subscribe(&self) -> watch::Receiver<ServingState> {
        self.state.subscribe()
    }

    /// Returns the current state.
    pub fn state(&self) -> ServingState {
        *self.state.borrow()
    }

    /// Sets the state that an operator requests, and returns the previous one.
    pub fn set_by_operator(&self, to: ServingState) -> Result<ServingState, ShuttingDown> {
        if self.state() == ServingState::ShuttingDown {
            return Err(ShuttingDown);
        }
        Ok(self.state.send_replace(to))
    }

    /// Records that a successor process serves the clients from now on.
    pub fn hand_over(&self) {
        self.before_handover.set(self.state());
        self.transition(ServingState::HandedOver, "handover");
    }

    /// Returns to the state before the handover, because the successor process has died.
    pub fn resume(&self) {
        self.transition(self.before_handover.get(), "successor died");
    }

    /// Begins the shutdown. A process that has handed over stays in that state: for its clients, the sender
    /// is healthy.
    pub fn shut_down(&self) {
        if self.state() != ServingState::HandedOver {
            self.transition(ServingState::ShuttingDown, "shutdown requested");
        }
    }

    fn transition(&self, to: ServingState, reason: &str) {
        let from = self.state.send_replace(to);
        tracing::info!(?from, ?to, reason, "serving state changed");
    }
}
