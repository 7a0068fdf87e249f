//! Whether this process serves clients.

use tokio::sync::watch;

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

    /// Whether an operator may change it.
    pub fn is_changeable(self) -> bool {
        self != Self::ShuttingDown
    }

    /// Waits until the process serves, and then until it serves no longer: a connection that is accepted
    /// while it does not serve is left alone.
    pub async fn wait_until_not_serving(state: &mut watch::Receiver<ServingState>) {
        // Without a sender the process ends, and with it whoever waits.
        let _ = state.wait_for(|state| state.is_serving()).await;
        let _ = state.wait_for(|state| !state.is_serving()).await;
    }
}
