//! Tests of the transitions between serving states.

use super::{ServingState, ServingStateControl, ShuttingDown};

#[test]
fn an_operator_changes_the_state_until_the_process_shuts_down() {
    let control = ServingStateControl::new();
    assert_eq!(control.set_by_operator(ServingState::Standby), Ok(ServingState::Serving));
    assert_eq!(control.set_by_operator(ServingState::Serving), Ok(ServingState::Standby));
    control.shut_down();
    assert_eq!(control.set_by_operator(ServingState::Serving), Err(ShuttingDown));
    assert_eq!(control.state(), ServingState::ShuttingDown);
}

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

#[tokio::test(start_paused = true)]
async fn a_subscriber_that_starts_while_draining_is_not_notified() {
    let control = ServingStateControl::new();
    control.shut_down();
    let mut late = control.subscribe();
    let waited = ServingState::wait_until_not_serving(&mut late);
    assert!(tokio::time::timeout(std::time::Duration::from_millis(20), waited).await.is_err());
}

/// Guards against a sender on standby that takes clients again because its successor died.
#[test]
fn a_process_that_takes_its_work_back_is_on_standby_if_it_was() {
    let control = ServingStateControl::new();
    control.set_by_operator(ServingState::Standby).unwrap();
    control.hand_over();
    control.resume();
    assert_eq!(control.state(), ServingState::Standby);
}
