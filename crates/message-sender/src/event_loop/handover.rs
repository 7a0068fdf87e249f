//! Hands the sender's work over to a successor process, between two turns.

use super::journal_sync::UnrecordedStep;
use super::{EventLoop, LoopEnd, RetainedState};
use crate::handover::relay::Predecessor;
use crate::handover::{self, HandoverState, HandoverStream, Successor};

impl EventLoop {
    /// Offers the sender's state to a successor. Returns the connection to the successor once the successor
    /// is ready to take over; until then nothing changes for this process. If the successor can only read the
    /// journal, this process shuts down instead.
    pub(super) async fn offer(&mut self, successor: Successor) -> Option<HandoverStream> {
        let synchronized = self.journal.borrow_mut().synchronize();
        if let Err(error) = synchronized {
            // The successor reads the journal, and would resume messages whose end is not in the file.
            self.journal_failures.count(UnrecordedStep::Outcome, &error);
            return None;
        }
        let state = if successor.reads_state() { self.handover_state() } else { None };
        let is_complete = state.is_some();
        match successor.offer(state).await {
            Ok(stream) if is_complete => Some(stream),
            Ok(_) => {
                tracing::info!("draining for a successor that reads only the journal");
                self.shutdown.request();
                None
            }
            Err(error) => {
                tracing::warn!(%error, "handover failed");
                None
            }
        }
    }

    /// The state that a successor needs beyond the journal; `None` late in a shutdown, when events are no
    /// longer reported to the controller.
    fn handover_state(&self) -> Option<HandoverState> {
        if self.shutdown.attempts_have_stopped() {
            return None;
        }
        Some(HandoverState {
            now: self.clock.now(),
            names: self.names.clone(),
            controller: self.controller.clone(),
            registry: self.registry.snapshot(),
            timers: self.timers.entries(),
            in_flight: self.in_flight.ids(),
        })
    }

    /// Makes the successor the sender. The journal is closed here before the successor can open it.
    pub(super) async fn hand_over(self, mut stream: HandoverStream) -> LoopEnd {
        let Self { lock, journal, delivery, in_flight, shutdown, controller, registry, clock, .. } = self;
        drop(journal);
        // Attempts whose requests have not been started are not sent any more.
        delivery.suspend();
        handover::commit(&mut stream, lock).await;
        tracing::info!(in_flight = in_flight.len(), "handed over");
        let predecessor = Predecessor::new(stream, in_flight, shutdown.requested_at());
        LoopEnd::HandedOver(predecessor, Box::new(RetainedState { controller, registry, clock }))
    }
}
