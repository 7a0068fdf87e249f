//! Messages of one order key go one at a time, in order. After an attempt that may still run at its endpoint,
//! the key is quarantined for all messages but that attempt's own.

use crate::model::{Attempt, Context, State};
use crate::{AttemptEnd, AttemptOutcome, MessageId};

/// Takes in how an attempt of an ordered message ended.
pub(crate) fn record_attempt_end(context: Context, state: &mut State, attempt: &Attempt, end: &AttemptEnd) {
    let Some(key) = attempt.order_key.as_ref().filter(|key| state.queues.contains(key, end.id)) else {
        return;
    };
    if matches!(end.outcome, AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled) {
        state.queues.quarantine(key, end.id, context.now + context.settings.rules.quarantine_time);
    }
    advance(context, state, key, end.id);
}

/// Lets the next message of a key go, once one has ended, has no attempt in flight and no notice pending.
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
