//! Tests for load reports in response headers.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::StatusCode;

use super::interpret;

/// The remaining limit and the limit in a load report.
fn reported_limits(report: &'static str) -> Option<(Option<f64>, Option<f64>)> {
    let mut headers = HeaderMap::new();
    headers.insert(HeaderName::from_static("x-load-report"), HeaderValue::from_static(report));
    let result = interpret(StatusCode::SERVICE_UNAVAILABLE, &headers);
    result.load_report.map(|report| (report.limit_remaining, report.limit))
}

/// Guards against reported limits that are lost, and against the use of malformed, negative or infinite
/// values.
#[test]
fn load_reports_are_read_as_far_as_they_make_sense() {
    assert_eq!(reported_limits("x0=0.4,x1=25"), Some((Some(0.4), Some(25.0))));
    assert_eq!(reported_limits(" x1 = 25 , y=3"), Some((None, Some(25.0))));
    assert_eq!(reported_limits("x0=-1,x1=25"), Some((None, Some(25.0))));
    for malformed in ["", "x0", "x0=,x1=nan", "x1=inf", "x0=0.4.1;x1=25", "=,=,="] {
        assert_eq!(reported_limits(malformed), None, "{malformed}");
    }
    assert_eq!(interpret(StatusCode::OK, &HeaderMap::new()).load_report, None);
}
