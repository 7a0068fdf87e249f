//! The successor's side of the relay: it passes the predecessor's events to the event loop, and replies and
//! cancellations to the predecessor.

use std::collections::BTreeSet;
use std::rc::Rc;

use delivery_control::{AttemptId, AttemptOutcome};
use tokio::sync::{mpsc, oneshot};

use super::{PredecessorFrame, SuccessorFrame, FRAME_QUEUE_CAPACITY};
use crate::connection_limiter::ConnectionLimiter;
use crate::event::{FinishedAttempt, SenderEvent};
use crate::handover::protocol::{read_frame, write_frame};
use crate::handover::stream::{HandoverStream, HandoverWriter};
use crate::submission::{Submission, SubmissionReply};

/// An attempt that the predecessor has in flight.
pub struct RemoteAttempt {
    /// The attempt's id.
    pub attempt_id: AttemptId,
    /// Completes when the event loop drops the sending side, which cancels the attempt.
    pub cancelled: oneshot::Receiver<()>,
}

/// Starts the tasks that pass the predecessor's events to the event loop, over `event_sender`, and the event
/// loop's replies and cancellations to the predecessor. `limiter` reserves slots for the predecessor's
/// connections.
pub fn relay_predecessor(
    stream: HandoverStream,
    remote_attempts: Vec<RemoteAttempt>,
    event_sender: mpsc::Sender<SenderEvent>,
    limiter: Rc<ConnectionLimiter>,
) {
    let (reader, writer) = stream.split();
    let (outgoing, queued) = mpsc::channel(FRAME_QUEUE_CAPACITY);
    let in_flight = remote_attempts.iter().map(|attempt| attempt.attempt_id).collect();
    for attempt in remote_attempts {
        tokio::task::spawn_local(relay_cancellation(attempt, outgoing.clone()));
    }
    let receiver = PredecessorReceiver { reader, in_flight, outgoing, event_sender, limiter };
    tokio::task::spawn_local(write_frames(writer, queued));
    tokio::task::spawn_local(receiver.run());
}

async fn relay_cancellation(attempt: RemoteAttempt, outgoing: mpsc::Sender<SuccessorFrame>) {
    // Completes when the event loop drops the sending side. It does so also when the attempt has ended; the
    // predecessor ignores the cancellation then.
    let _ = attempt.cancelled.await;
    // Fails if the predecessor has ended, and the attempt with it.
    let _ = outgoing.send(SuccessorFrame::Cancel(attempt.attempt_id)).await;
}

async fn relay_reply(
    number: u64,
    reply: oneshot::Receiver<SubmissionReply>,
    outgoing: mpsc::Sender<SuccessorFrame>,
) {
    if let Ok(reply) = reply.await {
        // Fails if the predecessor has ended, and the client's connection with it.
        let _ = outgoing.send(SuccessorFrame::Answered(number, reply)).await;
    }
}

async fn write_frames(mut writer: HandoverWriter, mut queued: mpsc::Receiver<SuccessorFrame>) {
    while let Some(frame) = queued.recv().await {
        if write_frame(writer.stream(), &frame).await.is_err() {
            return;
        }
    }
}

/// Reads the predecessor's frames until the predecessor ends, and passes them to the event loop.
struct PredecessorReceiver {
    reader: HandoverStream,
    /// The predecessor's attempts whose end has not been relayed yet.
    in_flight: BTreeSet<AttemptId>,
    outgoing: mpsc::Sender<SuccessorFrame>,
    event_sender: mpsc::Sender<SenderEvent>,
    limiter: Rc<ConnectionLimiter>,
}

impl PredecessorReceiver {
    async fn run(mut self) {
        while let Ok(frame) = read_frame(&mut self.reader).await {
            let Some(event) = self.handle(frame) else { continue };
            if self.event_sender.send(event).await.is_err() {
                return;
            }
        }
        tracing::info!(attempts_reset = self.in_flight.len(), "predecessor ended");
        self.limiter.reserve_for_predecessor(0);
        self.reset_attempts().await;
    }

    fn handle(&mut self, frame: PredecessorFrame) -> Option<SenderEvent> {
        match frame {
            PredecessorFrame::Submitted(number, submission) => Some(self.submit(number, submission)),
            PredecessorFrame::AttemptEnded(finished) => {
                self.in_flight.remove(&finished.attempt_id);
                Some(SenderEvent::AttemptEnded(finished))
            }
            PredecessorFrame::OpenConnections(open) => {
                self.limiter.reserve_for_predecessor(open);
                None
            }
        }
    }

    fn submit(&self, number: u64, submission: Box<Submission>) -> SenderEvent {
        let (sender, reply) = oneshot::channel();
        tokio::task::spawn_local(relay_reply(number, reply, self.outgoing.clone()));
        SenderEvent::Submitted(submission, sender)
    }

    /// Reports the attempts that are left as reset: their connections ended with the predecessor. Their
    /// endpoints are not known here, so 0 stands for each; no endpoint has that id.
    async fn reset_attempts(self) {
        for attempt_id in self.in_flight {
            let event = SenderEvent::AttemptEnded(FinishedAttempt {
                attempt_id,
                endpoint: 0,
                elapsed: 0,
                result: AttemptOutcome::Reset.into(),
            });
            if self.event_sender.send(event).await.is_err() {
                return;
            }
        }
    }
}
