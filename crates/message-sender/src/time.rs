//! Conversion between the time units of the controller and of the runtime.

use std::time::Duration;

use delivery_control::Micros;

/// Converts a duration of the controller; a negative one becomes zero.
pub fn duration(time: Micros) -> Duration {
    Duration::from_micros(u64::try_from(time).unwrap_or(0))
}

/// Converts a duration of the runtime to the controller's unit, saturating.
pub fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}
