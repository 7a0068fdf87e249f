//! The notices that are still to be acknowledged, and the task that sends them to discovery.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use delivery_control::{MessageId, Micros};
use hyper::StatusCode;
use serde::Serialize;
use tokio::sync::{mpsc, Notify};
use tokio::time::sleep;

use super::client::{DiscoveryAddress, DiscoveryClient};
use super::error::{DiscoveryError, FailureKind};
use super::failure_log::FailureLog;
use crate::event::SenderEvent;
use crate::notice::{Notice, NoticeResult};

/// How long the response to notices may take at first. It is given at once, so without it the connection may
/// be dead; the limit is doubled each time that no response came, so that a slow platform gets to respond at
/// last.
const INITIAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// What the doubled limit never exceeds.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Least delay before notices that were not acknowledged are sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The most that a retry delay is stretched by chance, as a multiple of itself, so that senders do not fall
/// in step.
const RETRY_JITTER: f64 = 2.0;
/// Most notices that are sent in one request.
const MAX_BATCH: usize = 64;
/// Microseconds in a millisecond, the unit of waits on the wire.
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Notices to be sent, oldest first. The event loop bounds how many there are by what it buffers.
#[derive(Default)]
pub struct NoticeQueue {
    pending: RefCell<VecDeque<PendingNotice>>,
    added: Notify,
}

/// A notice that the platform has yet to acknowledge.
#[derive(Clone)]
struct PendingNotice {
    message_id: MessageId,
    notice: Notice,
}

impl NoticeQueue {
    /// Adds the notice for a message.
    pub fn push(&self, id: MessageId, notice: Notice) {
        self.pending.borrow_mut().push_back(PendingNotice { message_id: id, notice });
        self.added.notify_one();
    }

    /// How many notices have not been acknowledged.
    pub fn len(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Sends notices, each again until it is acknowledged; returns when the event loop has ended. Notices
    /// that were not acknowledged at an old address go to the new one: a notice that arrives twice does no
    /// harm.
    pub async fn send(self: Rc<Self>, mut addresses: DiscoveryAddress, events: mpsc::Sender<SenderEvent>) {
        let mut sender = NoticeSender::new(DiscoveryClient::new(*addresses.borrow_and_update()));
        loop {
            let batch = self.next_batch().await;
            let response = tokio::select! {
                biased;
                Ok(()) = addresses.changed() => {
                    sender.client = DiscoveryClient::new(*addresses.borrow_and_update());
                    continue;
                }
                response = sender.send(&batch) => response,
            };
            match response {
                Ok(()) => {
                    let acknowledged = self.remove_acknowledged(batch.len());
                    if events.send(SenderEvent::NoticesAcknowledged(acknowledged)).await.is_err() {
                        return;
                    }
                }
                Err(error) => sender.recover(&error, batch.len()).await,
            }
        }
    }

    /// The oldest notices, which stay in the queue until they are acknowledged; waits until there is one.
    async fn next_batch(&self) -> Vec<PendingNotice> {
        loop {
            let batch: Vec<_> = self.pending.borrow().iter().take(MAX_BATCH).cloned().collect();
            if !batch.is_empty() {
                return batch;
            }
            self.added.notified().await;
        }
    }

    /// Removes the oldest notices and returns their messages.
    fn remove_acknowledged(&self, count: usize) -> Vec<MessageId> {
        self.pending.borrow_mut().drain(..count).map(|pending| pending.message_id).collect()
    }
}

/// Sends one batch of notices after the other.
struct NoticeSender {
    client: DiscoveryClient,
    response_timeout: Duration,
    failure_log: FailureLog,
}

impl NoticeSender {
    fn new(client: DiscoveryClient) -> Self {
        Self { client, response_timeout: INITIAL_RESPONSE_TIMEOUT, failure_log: FailureLog::default() }
    }

    /// Sends a batch; `Ok` means that all of it is acknowledged.
    async fn send(&mut self, batch: &[PendingNotice]) -> Result<(), DiscoveryError> {
        let response = self.client.post("/status", encode(batch), self.response_timeout).await?;
        response.into_body(StatusCode::NO_CONTENT)?;
        self.response_timeout = INITIAL_RESPONSE_TIMEOUT;
        Ok(())
    }

    /// Prepares the next attempt after a failed one, on a new connection: at once after a time-out, else
    /// after a delay.
    async fn recover(&mut self, error: &DiscoveryError, notices: usize) {
        self.client.disconnect();
        self.failure_log.record_notices(error, notices);
        match error.kind() {
            FailureKind::Timeout => {
                self.response_timeout = (2 * self.response_timeout).min(MAX_RESPONSE_TIMEOUT);
            }
            FailureKind::Error => {
                sleep(RETRY_DELAY.mul_f64(1.0 + RETRY_JITTER * fastrand::f64())).await;
            }
        }
    }
}

/// A notice as discovery takes it.
#[derive(Serialize)]
struct NoticeLine<'a> {
    #[serde(rename = "ref")]
    call_id: &'a str,
    result: LineResult,
    #[serde(rename = "wait_ms", skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<i64>,
}

/// How a message ended, in discovery's terms.
#[derive(Serialize)]
enum LineResult {
    #[serde(rename = "dead")]
    Failed,
    #[serde(rename = "bounced")]
    Rejected,
}

impl<'a> From<&'a Notice> for NoticeLine<'a> {
    fn from(notice: &'a Notice) -> Self {
        let (result, retry_after) = match notice.result {
            NoticeResult::Failed => (LineResult::Failed, 0),
            NoticeResult::Rejected { retry_after } => (LineResult::Rejected, retry_after),
        };
        let retry_after_ms = retry_after / MICROS_PER_MILLISECOND;
        Self {
            call_id: &notice.call_id,
            result,
            retry_after_ms: (retry_after_ms > 0).then_some(retry_after_ms),
        }
    }
}

/// The body of a request: one JSON object a line.
fn encode(batch: &[PendingNotice]) -> Bytes {
    let mut body = Vec::new();
    for pending in batch {
        // Plain texts and numbers always serialize.
        let line = serde_json::to_vec(&NoticeLine::from(&pending.notice)).unwrap_or_default();
        body.extend(line);
        body.push(b'\n');
    }
    body.into()
}
