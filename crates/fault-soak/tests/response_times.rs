//! Tests with endpoints and senders whose speed changes: a response that says that a message was delivered counts,
//! however soon after its request it arrives.

mod support;

use std::ops::Range;
use std::time::Duration;

use fault_soak::settings::Class;
use fault_soak::shim::{Failure, FailureRule, Syscall};
use support::{Fixture, TIMEOUT};
use tokio::time::sleep;

/// Service time of slow endpoints, in milliseconds.
const SLOW_MS: Range<u64> = 60..61;
/// Service time of fast endpoints, in milliseconds.
const FAST_MS: Range<u64> = 2..4;
/// Number of messages after which a sender knows the speed of each endpoint.
const MESSAGES_TO_LEARN: usize = 90;
/// Number of messages that are checked afterwards.
const CHECKED_MESSAGES: usize = 60;
/// Pause between two submissions.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(10);
/// Time until the deadline of the messages, in milliseconds.
const BUDGET_MS: u64 = 6_000;
/// Longest time for which the platform may hold a sender up, in milliseconds.
const MAX_HOLD_MS: i32 = 150;

/// Submits messages to all endpoints in turn, half of which must not be sent again once they may have run. Returns
/// their ids.
async fn submit_messages(fixture: &Fixture, phase: &str, count: usize) -> Vec<String> {
    let mut ids = Vec::new();
    for number in 0..count {
        let id = format!("{phase}-{number}");
        let class = if number % 2 == 0 { Class::Once } else { Class::Keyed };
        fixture.submit_accepted(&id, class, (number % 3 + 1) as u64, BUDGET_MS).await;
        ids.push(id);
        sleep(SUBMISSION_INTERVAL).await;
    }
    ids
}

/// Waits until each message has ended, and checks that its first call delivered it.
async fn assert_delivered_by_first_call(fixture: &Fixture, ids: &[String]) {
    let has_ended = |id: &String| fixture.is_delivered(id) || fixture.notice(id).is_some();
    assert!(fixture.wait_until(TIMEOUT, |_| ids.iter().all(has_ended)).await, "a message has not ended");
    // Long enough for a further call or a notice.
    sleep(Duration::from_millis(BUDGET_MS)).await;
    let failed: Vec<_> = ids
        .iter()
        .filter(|id| fixture.calls(id) != 1 || fixture.notice(id).is_some())
        .map(|id| (id, fixture.calls(id), fixture.notice(id)))
        .collect();
    assert!(failed.is_empty(), "not delivered by the first call, with calls and notice: {failed:?}");
}

fn set_service_ms(fixture: &Fixture, service_ms: Range<u64>) {
    for endpoint in &fixture.endpoints {
        endpoint.set_service_ms(Some(service_ms.clone()));
    }
}

/// Starts a fixture whose sender knows all endpoints as slow.
async fn start_with_slow_endpoints() -> Fixture {
    let fixture = Fixture::start().await;
    set_service_ms(&fixture, SLOW_MS);
    let ids = submit_messages(&fixture, "slow", MESSAGES_TO_LEARN).await;
    let is_over = fixture.wait_until(TIMEOUT, |fixture| ids.iter().all(|id| fixture.is_delivered(id))).await;
    assert!(is_over, "a message to a slow endpoint was not delivered");
    fixture
}

/// Guards against a 200 that is discarded because its endpoint has become faster: the message was sent again, or
/// reported as failed although it was delivered.
#[tokio::test(flavor = "multi_thread")]
async fn the_response_of_an_endpoint_that_has_become_faster_counts() {
    let fixture = start_with_slow_endpoints().await;
    set_service_ms(&fixture, FAST_MS);
    let ids = submit_messages(&fixture, "fast", CHECKED_MESSAGES).await;
    assert_delivered_by_first_call(&fixture, &ids).await;
}

/// Guards against a 200 that is discarded because the sender was held up right after it had written the request,
/// before it read its clock: the response seemed to follow at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_counts_although_the_sender_is_held_up_after_a_write() {
    let fixture = start_with_slow_endpoints().await;
    let errnos = vec![SLOW_MS.end as i32 + 30, MAX_HOLD_MS];
    let rule = FailureRule { rate: 2_500, modes: vec![Failure::HeldAfter], errnos };
    fixture.sender.control.set(Syscall::Send, &rule).unwrap();
    let ids = submit_messages(&fixture, "held", 2 * CHECKED_MESSAGES).await;
    fixture.clear_faults();
    assert_delivered_by_first_call(&fixture, &ids).await;
}
