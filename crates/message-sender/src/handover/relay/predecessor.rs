//! The predecessor's side of the relay: it passes events on to the successor, and the successor's replies to
//! its clients.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{interval, Instant};

use super::{PredecessorFrame, SuccessorFrame, FRAME_QUEUE_CAPACITY};
use crate::connection_limiter::ConnectionLimiter;
use crate::drain::DRAIN_DEADLINE;
use crate::event::{FinishedAttempt, SenderEvent};
use crate::handover::error::HandoverError;
use crate::handover::protocol::{read_frame, write_frame};
use crate::handover::stream::{HandoverStream, HandoverWriter};
use crate::in_flight::InFlightAttempts;
use crate::submission::{Submission, SubmissionReply};

/// How often the predecessor checks whether its part is finished, and counts its connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How the predecessor's part ends.
pub enum RelayEnd {
    /// The process is to end: nothing is left to relay, or it is shutting down and can wait no longer.
    Finished,
    /// The successor has died. These are the events that it may not have received.
    SuccessorDied(Vec<SenderEvent>),
}

/// A submission that the successor has yet to answer.
struct PendingSubmission {
    submission: Box<Submission>,
    reply: oneshot::Sender<SubmissionReply>,
}

/// A process that has handed over, and may still have attempts in flight and clients.
pub struct Predecessor {
    writer: HandoverWriter,
    /// The successor's frames; the channel closes when the successor has died.
    frames: mpsc::Receiver<SuccessorFrame>,
    /// The attempts in flight, also those that are cancelled and have not ended.
    in_flight: InFlightAttempts,
    /// The submissions that have no reply yet, by number.
    pending: HashMap<u64, PendingSubmission>,
    /// The number of the last submission; 0 before the first.
    last_submission_number: u64,
    /// The attempts that ended their messages. The successor may die before it has recorded these ends.
    final_ends: Vec<FinishedAttempt>,
    /// When the shutdown of this process was requested, if it was.
    shutdown_requested_at: Option<Instant>,
    /// Whether the attempts in flight have been cancelled because [`DRAIN_DEADLINE`] has passed.
    attempts_cancelled: bool,
    /// The number of open connections that was last reported to the successor.
    reported_connections: Option<usize>,
}

impl Predecessor {
    /// Starts the relay over the connection of the handover.
    pub fn new(
        stream: HandoverStream,
        in_flight: InFlightAttempts,
        shutdown_requested_at: Option<Instant>,
    ) -> Self {
        let (reader, writer) = stream.split();
        let (sender, frames) = mpsc::channel(FRAME_QUEUE_CAPACITY);
        tokio::task::spawn_local(read_frames(reader, sender));
        Self {
            writer,
            frames,
            in_flight,
            pending: HashMap::new(),
            last_submission_number: 0,
            final_ends: Vec::new(),
            shutdown_requested_at,
            attempts_cancelled: false,
            reported_connections: None,
        }
    }

    /// Relays until no client and no attempt is left, or [`DRAIN_DEADLINE`] has passed since the request to
    /// shut down, or the successor has died.
    pub async fn run(
        mut self,
        events: &mut mpsc::Receiver<SenderEvent>,
        limiter: &ConnectionLimiter,
    ) -> RelayEnd {
        let mut poll = interval(POLL_INTERVAL);
        loop {
            let relayed = tokio::select! {
                Some(event) = events.recv() => self.relay(event).await,
                frame = self.frames.recv() => match frame {
                    Some(frame) => {
                        self.handle(frame);
                        Ok(())
                    }
                    None => return self.end_without_successor(events).await,
                },
                _ = poll.tick() => {
                    if self.is_finished(limiter) {
                        self.reply_undetermined();
                        return RelayEnd::Finished;
                    }
                    self.report_connections(limiter.open_connections()).await
                }
            };
            if let Err(error) = relayed {
                tracing::warn!(%error, "successor lost");
                return self.end_without_successor(events).await;
            }
        }
    }

