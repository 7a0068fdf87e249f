//! What a running event loop listens to, and how it takes that in.

use tokio::sync::mpsc;
use tokio::time::sleep_until;

use super::EventLoop;
use crate::connection_limiter::ConnectionLimiter;
use crate::event::SenderEvent;
use crate::handover::Successor;
use crate::operator_api::OperatorRequest;

/// What a running event loop listens to.
pub struct EventLoopInputs<'a> {
    /// What happens on sockets.
    pub events: &'a mut mpsc::Receiver<SenderEvent>,
    /// The operators' commands.
    pub commands: &'a mut mpsc::Receiver<OperatorRequest>,
    /// Processes that want to become the sender.
    pub successors: &'a mut mpsc::Receiver<Successor>,
    /// The clients' connections, which may have a request that is still being read.
    pub limiter: &'a ConnectionLimiter,
}

impl EventLoopInputs<'_> {
    /// Whether no client's request is on its way.
    pub fn are_quiet(&self) -> bool {
        self.events.is_empty() && !self.limiter.has_pending_request()
    }
}

impl EventLoop {
    /// Waits until something happens or a turn is due. Returns a successor that has arrived.
    pub(super) async fn wait_for_input(&mut self, inputs: &mut EventLoopInputs<'_>) -> Option<Successor> {
        tokio::select! {
            Some(request) = inputs.commands.recv() => self.handle_command(request),
            Some(event) = inputs.events.recv() => self.handle_event(event),
            Some(successor) = inputs.successors.recv() => return Some(successor),
            () = sleep_until(self.next_wake_up()) => {}
        }
        None
    }

    /// Takes in all commands that wait.
    pub(super) fn take_in_commands(&mut self, inputs: &mut EventLoopInputs<'_>) {
        while let Ok(request) = inputs.commands.try_recv() {
            self.handle_command(request);
        }
    }

    /// Takes in the events that are queued now, and none that arrive meanwhile: a flood would keep the turn
    /// from coming.
    pub(super) fn take_in_events(&mut self, inputs: &mut EventLoopInputs<'_>) {
        for _ in 0..inputs.events.len() {
            if let Ok(event) = inputs.events.try_recv() {
                self.handle_event(event);
            }
        }
    }
}
