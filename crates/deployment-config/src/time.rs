//! Conversion between the milliseconds of settings and of the simulator's wire, and the controller's
//! microseconds.

use delivery_control::Micros;

pub(crate) const MICROS_PER_MILLI: f64 = 1e3;

/// Milliseconds as microseconds, rounded to the nearest.
pub fn micros_from_millis(millis: f64) -> Micros {
    (millis * MICROS_PER_MILLI).round() as Micros
}

/// As [`micros_from_millis`]; a value that is absent counts as 0.
pub fn micros_or_zero(millis: Option<f64>) -> Micros {
    millis.map_or(0, micros_from_millis)
}

/// Microseconds as milliseconds.
pub fn millis_from_micros(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_MILLI
}
