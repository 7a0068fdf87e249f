//! Retries of a message under one idempotency key: backoff, timeouts, the latest start of an attempt, and
//! the final answer to a message that is given up.

use crate::admission::value_at;
use crate::model::{AttemptResult, Context, Endpoint, Message, SECOND};
use crate::{Action, AmbiguousAttempt, AttemptOutcome, Idempotency, MessageId, Micros};

/// Backoff in µs before the second attempt, as the design specifies.
const INITIAL_BACKOFF: Micros = 200_000;
/// Factor by which the backoff grows with each attempt that was sent: 200 ms, then 600 ms, as the design
/// specifies.
const BACKOFF_MULTIPLIER: Micros = 3;
/// Maximum number of times that the backoff grows; it is then longer than any deadline, and far from
/// overflow.
const MAX_BACKOFF_EXPONENT: u32 = 9;
/// Maximum jitter as a fraction of a wait, to avoid synchronized attempts.
pub(crate) const JITTER: f64 = 0.5;
/// Number of attempts among which the time left is divided. Attempts that the host did not send do not count
/// and are followed by more.
const SHARED_ATTEMPTS: u32 = 4;
/// Usual lower bound of a timeout in µs. It is generous, since repeating a call that is still running costs
/// more.
const MIN_TIMEOUT: Micros = 4 * SECOND;
/// A timeout covers this multiple of the average latency, if time allows.
const TIMEOUT_LATENCIES: f64 = 8.0;
/// A timeout is shortened to leave time for a retry only if it still covers this multiple of the average
/// latency: otherwise most calls would be cut off.
const RETRY_LATENCIES: f64 = 1.5;
/// No attempt starts less than this, in µs, before the deadline or the end of the idempotency window: it
/// could not succeed in time.
const START_MARGIN: Micros = 50_000;
/// The Retry-After in µs that is advised when a message expires.
pub(crate) const EXPIRED_RETRY_AFTER: Micros = 3 * SECOND;
/// Longest interval between recovered messages in µs, before jitter; also used without a listed rate.
const MAX_RECOVERY_INTERVAL: Micros = 600_000;
/// A rejected message yields for at most its time left divided by this.
const YIELD_DIVISOR: f64 = 3.0;
/// Stands for an unknown send time, in µs; it is before any idempotency window, and far from overflow.
const UNKNOWN_SEND_TIME: Micros = Micros::MIN / 4;

/// Random factor by which a wait is multiplied, from 1 to 1 + [`JITTER`].
pub(crate) fn jitter_factor(random: &mut fastrand::Rng) -> f64 {
    1.0 + JITTER * random.f64()
}

/// Lengthens a wait by a random factor.
pub(crate) fn jittered(wait: Micros, random: &mut fastrand::Rng) -> Micros {
    (wait as f64 * jitter_factor(random)) as Micros
}

/// Backoff of the message after its next failed attempt in µs, before jitter and its bound by the deadline.
fn backoff(message: &Message) -> Micros {
    INITIAL_BACKOFF * BACKOFF_MULTIPLIER.pow(message.sent_attempts.min(MAX_BACKOFF_EXPONENT))
}

/// Latest time at which another attempt of the message is allowed and can still succeed; `Micros::MIN` if
/// none is allowed.
pub(crate) fn latest_start(context: Context, message: &Message) -> Micros {
    let class = context.class(message);
    let before_deadline = message.deadline - START_MARGIN.max(2 * context.settings.turn_interval);
    match (message.first_ambiguous, class.idempotency) {
        _ if message.counted_attempts() >= context.settings.limits.max_attempts => Micros::MIN,
        (None, _) | (_, Idempotency::Always) => before_deadline,
        (Some(_), Idempotency::Never) => Micros::MIN,
        (Some(first), _) => before_deadline.min(first.sent_at + class.idempotency_window - START_MARGIN),
    }
}

/// Timeout of the message's next attempt to an endpoint, in µs.
pub(crate) fn timeout(context: Context, message: &Message, endpoint: &Endpoint) -> Micros {
    let left = message.deadline - context.now - 2 * context.settings.turn_interval;
    let max_attempts = context.settings.limits.max_attempts;
    let attempts = SHARED_ATTEMPTS.min(max_attempts).saturating_sub(message.sent_attempts).max(1);
    let latency_bound = (endpoint.latency * TIMEOUT_LATENCIES) as Micros;
    let timeout = if context.is_unrepeatable(message) {
        left
    } else if endpoint.health.is_ejected() {
        latency_bound.clamp(MIN_TIMEOUT / 2, 2 * MIN_TIMEOUT)
    } else {
        (left / Micros::from(attempts)).max(MIN_TIMEOUT).max(latency_bound)
    };
    timeout.min(time_before_retry(context, message, endpoint).unwrap_or(left)).min(left).max(1)
}

