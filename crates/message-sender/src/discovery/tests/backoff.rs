//! The delays between polls, of single senders and of a whole fleet.

use std::time::Duration;

use super::{push_policy, subscribe_policy, CHANGE_KNOWN_AFTER};
use crate::discovery::backoff::Backoff;
use crate::discovery::error::FailureKind;
use crate::discovery::poll::{CONTINUED_WATCH_TIMEOUT, NEW_WATCH_TIMEOUT, NEW_WATCH_WAIT};
use crate::discovery::poll_policy::MAX_PUSH_BACKOFF;

/// Polls in each second of so many senders whose polls discovery rejects from their common start on.
fn rejected_polls_by_second(senders: u32) -> [u32; 20] {
    let mut polls = [0; 20];
    for seed in 0..senders {
        let mut backoff = Backoff::new(subscribe_policy(senders), fastrand::Rng::with_seed(seed.into()));
        let mut at = backoff.initial_delay();
        while at < Duration::from_secs(20) {
            polls[at.as_secs() as usize] += 1;
            at += backoff.next_delay(FailureKind::Error, Duration::ZERO);
        }
    }
    polls
}

/// Guards against a fleet that keeps discovery overloaded by polling again and again: at 820 polls a second
/// of a hundred senders, and still at thirty, it rejected nearly all.
#[test]
fn a_fleet_whose_polls_are_rejected_polls_seldom_and_out_of_step() {
    let fleet = rejected_polls_by_second(100);
    assert!(fleet.iter().all(|polls| *polls <= 42), "polls by second: {fleet:?}");
    // Each has to poll once in 3.6 s, since a change counts as known 6 s after discovery can be reached.
    assert!(fleet[10..].iter().sum::<u32>() <= 340, "polls by second: {fleet:?}");
    // A small fleet goes on polling several times a second.
    let few = rejected_polls_by_second(2);
    assert!(few[1..].iter().all(|polls| (2..40).contains(polls)), "polls by second: {few:?}");
}

/// Guards against polls, waits and delays that together outlast the time after which a change counts as
/// known, whatever became of the poll before and however many senders there are.
#[test]
fn after_any_failure_the_next_response_comes_before_a_change_counts_as_known() {
    let response = NEW_WATCH_WAIT + NEW_WATCH_TIMEOUT;
    for senders in 1..=1_024 {
        for policy in [subscribe_policy(senders), push_policy(senders)] {
            let mut backoff = Backoff::new(policy, fastrand::Rng::with_seed(senders.into()));
            assert!(backoff.initial_delay() + response < CHANGE_KNOWN_AFTER, "{senders} senders");
            // No response to a continued watch, then polls that fail at once, late, or never end.
            let elapsed = backoff.long_poll_wait() + CONTINUED_WATCH_TIMEOUT;
            let delay = backoff.next_delay(FailureKind::Timeout, elapsed);
            assert!(elapsed + delay + response < CHANGE_KNOWN_AFTER, "{senders} senders");
            for elapsed in
                [Duration::ZERO, NEW_WATCH_TIMEOUT, NEW_WATCH_WAIT, response, Duration::from_secs(1)]
            {
                for failure in [FailureKind::Error, FailureKind::Timeout] {
                    let delay = backoff.next_delay(failure, elapsed);
                    assert!(
                        elapsed + delay + response < CHANGE_KNOWN_AFTER,
                        "{senders} senders, {elapsed:?}"
                    );
                }
            }
        }
        let mut backoff = Backoff::new(push_policy(senders), fastrand::Rng::with_seed(senders.into()));
        for _ in 0..10 {
            let delay = backoff.next_delay(FailureKind::Error, Duration::ZERO);
            assert!(delay <= MAX_PUSH_BACKOFF, "{senders} senders");
        }
    }
}
