//! Outlier detection: failing and unresponsive endpoints are ejected, probed, and start slowly once a probe
//! is delivered. Also hands each result to the route's rate limit.

use crate::model::{AttemptResult, CallId, Context, Ejection, Health, Rejection, SlowStart, State, View};
use crate::{model::SECOND, retry::jittered, AttemptOutcome, EndpointId, Micros};

const LATENCY_GAIN: f64 = 0.2; // Weight of a new answer time in the moving average
const OUTAGE_FAILURES: u32 = 3; // Failures in a row that mean an outage; one, with no delivery of late
const MIN_PROBE_INTERVAL: Micros = 600_000; // With many senders it is longer, see OutlierDetection::eject
const MAX_PROBE_INTERVAL: Micros = 3 * SECOND;
const PROBE_BACKOFF: f64 = 1.5; // Growth of the interval with each failed probe

/// Judges endpoints by the results of calls, and by calls without one.
pub(crate) struct OutlierDetection<'a> {
    pub context: Context<'a>,
    pub state: &'a mut State,
    pub random: &'a mut fastrand::Rng,
}

impl OutlierDetection<'_> {
    fn view(&self) -> View<'_> {
        self.state.view(self.context)
    }

    /// Takes in how a call ended.
    pub fn record_result(&mut self, result: &AttemptResult, rare_call_factor: f64) {
        let chance = self.random.f64();
        let Some(endpoint) = self.state.endpoints.get_mut(result.endpoint) else { return };
        let route = endpoint.route;
        let was_ejected = endpoint.health.is_ejected();
        if result.outcome.is_answer() {
            endpoint.record_answer(self.context.now);
        }
        let is_outage = match result.outcome {
            AttemptOutcome::Delivered => return self.record_delivery(result),
            AttemptOutcome::Rejected => self.record_rejection(result, rare_call_factor, chance),
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => false,
            _ => self.record_failure(result),
        };
        if !is_outage && !was_ejected {
            return;
        }
        if result.outcome == AttemptOutcome::Rejected {
            for id in self.state.endpoints.on_route(route) {
                self.eject(id, Some(result.call), result.retry_after);
            }
        }
        self.eject(result.endpoint, Some(result.call), result.retry_after);
    }

    /// Takes in a rejection; returns whether it looks like an outage, which is one of the whole route.
    fn record_rejection(&mut self, result: &AttemptResult, rare_call_factor: f64, chance: f64) -> bool {
        let endpoint = &self.state.endpoints[result.endpoint];
        let rejection = Rejection {
            retry_after: result.retry_after,
            sender_count: self.context.sender_count(),
            rare_call_factor,
            assured_demand: self.view().assured_demand(endpoint),
            chance,
        };
        let route = endpoint.route;
        self.state.endpoints.rate_limit_mut(route).record_rejection(self.context.now, &rejection)
    }

    /// Counts a failure; returns whether it looks like an outage.
    fn record_failure(&mut self, result: &AttemptResult) -> bool {
        let Some(endpoint) = self.state.endpoints.get_mut(result.endpoint) else { return false };
        // A lone time-out among answers is a slow call, not an outage.
        let is_slow =
            result.outcome == AttemptOutcome::Timeout && endpoint.answered_at >= Some(result.sent_at);
        endpoint.consecutive_failures += u32::from(!is_slow);
        // Where calls are rare, one failure and no delivery of late is all there will be to go by.
        let enough = if endpoint.is_quiet(self.context.now) { 1 } else { OUTAGE_FAILURES };
        endpoint.consecutive_failures >= enough
    }

    /// Ejects an endpoint, or keeps it ejected after a failed probe: its messages stay buffered, and one
    /// probe at a time goes there, at growing intervals. `call` has failed or was rejected, if any.
    /// Many senders with a message each would overload what comes back, or use up a limit that counts
    /// rejections: the probes of all keep to the rate of a slow start. May hurt where few of them wait.
    fn eject(&mut self, id: EndpointId, call: Option<CallId>, retry_after: Micros) {
        let now = self.context.now;
        let Some(endpoint) = self.state.endpoints.get(id) else { return };
        let suspected = Ejection::suspected(endpoint.outage_start(now), call);
        let before = *endpoint.health.ejection().unwrap_or(&suspected);
        if before.confirmed && before.probe != call {
            return;
        }
        let grown = (before.probe_interval as f64 * PROBE_BACKOFF) as Micros;
        let probe_interval = grown.clamp(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL);
        let view = self.view();
        let initial_rate = view.admissible_rate(endpoint) * view.initial_share();
        let competing_senders = view.competing_senders(endpoint, now - before.since + retry_after);
        let spread = (2.0 * competing_senders / initial_rate * self.random.f64()) as Micros;
        let wait = jittered(probe_interval, self.random).max(spread);
        let ejection = Ejection {
            since: before.since,
            confirmed: before.confirmed || call.is_some(),
            probe_interval,
            next_probe_at: now + retry_after + wait,
            probe: before.probe.filter(|_| before.probe != call),
        };
        if let Some(endpoint) = self.state.endpoints.get_mut(id) {
            endpoint.health = Health::Ejected(ejection);
        }
    }

    /// A delivery raises the rate, and ends an ejection.
    fn record_delivery(&mut self, result: &AttemptResult) {
        let now = self.context.now;
        let endpoint = &self.state.endpoints[result.endpoint];
        let route = endpoint.route;
        let assured_demand = self.view().assured_demand(endpoint);
        let slow_start = self.slow_start(result.endpoint);
        let sender_count = self.context.sender_count();
        let rate_limit = self.state.endpoints.rate_limit_mut(route);
        rate_limit.record_success(now, assured_demand, sender_count);
        rate_limit.apply_load_report(now, sender_count, self.random);
        let Some(endpoint) = self.state.endpoints.get_mut(result.endpoint) else { return };
        let is_cold = endpoint.is_quiet(now);
        endpoint.record_delivery(now, LATENCY_GAIN * ((now - result.sent_at) as f64 - endpoint.latency));
        let Health::Ejected(ejection) = &mut endpoint.health else { return };
        if !ejection.confirmed || !is_cold {
            endpoint.health = Health::Healthy;
        } else if result.sent_at >= ejection.since {
            endpoint.health = Health::SlowStart(slow_start);
            // Rejections of an outage say nothing of the limit: from here on slow start sets the rate.
            // Covers hangs and queues that filled in them; may hurt where rejected calls use up a limit.
            self.state.endpoints.rate_limit_mut(route).rate = None;
        } else if ejection.probe.is_none() {
            ejection.next_probe_at = now; // Sent before the outage: only a reason for an early probe
        }
    }

    /// The slow start of an endpoint that comes back now, and may be cold.
    fn slow_start(&mut self, id: EndpointId) -> SlowStart {
        let now = self.context.now;
        let endpoint = &self.state.endpoints[id];
        let outage = endpoint.health.ejection().map_or(0, |ejection| now - ejection.since);
        let competing_senders = self.view().competing_senders(endpoint, outage);
        let interval = self.view().slow_start_interval(endpoint, 0, competing_senders);
        // The first call falls by chance: the admissible rate of one sender among many is far below a call.
        let next_call_at = now + (interval as f64 * self.random.f64()) as Micros;
        SlowStart { since: now, competing_senders, next_call_at }
    }

    /// Ejects endpoints that leave calls without an answer, well before time-outs: such calls must not take
    /// all permits. Returns when to look again.
    pub fn detect_unresponsive(&mut self) -> Option<Micros> {
        let mut unresponsive = Vec::new();
        let mut next_check_at = None;
        for call in self.state.in_flight.calls() {
            let endpoint = &self.state.endpoints[call.endpoint];
            if endpoint.health.is_ejected() || endpoint.answered_at >= Some(call.sent_at) {
                continue;
            }
            let due = call.sent_at + endpoint.response_timeout();
            if due <= self.context.now {
                unresponsive.push(call.endpoint);
            } else {
                next_check_at = Some(due.min(next_check_at.unwrap_or(due)));
            }
        }
        for id in unresponsive {
            self.eject(id, None, 0);
        }
        next_check_at
    }
}
