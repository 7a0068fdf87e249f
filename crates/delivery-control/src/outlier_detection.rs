//! Outlier detection: failing and unresponsive endpoints are ejected and probed. Once a probe is delivered,
//! an endpoint that may be cold gets a slow start. Also passes deliveries and rejections to the route's
//! rate limit.

use crate::model::{AttemptResult, CallId, Context, Ejection, Health, Rejection, SlowStart, State, View};
use crate::{model::SECOND, retry::jittered, AttemptOutcome, EndpointId, Micros};

/// Weight of a new delivery's latency in the moving average.
const LATENCY_GAIN: f64 = 0.2;
/// Consecutive failures that are taken for an outage; without a recent delivery, one is enough.
const OUTAGE_FAILURES: u32 = 3;
/// Initial probe interval in µs, before jitter. With many senders, probes are further apart: see
/// [`OutlierDetection::eject`].
const MIN_PROBE_INTERVAL: Micros = 600_000;
/// Maximum of the growing probe interval in µs, before jitter.
const MAX_PROBE_INTERVAL: Micros = 3 * SECOND;
/// Factor by which the probe interval grows with each failed probe.
const PROBE_BACKOFF: f64 = 1.5;

/// Updates the health of endpoints from the results of calls, and from calls without a response.
pub(crate) struct OutlierDetection<'a> {
    pub context: Context<'a>,
    pub state: &'a mut State,
    pub random: &'a mut fastrand::Rng,
}

