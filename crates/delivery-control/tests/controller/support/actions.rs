//! Extracts the sent messages from a controller's actions.

use delivery_control::{Action, EndpointId, MessageId, Micros};

/// Returns the messages sent, each with its endpoint, in the order of the actions.
pub fn sends(actions: &[Action]) -> Vec<(MessageId, EndpointId)> {
    actions.iter().filter_map(send).collect()
}

/// Returns the messages sent, each with the time of sending and its endpoint, in the order of the actions.
pub fn timed_sends(actions: &[(Micros, Action)]) -> Vec<(Micros, MessageId, EndpointId)> {
    let timed_send = |(at, action): &(Micros, Action)| {
        let (id, endpoint) = send(action)?;
        Some((*at, id, endpoint))
    };
    actions.iter().filter_map(timed_send).collect()
}

fn send(action: &Action) -> Option<(MessageId, EndpointId)> {
    match action {
        Action::Send { id, endpoint, .. } => Some((*id, *endpoint)),
        _ => None,
    }
}
