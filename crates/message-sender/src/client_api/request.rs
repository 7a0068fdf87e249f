//! Decodes and validates the head of a client's request, and rejects all malformed input.

use bytes::Bytes;
use delivery_control::{Idempotency, Micros, Settings};
use deployment_config::Names;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::Uri;
use tokio::time::Instant;

use super::error::RequestError;
use crate::submission::Submission;

/// Maximum length of a body that the protocol allows, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a header value or an order key, in bytes.
const MAX_TEXT_BYTES: usize = 256;

const MICROS_PER_MILLI: u64 = 1000;

const CLASS_HEADER: &str = "x-call-class";
const KEY_HEADER: &str = "idempotency-key";
const CALL_ID_HEADER: &str = "x-call-id";
/// The time that the client allows for the message, in milliseconds.
const BUDGET_HEADER: &str = "x-budget-ms";
/// Names the destination, as in `dest=7`.
const DESTINATION_HEADER: &str = "x-consignee";
const DESTINATION_PARAMETER: &str = "dest";
const TENANT_HEADER: &str = "x-caller";
/// Marks a message that was submitted before.
const RESUBMISSION_HEADER: &str = "x-again";
/// Value of [`RESUBMISSION_HEADER`]: another sender accepted the message and then died.
const RETURNED: &str = "again";
/// Value of [`RESUBMISSION_HEADER`]: the client retries the message.
const REPEAT: &str = "1";
/// The query parameter that holds the order key, including the `=`.
const ORDER_KEY_PARAMETER: &str = "subject=";

/// The length of the body that follows a head, in bytes. Chunked bodies are rejected: clients state the
/// length, and a request that is chunked and states a length as well may smuggle another request in its body.
pub fn body_length(headers: &HeaderMap) -> Result<u64, RequestError> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::ChunkedBody);
    }
    let Some(length) = headers.get(CONTENT_LENGTH) else { return Ok(0) };
    let length = length.to_str().ok().and_then(parse_digits);
    let length = length.ok_or(RequestError::Header("content-length"))?;
    if length > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLong);
    }
    Ok(length)
}

/// Decodes the head of a request that submits a message. The body of the returned submission is empty.
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
    let class_settings = &settings.classes[class];
    let key = non_empty_header(headers, KEY_HEADER)?;
    if class_settings.idempotency == Idempotency::WithKey && key.is_none() {
        return Err(RequestError::Header(KEY_HEADER));
    }
    let call_id = non_empty_header(headers, CALL_ID_HEADER)?.ok_or(RequestError::Header(CALL_ID_HEADER))?;
    let budget = budget(headers)?;
    let destination = destination(headers)?;
    // A tenant that the settings do not list is ignored, as it has no quota.
    let tenant = header(headers, TENANT_HEADER)?.and_then(|name| names.tenant(name));
    let order_key = if class_settings.ordered { order_key(uri)? } else { None };
    let resubmission = header(headers, RESUBMISSION_HEADER)?;
    Ok(Submission {
        call_id: call_id.to_owned(),
        key: key.map(str::to_owned),
        class,
        class_name: class_name.to_owned(),
        destination,
        tenant,
        order_key: order_key.map(str::to_owned),
        // A message is buffered for no longer than its class allows, even if its client would wait longer.
        time_left: budget.min(class_settings.deadline),
        received_at: Instant::now(),
        returned: resubmission == Some(RETURNED),
        repeat: resubmission == Some(REPEAT),
        body: Bytes::new(),
        reservation: None,
    })
}

/// The id that the client gave the message, for the log.
pub fn call_id(headers: &HeaderMap) -> Option<HeaderValue> {
    headers.get(CALL_ID_HEADER).cloned()
}

/// The class that a path names: its first segment.
pub fn class_name(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or_default()
}

/// The time that the client allows for the message.
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

/// The first order key in the query that is not empty. It is not percent-decoded, because order keys are only
/// compared.
fn order_key(uri: &Uri) -> Result<Option<&str>, RequestError> {
    let parameters = uri.query().unwrap_or_default().split('&');
    let mut keys = parameters.filter_map(|parameter| parameter.strip_prefix(ORDER_KEY_PARAMETER));
    match keys.find(|key| !key.is_empty()) {
        Some(key) if key.len() > MAX_TEXT_BYTES => Err(RequestError::OrderKeyTooLong),
        key => Ok(key),
    }
}

/// A header's value without surrounding spaces. It is an error if the header occurs more than once, is not
/// plain text, or is too long.
fn header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let value = value.to_str().map_err(|_| RequestError::Header(name))?.trim();
    if values.next().is_some() || value.len() > MAX_TEXT_BYTES {
        return Err(RequestError::Header(name));
    }
    Ok(Some(value))
}

/// Like [`header`], but an empty value counts as a missing header.
fn non_empty_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, RequestError> {
    let value = header(headers, name)?;
    Ok(value.filter(|value| !value.is_empty()))
}

/// Parses a decimal number that consists of digits only, without sign or spaces.
fn parse_digits(text: &str) -> Option<u64> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// The value of the parameter `name` in a list such as `dest=7, other=x`.
fn parameter<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    let pairs = list.split([',', ';']).filter_map(|part| part.trim().split_once('='));
    for (key, value) in pairs {
        if key == name {
            return Some(value);
        }
    }
    None
}
