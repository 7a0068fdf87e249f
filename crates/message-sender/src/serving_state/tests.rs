//! Tests of the transitions between serving states.

use super::{ServingState, ServingStateControl, ShuttingDown};

/// Guards against an operator's command that makes a process serve again while it shuts down.
#[test]
fn an_operator_changes_the_state_until_the_process_shuts_down() {
    let control = ServingStateControl::new();
    assert_eq!(control.set_by_operator(ServingState::Standby), Ok(ServingState::Serving));
    assert_eq!(control.set_by_operator(ServingState::Serving), Ok(ServingState::Standby));
    control.shut_down();
    assert_eq!(control.set_by_operator(ServingState::Serving), Err(ShuttingDown));
    assert_eq!(control.state(), ServingState::ShuttingDown);
}

/// Guards against an upgrade that makes the sender look unhealthy: the predecessor is shut down while it
/// still has clients, and the successor serves.
#[test]
fn a_process_that_has_handed_over_stays_healthy_when_it_shuts_down() {
    let control = ServingStateControl::new();
    control.hand_over();
    control.shut_down();
    assert_eq!(control.state(), ServingState::HandedOver);
    assert!(control.state().is_healthy() && !control.state().is_serving());
    control.resume();
    assert!(control.state().is_serving());
}

/// Guards against connections that are closed as soon as they are accepted because the process already
/// drains.
#[tokio::test(start_paused = true)]
async fn a_subscriber_that_starts_while_draining_is_not_notified() {
    let control = ServingStateControl::new();
    control.shut_down();
    let mut late = control.subscribe();
    let waited = ServingState::wait_until_not_serving(&mut late);
    assert!(tokio::time::timeout(std::time::Duration::from_millis(20), waited).await.is_err());
}

/// Guards against a sender on standby that accepts messages again because its successor has died.
#[test]
fn a_process_that_takes_its_work_back_is_on_standby_if_it_was() {
    let control = ServingStateControl::new();
    control.set_by_operator(ServingState::Standby).unwrap();
    control.hand_over();
    control.resume();
    assert_eq!(control.state(), ServingState::Standby);
}
