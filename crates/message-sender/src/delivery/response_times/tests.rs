//! Tests for the time before which an endpoint cannot have delivered a message.

use std::time::Duration;

use tokio::time::advance;

use super::{ResponseTimes, MAX_CROSSING_TIME, MIN_DELIVERIES};

const ENDPOINT: u64 = 1;
const OTHER_ENDPOINT: u64 = 2;

fn after_deliveries(response_times_ms: impl IntoIterator<Item = u64>) -> ResponseTimes {
    let response_times = ResponseTimes::default();
    for response_time in response_times_ms {
        response_times.record(ENDPOINT, Duration::from_millis(response_time));
    }
    response_times
}

/// Guards against a response that is discarded although the endpoint may have sent it: little is known of the
/// endpoint, or it sometimes answers as soon.
#[test]
fn only_an_endpoint_known_to_be_slow_has_a_minimum() {
    let deliveries = MIN_DELIVERIES as usize;
    let minimum = |times: Vec<u64>| after_deliveries(times).min_response_time(ENDPOINT);
    assert_eq!(minimum(vec![]), None);
    assert_eq!(minimum(vec![60; deliveries - 1]), None);
    assert_eq!(minimum(vec![60; deliveries]), Some(Duration::from_millis(15)));
    assert_eq!(minimum(vec![39; deliveries]), None);
    let with_a_fast_one = [vec![60; deliveries], vec![1]].concat();
    assert_eq!(minimum(with_a_fast_one), None);
    assert_eq!(minimum(vec![5_000; deliveries]), Some(MAX_CROSSING_TIME));
    assert_eq!(after_deliveries(vec![60; deliveries]).min_response_time(OTHER_ENDPOINT), None);
}

/// Guards against memory that grows with each endpoint that was ever called.
#[tokio::test(start_paused = true)]
async fn endpoints_without_deliveries_are_forgotten() {
    let (retention, remaining) = (Duration::from_secs(42), Duration::from_secs(1));
    let response_times = after_deliveries(vec![60; MIN_DELIVERIES as usize]);
    advance(retention.saturating_sub(remaining)).await;
    response_times.expire(retention);
    assert!(response_times.min_response_time(ENDPOINT).is_some());
    advance(remaining).await;
    response_times.expire(retention);
    assert!(response_times.min_response_time(ENDPOINT).is_none());
}
