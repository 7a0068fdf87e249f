//! Which call is cancelled when others wait for its permit.

use crate::model::{Attempt, StuckAttempt, View};
use crate::{MessageId, Micros};

const LATE_LATENCIES: f64 = 10.0; // An overtaken call is late after so many usual answer times
const MIN_LATE: Micros = 200_000; // And this time at least
const UNREPEATABLE_FACTOR: Micros = 2; // More time for what may not be repeated: it is lost with its answer

impl View<'_> {
    /// The attempt that is overdue first: overtaken by later ones, or to an endpoint that stopped answering.
    /// Covers hangs, lost calls and slowness alike; may hurt where a slow answer was about to come, as with
    /// the rare message that takes very long.
    pub fn first_stuck_attempt(&self) -> Option<StuckAttempt> {
        let attempts = self.state.in_flight.attempts();
        let stuck = attempts.filter_map(|(key, attempt)| {
            let overdue_at = self.overdue_at(key.message, attempt)?;
            Some(StuckAttempt { overdue_at, key: *key })
        });
        stuck.min()
    }

    /// When an attempt that looks stuck may be cancelled. An overtaken one is not given the time of an
    /// unresponsive endpoint's: where answers get lost one by one, those would take most permits.
    fn overdue_at(&self, id: MessageId, attempt: &Attempt) -> Option<Micros> {
        let endpoint = &self.state.endpoints[attempt.endpoint];
        let message = self.state.messages.get(id);
        let is_overtaken = endpoint.answered_at > Some(attempt.sent_at);
        let is_streaming = message.is_some_and(|message| message.streaming);
        if attempt.cancelled || is_streaming || !(is_overtaken || endpoint.health.is_ejected()) {
            return None;
        }
        let late = MIN_LATE.max((endpoint.latency * LATE_LATENCIES) as Micros);
        let response_timeout = endpoint.response_timeout();
        let time = if is_overtaken { late.min(response_timeout) } else { response_timeout };
        let is_unrepeatable = message.is_some_and(|message| self.context.is_unrepeatable(message));
        let factor = if is_unrepeatable { UNREPEATABLE_FACTOR } else { 1 };
        Some(attempt.sent_at + factor * time)
    }
}
