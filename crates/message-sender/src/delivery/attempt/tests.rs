//! The form of results in frames between two processes.

use delivery_control::AttemptOutcome;

use super::AttemptResult;

/// Guards against a result from a process that does not say whether bytes went out being taken for one
/// without any: the journal would not record that the message was not processed.
#[test]
fn a_result_that_does_not_say_so_counts_as_started() {
    let mut fields = serde_json::to_value(AttemptResult::from(AttemptOutcome::Reset)).unwrap();
    fields.as_object_mut().unwrap().remove("request_started").unwrap();
    let result: AttemptResult = serde_json::from_value(fields).unwrap();
    assert!(result.request_started);
    assert_eq!(result, AttemptOutcome::Reset.into());
}
