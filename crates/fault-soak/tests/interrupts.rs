//! Tests with interrupted system calls on sockets.

mod support;

use fault_soak::settings::Class;
use fault_soak::shim::{Failure, Syscall};
use support::{Fixture, EINTR, TIMEOUT};

/// Number of system calls that fail, of ten thousand: half of them.
const RATE: u32 = 5_000;

/// Guards against a request that gets no response because a system call on its connection was interrupted.
#[tokio::test(flavor = "multi_thread")]
async fn interrupted_calls_cost_no_request_its_answer() {
    let fixture = Fixture::start().await;
    fixture.fail_at_rate(Syscall::Receive, Failure::NotDone, EINTR, RATE);
    fixture.fail_at_rate(Syscall::Send, Failure::NotDone, EINTR, RATE);
    for number in 0..40 {
        let id = format!("m{number}");
        assert_eq!(fixture.submit(&id, Class::Once, 2, 8_000).await, 202, "{id}");
        fixture.await_delivery(&id, TIMEOUT).await;
    }
    assert!(fixture.incidents().is_empty(), "{:?}", fixture.incidents());
}

/// Guards against a handover that fails, or whose relay ends, because a system call was interrupted.
#[tokio::test(flavor = "multi_thread")]
async fn interrupted_calls_disturb_no_handover() {
    let fixture = Fixture::start().await;
    fixture.fail_at_rate(Syscall::Receive, Failure::NotDone, EINTR, RATE);
    fixture.fail_at_rate(Syscall::Send, Failure::NotDone, EINTR, RATE);
    for number in 0..4 {
        fixture.sender.upgrade().await;
        let id = format!("m{number}");
        assert_eq!(fixture.submit(&id, Class::Once, 2, 8_000).await, 202, "{id}");
        fixture.await_delivery(&id, TIMEOUT).await;
    }
    assert!(fixture.incidents().is_empty(), "{:?}", fixture.incidents());
}