    async fn relay(&mut self, event: SenderEvent) -> Result<(), HandoverError> {
        let frame = match event {
            // The client has left or was told that its message is not accepted.
            SenderEvent::Submitted(_, reply) if reply.is_closed() => return Ok(()),
            SenderEvent::Submitted(submission, reply) => self.register(submission, reply),
            SenderEvent::AttemptEnded(finished) => {
                self.in_flight.remove(finished.attempt_id);
                if finished.result.is_final {
                    self.final_ends.push(finished);
                }
                PredecessorFrame::AttemptEnded(finished)
            }
            SenderEvent::ShutdownRequested => {
                self.shutdown_requested_at = self.shutdown_requested_at.or(Some(Instant::now()));
                return Ok(());
            }
            // The successor watches discovery itself, and sends the notices again whose acknowledgement it
            // has not received.
            SenderEvent::EndpointListReceived(_) | SenderEvent::NoticesAcknowledged(_) => return Ok(()),
        };
        write_frame(self.writer.stream(), &frame).await
    }

    /// Keeps the submission with the client's channel for the reply, and makes the frame for the successor.
    fn register(
        &mut self,
        submission: Box<Submission>,
        reply: oneshot::Sender<SubmissionReply>,
    ) -> PredecessorFrame {
        self.last_submission_number += 1;
        let pending = PendingSubmission { submission: submission.clone(), reply };
        self.pending.insert(self.last_submission_number, pending);
        PredecessorFrame::Submitted(self.last_submission_number, submission)
    }

    async fn report_connections(&mut self, open: usize) -> Result<(), HandoverError> {
        if self.reported_connections == Some(open) {
            return Ok(());
        }
        self.reported_connections = Some(open);
        write_frame(self.writer.stream(), &PredecessorFrame::OpenConnections(open)).await
    }

    fn handle(&mut self, frame: SuccessorFrame) {
        match frame {
            SuccessorFrame::Answered(number, answer) => {
                if let Some(pending) = self.pending.remove(&number) {
                    // Fails if the client has disconnected; it submits its message again.
                    let _ = pending.reply.send(answer);
                }
            }
            SuccessorFrame::Cancel(attempt_id) => self.in_flight.cancel(attempt_id),
        }
    }

    /// Whether the predecessor's part is finished. The first call after [`DRAIN_DEADLINE`] cancels the
    /// attempts in flight. Only the next call ends the relay, so that the ends of these attempts are relayed in
    /// between.
    fn is_finished(&mut self, limiter: &ConnectionLimiter) -> bool {
        if self.shutdown_requested_at.is_some_and(|since| since.elapsed() >= DRAIN_DEADLINE) {
            if self.attempts_cancelled {
                return true;
            }
            self.attempts_cancelled = true;
            self.in_flight.cancel_all();
        }
        self.in_flight.is_empty() && self.pending.is_empty() && limiter.open_connections() == 0
    }

    /// Replies [`SubmissionReply::Undetermined`] to the clients that still wait. The successor may have
    /// journalled their messages, which the next process then delivers, so they must not be submitted again.
    fn reply_undetermined(&mut self) {
        for (_, pending) in self.pending.drain() {
            // Fails if the client has disconnected; it needs no reply.
            let _ = pending.reply.send(SubmissionReply::Undetermined);
        }
    }

    /// Ends the relay after the successor's death. Unless a shutdown has been requested, cancels the attempts
    /// in flight and waits for their ends: otherwise a message could have two attempts in flight at once
    /// after the journal has been read again.
    async fn end_without_successor(mut self, events: &mut mpsc::Receiver<SenderEvent>) -> RelayEnd {
        if self.shutdown_requested_at.is_some() {
            self.reply_undetermined();
            return RelayEnd::Finished;
        }
        let final_ends = self.final_ends.into_iter().map(SenderEvent::AttemptEnded);
        let mut missed_events: Vec<_> = final_ends.collect();
        for pending in self.pending.into_values() {
            missed_events.push(SenderEvent::Submitted(pending.submission, pending.reply));
        }
        self.in_flight.cancel_all();
        while !self.in_flight.is_empty() {
            let Some(event) = events.recv().await else { return RelayEnd::Finished };
            if let SenderEvent::AttemptEnded(finished) = &event {
                self.in_flight.remove(finished.attempt_id);
            }
            missed_events.push(event);
        }
        RelayEnd::SuccessorDied(missed_events)
    }
}

/// Passes the successor's frames on. Returns, which closes the channel, when the successor has died or has
/// sent a frame that cannot be read.
async fn read_frames(mut reader: HandoverStream, sender: mpsc::Sender<SuccessorFrame>) {
    while let Ok(frame) = read_frame(&mut reader).await {
        if sender.send(frame).await.is_err() {
            return;
        }
    }
}
