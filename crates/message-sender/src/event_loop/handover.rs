//! Handing the sender's work over to a successor process, between two turns.

use super::journal_sync::UnrecordedStep;
use super::{EventLoop, LoopEnd};
use crate::handover::relay::Predecessor;
use crate::handover::{self, HandoverState, HandoverStream, Successor};

impl EventLoop {
    /// Offers everything to a successor. Returns the connection to it once it is ready to take over; until
    /// then nothing changes for this process. A successor that can only read the journal gets this process's
    /// end: it shuts down.
    pub(super) async fn offer(&mut self, successor: Successor) -> Option<HandoverStream> {
        let synchronized = self.journal.borrow_mut().synchronize();
        if let Err(error) = synchronized {
            // The successor reads the journal: it would take up again what has ended.
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

    /// What a successor needs beyond the journal; `None` late in a shutdown, when events are not reported to
    /// the controller any more.
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

    /// Makes the successor the sender. The journal is closed before it can be opened there.
    pub(super) async fn hand_over(self, mut stream: HandoverStream) -> LoopEnd {
        let Self { lock, journal, delivery, in_flight, shutdown, .. } = self;
        drop(journal);
        // Attempts that have not begun to be sent never will be.
        delivery.suspend();
        handover::commit(&mut stream, lock).await;
        tracing::info!(in_flight = in_flight.len(), "handed over");
        let predecessor = Predecessor::new(stream, in_flight.into_cancel_handles(), shutdown.requested_at());
        LoopEnd::HandedOver(predecessor)
    }
}
