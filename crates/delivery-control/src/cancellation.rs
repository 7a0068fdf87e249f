//! Which attempt is cancelled when other messages wait for its permit.

use crate::model::{Attempt, StuckAttempt, View};
use crate::{MessageId, Micros};

const LATE_LATENCIES: f64 = 10.0; // An overtaken attempt is late after this multiple of the average latency
const MIN_LATE: Micros = 200_000; // Lower bound of that time in µs
/// Factor on the time that a message which may not be repeated gets: if its answer is lost, so is the
/// message.
const UNREPEATABLE_FACTOR: Micros = 2;

impl View<'_> {
    /// The attempt that is overdue first, of those that were overtaken, as their endpoint has answered
    /// others since, and those to an endpoint that stopped answering. This covers hangs, lost calls and
    /// slowness alike, but may cancel an attempt whose slow answer was about to arrive, as with the rare
    /// message that takes very long.
    pub fn first_stuck_attempt(&self) -> Option<StuckAttempt> {
        let attempts = self.state.in_flight.attempts();
        let stuck = attempts.filter_map(|(key, attempt)| {
            let overdue_at = self.overdue_at(key.message, attempt)?;
            Some(StuckAttempt { overdue_at, key: *key })
        });
        stuck.min()
    }

    /// When an attempt that looks stuck may be cancelled; `None` for any other. An overtaken attempt gets
    /// at most the time of one to an unresponsive endpoint, and less if the latency is low: where single
    /// answers are lost, attempts without an answer would otherwise occupy most permits.
    fn overdue_at(&self, id: MessageId, attempt: &Attempt) -> Option<Micros> {
        let endpoint = &self.state.endpoints[attempt.endpoint];
        let message = self.state.messages.get(id);
        let is_overtaken = endpoint.answered_at > Some(attempt.sent_at);
        let is_streaming = message.is_some_and(|message| message.streaming);
        if attempt.cancelled || is_streaming || !(is_overtaken || endpoint.health.is_ejected()) {
            return None;
        }
        let late_after = MIN_LATE.max((endpoint.latency * LATE_LATENCIES) as Micros);
        let response_timeout = endpoint.response_timeout();
        let time = if is_overtaken { late_after.min(response_timeout) } else { response_timeout };
        let is_unrepeatable = message.is_some_and(|message| self.context.is_unrepeatable(message));
        let factor = if is_unrepeatable { UNREPEATABLE_FACTOR } else { 1 };
        Some(attempt.sent_at + factor * time)
    }
}
