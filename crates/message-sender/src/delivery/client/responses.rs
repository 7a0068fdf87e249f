//! Receives the responses of attempts to their end, and those that follow data of an earlier request.

use std::rc::Rc;

use delivery_control::AttemptOutcome;
use hyper::body::Incoming;
use hyper::Response;

use super::DeliveryClient;
use crate::delivery::attempt::{AttemptResult, Call, Target};
use crate::delivery::progress::{AttemptFailure, AttemptProgress};
use crate::delivery::response::interpret;
use crate::http_connection::{Connection, Exchange, ResponseRemainder};

/// Maximum length of a response body that is read, in bytes. The body is not used, but must be read before
/// its connection can carry another request.
pub(super) const MAX_RESPONSE_BODY_BYTES: usize = 64 * 1024;

impl DeliveryClient {
    /// Waits for the head of the response to a request, after early data that is no response or a doubted one. A
    /// doubted response counts if no other one follows until it is plausible. The connection is not used again.
    /// Unless the message was delivered, it may have been processed: only a response that was received in full
    /// proves that it was not.
    pub(super) async fn receive_delayed_response(
        &self,
        call: &Call,
        progress: &mut AttemptProgress,
    ) -> Result<AttemptResult, AttemptFailure> {
        let exchange = progress.exchange().ok_or(AttemptFailure::DelayedResponse)?;
        let connection = progress.connection.as_mut().ok_or(AttemptFailure::DelayedResponse)?;
        connection.stop().await;
        let doubted = exchange.unreplaced_response_time();
        tracing::debug!(call_id = ?call.call_id, endpoint = call.endpoint, ?doubted, "awaiting another response");
        if doubted.is_none() {
            self.record_early_data(call);
        }
        match doubted {
            Some(response_time) => tokio::select! {
                biased;
                () = connection.wait_for_delayed_head(&exchange) => {}
                () = self.pool.wait_until_plausible(call.endpoint, response_time) => {}
            },
            None if exchange.is_request_written() => connection.wait_for_delayed_head(&exchange).await,
            None => {}
        }
        if doubted.is_some() && exchange.unreplaced_response_time().is_none() {
            self.record_early_data(call);
        }
        let head = exchange.delayed_head().ok_or(AttemptFailure::DelayedResponse)?;
        progress.connection = None;
        let result = interpret(head.status, &head.headers);
        self.restrictions.record_retry_after(call.route, result.retry_after);
        if result.outcome == AttemptOutcome::Delivered {
            return Ok(result);
        }
        Ok(without_proof(result))
    }

    /// Records that early data belonged to an earlier request.
    fn record_early_data(&self, call: &Call) {
        tracing::info!(call_id = ?call.call_id, endpoint = call.endpoint, "discarded early data");
        self.pool.record_excess_data(call.target());
    }

    /// Reads the response to an undelivered message to its end. A response that says that the message was
    /// not processed counts only if it arrives in full: a corrupt one proves nothing.
    pub(super) async fn finish_undelivered(
        &self,
        call: &Call,
        progress: &mut AttemptProgress,
        result: AttemptResult,
        response: Response<Incoming>,
    ) -> Result<AttemptResult, AttemptFailure> {
        let Some(connection) = progress.connection.as_mut() else {
            return Err(AttemptFailure::IncompleteResponse);
        };
        let remainder = connection.read_remainder(response.into_body(), MAX_RESPONSE_BODY_BYTES).await;
        if remainder == ResponseRemainder::Incomplete {
            return Err(AttemptFailure::IncompleteResponse);
        }
        self.restrictions.record_retry_after(call.route, result.retry_after);
        if is_connection_rejected(connection, remainder, &result) {
            self.pool.record_saturation(call.endpoint);
            return Ok(AttemptOutcome::NotSent.into());
        }
        match (remainder, progress.connection.take()) {
            (ResponseRemainder::Complete, Some(connection)) => self.put_idle(call.target(), connection),
            (ResponseRemainder::ExcessData, Some(connection)) => {
                connection.close().await;
                // The response's length may be wrong.
                return Ok(without_proof(result));
            }
            // The connection has ended.
            _ => {}
        }
        Ok(result)
    }

    /// Reads the rest of the response to a delivered message and keeps the connection for the next attempt.
    pub(super) async fn finish_delivered(
        self: Rc<Self>,
        target: Target,
        mut connection: Connection,
        response: Response<Incoming>,
    ) {
        let remainder = {
            let _pending_read = self.pool.begin_read();
            connection.read_remainder(response.into_body(), MAX_RESPONSE_BODY_BYTES).await
        };
        if remainder == ResponseRemainder::Complete {
            self.put_idle(target, connection);
        }
    }

    /// Whether one more response may be read after its attempt has ended. May close idle connections to
    /// free a descriptor for it.
    pub(super) fn may_finish_delivered(&self) -> bool {
        self.pool.free_capacity_for_read() && !self.restrictions.is_suspended()
    }

    pub(super) fn put_idle(&self, target: Target, connection: Connection) {
        if !self.restrictions.is_suspended() {
            self.pool.put(target, connection);
        }
    }
}

/// How an attempt failed whose response could not be received. The HTTP library overlooks a response that follows
/// premature data.
pub(super) fn failure_of_send(exchange: &Exchange) -> AttemptFailure {
    if exchange.has_premature_data() {
        AttemptFailure::DelayedResponse
    } else {
        AttemptFailure::Broken
    }
}

/// The result of a response that is no proof that the message was not processed. Its Retry-After applies anyway.
fn without_proof(result: AttemptResult) -> AttemptResult {
    AttemptResult { retry_after: result.retry_after, ..AttemptOutcome::Error.into() }
}

/// Whether an endpoint has rejected a new connection for lack of capacity. A rejection because of a rate
/// limit or a closed destination would have carried more details and kept the connection. This rejection
/// indicates neither of them, so it must neither slow down other attempts nor count as an outage.
fn is_connection_rejected(
    connection: &Connection,
    remainder: ResponseRemainder,
    result: &AttemptResult,
) -> bool {
    remainder == ResponseRemainder::CompleteAndClosed
        && result.outcome == AttemptOutcome::Rejected
        && result.retry_after == 0
        && result.load_report.is_none()
        && !connection.is_reused()
}
