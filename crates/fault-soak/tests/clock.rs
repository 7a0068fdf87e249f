//! Tests with a wall clock that is set between two processes: deadlines must not depend on the wall clock.

mod support;

use std::time::Duration;

use fault_soak::endpoint::Behaviour;
use fault_soak::settings::Class;
use support::{Fixture, TIMEOUT};

/// One hour, in microseconds.
const HOUR_MICROS: i64 = 3_600_000_000;

/// Guards against messages that end an hour late: if deadlines depended on the wall clock, the next process
/// would take the time left for an hour longer.
#[tokio::test(flavor = "multi_thread")]
async fn wall_clock_set_back_before_a_restart_moves_no_deadline() {
    let fixture = Fixture::start().await;
    fixture.set_behaviour(1, Behaviour::Hanging);
    fixture.submit_accepted("m1", Class::Pure, 1, 4_000).await;
    fixture.submit_accepted("m2", Class::Once, 1, 4_000).await;
    fixture.await_call("m1").await;
    fixture.await_call("m2").await;
    fixture.sender.control.set_wall_offset(-HOUR_MICROS).unwrap();
    fixture.sender.kill_and_start().await;
    let have_ended = |fixture: &Fixture| fixture.notice("m1").is_some() && fixture.notice("m2").is_some();
    assert!(
        fixture.wait_until(Duration::from_secs(6), have_ended).await,
        "the messages have not ended in time"
    );
}

/// Guards against messages that are given up with most of their time left: if deadlines depended on the wall
/// clock, they would have passed for the next process.
#[tokio::test(flavor = "multi_thread")]
async fn wall_clock_set_forward_before_a_restart_gives_no_message_up() {
    let fixture = Fixture::start().await;
    fixture.set_behaviour(1, Behaviour::Hanging);
    fixture.submit_accepted("m1", Class::Ordered, 1, 8_000).await;
    fixture.await_call("m1").await;
    fixture.submit_accepted("m2", Class::Ordered, 1, 8_000).await;
    fixture.sender.control.set_wall_offset(HOUR_MICROS).unwrap();
    fixture.set_behaviour(1, Behaviour::Healthy);
    fixture.sender.kill_and_start().await;
    fixture.await_delivery("m1", TIMEOUT).await;
    fixture.await_delivery("m2", TIMEOUT).await;
    assert_eq!(fixture.calls("m2"), 1);
}
