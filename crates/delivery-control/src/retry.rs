//! Retries of a message under one idempotency key: backoff, time-outs, the latest start of an attempt, and
//! how a message ends.

use crate::admission::value_at;
use crate::model::{AttemptResult, Context, Endpoint, Message, SECOND};
use crate::{Action, AmbiguousAttempt, AttemptOutcome, Idempotency, MessageId, Micros};

/// Backoff before the second attempt, and its growth: the design's 200 ms and 600 ms.
const INITIAL_BACKOFF: Micros = 200_000;
const BACKOFF_MULTIPLIER: Micros = 3;
const MAX_BACKOFF_EXPONENT: u32 = 9; // Longer than any deadline, and far from overflow
pub(crate) const JITTER: f64 = 0.5; // Waits stretch by up to this part, so that nothing falls into step
const SHARED_ATTEMPTS: u32 = 4; // Attempts that share the time left; more follow those that never ran
const MIN_TIMEOUT: Micros = 4 * SECOND; // Generous: repeating what still runs costs more
const TIMEOUT_LATENCIES: f64 = 8.0; // A time-out is never less than so many usual answer times
const RETRY_LATENCIES: f64 = 1.5; // Room for a retry must be so many usual answer times, lest most be cut off
const START_MARGIN: Micros = 50_000; // An attempt that starts later than this before its limit has no chance
pub(crate) const EXPIRED_RETRY_AFTER: Micros = 3 * SECOND; // Advice to clients whose message's time is up
const MAX_RECOVERY_INTERVAL: Micros = 600_000; // Between recovered messages, also without a listed rate
const YIELD_DIVISOR: f64 = 3.0; // A rejected message waits for no more than this part of its time left
const UNKNOWN_PAST: Micros = Micros::MIN / 4; // Before any window, and far from overflow

/// Random factor by which a wait is stretched.
pub(crate) fn jitter_factor(random: &mut fastrand::Rng) -> f64 {
    1.0 + JITTER * random.f64()
}

pub(crate) fn jittered(span: Micros, random: &mut fastrand::Rng) -> Micros {
    (span as f64 * jitter_factor(random)) as Micros
}

fn backoff(message: &Message) -> Micros {
    INITIAL_BACKOFF * BACKOFF_MULTIPLIER.pow(message.sent_attempts.min(MAX_BACKOFF_EXPONENT))
}

/// The last moment at which another attempt of the message could still be allowed and of use.
pub(crate) fn latest_start(context: Context, message: &Message) -> Micros {
    let class = context.class(message);
    let in_time = message.deadline - START_MARGIN.max(2 * context.settings.turn_interval);
    match (message.first_ambiguous, class.idempotency) {
        _ if message.counted_attempts() >= context.settings.limits.max_attempts => Micros::MIN,
        (None, _) | (_, Idempotency::Always) => in_time,
        (Some(_), Idempotency::Never) => Micros::MIN,
        (Some(first), _) => in_time.min(first.sent_at + class.idempotency_window - START_MARGIN),
    }
}

/// Time-out of the message's next attempt.
pub(crate) fn timeout(context: Context, message: &Message, endpoint: &Endpoint) -> Micros {
    let left = message.deadline - context.now - 2 * context.settings.turn_interval;
    let max_attempts = context.settings.limits.max_attempts;
    let attempts = SHARED_ATTEMPTS.min(max_attempts).saturating_sub(message.sent_attempts).max(1);
    let usual = (endpoint.latency * TIMEOUT_LATENCIES) as Micros;
    let span = if context.is_unrepeatable(message) {
        left
    } else if endpoint.health.is_ejected() {
        usual.clamp(MIN_TIMEOUT / 2, 2 * MIN_TIMEOUT)
    } else {
        (left / Micros::from(attempts)).max(MIN_TIMEOUT).max(usual)
    };
    span.min(time_before_retry(context, message, endpoint).unwrap_or(left)).min(left).max(1)
}

