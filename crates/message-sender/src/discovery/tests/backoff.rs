//! Tests of the delays between polls, for single senders and for a whole fleet.

use std::time::Duration;

use super::{push_policy, subscribe_policy, CHANGE_KNOWN_AFTER};
use crate::discovery::backoff::Backoff;
use crate::discovery::error::FailureKind;
use crate::discovery::poll::{CONTINUED_WATCH_TIMEOUT, NEW_WATCH_TIMEOUT, NEW_WATCH_WAIT};
use crate::discovery::poll_policy::MAX_PUSH_BACKOFF;

/// Number of polls in each second since the common start of `senders` senders, if discovery rejects all
/// polls.
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

/// Guards against a fleet whose repeated polls keep discovery overloaded: at 820 polls a second from a
/// hundred senders, and still at thirty, discovery rejected nearly all.
#[test]
fn a_fleet_whose_polls_are_rejected_polls_seldom_and_out_of_step() {
    let fleet = rejected_polls_by_second(100);
    assert!(fleet.iter().all(|polls| *polls <= 42), "polls by second: {fleet:?}");
    // Each sender has to poll once in 3.6 s, since the platform assumes that it knows a change 6 s after
    // discovery is reachable.
    assert!(fleet[10..].iter().sum::<u32>() <= 340, "polls by second: {fleet:?}");
    // A small fleet still polls several times a second.
    let few = rejected_polls_by_second(2);
    assert!(few[1..].iter().all(|polls| (2..40).contains(polls)), "polls by second: {few:?}");
}

/// Guards against polls, waits and delays that together take longer than [`CHANGE_KNOWN_AFTER`], so that
/// the platform assumes a change known too early: after any failure of the previous poll, with any number
/// of senders.
#[test]
fn after_any_failure_the_next_response_comes_before_a_change_counts_as_known() {
    let response = NEW_WATCH_WAIT + NEW_WATCH_TIMEOUT;
    for senders in 1..=1_024 {
        for policy in [subscribe_policy(senders), push_policy(senders)] {
            let mut backoff = Backoff::new(policy, fastrand::Rng::with_seed(senders.into()));
            assert!(backoff.initial_delay() + response < CHANGE_KNOWN_AFTER, "{senders} senders");
            // A poll that continues a watch gets no response; later polls fail at once, late or by a timeout.
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
