//! Value of a message and its decay with time.

use crate::model::{Context, Message};
use crate::{Micros, ValueDecay};

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
