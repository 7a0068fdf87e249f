//! Builders of the events that a host reports to the controller.

use delivery_control::{
    AmbiguousAttempt, AttemptEnd, AttemptOutcome, DestinationId, EndpointEntry, EndpointId, Event,
    ListingState, LoadReport, MaintenanceCommand, MessageId, MessageSubmission, Micros, UpdateKind,
};

use super::{ORDERED_IN_ZONE, SECOND, SHARED_LIMIT};

/// A live endpoint without a listed rate; its zone is its number modulo 2.
pub fn endpoint_entry(endpoint: EndpointId, destination: DestinationId, kind: usize) -> EndpointEntry {
    EndpointEntry {
        endpoint,
        destination,
        listing: ListingState::Live,
        rate: 0.0,
        kind,
        zone: endpoint as usize % 2,
        online_since: None,
    }
}

/// Endpoint 1 of destination 10 and endpoint 2 of destination 20.
pub fn two_destinations() -> Vec<EndpointEntry> {
    vec![endpoint_entry(1, 10, SHARED_LIMIT), endpoint_entry(2, 20, SHARED_LIMIT)]
}

/// A snapshot of the endpoint list with these entries.
pub fn endpoint_snapshot(entries: Vec<EndpointEntry>) -> Event {
    Event::EndpointsUpdated { update: UpdateKind::Snapshot, version: 1, entries }
}

/// An operator drains or restores endpoint 1.
pub fn maintenance(command: MaintenanceCommand) -> Event {
    Event::Maintenance { endpoint: 1, command }
}

/// A submission without tenant and order key, with all the time until the deadline of its class left.
pub fn message_submission(id: MessageId, class: usize, destination: DestinationId) -> MessageSubmission {
    MessageSubmission {
        id,
        class,
        tenant: None,
        destination,
        time_left: 20 * SECOND,
        work: None,
        order_key: None,
        returned: false,
        repeat: false,
        write: false,
    }
}

/// A client submits a message.
pub fn message_submitted(id: MessageId, class: usize, destination: DestinationId) -> Event {
    Event::MessageSubmitted(message_submission(id, class, destination))
}

/// Clients submit one message for each of these ids, all of one class and for one destination.
pub fn messages_submitted(
    ids: impl IntoIterator<Item = MessageId>,
    class: usize,
    destination: DestinationId,
) -> Vec<Event> {
    ids.into_iter().map(|id| message_submitted(id, class, destination)).collect()
}

/// A client submits a message of the ordered class.
pub fn ordered_message_submitted(id: MessageId, destination: DestinationId, order_key: &str) -> Event {
    Event::MessageSubmitted(MessageSubmission {
        order_key: Some(order_key.to_owned()),
        ..message_submission(id, ORDERED_IN_ZONE, destination)
    })
}

/// A message is recovered from a predecessor process, which made this number of attempts.
pub fn message_recovered(id: MessageId, attempts: u32, first_ambiguous: Option<AmbiguousAttempt>) -> Event {
    Event::MessageRecovered { id, attempts, first_ambiguous }
}

/// The end of an attempt, without Retry-After and load report; it is final if the message was delivered.
pub fn attempt_end(id: MessageId, attempt: u32, endpoint: EndpointId, outcome: AttemptOutcome) -> AttemptEnd {
    AttemptEnd {
        id,
        attempt,
        endpoint,
        outcome,
        elapsed: 0,
        was_started: true,
        is_final: outcome == AttemptOutcome::Delivered,
        retry_after: 0,
        load_report: None,
    }
}

/// An attempt ends with this outcome.
pub fn attempt_ended(id: MessageId, attempt: u32, endpoint: EndpointId, outcome: AttemptOutcome) -> Event {
    Event::AttemptEnded(attempt_end(id, attempt, endpoint, outcome))
}

/// An attempt is rejected with a Retry-After.
pub fn rejected_with_retry_after(
    id: MessageId,
    attempt: u32,
    endpoint: EndpointId,
    retry_after: Micros,
) -> Event {
    Event::AttemptEnded(AttemptEnd {
        retry_after,
        ..attempt_end(id, attempt, endpoint, AttemptOutcome::Rejected)
    })
}

/// An attempt at endpoint 1 ends with a load report: the fraction of the limit that is left, and the limit in
/// calls per second.
pub fn attempt_ended_with_load_report(
    id: MessageId,
    attempt: u32,
    outcome: AttemptOutcome,
    limit_remaining: f64,
    limit: f64,
) -> Event {
    let load_report =
        LoadReport { limit_remaining: Some(limit_remaining), limit: Some(limit), ..LoadReport::default() };
    Event::AttemptEnded(AttemptEnd { load_report: Some(load_report), ..attempt_end(id, attempt, 1, outcome) })
}
