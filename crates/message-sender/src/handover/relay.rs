//! Between two processes after a handover: the old one hands on what it still reads from its clients, and how its
//! calls end; the new one, the sender now, decides and answers.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use delivery_control::{AttemptOutcome, MessageId, Micros};
use serde::{Deserialize, Serialize};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::UnixStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{interval, Instant};

use crate::connection_limiter::ConnectionLimiter;
use crate::delivery::AttemptResult;
use crate::drain::DRAIN_DEADLINE;
use crate::event::SenderEvent;
use crate::handover::{read, write, HandoverError};
use crate::submission::{Submission, SubmissionReply};

/// Frames that wait to be written, or to be looked at.
const FRAMES: usize = 256;
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// A call of another process, which is called off when the driver drops its end.
pub type RemoteCall = ((MessageId, u32), oneshot::Receiver<()>);

/// What the old process tells.
#[derive(Serialize, Deserialize)]
enum PredecessorFrame {
    /// A message that a client hands in.
    Submitted(u64, Box<Submission>),
    AttemptEnded {
        id: MessageId,
        attempt: u32,
        endpoint: u64,
        elapsed: Micros,
        result: AttemptResult,
    },
    /// So many of the clients' connections are still its own.
    ClientApi(usize),
}

/// What the new process tells.
#[derive(Serialize, Deserialize)]
enum SuccessorFrame {
    Answered(u64, SubmissionReply),
    Cancel { id: MessageId, attempt: u32 },
}

/// How the old process's part ends.
pub enum RelayEnd {
    /// Nothing is left to do.
    Over,
    /// The new process has died. This is what it may not have heard of.
    Orphaned(Vec<SenderEvent>),
}

/// The old process's side.
pub struct Predecessor {
    to: OwnedWriteHalf,
    decided: mpsc::Receiver<SuccessorFrame>,
    calls: HashMap<(MessageId, u32), oneshot::Sender<()>>,
    /// Clients that wait for an answer, with what they handed in.
    waiting: HashMap<u64, (Box<Submission>, oneshot::Sender<SubmissionReply>)>,
    handed: u64,
    told_to_end: Option<Instant>,
    cut_off: bool,
}

impl Predecessor {
    pub fn new(
        stream: UnixStream,
        calls: HashMap<(MessageId, u32), oneshot::Sender<()>>,
        told_to_end: Option<Instant>,
    ) -> Self {
        let (mut from, to) = stream.into_split();
        let (post, decided) = mpsc::channel(FRAMES);
        tokio::task::spawn_local(async move {
            // Its end, however it comes, is that of the new process.
            while let Ok(frame) = read(&mut from).await {
                if post.send(frame).await.is_err() {
                    return;
                }
            }
        });
        let (waiting, handed, cut_off) = (HashMap::new(), 0, false);
        Self { to, decided, calls, waiting, handed, told_to_end, cut_off }
    }

    /// Runs until clients and calls are gone, or the time after SIGTERM is up, or the new process has died.
    pub async fn run(
        mut self,
        inbox: &mut mpsc::Receiver<SenderEvent>,
        limiter: &ConnectionLimiter,
    ) -> RelayEnd {
        let (mut look, mut clients) = (interval(LOOK_EVERY), usize::MAX);
        loop {
            let told = tokio::select! {
                Some(happening) = inbox.recv() => self.tell(happening).await,
                decided = self.decided.recv() => match decided {
                    Some(decided) => {
                        self.heed(decided);
                        Ok(())
                    }
                    None => return self.orphaned(inbox).await,
                },
                _ = look.tick() => {
                    if self.is_over(limiter) {
                        return RelayEnd::Over;
                    }
                    let before = std::mem::replace(&mut clients, limiter.open_connections());
                    if before == clients { Ok(()) } else { write(&mut self.to, &PredecessorFrame::ClientApi(clients)).await }
                }
            };
            if let Err(error) = told {
                tracing::warn!(%error, "the new process is gone");
                return self.orphaned(inbox).await;
            }
        }
    }

    async fn tell(&mut self, happening: SenderEvent) -> Result<(), HandoverError> {
        let told = match happening {
            SenderEvent::Submitted(handed, reply) => {
                self.handed += 1;
                self.waiting.insert(self.handed, (handed.clone(), reply));
                PredecessorFrame::Submitted(self.handed, handed)
            }
            SenderEvent::AttemptEnded { id, attempt, endpoint, elapsed, result } => {
                self.calls.remove(&(id, attempt));
                PredecessorFrame::AttemptEnded { id, attempt, endpoint, elapsed, result }
            }
            SenderEvent::ShutdownRequested => {
                self.told_to_end = self.told_to_end.or(Some(Instant::now()));
                return Ok(());
            }
            // The new process watches for itself, and sends again what nobody has told it to be known.
            SenderEvent::EndpointListReceived(_) | SenderEvent::NoticesAcknowledged(_) => return Ok(()),
        };
        write(&mut self.to, &told).await
    }

