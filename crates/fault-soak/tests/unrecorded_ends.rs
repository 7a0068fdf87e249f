//! Tests with messages that are given up while the state folder takes no writes, and a kill before it does again.

mod support;

use std::time::Duration;

use fault_soak::endpoint::Behaviour;
use fault_soak::settings::Class;
use fault_soak::shim::{Failure, Syscall};
use support::{Fixture, ENOSPC, TIMEOUT};
use tokio::time::sleep;

/// Largest number of buffered messages at which a new one replaces none: 97 % of the capacity.
const FULL_BUFFER: usize = 242;
/// Time from the restart in which the next process sends the messages that it recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Fills the buffer with messages that wait for an endpoint that does not respond.
async fn start_with_full_buffer() -> Fixture {
    let fixture = Fixture::start().await;
    fixture.set_behaviour(1, Behaviour::Hanging);
    for message in 0..FULL_BUFFER {
        fixture.submit_accepted(&format!("m{message}"), Class::Pure, 1, 8_000).await;
    }
    fixture
}

/// Kills the sender and starts it again with a folder that takes writes and an endpoint that responds.
async fn restart_after_faults(fixture: &Fixture) {
    fixture.sender.kill().await;
    fixture.clear_faults();
    fixture.set_behaviour(1, Behaviour::Healthy);
    fixture.sender.kill_and_start().await;
    sleep(RECOVERY_TIME).await;
}

/// Guards against a refusal of a message that the next process sends, because the end of the message was not
/// recorded before the client got the refusal.
#[tokio::test(flavor = "multi_thread")]
async fn refused_message_whose_end_was_not_recorded_is_not_sent() {
    let fixture = start_with_full_buffer().await;
    // The message is recorded, its end is not. It is worth least, as it has the least time left.
    fixture.fail_after(1, Syscall::WriteFile, Failure::NotDone, ENOSPC);
    let status = fixture.submit("last", Class::Keyed, 1, 5_000).await;
    restart_after_faults(&fixture).await;
    let calls = fixture.calls("last");
    assert!(status != 503 || calls == 0, "status {status}, {calls} calls");
    assert!(status != 202 || calls > 0, "status {status}, {calls} calls");
}

/// Guards against a notice about a message that the next process sends, because the end of the message was not
/// recorded before the notice was acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn message_is_not_sent_after_its_notice_although_its_end_was_not_recorded() {
    let fixture = start_with_full_buffer().await;
    fixture.fail_after(1, Syscall::WriteFile, Failure::NotDone, ENOSPC);
    // It replaces an older message, which is worth less.
    fixture.submit_accepted("last", Class::Pure, 1, 8_000).await;
    sleep(Duration::from_millis(500)).await;
    let notified: Vec<String> = fixture.history.records().notices.keys().cloned().collect();
    let calls_before: Vec<usize> = notified.iter().map(|id| fixture.calls(id)).collect();
    restart_after_faults(&fixture).await;
    fixture.await_delivery("last", TIMEOUT).await;
    let is_sent = |(id, before): &(&String, usize)| fixture.calls(id) > *before;
    let sent: Vec<_> = notified.iter().zip(calls_before).filter(is_sent).collect();
    assert!(sent.is_empty(), "sent after the notice: {sent:?}");
}
