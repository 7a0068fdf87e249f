//! Maps the status and headers of a response to an attempt's result, as defined by the protocol's status
//! table.

use delivery_control::{AttemptOutcome, LoadReport, Micros};
use hyper::header::HeaderMap;
use hyper::StatusCode;

use super::attempt::AttemptResult;

/// Header with the load report, such as `x0=0.4,x1=25`.
const LOAD_REPORT: &str = "x-load-report";
/// Header that says that the endpoint was busy and has not processed the message.
const BUSY: &str = "x-line-busy";
/// Header with the Retry-After of a rejection, in milliseconds.
const RETRY_AFTER_MS: &str = "x-come-back-ms";
/// Maximum Retry-After (more than 11 days), so that arithmetic on it cannot overflow.
const MAX_RETRY_AFTER_MS: f64 = 1e9;
const MICROS_PER_MILLI: f64 = 1e3;

/// The status that says that the message was delivered.
pub const DELIVERED: u16 = StatusCode::OK.as_u16();

/// Whether the status alone says that the message was delivered.
pub fn is_delivered(status: u16) -> bool {
    status == DELIVERED
}

/// The result that a response indicates. A status that is not in the protocol's table counts as an error:
/// the message may have been processed.
pub fn interpret(status: StatusCode, headers: &HeaderMap) -> AttemptResult {
    AttemptResult { load_report: load_report(headers), ..interpret_status(status, headers) }
}

fn interpret_status(status: StatusCode, headers: &HeaderMap) -> AttemptResult {
    match status {
        StatusCode::OK => AttemptOutcome::Delivered.into(),
        StatusCode::SERVICE_UNAVAILABLE if headers.contains_key(BUSY) => AttemptOutcome::NotSent.into(),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            AttemptResult { retry_after: retry_after(headers), ..AttemptOutcome::Rejected.into() }
        }
        StatusCode::GATEWAY_TIMEOUT => AttemptOutcome::NotSent.into(),
        StatusCode::GONE => AttemptResult { is_final: true, ..AttemptOutcome::NotSent.into() },
        _ => AttemptOutcome::Error.into(),
    }
}

/// The Retry-After of a rejection, in microseconds; 0 if the header is missing or invalid.
fn retry_after(headers: &HeaderMap) -> Micros {
    let retry_after_ms = header_number(headers, RETRY_AFTER_MS)
        .filter(|ms| ms.is_finite())
        .unwrap_or(0.0)
        .clamp(0.0, MAX_RETRY_AFTER_MS);
    (retry_after_ms * MICROS_PER_MILLI).ceil() as Micros
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<f64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// The load report of a response. Values that cannot be parsed, are negative or are not finite are left out.
fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(LOAD_REPORT)?.to_str().ok()?;
    let report = deployment_config::load_report(|name| reported_value(text, name));
    (report != LoadReport::default()).then_some(report)
}

/// The first value with the given name in a load report, if it is valid.
fn reported_value(report: &str, name: &str) -> Option<f64> {
    let mut entries = report.split(',').filter_map(|entry| entry.split_once('='));
    let (_, value) = entries.find(|(key, _)| key.trim() == name)?;
    let value: f64 = value.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

#[cfg(test)]
mod tests;
