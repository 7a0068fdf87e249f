//! Cancellation: which attempt is cancelled when other messages wait for its permit.

use crate::model::{Attempt, StuckAttempt, View};
use crate::{MessageId, Micros};

/// An overtaken attempt may be cancelled after this multiple of its endpoint's average latency.
const OVERTAKEN_TIMEOUT_LATENCIES: f64 = 10.0;
/// Lower bound in µs of the time after which an overtaken attempt may be cancelled.
const MIN_OVERTAKEN_TIMEOUT: Micros = 200_000;
/// Factor on the time after which an attempt may be cancelled if its message may not be repeated: when the
/// response is lost, so is the message.
const UNREPEATABLE_FACTOR: Micros = 2;

impl View<'_> {
    /// The attempt that is overdue first, among the overtaken ones, whose endpoint has responded to others
    /// since, and those to an ejected endpoint. This covers hangs, lost calls and slowness alike, but may
    /// cancel an attempt whose slow response was about to arrive, as with the rare message that takes very
    /// long.
    pub fn first_stuck_attempt(&self) -> Option<StuckAttempt> {
        let attempts = self.state.in_flight.attempts();
        let stuck = attempts.filter_map(|(key, attempt)| {
            let overdue_at = self.overdue_at(key.message, attempt)?;
            Some(StuckAttempt { overdue_at, key: *key })
        });
        stuck.min()
    }

    /// When an attempt that is overtaken or goes to an ejected endpoint may be cancelled; `None` for any
    /// other. An overtaken attempt gets at most the time of one to an ejected endpoint, and less if the
    /// latency is low: where single responses are lost, attempts without a response would otherwise occupy
    /// most permits.
    fn overdue_at(&self, id: MessageId, attempt: &Attempt) -> Option<Micros> {
        let endpoint = &self.state.endpoints[attempt.endpoint];
        let message = self.state.messages.get(id);
        let is_overtaken = endpoint.answered_at > Some(attempt.sent_at);
        let is_streaming = message.is_some_and(|message| message.streaming);
        if attempt.cancelled || is_streaming || !(is_overtaken || endpoint.health.is_ejected()) {
            return None;
        }
        let overtaken_timeout =
            MIN_OVERTAKEN_TIMEOUT.max((endpoint.latency * OVERTAKEN_TIMEOUT_LATENCIES) as Micros);
        let response_timeout = endpoint.response_timeout();
        let time = if is_overtaken { overtaken_timeout.min(response_timeout) } else { response_timeout };
        let is_unrepeatable = message.is_some_and(|message| self.context.is_unrepeatable(message));
        let factor = if is_unrepeatable { UNREPEATABLE_FACTOR } else { 1 };
        Some(attempt.sent_at + factor * time)
    }
}
