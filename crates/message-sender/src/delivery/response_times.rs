//! Learns how soon endpoints can answer, to recognize responses that come too soon.
//!
//! A second copy of a response may cross the next request on its connection. It then arrives sooner after that
//! request than the endpoint could have received and processed it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use delivery_control::EndpointId;
use tokio::time::Instant;

use crate::http_connection::REUSE_DELAY;

/// Number of deliveries of an endpoint before its fastest one is meaningful.
const MIN_DELIVERIES: u32 = 16;
/// A delivery is too soon if it takes less than the fastest known one divided by this.
const SPEEDUP_MARGIN: u32 = 4;
/// Maximum time for which data can cross a request on the network. A delivery that takes longer is never too
/// soon.
const MAX_CROSSING_TIME: Duration = Duration::from_millis(25);

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
}

impl ResponseTimes {
    /// Records the time from the last byte of a request to the end of a status line that says that the message was
    /// delivered.
    pub fn record(&self, endpoint: EndpointId, response_time: Duration) {
        let recorded_at = Instant::now();
        let mut fastest = self.fastest.borrow_mut();
        let entry =
            fastest.entry(endpoint).or_insert(FastestDelivery { response_time, deliveries: 0, recorded_at });
        entry.response_time = entry.response_time.min(response_time);
        entry.deliveries = (entry.deliveries + 1).min(MIN_DELIVERIES);
        entry.recorded_at = recorded_at;
    }

    /// Time before which a response that says that the message was delivered cannot be the endpoint's response
    /// to a request. `None` if too little is known, or if the endpoint may answer so soon that its responses
    /// cannot be told from data that follows an earlier response.
    pub fn min_response_time(&self, endpoint: EndpointId) -> Option<Duration> {
        let fastest = self.fastest.borrow();
        let known = fastest.get(&endpoint).filter(|known| known.deliveries >= MIN_DELIVERIES)?;
        let min_response_time = (known.response_time / SPEEDUP_MARGIN).min(MAX_CROSSING_TIME);
        (min_response_time >= REUSE_DELAY).then_some(min_response_time)
    }

    /// Forgets endpoints without a delivery for `retention`.
    pub fn expire(&self, retention: Duration) {
        self.fastest.borrow_mut().retain(|_, known| known.recorded_at.elapsed() < retention);
    }
}

#[cfg(test)]
mod tests;