/// How long a call may take if a retry is to follow inside the message's deadline and its key's window.
/// None where a retry is not allowed, or where usual answers would not come in that time.
fn time_before_retry(context: Context, message: &Message, endpoint: &Endpoint) -> Option<Micros> {
    let class = context.class(message);
    let window = match class.idempotency {
        Idempotency::Never => return None,
        Idempotency::Always => Micros::MAX / 4,
        Idempotency::WithKey => {
            let first_sent_at = message.first_ambiguous.map_or(context.now, |first| first.sent_at);
            first_sent_at + class.idempotency_window - context.now
        }
    };
    let longest_backoff = (backoff(message) as f64 * (1.0 + JITTER)) as Micros;
    let room = (window - 2 * START_MARGIN - longest_backoff).min((message.deadline - context.now) / 2);
    let usual = endpoint.answered_at.map_or(0, |_| (endpoint.latency * RETRY_LATENCIES) as Micros);
    let may_retry = message.counted_attempts() + 1 < context.settings.limits.max_attempts;
    (may_retry && room >= usual.max(INITIAL_BACKOFF)).then_some(room)
}

/// Notes in the message what a failed attempt means for the next one, and when that may start.
pub(crate) fn schedule_retry(context: Context, message: &mut Message, failed: &AttemptResult, jitter: f64) {
    if !failed.outcome.had_no_effect() && message.first_ambiguous.is_none() {
        message.first_ambiguous = Some(AmbiguousAttempt { sent_at: failed.sent_at, zone: failed.zone });
    }
    // The backoff grows from attempt to attempt, so far that the attempts left last to the deadline.
    let attempts_left =
        context.settings.limits.max_attempts.saturating_sub(message.counted_attempts()).max(1);
    let longest = (message.deadline - context.now) / Micros::from(attempts_left);
    message.ready_at = context.now + (backoff(message).min(longest) as f64 * jitter) as Micros;
    message.sent_attempts += u32::from(failed.outcome != AttemptOutcome::NotSent);
}

/// Has a rejected message leave room for first attempts, on other routes too: for `interval` at most, and
/// while it loses little value by waiting.
pub(crate) fn yield_to_others(context: Context, message: &mut Message, interval: f64, jitter: f64) {
    let longest = (message.deadline - context.now) as f64 / YIELD_DIVISOR;
    let interval = interval.min(longest) * jitter;
    let value_after = |span: Micros| value_at(context, message, context.now + span);
    let value_kept = value_after(interval as Micros) / value_after(0).max(f64::MIN_POSITIVE);
    let until = context.now + (interval * (2.0 * value_kept - 1.0).max(0.0)) as Micros;
    message.ready_at = message.ready_at.max(until);
}

/// Interval between the recovered messages of a destination, which go one by one since the destination may be
/// cold: as fast as all senders may go at a cold start, where its rate is listed. Slower, a restart of this
/// sender would make them late.
pub(crate) fn recovery_interval(context: Context, listed_limit: Option<f64>) -> Micros {
    let initial_capacity = context.settings.rules.initial_capacity;
    let rate = listed_limit.unwrap_or(0.0) * initial_capacity / context.sender_count();
    ((SECOND as f64 / rate) as Micros).min(MAX_RECOVERY_INTERVAL)
}

/// When a recovered message may start that is to wait for those before it.
pub(crate) fn recovery_start(context: Context, message: &Message, wait: Micros) -> Micros {
    context.now + wait.min((message.deadline - context.now) / 2)
}

/// By a clock that has gone back, nobody can tell how long ago an attempt was sent.
pub(crate) fn plausible(context: Context, attempt: AmbiguousAttempt) -> AmbiguousAttempt {
    let is_past = attempt.sent_at <= context.now;
    AmbiguousAttempt { sent_at: if is_past { attempt.sent_at } else { UNKNOWN_PAST }, ..attempt }
}

/// The final answer to a message that is given up: rejected only if no attempt may have taken effect or
/// repeats are harmless, else failed.
pub(crate) fn give_up(context: Context, id: MessageId, message: &Message, retry_after: Micros) -> Action {
    let is_repeatable = context.class(message).idempotency == Idempotency::Always;
    let had_no_effect = message.first_ambiguous.is_none() && !message.in_flight;
    if !is_repeatable && !had_no_effect {
        return Action::Fail { id };
    }
    let limits = &context.settings.limits;
    let advice = if limits.may_advise_retry { retry_after.min(limits.max_retry_after) } else { 0 };
    Action::Reject { id, retry_after: advice }
}
