//! The names that endpoints give the values of a load report, in headers as in the simulator's telemetry.

use delivery_control::LoadReport;

use crate::time::MICROS_PER_MILLI;

const LIMIT_REMAINING: &str = "x0";
const LIMIT: &str = "x1";
const IN_FLIGHT: &str = "concurrent";
const QUEUE: &str = "depth";
const UTILIZATION: &str = "load_share";
const LATENCY_MS: &str = "mean_ms";
const RATE: &str = "tps";
const ERROR_RATE: &str = "err_ps";

/// Decodes a load report from a function that looks up a value by its name on the wire.
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
