//! Whether this process serves clients, and the transitions between the states.

use std::cell::Cell;

use tokio::sync::watch;

#[cfg(test)]
mod tests;

/// What the process does for clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingState {
    /// Accepts messages.
    Serving,
    /// Drained by an operator, who may activate it again.
    Standby,
    /// A successor process is the sender and serves the clients from now on.
    HandedOver,
    /// About to end; there is no way back.
    ShuttingDown,
}

impl ServingState {
    /// Whether this process accepts messages and keeps clients' connections open.
    pub fn is_serving(self) -> bool {
        self == Self::Serving
    }

    /// Whether the sender as a whole serves clients, be it by a successor process.
    pub fn is_healthy(self) -> bool {
        match self {
            Self::Serving | Self::HandedOver => true,
            Self::Standby | Self::ShuttingDown => false,
        }
    }

    /// Waits until the process serves, and then until it serves no longer: a connection that is accepted
    /// while it does not serve is left alone.
    pub async fn wait_until_not_serving(state: &mut watch::Receiver<ServingState>) {
        // Without a sender the process ends, and with it whoever waits.
        let _ = state.wait_for(|state| state.is_serving()).await;
        let _ = state.wait_for(|state| !state.is_serving()).await;
    }
}

/// Owns the process's serving state. All who follow the state see each transition at once.
pub struct ServingStateControl {
    state: watch::Sender<ServingState>,
    /// The state to which the process returns if its successor dies.
    before_handover: Cell<ServingState>,
}

/// The process is shutting down: its serving state changes no more.
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

    /// Follows the state.
    pub fn subscribe(&self) -> watch::Receiver<ServingState> {
        self.state.subscribe()
    }

    /// The present state.
    pub fn state(&self) -> ServingState {
        *self.state.borrow()
    }

    /// An operator sets the state; returns the one before.
    pub fn set_by_operator(&self, to: ServingState) -> Result<ServingState, ShuttingDown> {
        if self.state() == ServingState::ShuttingDown {
            return Err(ShuttingDown);
        }
        Ok(self.state.send_replace(to))
    }

    /// A successor process serves the clients from now on.
    pub fn hand_over(&self) {
        self.before_handover.set(self.state());
        self.transition(ServingState::HandedOver, "handover");
    }

    /// The successor process has died: this one serves again, or is on standby again.
    pub fn resume(&self) {
        self.transition(self.before_handover.get(), "successor died");
    }

    /// The process is to end. One that has handed over stays so: to its clients the sender is up.
    pub fn shut_down(&self) {
        if self.state() != ServingState::HandedOver {
            self.transition(ServingState::ShuttingDown, "asked to end");
        }
    }

    fn transition(&self, to: ServingState, reason: &str) {
        let from = self.state.send_replace(to);
        tracing::info!(?from, ?to, reason, "serving state changed");
    }
}
