//! Admission of messages: tenant quotas, the value of a message, and which one is shed when the buffer is
//! nearly full.

use crate::model::{Context, Message, Shed, TenantQuotas, View, SECOND};
use crate::{MessageSubmission, Micros, ValueDecay};

const SHED_FILL: f64 = 0.97; // Fill of the buffer from which load is shed, as a fraction
const QUOTA_BURST_SECONDS: f64 = 2.0; // Unused quota is kept for this long
const LATEST_DEADLINE: Micros = Micros::MAX / 4; // Sums with later times might overflow

impl TenantQuotas {
    /// Counts a message against its tenant's quota; returns the part of the value that the message has.
    fn take(&mut self, context: Context, tenant: Option<usize>) -> f64 {
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

    /// The message that a submission becomes; none if its class is unknown.
    pub fn admit(&mut self, context: Context, submission: &MessageSubmission) -> Option<Message> {
        let class = context.settings.classes.get(submission.class)?;
        let stretch = class.latency_objective_stretch * submission.work.unwrap_or(0) as f64;
        let objective = (class.latency_objective + stretch as Micros).min(class.deadline).max(1);
        let deadline = context.now.saturating_add(submission.time_left).min(LATEST_DEADLINE);
        Some(Message {
            class: submission.class,
            destination: submission.destination,
            order_key: submission.order_key.clone().filter(|_| class.ordered),
            value: class.value * self.take(context, submission.tenant),
            objective_at: deadline - class.deadline + objective,
            deadline,
            ..Message::default()
        })
    }
}

/// Value of a delivery of the message at a time.
pub(crate) fn value_at(context: Context, message: &Message, at: Micros) -> f64 {
    let class = context.class(message);
    let late = at - message.objective_at;
    let span = message.deadline - message.objective_at;
    let part = match context.settings.decay {
        _ if at >= message.deadline => 0.0,
        _ if late <= 0 => 1.0,
        ValueDecay::Linear => 1.0 - (1.0 - class.residual_value) * late as f64 / span.max(1) as f64,
        ValueDecay::Exponential => {
            0.5f64.powf(late as f64 / class.latency_objective.max(1) as f64).max(class.residual_value)
        }
    };
    part * message.value
}

impl View<'_> {
    /// When the buffer is nearly full: the message with the least value left by the time it could be
    /// delivered, lest messages for healthy destinations find no room. May hurt when a long outage is about
    /// to end. Messages that may have taken effect, or waited through a restart, stay.
    pub fn next_to_shed(&self) -> Option<Shed> {
        let messages = &self.state.messages;
        let most = (self.context.settings.limits.buffer_capacity as f64 * SHED_FILL) as usize;
        if messages.len() <= most.max(1) {
            return None;
        }
        let mut least = None;
        for (_, destination) in self.state.endpoints.destinations() {
            let retry_after = self.expected_wait(destination);
            for &id in &destination.waiting {
                let message = &messages[id];
                let value = value_at(self.context, message, self.context.now + retry_after);
                let is_exempt = message.first_ambiguous.is_some() || message.recovered_unattempted;
                let is_less = least.as_ref().is_none_or(|least: &Shed| value.total_cmp(&least.value).is_lt());
                if is_less && !is_exempt {
                    least = Some(Shed { id, retry_after, value });
                }
            }
        }
        least
    }
}
