//! The queue of notices that are not acknowledged yet, and the task that sends them to discovery.

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

/// Initial timeout of a response to notices. The platform responds at once, so a missing response may mean
/// that the connection is dead. Each timeout doubles the limit for the next response, so that a slow
/// platform is given enough time eventually.
const INITIAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Upper bound of the doubled response timeout.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum delay before notices are sent again after an error other than a timeout.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest random addition to [`RETRY_DELAY`], as a multiple of it. It keeps the senders from retrying at the
/// same time.
const RETRY_JITTER: f64 = 2.0;
/// Maximum number of notices in one request.
const MAX_BATCH: usize = 64;
/// Microseconds per millisecond, the unit of durations on the wire.
const MICROS_PER_MILLI: Micros = 1_000;

/// Notices that are not acknowledged, oldest first. The event loop counts them against its buffer capacity,
/// which limits their number.
#[derive(Default)]
pub struct NoticeQueue {
    pending: RefCell<VecDeque<PendingNotice>>,
    added: Notify,
}

/// A notice that the platform has not acknowledged yet.
#[derive(Clone)]
struct PendingNotice {
    message_id: MessageId,
    notice: Notice,
}

impl NoticeQueue {
    /// Adds the notice of a message's final outcome.
    pub fn push(&self, id: MessageId, notice: Notice) {
        self.pending.borrow_mut().push_back(PendingNotice { message_id: id, notice });
        self.added.notify_one();
    }

    /// Number of notices that are not acknowledged.
    pub fn len(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Sends notices, each repeatedly until it is acknowledged; returns when the event loop has ended.
    /// After a change of address, notices that the old address did not acknowledge are sent to the new one:
    /// a notice that arrives twice is harmless.
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
                Err(error) => sender.prepare_retry(&error, batch.len()).await,
            }
        }
    }

    /// Waits until there is a notice, and returns the oldest ones. They stay in the queue until they are
    /// acknowledged.
    async fn next_batch(&self) -> Vec<PendingNotice> {
        loop {
            let batch: Vec<_> = self.pending.borrow().iter().take(MAX_BATCH).cloned().collect();
            if !batch.is_empty() {
                return batch;
            }
            self.added.notified().await;
        }
    }

    /// Removes the oldest `count` notices and returns the ids of their messages.
    fn remove_acknowledged(&self, count: usize) -> Vec<MessageId> {
        self.pending.borrow_mut().drain(..count).map(|pending| pending.message_id).collect()
    }
}

/// Sends batches of notices, one at a time.
struct NoticeSender {
    client: DiscoveryClient,
    response_timeout: Duration,
    failure_log: FailureLog,
}

impl NoticeSender {
    fn new(client: DiscoveryClient) -> Self {
        Self { client, response_timeout: INITIAL_RESPONSE_TIMEOUT, failure_log: FailureLog::default() }
    }

    /// Sends a batch; `Ok` means that the whole batch is acknowledged.
    async fn send(&mut self, batch: &[PendingNotice]) -> Result<(), DiscoveryError> {
        let response = self.client.post("/status", encode(batch), self.response_timeout).await?;
        response.into_body(StatusCode::NO_CONTENT)?;
        self.response_timeout = INITIAL_RESPONSE_TIMEOUT;
        Ok(())
    }

    /// Prepares the next request after a failed one: closes the connection, so that the next request opens a
    /// new one, and after any error other than a timeout waits for the retry delay.
    async fn prepare_retry(&mut self, error: &DiscoveryError, notices: usize) {
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

/// A notice in discovery's wire format.
#[derive(Serialize)]
struct NoticeLine<'a> {
    #[serde(rename = "ref")]
    call_id: &'a str,
    result: LineResult,
    #[serde(rename = "wait_ms", skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<i64>,
}

/// The final outcome of a message in discovery's wire format.
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
        let retry_after_ms = retry_after / MICROS_PER_MILLI;
        Self {
            call_id: &notice.call_id,
            result,
            retry_after_ms: (retry_after_ms > 0).then_some(retry_after_ms),
        }
    }
}

/// The body of a request: one JSON object per line.
fn encode(batch: &[PendingNotice]) -> Bytes {
    let mut body = Vec::new();
    for pending in batch {
        // Serialization of strings and integers cannot fail.
        let line = serde_json::to_vec(&NoticeLine::from(&pending.notice)).unwrap_or_default();
        body.extend(line);
        body.push(b'\n');
    }
    body.into()
}
