//! Conversion between the time units of the controller and of the runtime.

use std::time::Duration;

use delivery_control::Micros;

/// A duration of the controller; a negative one is taken for zero.
pub fn duration(time: Micros) -> Duration {
    Duration::from_micros(u64::try_from(time).unwrap_or(0))
}
