//! What clients and other peers do at the edge of what is allowed.

mod support;

use std::time::Duration;

use fault_soak::http::read_message;
use fault_soak::settings::Class;
use support::{submission, Scene, LIMIT};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Guards against an answer that is lost because the connection is closed over bytes that were not read,
/// which resets it.
#[tokio::test(flavor = "multi_thread")]
async fn answer_is_not_lost_with_bytes_that_were_not_read() {
    let scene = Scene::start(0).await;
    let head =
        submission("large", Class::Keyed, 1, 8_000).replace("Content-Length: 1", "Content-Length: 99999");
    let text = head + &"x".repeat(99_998);
    let mut clients = tokio::task::JoinSet::new();
    for _ in 0..60 {
        let (address, text) = (scene.sender.address, text.clone());
        clients.spawn(async move {
            let mut stream = BufReader::new(TcpStream::connect(address).await.unwrap());
            // The sender may answer and close before it has read all.
            let _ = stream.get_mut().write_all(text.as_bytes()).await;
            // What has arrived by now is dropped where the connection is reset.
            tokio::time::sleep(Duration::from_millis(50)).await;
            read_message(&mut stream).await.ok().flatten().map(|answer| answer.status())
        });
    }
    let answers = clients.join_all().await;
    let lost = answers.iter().filter(|answer| **answer != Some(413)).count();
    assert_eq!(lost, 0, "{answers:?}");
}

/// Guards against a message that is delivered again because its id comes again after its end.
#[tokio::test(flavor = "multi_thread")]
async fn message_submitted_again_after_its_end_is_not_sent_again() {
    let scene = Scene::start(1).await;
    scene.accept("m1", Class::Once, 1, 8_000).await;
    scene.await_delivery("m1", LIMIT).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    scene.accept("m1", Class::Once, 1, 8_000).await;
    scene.accept("m2", Class::Once, 1, 8_000).await;
    scene.await_delivery("m2", LIMIT).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(scene.calls("m1"), 1);
}

/// The same after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn message_submitted_again_after_a_restart_is_not_sent_again() {
    let scene = Scene::start(2).await;
    scene.accept("m1", Class::Once, 1, 8_000).await;
    scene.await_delivery("m1", LIMIT).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    scene.sender.kill_and_start().await;
    scene.accept("m1", Class::Once, 1, 8_000).await;
    scene.accept("m2", Class::Once, 1, 8_000).await;
    scene.await_delivery("m2", LIMIT).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(scene.calls("m1"), 1);
}
