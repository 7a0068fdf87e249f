//! Ordered delivery: messages with the same order key are sent one at a time, in order. After an attempt
//! that may still be running at its endpoint, the key is quarantined for all messages except the attempt's
//! own.

use crate::model::{Attempt, Context, State};
use crate::{AttemptEnd, AttemptOutcome, MessageId};

/// Applies the end of an attempt to the queue of its message's order key, if it has one.
pub(crate) fn record_attempt_end(context: Context, state: &mut State, attempt: &Attempt, end: &AttemptEnd) {
    let Some(key) = attempt.order_key.as_ref().filter(|key| state.queues.contains(key, end.id)) else {
        return;
    };
    if matches!(end.outcome, AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled) {
        state.queues.quarantine(key, end.id, context.now + context.settings.rules.quarantine_time);
    }
    advance(context, state, key, end.id);
}

/// Quarantines all order keys: attempts of another process may still be running, and it is not known which.
pub(crate) fn quarantine_all(context: Context, state: &mut State) {
    state.queues.quarantine_all(context.now + context.settings.rules.quarantine_time);
}

/// Removes a message from the queue of its order key, so that the next one may be sent, once the message
/// has ended, has no attempt in flight and no pending notice.
pub(crate) fn advance(context: Context, state: &mut State, key: &str, id: MessageId) {
    let has_attempt = state.in_flight.has_attempt_of(id);
    if has_attempt || state.messages.contains(id) || state.queues.is_notice_pending(id) {
        return;
    }
    let head = state.queues.remove(key, id);
    if let Some(message) = head.and_then(|head| state.messages.get(head)) {
        state.wake_ups.mark_dirty(message.destination);
    }
    state.queues.drop_idle(context.now);
}
