//! How the estimate follows resets.

use std::time::Duration;

use super::{IdleLifetimeEstimator, ReuseOutcome};

fn reuse_outcome(is_reset: bool) -> ReuseOutcome {
    if is_reset {
        ReuseOutcome::Reset
    } else {
        ReuseOutcome::Alive
    }
}

/// Guards against handshakes for good after a single reset, and against distrust of connections that are
/// reused at once.
#[test]
fn trust_in_idle_connections_is_lost_where_resets_are_and_returns() {
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
