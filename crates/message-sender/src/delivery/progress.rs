//! The progress of an attempt, and the outcome that follows from it if there is no usable response.

use std::cell::Cell;
use std::rc::Rc;

use delivery_control::AttemptOutcome;

use super::attempt::Call;
use super::request::PreparedRequest;
use super::response::is_delivered;
use crate::http_connection::{Connection, EarlyData, Exchange, IncompleteRequest};

/// Why an attempt ended without a usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The attempt was not allowed to start, or this process lacked the resources for it.
    NotStarted,
    /// No connection was established.
    NotConnected,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt took longer than its timeout.
    TimedOut,
    /// The connection broke, or the response could not be parsed.
    Broken,
    /// The response was not received in full.
    IncompleteResponse,
    /// Early data was received that is no response or a doubted one, and no well-formed response has followed.
    DelayedResponse,
}

impl AttemptFailure {
    /// The outcome if the message may have been processed.
    fn outcome_if_possibly_processed(self) -> AttemptOutcome {
        match self {
            Self::Cancelled => AttemptOutcome::Cancelled,
            Self::TimedOut => AttemptOutcome::Timeout,
            Self::IncompleteResponse | Self::DelayedResponse => AttemptOutcome::Error,
            Self::Broken | Self::NotStarted | Self::NotConnected => AttemptOutcome::Reset,
        }
    }

    /// The outcome if the request was not written in full. An endpoint does not process a message before it has
    /// received its last byte.
    fn outcome_if_not_processed(self, _: IncompleteRequest) -> AttemptOutcome {
        match self {
            Self::NotStarted | Self::Cancelled => AttemptOutcome::NotSent,
            Self::NotConnected
            | Self::TimedOut
            | Self::Broken
            | Self::IncompleteResponse
            | Self::DelayedResponse => AttemptOutcome::ConnectFailed,
        }
    }
}

/// The progress of an attempt. It remains available after the attempt is cancelled or has timed out.
pub struct AttemptProgress {
    request: PreparedRequest,
    /// The connection that the request is or was sent on, until the connection is returned to the pool.
    pub connection: Option<Connection>,
    /// The exchange of the request, once its first byte may have been sent. Kept when the connection is gone.
    exchange: Option<Rc<Exchange>>,
}

impl AttemptProgress {
    /// The progress of an attempt that has not started.
    pub fn new(call: &Call) -> Self {
        Self { request: PreparedRequest::new(call), connection: None, exchange: None }
    }

    /// The request of the attempt.
    pub fn request(&self) -> &PreparedRequest {
        &self.request
    }

    /// Records that the first byte of the request may be sent from now on. Increments `written_requests` once
    /// its last byte was written. `early_data` tells what is unusual soon after that on a used connection.
    pub fn begin_exchange(
        &mut self,
        written_requests: &Rc<Cell<u64>>,
        early_data: Option<EarlyData>,
    ) -> Rc<Exchange> {
        let exchange = Exchange::new(self.request.wire_length(), written_requests, early_data);
        self.exchange.insert(exchange).clone()
    }

    /// The exchange of the request, once its first byte may have been sent.
    pub fn exchange(&self) -> Option<Rc<Exchange>> {
        self.exchange.clone()
    }

    /// Closes the connection and forgets the exchange that was begun on it, in which nothing was written. The
    /// connection must have been stopped.
    pub fn revoke_exchange(&mut self) {
        self.connection = None;
        self.exchange = None;
    }

    /// Whether the first byte of the request may have been sent.
    pub fn request_started(&self) -> bool {
        self.exchange.is_some()
    }

    /// Whether the request was written in full, and no byte of a response has arrived.
    pub fn lacks_response(&self) -> bool {
        self.exchange
            .as_ref()
            .is_some_and(|exchange| exchange.is_request_written() && !exchange.has_received())
    }

    /// The outcome of an attempt that ended without a usable response. Its connection must have been stopped.
    /// Unless the request is proven to be incomplete, the message may have been processed.
    pub fn outcome(&self, failure: AttemptFailure) -> AttemptOutcome {
        let Some(exchange) = &self.exchange else {
            return failure.outcome_if_not_processed(IncompleteRequest::never_passed_to_a_connection());
        };
        // The status holds even if the rest of the response is corrupt. An endpoint may send it before the
        // request has been written in full.
        let is_delivered = exchange.response_status().is_some_and(is_delivered);
        if is_delivered && exchange.bytes_written() > 0 {
            return AttemptOutcome::Delivered;
        }
        match exchange.incomplete_request() {
            Some(proof) => failure.outcome_if_not_processed(proof),
            None => failure.outcome_if_possibly_processed(),
        }
    }
}
