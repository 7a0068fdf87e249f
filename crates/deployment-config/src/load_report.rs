//! Decoding of load reports. Their values have the same names in response headers and in the simulator's
//! telemetry.

use delivery_control::LoadReport;

use crate::time::MICROS_PER_MILLI;

// Names of the values on the wire. The latency is in milliseconds there; the other values have the units of
// the fields of `LoadReport`.
const LIMIT_REMAINING: &str = "x0";
const LIMIT: &str = "x1";
const IN_FLIGHT: &str = "concurrent";
const QUEUE: &str = "depth";
const UTILIZATION: &str = "load_share";
const LATENCY_MS: &str = "mean_ms";
const RATE: &str = "tps";
const ERROR_RATE: &str = "err_ps";

/// Decodes a load report. `value` looks up a reported value by its name on the wire, and returns `None` for a
/// value that was not reported.
pub fn load_report(value: impl Fn(&str) -> Option<f64>) -> LoadReport {
    LoadReport {
        limit_remaining: value(LIMIT_REMAINING),
        limit: value(LIMIT),
        in_flight: value(IN_FLIGHT),
        queue: value(QUEUE),
        utilization: value(UTILIZATION),
        latency: value(LATENCY_MS).map(|millis| millis * MICROS_PER_MILLI),
        rate: value(RATE),
        error_rate: value(ERROR_RATE),
    }
}
