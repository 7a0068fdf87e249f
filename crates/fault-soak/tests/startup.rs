//! Tests with system calls that fail for a moment while a process starts, takes its work back or serves.

mod support;

use std::time::Duration;

use fault_soak::endpoint::Behaviour;
use fault_soak::settings::Class;
use fault_soak::shim::{Failure, Syscall};
use support::{Fixture, EIO, EMFILE, TIMEOUT};

/// Time for which the system calls fail.
const FAILURE_TIME: Duration = Duration::from_millis(1_500);

/// Starts a fixture, kills its sender while a message is open, and restarts the sender while
/// these system calls fail with `errno`, until [`FAILURE_TIME`] after the restart.
async fn start_with_failing_calls(calls: &[Syscall], errno: i32) -> Fixture {
    let fixture = Fixture::start().await;
    fixture.set_behaviour(1, Behaviour::Hanging);
    fixture.submit_accepted("m1", Class::Keyed, 1, 8_000).await;
    fixture.await_call("m1").await;
    fixture.set_behaviour(1, Behaviour::Healthy);
    for call in calls {
        fixture.fail(*call, Failure::NotDone, errno);
    }
    let sender = fixture.sender.clone();
    let start = tokio::spawn(async move { sender.kill_and_start().await });
    // The process is started 0.6 s after the kill.
    tokio::time::sleep(Duration::from_millis(600) + FAILURE_TIME).await;
    fixture.clear_faults();
    start.await.unwrap();
    fixture
}

/// Guards against a process that exits at its start because sockets cannot be created for a moment.
#[tokio::test(flavor = "multi_thread")]
async fn sockets_that_are_denied_for_a_moment_end_no_start() {
    let fixture = start_with_failing_calls(&[Syscall::Socket], EMFILE).await;
    assert!(fixture.incidents().is_empty(), "{:?}", fixture.incidents());
    fixture.await_delivery("m1", TIMEOUT).await;
}

/// Guards against a process that exits at its start because files in the state folder cannot be opened,
/// locked, read or removed for a moment. It must keep trying, since it needs the lock and the journal.
#[tokio::test(flavor = "multi_thread")]
async fn files_that_are_denied_for_a_moment_end_no_start() {
    let calls = [Syscall::OpenFile, Syscall::Lock, Syscall::ReadFile, Syscall::Unlink];
    let fixture = start_with_failing_calls(&calls, EIO).await;
    assert!(fixture.incidents().is_empty(), "{:?}", fixture.incidents());
    fixture.await_delivery("m1", TIMEOUT).await;
}

/// Guards against a process that takes its work back from a dead successor, but never listens for another
/// successor because creating the socket failed at that moment.
#[tokio::test(flavor = "multi_thread")]
async fn process_that_took_its_work_back_hands_over_again() {
    let fixture = Fixture::start().await;
    fixture.set_behaviour(1, Behaviour::Hanging);
    // The predecessor keeps running for the open attempt of this message.
    fixture.submit_accepted("m1", Class::Pure, 1, 8_000).await;
    fixture.await_call("m1").await;
    let sender = fixture.sender.clone();
    let upgrade =
        tokio::spawn(
            async move { sender.upgrade_and_kill_successor(Duration::from_millis(800), false).await },
        );
    tokio::time::sleep(Duration::from_millis(600)).await;
    fixture.fail(Syscall::Socket, Failure::NotDone, EMFILE);
    upgrade.await.unwrap();
    fixture.clear_faults();
    fixture.sender.upgrade().await;
    assert!(fixture.incidents().is_empty(), "{:?}", fixture.incidents());
    fixture.submit_accepted("m2", Class::Pure, 2, 8_000).await;
    fixture.await_delivery("m2", TIMEOUT).await;
}

/// Guards against healthy endpoints that are ejected for seconds because the sender, unable to create sockets
/// on its own machine, counts that as a failure of the endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn sockets_that_are_denied_in_service_eject_no_endpoint() {
    let fixture = Fixture::start().await;
    fixture.fail(Syscall::Socket, Failure::NotDone, EMFILE);
    fixture.submit_accepted("m1", Class::Once, 2, 8_000).await;
    tokio::time::sleep(FAILURE_TIME).await;
    assert_eq!((fixture.calls("m1"), fixture.notice("m1")), (0, None));
    fixture.clear_faults();
    fixture.await_delivery("m1", Duration::from_millis(700)).await;
}
