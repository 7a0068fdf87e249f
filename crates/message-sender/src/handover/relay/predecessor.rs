//! The predecessor's side of the relay.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{interval, Instant};

use super::{PredecessorFrame, SuccessorFrame, FRAME_QUEUE_CAPACITY};
use crate::attempt_id::AttemptId;
use crate::connection_limiter::ConnectionLimiter;
use crate::drain::DRAIN_DEADLINE;
use crate::event::SenderEvent;
use crate::handover::error::HandoverError;
use crate::handover::protocol::{read_frame, write_frame};
use crate::handover::stream::{HandoverStream, HandoverWriter};
use crate::submission::{Submission, SubmissionReply};

/// How often the predecessor checks whether its part is over, and counts its connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How the predecessor's part ends.
pub enum RelayEnd {
    /// Nothing is left to do.
    Over,
    /// The successor has died. These are the events that it may not have received.
    Orphaned(Vec<SenderEvent>),
}

/// A client's request that the successor has yet to answer.
struct PendingSubmission {
    submission: Box<Submission>,
    reply: oneshot::Sender<SubmissionReply>,
}

/// A process that has handed over and still has attempts in flight, and clients.
pub struct Predecessor {
    writer: HandoverWriter,
    /// Ends with the successor.
    frames: mpsc::Receiver<SuccessorFrame>,
    /// Attempts in flight; dropping one cancels it.
    in_flight: HashMap<AttemptId, oneshot::Sender<()>>,
    pending: HashMap<u64, PendingSubmission>,
    last_submission: u64,
    shutdown_requested_at: Option<Instant>,
    /// The attempts in flight have been cancelled because the time after SIGTERM is up.
    cut_off: bool,
    /// The number of connections that the successor knows of.
    reported_connections: Option<usize>,
}

impl Predecessor {
    /// Goes on over the connection of the handover. `in_flight` are the attempts, each with its
    /// cancellation handle.
    pub fn new(
        stream: HandoverStream,
        in_flight: HashMap<AttemptId, oneshot::Sender<()>>,
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
            last_submission: 0,
            shutdown_requested_at,
            cut_off: false,
            reported_connections: None,
        }
    }

    /// Runs until no client and no attempt is left, or the time after SIGTERM is up, or the successor has
    /// died.
    pub async fn run(
        mut self,
        inbox: &mut mpsc::Receiver<SenderEvent>,
        limiter: &ConnectionLimiter,
    ) -> RelayEnd {
        let mut poll = interval(POLL_INTERVAL);
        loop {
            let relayed = tokio::select! {
                Some(event) = inbox.recv() => self.relay(event).await,
                frame = self.frames.recv() => match frame {
                    Some(frame) => {
                        self.handle(frame);
                        Ok(())
                    }
                    None => return self.into_orphaned(inbox).await,
                },
                _ = poll.tick() => {
                    if self.is_over(limiter) {
                        self.leave_undetermined();
                        return RelayEnd::Over;
                    }
                    self.report_connections(limiter.open_connections()).await
                }
            };
            if let Err(error) = relayed {
                tracing::warn!(%error, "successor lost");
                return self.into_orphaned(inbox).await;
            }
        }
    }

    async fn relay(&mut self, event: SenderEvent) -> Result<(), HandoverError> {
        let frame = match event {
            SenderEvent::Submitted(submission, reply) => self.register(submission, reply),
            SenderEvent::AttemptEnded(finished) => {
                self.in_flight.remove(&finished.attempt_id);
                PredecessorFrame::AttemptEnded(finished)
            }
            SenderEvent::ShutdownRequested => {
                self.shutdown_requested_at = self.shutdown_requested_at.or(Some(Instant::now()));
                return Ok(());
            }
            // The successor watches for itself, and sends again the notices whose acknowledgement it has not
            // seen.
            SenderEvent::EndpointListReceived(_) | SenderEvent::NoticesAcknowledged(_) => return Ok(()),
        };
        write_frame(self.writer.stream(), &frame).await
    }

    fn register(
        &mut self,
        submission: Box<Submission>,
        reply: oneshot::Sender<SubmissionReply>,
    ) -> PredecessorFrame {
        self.last_submission += 1;
        let pending = PendingSubmission { submission: submission.clone(), reply };
        self.pending.insert(self.last_submission, pending);
        PredecessorFrame::Submitted(self.last_submission, submission)
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
                    // A client that has disconnected submits its message again.
                    let _ = pending.reply.send(answer);
                }
            }
            SuccessorFrame::Cancel(attempt_id) => {
                self.in_flight.remove(&attempt_id);
            }
        }
    }

    /// When the time after SIGTERM is up it cancels the attempts in flight, and stays until the next poll so
    /// that their ends are relayed.
    fn is_over(&mut self, limiter: &ConnectionLimiter) -> bool {
        if self.shutdown_requested_at.is_some_and(|since| since.elapsed() >= DRAIN_DEADLINE) {
            if self.cut_off {
                return true;
            }
            self.cut_off = true;
            self.in_flight.clear();
        }
        self.in_flight.is_empty() && self.pending.is_empty() && limiter.open_connections() == 0
    }

    /// Answers the clients whose messages the successor may have journalled: the next process delivers those,
    /// so they must not be submitted again.
    fn leave_undetermined(&mut self) {
        for (_, pending) in self.pending.drain() {
            // A client that is gone needs no reply.
            let _ = pending.reply.send(SubmissionReply::Undetermined);
        }
    }

    /// Ends the attempts in flight first: otherwise a message could have two at once when the journal is read
    /// again.
    async fn into_orphaned(mut self, inbox: &mut mpsc::Receiver<SenderEvent>) -> RelayEnd {
        if self.shutdown_requested_at.is_some() {
            self.leave_undetermined();
            return RelayEnd::Over;
        }
        let mut events = Vec::new();
        for pending in self.pending.into_values() {
            events.push(SenderEvent::Submitted(pending.submission, pending.reply));
        }
        // Drops the senders, which cancels the attempts.
        let mut in_flight: BTreeSet<AttemptId> = self.in_flight.into_keys().collect();
        while !in_flight.is_empty() {
            let Some(event) = inbox.recv().await else { return RelayEnd::Over };
            if let SenderEvent::AttemptEnded(finished) = &event {
                in_flight.remove(&finished.attempt_id);
            }
            events.push(event);
        }
        RelayEnd::Orphaned(events)
    }
}

/// Ends, and closes the channel, when the successor has died or sent what cannot be read.
async fn read_frames(mut reader: HandoverStream, sender: mpsc::Sender<SuccessorFrame>) {
    while let Ok(frame) = read_frame(&mut reader).await {
        if sender.send(frame).await.is_err() {
            return;
        }
    }
}
