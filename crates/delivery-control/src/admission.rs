//! Admission control: tenant quotas, the value of a message, and load shedding when the buffer is nearly
//! full.

use crate::model::{Context, Message, ShedCandidate, TenantQuotas, View, SECOND};
use crate::{MessageSubmission, Micros, ValueDecay};

/// Fraction of the buffer capacity above which load is shed.
const SHED_THRESHOLD: f64 = 0.97;
/// Capacity of a tenant's token bucket, in seconds of its quota.
const QUOTA_BURST_SECONDS: f64 = 2.0;
/// Latest deadline of a message, in µs; sums with later times might overflow.
const LATEST_DEADLINE: Micros = Micros::MAX / 4;

impl TenantQuotas {
    /// Takes a token from the tenant's bucket, if one is left. Returns the factor for the message's value;
    /// it is the setting `over_quota_value` if no token is left.
    fn take_token(&mut self, context: Context, tenant: Option<usize>) -> f64 {
        let index = tenant.unwrap_or(usize::MAX);
        let Some(tenant) = context.settings.tenants.get(index) else { return 1.0 };
        let rate = tenant.quota / context.sender_count();
        let bucket = &mut self.buckets[index];
        let refill = (context.now - bucket.filled_at) as f64 / SECOND as f64 * rate;
        bucket.tokens = (bucket.tokens + refill).min((QUOTA_BURST_SECONDS * rate).max(1.0));
        bucket.filled_at = context.now;
        if bucket.tokens < 1.0 {
            return context.settings.over_quota_value.max(0.0);
        }
        bucket.tokens -= 1.0;
        context.settings.over_quota_value.max(1.0)
    }

    /// Builds the message for a submission, and counts it against its tenant's quota. `None` if the class
    /// is unknown.
    pub fn admit(&mut self, context: Context, submission: &MessageSubmission) -> Option<Message> {
        let class = context.settings.classes.get(submission.class)?;
        let stretch = class.latency_objective_stretch * submission.work.unwrap_or(0) as f64;
        let objective = (class.latency_objective + stretch as Micros).min(class.deadline).max(1);
        let deadline = context.now.saturating_add(submission.time_left).min(LATEST_DEADLINE);
        Some(Message {
            class: submission.class,
            destination: submission.destination,
            order_key: submission.order_key.clone().filter(|_| class.ordered),
            value: class.value * self.take_token(context, submission.tenant),
            objective_at: deadline - class.deadline + objective,
            deadline,
            ..Message::default()
        })
    }
}

/// Value of a message that is delivered at the time `at`, in µs on the host's clock.
pub(crate) fn value_at(context: Context, message: &Message, at: Micros) -> f64 {
    let class = context.class(message);
    let lateness = at - message.objective_at;
    let decay_time = message.deadline - message.objective_at;
    let fraction = match context.settings.decay {
        _ if at >= message.deadline => 0.0,
        _ if lateness <= 0 => 1.0,
        ValueDecay::Linear => 1.0 - (1.0 - class.residual_value) * lateness as f64 / decay_time.max(1) as f64,
        ValueDecay::Exponential => {
            0.5f64.powf(lateness as f64 / class.latency_objective.max(1) as f64).max(class.residual_value)
        }
    };
    fraction * message.value
}

impl View<'_> {
    /// When the buffer is nearly full, returns the waiting message that would have the least value left at
    /// its expected delivery, so that messages for healthy destinations still find room. This can cost
    /// deliveries when a long outage is about to end. Messages that may have taken effect, and recovered
    /// messages without an attempt, are never shed.
    pub fn next_to_shed(&self) -> Option<ShedCandidate> {
        let messages = &self.state.messages;
        let threshold = (self.context.settings.limits.buffer_capacity as f64 * SHED_THRESHOLD) as usize;
        if messages.len() <= threshold.max(1) {
            return None;
        }
        let mut lowest = None;
        for (_, destination) in self.state.endpoints.destinations() {
            let retry_after = self.expected_wait(destination);
            for &id in &destination.waiting {
                let message = &messages[id];
                let value = value_at(self.context, message, self.context.now + retry_after);
                let is_exempt = message.first_ambiguous.is_some() || message.recovered_unattempted;
                let is_lowest = lowest
                    .as_ref()
                    .is_none_or(|lowest: &ShedCandidate| value.total_cmp(&lowest.value).is_lt());
                if is_lowest && !is_exempt {
                    lowest = Some(ShedCandidate { id, retry_after, value });
                }
            }
        }
        lowest
    }
}