/// How long in µs a call may take if a retry is to follow before the message's deadline and within its
/// idempotency window. `None` where a retry after a timeout is not allowed, or where that time would be too
/// short for most calls.
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
    let available = (window - 2 * START_MARGIN - longest_backoff).min((message.deadline - context.now) / 2);
    let latency_bound = endpoint.answered_at.map_or(0, |_| (endpoint.latency * RETRY_LATENCIES) as Micros);
    let may_retry = message.counted_attempts() + 1 < context.settings.limits.max_attempts;
    (may_retry && available >= latency_bound.max(INITIAL_BACKOFF)).then_some(available)
}

/// Records a failed attempt in its message: whether it may have taken effect, and when the next one may
/// start. `jitter_factor` is the factor on the backoff.
pub(crate) fn schedule_retry(
    context: Context,
    message: &mut Message,
    failed: &AttemptResult,
    jitter_factor: f64,
) {
    if !failed.outcome.had_no_effect() && message.first_ambiguous.is_none() {
        message.first_ambiguous = Some(AmbiguousAttempt { sent_at: failed.sent_at, zone: failed.zone });
    }
    // The backoff grows with each attempt, but leaves time for the remaining attempts before the deadline.
    let attempts_left =
        context.settings.limits.max_attempts.saturating_sub(message.counted_attempts()).max(1);
    let longest = (message.deadline - context.now) / Micros::from(attempts_left);
    message.ready_at = context.now + (backoff(message).min(longest) as f64 * jitter_factor) as Micros;
    message.sent_attempts += u32::from(failed.outcome != AttemptOutcome::NotSent);
}

/// Delays a rejected message, whichever route it takes next, so that first attempts of others go first. The
/// delay is at most `interval` in µs times `jitter_factor`, and is shorter the more value the message loses
/// by waiting.
pub(crate) fn yield_to_first_attempts(
    context: Context,
    message: &mut Message,
    interval: f64,
    jitter_factor: f64,
) {
    let longest = (message.deadline - context.now) as f64 / YIELD_DIVISOR;
    let interval = interval.min(longest) * jitter_factor;
    let value_after = |delay: Micros| value_at(context, message, context.now + delay);
    let value_kept = value_after(interval as Micros) / value_after(0).max(f64::MIN_POSITIVE);
    let until = context.now + (interval * (2.0 * value_kept - 1.0).max(0.0)) as Micros;
    message.ready_at = message.ready_at.max(until);
}

/// Interval in µs between the recovered messages of a destination, which are sent one by one since the
/// destination may be cold. With a listed limit, it keeps to this sender's share of what all senders may
/// send at a cold start; a longer one would make messages late when this sender restarts.
pub(crate) fn recovery_interval(context: Context, listed_limit: Option<f64>) -> Micros {
    let initial_capacity = context.settings.rules.initial_capacity;
    let rate = listed_limit.unwrap_or(0.0) * initial_capacity / context.sender_count();
    ((SECOND as f64 / rate) as Micros).min(MAX_RECOVERY_INTERVAL)
}

/// Earliest start of a recovered message that waits for those before it, for half of its time left at most.
pub(crate) fn recovery_start(context: Context, message: &Message, wait: Micros) -> Micros {
    context.now + wait.min((message.deadline - context.now) / 2)
}

/// Replaces a send time in the future by [`UNKNOWN_SEND_TIME`]: the clock has gone back, so it is not known
/// how long ago the attempt was sent.
pub(crate) fn replace_future_send_time(context: Context, attempt: AmbiguousAttempt) -> AmbiguousAttempt {
    let is_past = attempt.sent_at <= context.now;
    AmbiguousAttempt { sent_at: if is_past { attempt.sent_at } else { UNKNOWN_SEND_TIME }, ..attempt }
}

/// Final answer to a message that is given up: rejected if no attempt may have taken effect or repeats are
/// harmless, otherwise failed.
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
