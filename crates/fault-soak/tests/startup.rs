//! System calls fail for a moment while a process starts, or takes its work back.

mod support;

use std::time::Duration;

use fault_soak::endpoint::Behaviour;
use fault_soak::settings::Class;
use fault_soak::shim::{Call, Mode};
use support::{Scene, EIO, EMFILE, LIMIT};

/// How long the trouble of a start lasts.
const TROUBLE: Duration = Duration::from_millis(1_500);

async fn start_in_trouble(number: u8, calls: &[Call], errno: i32) -> Scene {
    let scene = Scene::start(number).await;
    scene.behave(1, Behaviour::Hanging);
    scene.accept("m1", Class::Keyed, 1, 8_000).await;
    scene.await_call("m1").await;
    scene.behave(1, Behaviour::Healthy);
    for call in calls {
        scene.fail(*call, Mode::Fails, errno);
    }
    let sender = scene.sender.clone();
    let start = tokio::spawn(async move { sender.kill_and_start().await });
    // The start itself begins 0.6 s after the kill.
    tokio::time::sleep(Duration::from_millis(600) + TROUBLE).await;
    scene.mend();
    start.await.unwrap();
    scene
}

/// Guards against a start that ends because one call failed for a moment.
#[tokio::test(flavor = "multi_thread")]
async fn sockets_that_are_denied_for_a_moment_end_no_start() {
    let scene = start_in_trouble(0, &[Call::Socket], EMFILE).await;
    assert!(scene.incidents().is_empty(), "{:?}", scene.incidents());
    scene.await_delivery("m1", LIMIT).await;
}

/// The same with the state folder: the lock, and the journal that has to be read.
#[tokio::test(flavor = "multi_thread")]
async fn files_that_are_denied_for_a_moment_end_no_start() {
    let calls = [Call::OpenFile, Call::Lock, Call::ReadFile, Call::Unlink];
    let scene = start_in_trouble(1, &calls, EIO).await;
    assert!(scene.incidents().is_empty(), "{:?}", scene.incidents());
    scene.await_delivery("m1", LIMIT).await;
}

/// Guards against a process that takes its work back from a dead successor, cannot listen for the next one
/// at that moment, and never does so again.
#[tokio::test(flavor = "multi_thread")]
async fn process_that_took_its_work_back_hands_over_again() {
    let scene = Scene::start(2).await;
    scene.behave(1, Behaviour::Hanging);
    // The predecessor stays for this attempt.
    scene.accept("m1", Class::Pure, 1, 8_000).await;
    scene.await_call("m1").await;
    let sender = scene.sender.clone();
    let upgrade = tokio::spawn(async move { sender.upgrade_dies(Duration::from_millis(800), false).await });
    tokio::time::sleep(Duration::from_millis(600)).await;
    scene.fail(Call::Socket, Mode::Fails, EMFILE);
    upgrade.await.unwrap();
    scene.mend();
    scene.sender.upgrade().await;
    assert!(scene.incidents().is_empty(), "{:?}", scene.incidents());
    scene.accept("m2", Class::Pure, 2, 8_000).await;
    scene.await_delivery("m2", LIMIT).await;
}

/// Guards against endpoints that are taken for failing, and spared for seconds, because this machine denied
/// the sender its sockets.
#[tokio::test(flavor = "multi_thread")]
async fn sockets_that_are_denied_in_service_eject_no_endpoint() {
    let scene = Scene::start(3).await;
    scene.fail(Call::Socket, Mode::Fails, EMFILE);
    scene.accept("m1", Class::Once, 2, 8_000).await;
    tokio::time::sleep(TROUBLE).await;
    assert_eq!((scene.calls("m1"), scene.notice("m1")), (0, None));
    scene.mend();
    scene.await_delivery("m1", Duration::from_millis(700)).await;
}
