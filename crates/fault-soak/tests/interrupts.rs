//! Calls on sockets are interrupted, and reads and writes cut short.

mod support;

use fault_soak::settings::Class;
use fault_soak::shim::{Call, Mode};
use support::{Scene, EINTR, LIMIT};

/// Half of all calls.
const RATE: u32 = 5_000;

/// Guards against a request that is read and then closed without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn interrupted_calls_cost_no_request_its_answer() {
    let scene = Scene::start(0).await;
    scene.fail_at_rate(Call::Receive, Mode::Fails, EINTR, RATE);
    scene.fail_at_rate(Call::Send, Mode::Fails, EINTR, RATE);
    for number in 0..40 {
        let id = format!("m{number}");
        assert_eq!(scene.submit(&id, Class::Once, 2, 8_000).await, 202, "{id}");
        scene.await_delivery(&id, LIMIT).await;
    }
    assert!(scene.incidents().is_empty(), "{:?}", scene.incidents());
}

/// Guards against a handover that fails, or whose relay ends, by an interrupted call.
#[tokio::test(flavor = "multi_thread")]
async fn interrupted_calls_disturb_no_handover() {
    let scene = Scene::start(1).await;
    scene.fail_at_rate(Call::Receive, Mode::Fails, EINTR, RATE);
    scene.fail_at_rate(Call::Send, Mode::Fails, EINTR, RATE);
    for number in 0..4 {
        scene.sender.upgrade().await;
        let id = format!("m{number}");
        assert_eq!(scene.submit(&id, Class::Once, 2, 8_000).await, 202, "{id}");
        scene.await_delivery(&id, LIMIT).await;
    }
    assert!(scene.incidents().is_empty(), "{:?}", scene.incidents());
}