    fn heed(&mut self, decided: SuccessorFrame) {
        match decided {
            SuccessorFrame::Answered(number, answer) => {
                if let Some((_, reply)) = self.waiting.remove(&number) {
                    // A client that is gone by now hands its message in again, under another id.
                    let _ = reply.send(answer);
                }
            }
            SuccessorFrame::Cancel { id, attempt } => drop(self.calls.remove(&(id, attempt))),
        }
    }

    /// Late after SIGTERM cuts off the calls that are out, and stays until the new process has heard so.
    fn is_over(&mut self, limiter: &ConnectionLimiter) -> bool {
        if self.told_to_end.is_some_and(|since| since.elapsed() >= DRAIN_DEADLINE) {
            if std::mem::replace(&mut self.cut_off, true) {
                return true;
            }
            self.calls.clear();
        }
        self.calls.is_empty() && self.waiting.is_empty() && limiter.open_connections() == 0
    }

    /// Ends the calls that are out, lest a message go twice at a time once the journal is read again.
    async fn orphaned(mut self, inbox: &mut mpsc::Receiver<SenderEvent>) -> RelayEnd {
        if self.told_to_end.is_some() {
            return RelayEnd::Over;
        }
        let mut unheard: Vec<_> =
            self.waiting.into_values().map(|(handed, reply)| SenderEvent::Submitted(handed, reply)).collect();
        let mut out: BTreeSet<_> = self.calls.drain().map(|(call, _)| call).collect();
        while !out.is_empty() {
            let Some(happening) = inbox.recv().await else { return RelayEnd::Over };
            if let SenderEvent::AttemptEnded { id, attempt, .. } = &happening {
                out.remove(&(*id, *attempt));
            }
            unheard.push(happening);
        }
        RelayEnd::Orphaned(unheard)
    }
}

/// The new process's side: brings what the old one tells to the driver. `out` are the old one's calls, each with
/// the driver's way to call it off.
pub fn relay_predecessor(
    stream: UnixStream,
    out: Vec<RemoteCall>,
    inbox: mpsc::Sender<SenderEvent>,
    limiter: Rc<ConnectionLimiter>,
) {
    let (from, to) = stream.into_split();
    let (post, decided) = mpsc::channel(FRAMES);
    let calls = out.iter().map(|(call, _)| *call).collect();
    for ((id, attempt), cancelled) in out {
        let post = post.clone();
        tokio::task::spawn_local(async move {
            // The driver drops its end; also when the call has ended, which the old process then passes over.
            let _ = cancelled.await;
            let _ = post.send(SuccessorFrame::Cancel { id, attempt }).await;
        });
    }
    tokio::task::spawn_local(tell_old(to, decided));
    tokio::task::spawn_local(hear_old(from, calls, post, inbox, limiter));
}

async fn tell_old(mut to: OwnedWriteHalf, mut decided: mpsc::Receiver<SuccessorFrame>) {
    while let Some(decided) = decided.recv().await {
        if write(&mut to, &decided).await.is_err() {
            return;
        }
    }
}

async fn hear_old(
    mut from: OwnedReadHalf,
    mut out: BTreeSet<(MessageId, u32)>,
    post: mpsc::Sender<SuccessorFrame>,
    inbox: mpsc::Sender<SenderEvent>,
    limiter: Rc<ConnectionLimiter>,
) {
    while let Ok(told) = read(&mut from).await {
        let happening = match told {
            PredecessorFrame::Submitted(number, handed) => {
                let (reply, answer) = oneshot::channel();
                let post = post.clone();
                tokio::task::spawn_local(async move {
                    if let Ok(answer) = answer.await {
                        let _ = post.send(SuccessorFrame::Answered(number, answer)).await;
                    }
                });
                SenderEvent::Submitted(handed, reply)
            }
            PredecessorFrame::AttemptEnded { id, attempt, endpoint, elapsed, result } => {
                out.remove(&(id, attempt));
                SenderEvent::AttemptEnded { id, attempt, endpoint, elapsed, result }
            }
            PredecessorFrame::ClientApi(clients) => {
                limiter.reserve_for_predecessor(clients);
                continue;
            }
        };
        if inbox.send(happening).await.is_err() {
            return;
        }
    }
    tracing::info!(cut_off = out.len(), "the old process has ended");
    limiter.reserve_for_predecessor(0);
    // Its connections ended with it.
    for (id, attempt) in out {
        let (endpoint, elapsed, result) = (0, 0, AttemptOutcome::Reset.into());
        drop(inbox.send(SenderEvent::AttemptEnded { id, attempt, endpoint, elapsed, result }).await);
    }
}
