//! The inputs of a running event loop, and how they are received.

use tokio::sync::mpsc;
use tokio::time::sleep_until;

use super::EventLoop;
use crate::connection_limiter::ConnectionLimiter;
use crate::event::SenderEvent;
use crate::handover::Successor;
use crate::operator_api::OperatorRequest;

/// The channels and connections that a running event loop receives input from.
pub struct EventLoopInputs<'a> {
    /// Events that socket tasks report.
    pub events: &'a mut mpsc::Receiver<SenderEvent>,
    /// Operator commands.
    pub commands: &'a mut mpsc::Receiver<OperatorRequest>,
    /// Processes that want to become the sender.
    pub successors: &'a mut mpsc::Receiver<Successor>,
    /// The clients' connections; a request may still be arriving on one of them.
    pub limiter: &'a ConnectionLimiter,
}

impl EventLoopInputs<'_> {
    /// Whether no event is queued and no client's request is pending.
    pub fn are_idle(&self) -> bool {
        self.events.is_empty() && !self.limiter.has_pending_request()
    }
}

impl EventLoop {
    /// Waits until an input arrives or a turn is due, and handles the input. Returns a successor that has
    /// connected.
    pub(super) async fn wait_for_input(&mut self, inputs: &mut EventLoopInputs<'_>) -> Option<Successor> {
        tokio::select! {
            Some(request) = inputs.commands.recv() => self.handle_command(request),
            Some(event) = inputs.events.recv() => self.handle_event(event),
            Some(successor) = inputs.successors.recv() => return Some(successor),
            () = sleep_until(self.next_wake_up()) => {}
        }
        None
    }

    /// Handles all queued commands.
    pub(super) fn handle_queued_commands(&mut self, inputs: &mut EventLoopInputs<'_>) {
        while let Ok(request) = inputs.commands.try_recv() {
            self.handle_command(request);
        }
    }

    /// Handles the events that are queued now, but none that arrive while it does so: a flood of events
    /// would otherwise keep delaying the turn.
    pub(super) fn handle_queued_events(&mut self, inputs: &mut EventLoopInputs<'_>) {
        for _ in 0..inputs.events.len() {
            if let Ok(event) = inputs.events.try_recv() {
                self.handle_event(event);
            }
        }
    }
}
