//! Tests of the decoding of requests and the encoding of responses, without sockets.

use delivery_control::Settings;
use deployment_config::{Config, Names};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{StatusCode, Uri};

use super::error::RequestError;
use super::request::{body_length, decode};
use super::response::Reply;
use crate::submission::{Submission, SubmissionReply};

const DEADLINE_MS: f64 = 8000.0;

/// The settings with one class that requires idempotency keys and one ordered class, and their names.
fn settings_and_names() -> (Settings, Names) {
    let config = serde_json::json!({
        "balancers": 1, "ordinal": 0,
        "categories": [
            {"name": "keyed", "effect": "token", "aimMs": 1000.0, "deadlineMs": DEADLINE_MS, "worth": 1.0},
            {"name": "ordered", "effect": "pure", "aimMs": 1000.0, "deadlineMs": DEADLINE_MS, "worth": 1.0,
                "fifoByKey": true},
        ],
        "familyInfo": {"maxCalls": 1}, "membershipMode": "automatic", "resolutionMs": 5.0,
        "orgs": [{"name": "acme", "allowancePerS": 1.0}],
        "limits": {"mostHeld": 1, "sendCap": 1}, "rules": {},
    });
    let config: Config = serde_json::from_value(config).expect("valid configuration");
    (config.settings().expect("valid settings"), config.names())
}

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("valid header name");
        headers.append(name, HeaderValue::from_str(value).expect("valid header value"));
    }
    headers
}

/// The headers of a valid submission of the class `keyed`.
const KEYED_HEADERS: [(&str, &str); 5] = [
    ("x-call-class", "keyed"),
    ("idempotency-key", "k1"),
    ("x-call-id", "c1"),
    ("x-budget-ms", "2000"),
    ("x-consignee", "other=x, dest=7"),
];

fn decode_from(uri: &str, headers: &HeaderMap) -> Result<Submission, RequestError> {
    let (settings, names) = settings_and_names();
    decode(&settings, &names, &Uri::try_from(uri).expect("valid URI"), headers)
}

/// Guards against a field of a submission that is lost or taken from the wrong header, and against an order
/// key for a message whose class is not ordered.
#[test]
fn a_complete_head_is_decoded() {
    let mut pairs = KEYED_HEADERS.to_vec();
    pairs.push(("x-caller", "acme"));
    pairs.push(("x-again", "1"));
    let submission = decode_from("/keyed/more?subject=s", &headers(&pairs)).expect("a message");
    assert_eq!((submission.call_id.as_str(), submission.key.as_deref()), ("c1", Some("k1")));
    assert_eq!((submission.class, submission.class_name.as_str()), (0, "keyed"));
    assert_eq!((submission.destination, submission.tenant), (7, Some(0)));
    assert_eq!((submission.time_left, submission.order_key), (2_000_000, None));
    assert_eq!((submission.returned, submission.repeat), (false, true));
}

/// Guards against accepting a message although a header that it needs is missing, malformed or repeated, and
/// against an error that names another header.
#[test]
fn a_header_that_is_missing_or_malformed_is_named() {
    for (name, value) in [
        ("x-call-class", "ordered"),
        ("idempotency-key", ""),
        ("x-call-id", ""),
        ("x-budget-ms", "-1"),
        ("x-consignee", "dest=+7"),
    ] {
        let without: Vec<_> = KEYED_HEADERS.into_iter().filter(|(other, _)| *other != name).collect();
        let mut malformed = without.clone();
        malformed.push((name, value));
        let mut twice = KEYED_HEADERS.to_vec();
        twice.push((name, "x"));
        for pairs in [without, malformed, twice] {
            let error = decode_from("/keyed", &headers(&pairs)).expect_err(name);
            assert_eq!((error, error.status()), (RequestError::Header(name), StatusCode::BAD_REQUEST));
        }
    }
}

/// Guards against accepting a message for whose class no deadline and no idempotency rules are configured.
#[test]
fn an_unknown_class_is_not_found() {
    let error = decode_from("/parcel", &headers(&KEYED_HEADERS)).expect_err("unknown class");
    assert_eq!((error, error.status()), (RequestError::UnknownClass, StatusCode::NOT_FOUND));
}

/// Guards against ordering the messages of a class that is not ordered, against order keys of unlimited
/// length, and against a message that is buffered for longer than its class allows.
#[test]
fn the_order_key_is_read_for_ordered_classes_only_and_is_bounded() {
    let ordered = headers(&[
        ("x-call-class", "ordered"),
        ("x-call-id", "c1"),
        ("x-budget-ms", "99999999999999999"),
        ("x-consignee", "dest=7"),
    ]);
    let submission = decode_from("/ordered?subject=&x=1&subject=a%20b", &ordered).expect("a message");
    assert_eq!(submission.order_key.as_deref(), Some("a%20b"));
    assert_eq!(submission.time_left, 8_000_000, "limited to the deadline of the class");
    let long = format!("/ordered?subject={}", "x".repeat(257));
    assert_eq!(decode_from(&long, &ordered).expect_err("too long"), RequestError::OrderKeyTooLong);
    let unordered = format!("/keyed?subject={}", "x".repeat(257));
    assert_eq!(decode_from(&unordered, &headers(&KEYED_HEADERS)).expect("a message").order_key, None);
}

/// Guards against a body of any length being read into memory, and against a chunked request that smuggles
/// another request in its body.
#[test]
fn the_length_of_a_body_is_checked_before_it_is_read() {
    assert_eq!(body_length(&headers(&[])), Ok(0));
    assert_eq!(body_length(&headers(&[("content-length", "65536")])), Ok(65_536));
    let cases = [
        ("content-length", "65537", StatusCode::PAYLOAD_TOO_LARGE),
        ("content-length", "+1", StatusCode::BAD_REQUEST),
        ("transfer-encoding", "chunked", StatusCode::NOT_IMPLEMENTED),
    ];
    for (name, value, status) in cases {
        let error = body_length(&headers(&[(name, value)])).expect_err(value);
        assert_eq!(error.status(), status, "{value}");
    }
}

/// Guards against a `Retry-After` in another unit than seconds, and against one of 0 seconds, which would
/// make the client submit the message again at once.
#[test]
fn a_rejection_carries_its_retry_after_in_seconds() {
    let response = |retry_after| Reply::Submission(SubmissionReply::Rejected(retry_after)).into_response();
    assert_eq!(response(1_234_567).headers()["retry-after"], "1.235");
    assert!(!response(0).headers().contains_key("retry-after"));
    assert_eq!(response(0).status(), StatusCode::SERVICE_UNAVAILABLE);
}
