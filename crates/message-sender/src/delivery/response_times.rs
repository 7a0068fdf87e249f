//! Learns how soon endpoints answer, to recognize data that comes unusually soon.
//!
//! A second copy of a response may cross the next request on its connection. It then arrives sooner after that
//! request than the endpoint could have received and processed it. An endpoint that has become faster answers as soon,
//! so the time alone proves nothing.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use delivery_control::EndpointId;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Number of deliveries of an endpoint before its fastest one is meaningful.
const MIN_DELIVERIES: u32 = 16;
/// A delivery is unusually soon if it takes less than the fastest known one divided by this, and late if it takes
/// longer than that one multiplied by this.
const SPEED_MARGIN: u32 = 4;
/// Minimum and maximum time within which data may be unusually soon: some endpoints often answer sooner than the
/// minimum, and data crosses a request on the network for no longer than the maximum.
const MIN_CROSSING_TIME: Duration = Duration::from_millis(10);
pub(super) const MAX_CROSSING_TIME: Duration = Duration::from_millis(25);
/// Longest time within which an endpoint is expected to answer.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(1);

/// The fastest delivery of an endpoint.
struct FastestDelivery {
    response_time: Duration,
    /// Number of deliveries, up to [`MIN_DELIVERIES`].
    deliveries: u32,
    /// When the last delivery was recorded.
    recorded_at: Instant,
}

/// The fastest delivery of each endpoint with recent deliveries.
#[derive(Default)]
pub struct ResponseTimes {
    fastest: RefCell<HashMap<EndpointId, FastestDelivery>>,
    /// Notified when an endpoint has delivered faster than before.
    became_faster: Notify,
}

impl ResponseTimes {
    /// Records the time from the last byte of a request to the end of a status line that says that the message was
    /// delivered.
    pub fn record(&self, endpoint: EndpointId, response_time: Duration) {
        let recorded_at = Instant::now();
        let mut fastest = self.fastest.borrow_mut();
        let entry =
            fastest.entry(endpoint).or_insert(FastestDelivery { response_time, deliveries: 0, recorded_at });
        if response_time < entry.response_time {
            entry.response_time = response_time;
            self.became_faster.notify_waiters();
        }
        entry.deliveries = (entry.deliveries + 1).min(MIN_DELIVERIES);
        entry.recorded_at = recorded_at;
    }

    /// Time before which a response that says that a message was delivered is unusually soon. `None` if too little
    /// is known, or if the endpoint often answers so soon.
    pub fn min_response_time(&self, endpoint: EndpointId) -> Option<Duration> {
        let fastest = self.fastest.borrow();
        let known = fastest.get(&endpoint).filter(|known| known.deliveries >= MIN_DELIVERIES)?;
        let min_response_time = (known.response_time / SPEED_MARGIN).min(MAX_CROSSING_TIME);
        (min_response_time >= MIN_CROSSING_TIME).then_some(min_response_time)
    }

    /// Time within which an endpoint is expected to answer a request.
    pub fn max_response_time(&self, endpoint: EndpointId) -> Duration {
        let fastest = self.fastest.borrow();
        let known = fastest.get(&endpoint).map(|known| known.response_time * SPEED_MARGIN);
        known.unwrap_or(MAX_RESPONSE_TIME).min(MAX_RESPONSE_TIME)
    }

    /// Waits until other deliveries have shown that an endpoint answers within `response_time`.
    pub async fn wait_until_usual(&self, endpoint: EndpointId, response_time: Duration) {
        loop {
            let became_faster = self.became_faster.notified();
            if self.min_response_time(endpoint).is_none_or(|minimum| minimum <= response_time) {
                return;
            }
            became_faster.await;
        }
    }

    /// Forgets endpoints without a delivery for `retention`.
    pub fn expire(&self, retention: Duration) {
        self.fastest.borrow_mut().retain(|_, known| known.recorded_at.elapsed() < retention);
    }
}

#[cfg(test)]
mod tests;
