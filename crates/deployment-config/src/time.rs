//! Conversion between milliseconds, as in settings and the simulator's protocol, and the controller's
//! microseconds.

use delivery_control::Micros;

pub(crate) const MICROS_PER_MILLI: f64 = 1e3;

/// Converts milliseconds to microseconds, rounded to the nearest integer.
pub fn micros_from_millis(millis: f64) -> Micros {
    (millis * MICROS_PER_MILLI).round() as Micros
}

/// Like [`micros_from_millis`], but returns 0 for an absent value.
pub fn micros_or_zero(millis: Option<f64>) -> Micros {
    millis.map_or(0, micros_from_millis)
}

/// Converts microseconds to milliseconds.
pub fn millis_from_micros(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_MILLI
}
