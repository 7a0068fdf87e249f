//! The wall clock is stepped between two processes: deadlines and windows are spans of real time.

mod support;

use std::time::Duration;

use fault_soak::endpoint::Behaviour;
use fault_soak::settings::Class;
use support::{Scene, LIMIT};

const HOUR_MICROS: i64 = 3_600_000_000;

/// Guards against messages that never end since the next process takes their time for an hour longer.
#[tokio::test(flavor = "multi_thread")]
async fn wall_clock_set_back_before_a_restart_moves_no_deadline() {
    let scene = Scene::start(0).await;
    scene.behave(1, Behaviour::Hanging);
    scene.accept("m1", Class::Pure, 1, 4_000).await;
    scene.accept("m2", Class::Once, 1, 4_000).await;
    scene.await_call("m1").await;
    scene.await_call("m2").await;
    scene.sender.control.set_wall_offset(-HOUR_MICROS).unwrap();
    scene.sender.kill_and_start().await;
    let have_ended = |scene: &Scene| scene.notice("m1").is_some() && scene.notice("m2").is_some();
    assert!(scene.until(Duration::from_secs(6), have_ended).await, "the messages end in time");
}

/// Guards against messages that are given up with most of their time left.
#[tokio::test(flavor = "multi_thread")]
async fn wall_clock_set_forward_before_a_restart_gives_no_message_up() {
    let scene = Scene::start(1).await;
    scene.behave(1, Behaviour::Hanging);
    scene.accept("m1", Class::Ordered, 1, 8_000).await;
    scene.await_call("m1").await;
    scene.accept("m2", Class::Ordered, 1, 8_000).await;
    scene.sender.control.set_wall_offset(HOUR_MICROS).unwrap();
    scene.behave(1, Behaviour::Healthy);
    scene.sender.kill_and_start().await;
    scene.await_delivery("m1", LIMIT).await;
    scene.await_delivery("m2", LIMIT).await;
    assert_eq!(scene.calls("m2"), 1);
}
