//! Writes to the state folder fail, fail half-way, and fail again while that is cleaned up.

mod support;

use std::time::Duration;

use fault_soak::endpoint::Behaviour;
use fault_soak::settings::Class;
use fault_soak::shim::{Call, Mode};
use support::{Scene, EIO, ENOSPC, LIMIT};

/// Guards against records that are lost behind one of which a part was written and could not be cut off, and
/// against a start that ends because it cannot cut it off either.
#[tokio::test(flavor = "multi_thread")]
async fn records_behind_a_torn_write_survive_it() {
    let scene = Scene::start(0).await;
    scene.behave(1, Behaviour::Hanging);
    scene.accept("m1", Class::Keyed, 1, 8_000).await;
    scene.await_call("m1").await;
    scene.fail(Call::WriteFile, Mode::PartlyDone, ENOSPC);
    scene.fail(Call::Truncate, Mode::Fails, EIO);
    assert_ne!(scene.submit("torn", Class::Keyed, 1, 8_000).await, 202);
    scene.sender.control.clear(Call::WriteFile).unwrap();
    // A file that could not be written is tried again some moments later.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let is_accepted = scene.submit("m2", Class::Keyed, 1, 8_000).await == 202;
    scene.behave(1, Behaviour::Healthy);
    scene.sender.kill_and_start().await;
    scene.mend();
    scene.await_delivery("m1", LIMIT).await;
    assert!(is_accepted, "the folder takes writes again");
    scene.await_delivery("m2", LIMIT).await;
    assert!(scene.incidents().is_empty(), "{:?}", scene.incidents());
}

/// Guards against a start that ends while the folder takes no writes. Nothing new is accepted then, and what
/// was accepted before is delivered once the folder takes writes again.
#[tokio::test(flavor = "multi_thread")]
async fn start_on_a_folder_that_takes_no_writes_becomes_ready() {
    let scene = Scene::start(1).await;
    scene.behave(1, Behaviour::Hanging);
    scene.accept("m1", Class::Once, 1, 8_000).await;
    scene.accept("m2", Class::Keyed, 1, 8_000).await;
    scene.await_call("m2").await;
    for call in [Call::WriteFile, Call::Truncate, Call::Rename] {
        scene.fail(call, Mode::Fails, EIO);
    }
    scene.behave(1, Behaviour::Healthy);
    scene.sender.kill_and_start().await;
    assert!(scene.incidents().is_empty(), "{:?}", scene.incidents());
    assert_eq!(scene.submit("m3", Class::Keyed, 1, 8_000).await, 503);
    scene.mend();
    scene.await_delivery("m2", LIMIT).await;
    let accepts = scene.submit("m4", Class::Keyed, 1, 8_000).await;
    assert_eq!(accepts, 202, "the folder takes writes again");
    scene.await_delivery("m4", LIMIT).await;
}

/// Guards against a message that is sent again after a restart because its end could not be recorded.
#[tokio::test(flavor = "multi_thread")]
async fn end_that_could_not_be_recorded_at_once_is_recorded_later() {
    let scene = Scene::start(2).await;
    scene.behave(1, Behaviour::Slow);
    scene.accept("m1", Class::Pure, 1, 8_000).await;
    scene.await_call("m1").await;
    scene.fail(Call::WriteFile, Mode::Fails, ENOSPC);
    scene.await_delivery("m1", LIMIT).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    scene.mend();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    scene.sender.kill_and_start().await;
    scene.accept("m2", Class::Pure, 1, 8_000).await;
    scene.await_delivery("m2", LIMIT).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(scene.calls("m1"), 1, "m1 was delivered before the restart");
}

/// Guards against a message that is given up since attempts that could not be recorded, and so were not sent,
/// count towards the limit of attempts.
#[tokio::test(flavor = "multi_thread")]
async fn attempts_that_could_not_be_recorded_do_not_count() {
    let scene = Scene::start(3).await;
    scene.behave(1, Behaviour::Slow);
    scene.accept("m1", Class::Ordered, 1, 8_000).await;
    scene.accept("m2", Class::Ordered, 1, 8_000).await;
    scene.await_call("m1").await;
    scene.fail(Call::WriteFile, Mode::Fails, ENOSPC);
    scene.await_delivery("m1", LIMIT).await;
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    assert_eq!((scene.calls("m2"), scene.notice("m2")), (0, None));
    scene.mend();
    scene.await_delivery("m2", LIMIT).await;
}
