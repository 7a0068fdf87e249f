//! Tests with writes to the state folder that fail or are partial, and with truncations that fail too.

mod support;

use std::time::Duration;

use fault_soak::endpoint::Behaviour;
use fault_soak::settings::Class;
use fault_soak::shim::{Failure, Syscall};
use support::{Fixture, EIO, ENOSPC, TIMEOUT};

/// Time that a slow write takes, in milliseconds.
const SLOW_WRITE_MS: i32 = 800;
/// Time to the deadline of a message that is accepted by a slow write, in milliseconds.
const BUDGET_MS: u64 = 3_000;

/// Guards against losing records that are written after a partial record: a write was partial, and truncating
/// the file failed. Also guards against a process that exits at its start because it cannot truncate the file
/// either.
#[tokio::test(flavor = "multi_thread")]
async fn records_behind_a_torn_write_survive_it() {
    let fixture = Fixture::start().await;
    fixture.set_behaviour(1, Behaviour::Hanging);
    fixture.submit_accepted("m1", Class::Keyed, 1, 8_000).await;
    fixture.await_call("m1").await;
    fixture.fail(Syscall::WriteFile, Failure::Partial, ENOSPC);
    fixture.fail(Syscall::Truncate, Failure::NotDone, EIO);
    assert_ne!(fixture.submit("torn", Class::Keyed, 1, 8_000).await, 202);
    fixture.sender.control.clear(Syscall::WriteFile).unwrap();
    // The sender retries a failed write every 50 ms.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let is_accepted = fixture.submit("m2", Class::Keyed, 1, 8_000).await == 202;
    fixture.set_behaviour(1, Behaviour::Healthy);
    fixture.sender.kill_and_start().await;
    fixture.clear_faults();
    fixture.await_delivery("m1", TIMEOUT).await;
    assert!(is_accepted, "m2 is not accepted after writes succeed again");
    fixture.await_delivery("m2", TIMEOUT).await;
    assert!(fixture.incidents().is_empty(), "{:?}", fixture.incidents());
}

/// Guards against a process that exits at its start because the state folder cannot be written. It must
/// refuse new messages, and deliver the messages that were accepted before once writes succeed again.
#[tokio::test(flavor = "multi_thread")]
async fn start_on_a_folder_that_takes_no_writes_becomes_ready() {
    let fixture = Fixture::start().await;
    fixture.set_behaviour(1, Behaviour::Hanging);
    fixture.submit_accepted("m1", Class::Once, 1, 8_000).await;
    fixture.submit_accepted("m2", Class::Keyed, 1, 8_000).await;
    fixture.await_call("m2").await;
    for call in [Syscall::WriteFile, Syscall::Truncate, Syscall::Rename] {
        fixture.fail(call, Failure::NotDone, EIO);
    }
    fixture.set_behaviour(1, Behaviour::Healthy);
    fixture.sender.kill_and_start().await;
    assert!(fixture.incidents().is_empty(), "{:?}", fixture.incidents());
    assert_eq!(fixture.submit("m3", Class::Keyed, 1, 8_000).await, 503);
    fixture.clear_faults();
    fixture.await_delivery("m2", TIMEOUT).await;
    let accepts = fixture.submit("m4", Class::Keyed, 1, 8_000).await;
    assert_eq!(accepts, 202, "m4 is not accepted after writes succeed again");
    fixture.await_delivery("m4", TIMEOUT).await;
}

/// Guards against a message that is sent again after a restart because writing the record of its end failed
/// and was not retried.
#[tokio::test(flavor = "multi_thread")]
async fn end_that_could_not_be_recorded_at_once_is_recorded_later() {
    let fixture = Fixture::start().await;
    fixture.set_behaviour(1, Behaviour::Slow);
    fixture.submit_accepted("m1", Class::Pure, 1, 8_000).await;
    fixture.await_call("m1").await;
    fixture.fail(Syscall::WriteFile, Failure::NotDone, ENOSPC);
    fixture.await_delivery("m1", TIMEOUT).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fixture.clear_faults();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fixture.sender.kill_and_start().await;
    fixture.submit_accepted("m2", Class::Pure, 1, 8_000).await;
    fixture.await_delivery("m2", TIMEOUT).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(fixture.calls("m1"), 1, "m1 was delivered before the restart and must not be sent again");
}

/// Guards against a message that is given up because attempts that could not be recorded count towards the
/// limit of attempts. Such attempts are not sent.
#[tokio::test(flavor = "multi_thread")]
async fn attempts_that_could_not_be_recorded_do_not_count() {
    let fixture = Fixture::start().await;
    fixture.set_behaviour(1, Behaviour::Slow);
    fixture.submit_accepted("m1", Class::Ordered, 1, 8_000).await;
    fixture.submit_accepted("m2", Class::Ordered, 1, 8_000).await;
    fixture.await_call("m1").await;
    fixture.fail(Syscall::WriteFile, Failure::NotDone, ENOSPC);
    fixture.await_delivery("m1", TIMEOUT).await;
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    assert_eq!((fixture.calls("m2"), fixture.notice("m2")), (0, None));
    fixture.clear_faults();
    fixture.await_delivery("m2", TIMEOUT).await;
}

/// Guards against a message that ends after its deadline, or is sent after it, because time passes between the
/// moment at which it is accepted and the turn that decides on it.
#[tokio::test(flavor = "multi_thread")]
async fn slow_write_does_not_move_a_deadline() {
    let fixture = Fixture::start().await;
    fixture.set_behaviour(1, Behaviour::Hanging);
    fixture.fail(Syscall::WriteFile, Failure::Delayed, SLOW_WRITE_MS);
    let start = tokio::time::Instant::now();
    fixture.submit_accepted("m1", Class::Pure, 1, BUDGET_MS).await;
    fixture.clear_faults();
    let is_notified = |fixture: &Fixture| fixture.notice("m1").is_some();
    assert!(fixture.wait_until(TIMEOUT, is_notified).await);
    let limit = Duration::from_millis(BUDGET_MS + 350);
    assert!(start.elapsed() < limit, "ended after {:?}", start.elapsed());
}

/// Guards against a message that ends after its deadline because its submission waited behind a slow write before
/// its time began to count.
#[tokio::test(flavor = "multi_thread")]
async fn wait_behind_a_slow_write_does_not_move_a_deadline() {
    let fixture = Fixture::start().await;
    fixture.set_behaviour(1, Behaviour::Hanging);
    fixture.fail(Syscall::WriteFile, Failure::Delayed, SLOW_WRITE_MS);
    // The sender reads both submissions when it is continued, and the record of one of them delays the other.
    let ids = ["m1", "m2"];
    let submissions = ids.map(|id| fixture.submit_accepted(id, Class::Pure, 1, BUDGET_MS));
    let [first, second] = submissions;
    let suspension = fixture.sender.pause(Duration::from_millis(200));
    let continued = async {
        suspension.await;
        tokio::time::Instant::now()
    };
    let (start, (), ()) = tokio::join!(continued, first, second);
    fixture.clear_faults();
    let is_notified = |fixture: &Fixture| ids.iter().all(|id| fixture.notice(id).is_some());
    assert!(fixture.wait_until(TIMEOUT, is_notified).await);
    let limit = Duration::from_millis(BUDGET_MS + 350);
    assert!(start.elapsed() < limit, "ended after {:?}", start.elapsed());
}
