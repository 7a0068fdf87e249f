//! Tests signals while system calls on sockets are interrupted.

mod support;

use std::time::Duration;

use fault_soak::settings::Class;
use fault_soak::shim::{Failure, Syscall};
use support::{Fixture, EINTR, TIMEOUT};

/// Number of system calls that fail, of ten thousand: half of them.
const RATE: u32 = 5_000;
/// Number of reloads during the test.
const RELOADS: u32 = 10;

/// Guards against a process that ends or misses a signal because a system call of the async runtime itself is
/// interrupted.
#[tokio::test(flavor = "multi_thread")]
async fn signals_are_heard_while_calls_are_interrupted() {
    let fixture = Fixture::start().await;
    fixture.fail_at_rate(Syscall::Receive, Failure::NotDone, EINTR, RATE);
    fixture.fail_at_rate(Syscall::Send, Failure::NotDone, EINTR, RATE);
    for _ in 0..RELOADS {
        let address = fixture.discovery.listen(0).await.unwrap();
        fixture.sender.reload(address).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    fixture.submit_accepted("m1", Class::Once, 2, 8_000).await;
    fixture.await_delivery("m1", TIMEOUT).await;
    fixture.sender.terminate_and_start().await;
    assert!(fixture.incidents().is_empty(), "{:?}", fixture.incidents());
}
