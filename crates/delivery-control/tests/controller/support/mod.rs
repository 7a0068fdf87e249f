//! Shared support code of the controller's tests: settings, events and a harness with a virtual clock.

mod actions;
mod events;
mod harness;
mod settings;

pub use actions::{sends, timed_sends};
pub use events::{
    attempt_end, attempt_ended, attempt_ended_with_load_report, endpoint_entry, endpoint_snapshot,
    maintenance, message_recovered, message_submission, message_submitted, messages_submitted,
    ordered_message_submitted, rejected_with_retry_after, two_destinations,
};
pub use harness::ControllerHarness;
pub use settings::{
    message_class, settings, BATCHES, IDEMPOTENT, IDEMPOTENT_WITH_KEY, LIMIT_PER_ENDPOINT, NOT_IDEMPOTENT,
    ORDERED_IN_ZONE, SHARED_LIMIT,
};

use delivery_control::Micros;

/// A millisecond in the controller's unit of time.
pub const MILLISECOND: Micros = 1_000;
/// A second in the controller's unit of time.
pub const SECOND: Micros = 1_000_000;
