//! Signals while calls on sockets are interrupted.

mod support;

use std::time::Duration;

use fault_soak::settings::Class;
use fault_soak::shim::{Call, Mode};
use support::{Scene, EINTR, LIMIT};

/// Half of all calls.
const RATE: u32 = 5_000;
const RELOADS: u32 = 10;

/// Guards against a process that ends, or does not hear a signal, since a call of the runtime's own is
/// interrupted.
#[tokio::test(flavor = "multi_thread")]
async fn signals_are_heard_while_calls_are_interrupted() {
    let scene = Scene::start(0).await;
    scene.fail_at_rate(Call::Receive, Mode::Fails, EINTR, RATE);
    scene.fail_at_rate(Call::Send, Mode::Fails, EINTR, RATE);
    for _ in 0..RELOADS {
        let address = scene.discovery.listen(0).await.unwrap();
        scene.sender.reload(address).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    scene.accept("m1", Class::Once, 2, 8_000).await;
    scene.await_delivery("m1", LIMIT).await;
    scene.sender.terminate_and_start().await;
    assert!(scene.incidents().is_empty(), "{:?}", scene.incidents());
}
