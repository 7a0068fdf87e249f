//! Tests for how the estimate responds to resets.

use std::time::Duration;

use super::{IdleLifetimeEstimator, ReuseOutcome};

fn reuse_outcome(is_reset: bool) -> ReuseOutcome {
    if is_reset {
        ReuseOutcome::Reset
    } else {
        ReuseOutcome::Alive
    }
}

/// Guards against a new handshake for every attempt from a single reset on, and against resets after long
/// idle times ending the trust in short ones.
#[test]
fn idle_times_with_many_resets_are_not_trusted_until_the_record_decays() {
    let (short, long) = (Duration::from_millis(5), Duration::from_millis(150));
    let mut estimator = IdleLifetimeEstimator::default();
    for number in 0..40 {
        estimator.record(short, reuse_outcome(number == 20));
        estimator.record(long, reuse_outcome(number % 3 == 0));
    }
    assert!(estimator.trusts(short) && !estimator.trusts(long) && !estimator.trusts(2 * long));
    for _ in 0..200 {
        estimator.decay();
    }
    assert!(estimator.trusts(long));
}
