//! Conversion between the controller's durations, in microseconds, and those of the standard library.

use std::time::Duration;

use delivery_control::Micros;

/// Converts a duration in microseconds. A negative one becomes zero.
pub fn duration(time: Micros) -> Duration {
    Duration::from_micros(u64::try_from(time).unwrap_or(0))
}

/// Converts a duration to microseconds, saturating at the maximum.
pub fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}
