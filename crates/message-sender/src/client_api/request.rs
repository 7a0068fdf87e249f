//! Decodes the head of a client's request. Nothing that is malformed gets past this.

use bytes::Bytes;
use delivery_control::{Idempotency, Micros, Settings};
use deployment_config::Names;
use hyper::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::Uri;

use super::error::RequestError;
use crate::submission::Submission;

/// The longest body that the protocol allows.
pub const MAX_BODY_BYTES: u64 = 64 * 1024;
/// The longest header value or order key that is accepted.
const MAX_TEXT_BYTES: usize = 256;

const MICROS_PER_MILLI: u64 = 1000;

const CLASS_HEADER: &str = "x-call-class";
const KEY_HEADER: &str = "idempotency-key";
const CALL_ID_HEADER: &str = "x-call-id";
/// How long the client waits, in milliseconds.
const BUDGET_HEADER: &str = "x-budget-ms";
/// Names the destination, as in `dest=7`.
const DESTINATION_HEADER: &str = "x-consignee";
const DESTINATION_PARAMETER: &str = "dest";
const TENANT_HEADER: &str = "x-caller";
/// Marks a message that was submitted before.
const RESUBMISSION_HEADER: &str = "x-again";
/// Another sender had accepted the message before it died.
const RETURNED: &str = "again";
/// The client retries.
const REPEAT: &str = "1";
/// The query parameter that holds the order key, with its separator.
const ORDER_KEY_PARAMETER: &str = "subject=";

/// The length of the body that follows a head. A chunked body is rejected: clients state the length, and a
/// request that does both may hide another one in its body.
pub fn body_length(headers: &HeaderMap) -> Result<u64, RequestError> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::ChunkedBody);
    }
    let Some(length) = headers.get(CONTENT_LENGTH) else { return Ok(0) };
    let length = length.to_str().ok().and_then(parse_digits);
    let length = length.ok_or(RequestError::Header("content-length"))?;
    if length > MAX_BODY_BYTES {
        return Err(RequestError::BodyTooLong);
    }
    Ok(length)
}

/// Decodes the head of a message. The body of the submission is empty.
pub fn decode(
    settings: &Settings,
    names: &Names,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<Submission, RequestError> {
    let class_name = class_name(uri.path());
    let class = names.class(class_name).ok_or(RequestError::UnknownClass)?;
    if header(headers, CLASS_HEADER)? != Some(class_name) {
        return Err(RequestError::Header(CLASS_HEADER));
    }
    let rules = &settings.classes[class];
    let key = non_empty_header(headers, KEY_HEADER)?;
    if rules.idempotency == Idempotency::WithKey && key.is_none() {
        return Err(RequestError::Header(KEY_HEADER));
    }
    let call_id = non_empty_header(headers, CALL_ID_HEADER)?.ok_or(RequestError::Header(CALL_ID_HEADER))?;
    let budget = budget(headers)?;
    let destination = destination(headers)?;
    // A tenant that the settings do not list has no quota.
    let tenant = header(headers, TENANT_HEADER)?.and_then(|name| names.tenant(name));
    let order_key = if rules.ordered { order_key(uri)? } else { None };
    let resubmission = header(headers, RESUBMISSION_HEADER)?;
    Ok(Submission {
        call_id: call_id.to_owned(),
        key: key.map(str::to_owned),
        class,
        class_name: class_name.to_owned(),
        destination,
        tenant,
        order_key: order_key.map(str::to_owned),
        // No message is buffered for longer than its class allows, however long its client would wait.
        time_left: budget.min(rules.deadline),
        returned: resubmission == Some(RETURNED),
        repeat: resubmission == Some(REPEAT),
        body: Bytes::new(),
    })
}

/// The class that a path names: its first segment.
pub fn class_name(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or_default()
}

/// How long the client waits.
fn budget(headers: &HeaderMap) -> Result<Micros, RequestError> {
    let millis = header(headers, BUDGET_HEADER)?.and_then(parse_digits);
    let millis = millis.ok_or(RequestError::Header(BUDGET_HEADER))?;
    Ok(Micros::try_from(millis.saturating_mul(MICROS_PER_MILLI)).unwrap_or(Micros::MAX))
}

fn destination(headers: &HeaderMap) -> Result<u64, RequestError> {
    let parameters = header(headers, DESTINATION_HEADER)?;
    let destination =
        parameters.and_then(|list| parameter(list, DESTINATION_PARAMETER)).and_then(parse_digits);
    destination.ok_or(RequestError::Header(DESTINATION_HEADER))
}

/// The order key as the client wrote it: it is only compared, never decoded.
fn order_key(uri: &Uri) -> Result<Option<&str>, RequestError> {
    let parameters = uri.query().unwrap_or_default().split('&');
    let mut keys = parameters.filter_map(|parameter| parameter.strip_prefix(ORDER_KEY_PARAMETER));
    match keys.find(|key| !key.is_empty()) {
        Some(key) if key.len() > MAX_TEXT_BYTES => Err(RequestError::OrderKeyTooLong),
        key => Ok(key),
    }
}

/// A header's value without the spaces around it, if it stands there once, is plain text and is not too long.
fn header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let value = value.to_str().map_err(|_| RequestError::Header(name))?.trim();
    if values.next().is_some() || value.len() > MAX_TEXT_BYTES {
        return Err(RequestError::Header(name));
    }
    Ok(Some(value))
}

/// As [`header`]; an empty value counts as none.
fn non_empty_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, RequestError> {
    let value = header(headers, name)?;
    Ok(value.filter(|value| !value.is_empty()))
}

/// Digits only: no sign, no spaces.
fn parse_digits(text: &str) -> Option<u64> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// The value of a name in a list such as `dest=7, other=x`.
fn parameter<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    let pairs = list.split([',', ';']).filter_map(|part| part.trim().split_once('='));
    for (key, value) in pairs {
        if key == name {
            return Some(value);
        }
    }
    None
}
