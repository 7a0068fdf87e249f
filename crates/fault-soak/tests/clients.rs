//! Tests unusual behaviour of clients: requests that are too large, and repeated call ids.

mod support;

use std::time::Duration;

use fault_soak::http::read_message;
use fault_soak::settings::Class;
use support::{submission, Fixture, TIMEOUT};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Guards against a response that the client does not get: if the sender closes a connection with unread
/// bytes, the connection is reset, and the client drops the response.
#[tokio::test(flavor = "multi_thread")]
async fn answer_is_not_lost_with_bytes_that_were_not_read() {
    let fixture = Fixture::start().await;
    let head =
        submission("large", Class::Keyed, 1, 8_000).replace("Content-Length: 1", "Content-Length: 99999");
    let text = head + &"x".repeat(99_998);
    let mut clients = tokio::task::JoinSet::new();
    for _ in 0..60 {
        let (address, text) = (fixture.sender.address, text.clone());
        clients.spawn(async move {
            let mut stream = BufReader::new(TcpStream::connect(address).await.unwrap());
            // The write fails if the sender responds and closes the connection before it has read everything.
            let _ = stream.get_mut().write_all(text.as_bytes()).await;
            // If the connection is reset, the response that has arrived by now is dropped.
            tokio::time::sleep(Duration::from_millis(50)).await;
            read_message(&mut stream).await.ok().flatten().map(|response| response.status())
        });
    }
    let statuses = clients.join_all().await;
    let lost = statuses.iter().filter(|status| **status != Some(413)).count();
    assert_eq!(lost, 0, "{statuses:?}");
}

/// Guards against a message that is delivered twice because it is submitted again under the same id after its
/// end.
#[tokio::test(flavor = "multi_thread")]
async fn message_submitted_again_after_its_end_is_not_sent_again() {
    let fixture = Fixture::start().await;
    fixture.submit_accepted("m1", Class::Once, 1, 8_000).await;
    fixture.await_delivery("m1", TIMEOUT).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fixture.submit_accepted("m1", Class::Once, 1, 8_000).await;
    fixture.submit_accepted("m2", Class::Once, 1, 8_000).await;
    fixture.await_delivery("m2", TIMEOUT).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fixture.calls("m1"), 1);
}

/// Guards against a message that is delivered twice because the sender is killed and restarted after its end,
/// and the message is then submitted again under the same id.
#[tokio::test(flavor = "multi_thread")]
async fn message_submitted_again_after_a_restart_is_not_sent_again() {
    let fixture = Fixture::start().await;
    fixture.submit_accepted("m1", Class::Once, 1, 8_000).await;
    fixture.await_delivery("m1", TIMEOUT).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fixture.sender.kill_and_start().await;
    fixture.submit_accepted("m1", Class::Once, 1, 8_000).await;
    fixture.submit_accepted("m2", Class::Once, 1, 8_000).await;
    fixture.await_delivery("m2", TIMEOUT).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fixture.calls("m1"), 1);
}
