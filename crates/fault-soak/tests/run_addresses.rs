//! Tests that runs at the same time have addresses of their own.

use fault_soak::run_addresses::RunAddresses;

/// Guards against two runs whose clients reach the senders of the other one: messages seem lost in one, and unexpected
/// in the other.
#[test]
fn runs_at_the_same_time_share_no_address() {
    let (first, second) = (RunAddresses::claim().unwrap(), RunAddresses::claim().unwrap());
    assert_ne!(first.sender(0), second.sender(0));
    assert_ne!(first.sender(0), first.sender(1));
}
