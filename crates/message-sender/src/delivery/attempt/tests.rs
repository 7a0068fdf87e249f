//! Tests for the serialized form of results that is exchanged between two processes.

use delivery_control::AttemptOutcome;

use super::AttemptResult;

/// Guards against a result without `request_started`, as older versions send it, counting as an attempt of
/// which no byte was sent: the journal would not record that the message was not processed.
#[test]
fn a_result_without_request_started_counts_as_started() {
    let mut fields = serde_json::to_value(AttemptResult::from(AttemptOutcome::Reset)).unwrap();
    fields.as_object_mut().unwrap().remove("request_started").unwrap();
    let result: AttemptResult = serde_json::from_value(fields).unwrap();
    assert!(result.request_started);
    assert_eq!(result, AttemptOutcome::Reset.into());
}
