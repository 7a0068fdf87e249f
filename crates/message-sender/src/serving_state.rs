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
    /// Waits until clients are to be sent away.
    pub async fn wait_until_not_serving(state: &mut watch::Receiver<ServingState>) {
        // Without a sender the process ends, and so does whoever waits.
        let _ = state.wait_for(|state| *state == Self::Serving).await;
        let _ = state.wait_for(|state| *state != Self::Serving).await;
    }
}