impl OutlierDetection<'_> {
    fn view(&self) -> View<'_> {
        self.state.view(self.context)
    }

    /// Applies the result of a call to its endpoint and to the rate limit of the endpoint's route.
    pub fn record_result(&mut self, result: &AttemptResult, rare_call_factor: f64) {
        let jitter_sample = self.random.f64();
        let Some(endpoint) = self.state.endpoints.get_mut(result.endpoint) else { return };
        let route = endpoint.route;
        let was_ejected = endpoint.health.is_ejected();
        if result.outcome.is_response() {
            endpoint.record_response(self.context.now);
        }
        let is_outage = match result.outcome {
            AttemptOutcome::Delivered => return self.record_delivery(result),
            AttemptOutcome::Rejected => self.record_rejection(result, rare_call_factor, jitter_sample),
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

    /// Applies a rejection to the route's rate limit; returns whether it looks like an outage, which then
    /// affects the whole route.
    fn record_rejection(
        &mut self,
        result: &AttemptResult,
        rare_call_factor: f64,
        jitter_sample: f64,
    ) -> bool {
        let endpoint = &self.state.endpoints[result.endpoint];
        let rejection = Rejection {
            retry_after: result.retry_after,
            sender_count: self.context.sender_count(),
            rare_call_factor,
            assured_demand: self.view().assured_demand(endpoint),
            jitter_sample,
        };
        let route = endpoint.route;
        self.state.endpoints.rate_limit_mut(route).record_rejection(self.context.now, &rejection)
    }

    /// Counts a failure; returns whether it looks like an outage.
    fn record_failure(&mut self, result: &AttemptResult) -> bool {
        let Some(endpoint) = self.state.endpoints.get_mut(result.endpoint) else { return false };
        // If the endpoint has responded since the call was sent, a timeout means a slow call, not an outage.
        let is_slow =
            result.outcome == AttemptOutcome::Timeout && endpoint.answered_at >= Some(result.sent_at);
        endpoint.consecutive_failures += u32::from(!is_slow);
        // Where calls are rare, further failures would come too late, so one without a recent delivery
        // suffices.
        let threshold = if endpoint.lacks_recent_delivery(self.context.now) { 1 } else { OUTAGE_FAILURES };
        endpoint.consecutive_failures >= threshold
    }

    /// Ejects an endpoint, or keeps it ejected after a failed probe: its messages stay buffered, and it
    /// gets one probe at a time, at growing intervals. `call` is the one that failed or was rejected;
    /// `None` if calls have had no response yet.
    ///
    /// If each of many senders sent a message at once, they would overload an endpoint that recovers, or
    /// use up a limit that counts rejected calls. The probes of all senders together therefore keep to the
    /// initial rate of a slow start. This delays recovery needlessly where few senders have messages
    /// waiting.
    fn eject(&mut self, id: EndpointId, call: Option<CallId>, retry_after: Micros) {
        let now = self.context.now;
        let Some(endpoint) = self.state.endpoints.get(id) else { return };
        let suspected = Ejection::suspected(endpoint.outage_start(now), call);
        let previous = *endpoint.health.ejection().unwrap_or(&suspected);
        if previous.confirmed && previous.probe != call {
            return;
        }
        let grown = (previous.probe_interval as f64 * PROBE_BACKOFF) as Micros;
        let probe_interval = grown.clamp(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL);
        let view = self.view();
        let initial_rate = view.admissible_rate(endpoint) * view.initial_share();
        let competing_senders = view.competing_senders(endpoint, now - previous.since + retry_after);
        let spread = (2.0 * competing_senders / initial_rate * self.random.f64()) as Micros;
        let wait = jittered(probe_interval, self.random).max(spread);
        let ejection = Ejection {
            since: previous.since,
            confirmed: previous.confirmed || call.is_some(),
            probe_interval,
            next_probe_at: now + retry_after + wait,
            probe: previous.probe.filter(|_| previous.probe != call),
        };
        if let Some(endpoint) = self.state.endpoints.get_mut(id) {
            endpoint.health = Health::Ejected(ejection);
        }
    }

    /// Applies a delivery: it raises the rate of the route and, as a rule, ends an ejection.
    fn record_delivery(&mut self, result: &AttemptResult) {
        let now = self.context.now;
        let endpoint = &self.state.endpoints[result.endpoint];
        let route = endpoint.route;
        let assured_demand = self.view().assured_demand(endpoint);
        let slow_start = self.slow_start(result.endpoint);
        let sender_count = self.context.sender_count();
        let rate_limit = self.state.endpoints.rate_limit_mut(route);
        rate_limit.record_delivery(now, assured_demand, sender_count);
        rate_limit.apply_load_report(now, sender_count, self.random);
        let Some(endpoint) = self.state.endpoints.get_mut(result.endpoint) else { return };
        let is_cold = endpoint.lacks_recent_delivery(now);
        endpoint.record_delivery(now, LATENCY_GAIN * ((now - result.sent_at) as f64 - endpoint.latency));
        let Health::Ejected(ejection) = &mut endpoint.health else { return };
        if !ejection.confirmed || !is_cold {
            endpoint.health = Health::Healthy;
        } else if result.sent_at >= ejection.since {
            endpoint.health = Health::SlowStart(slow_start);
            // Rejections during an outage say nothing about the limit, so from here on the slow start sets
            // the rate. This covers hangs and queues that filled up during them. Where rejected calls use up
            // a limit, it may cause more rejections.
            self.state.endpoints.rate_limit_mut(route).rate = None;
        } else if ejection.probe.is_none() {
            // The call was sent before the outage, so that its delivery does not prove recovery. It is only a
            // reason for an early probe.
            ejection.next_probe_at = now;
        }
    }

    /// The slow start of an endpoint that recovers now and may be cold.
    fn slow_start(&mut self, id: EndpointId) -> SlowStart {
        let now = self.context.now;
        let endpoint = &self.state.endpoints[id];
        let outage = endpoint.health.ejection().map_or(0, |ejection| now - ejection.since);
        let competing_senders = self.view().competing_senders(endpoint, outage);
        let interval = self.view().slow_start_interval(endpoint, 0, competing_senders);
        // The first call is at a random time within the interval: among many senders, the share of each
        // in the admissible calls is far below one call.
        let next_call_at = now + (interval as f64 * self.random.f64()) as Micros;
        SlowStart { since: now, competing_senders, next_call_at }
    }

    /// Ejects endpoints that do not respond to calls, well before the calls time out, so that such calls do
    /// not use up all permits. Returns when the next check is due, if any.
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
