//! Jitter of waits, so that messages and senders fall out of step.

use crate::Micros;

/// Waits stretch by up to this part.
pub(crate) const JITTER: f64 = 0.5;

/// Random factor by which a wait is stretched.
pub(crate) fn jitter_factor(random: &mut fastrand::Rng) -> f64 {
    1.0 + JITTER * random.f64()
}

/// Stretches a wait by a random part of it.
pub(crate) fn jittered(span: Micros, random: &mut fastrand::Rng) -> Micros {
    (span as f64 * jitter_factor(random)) as Micros
}
