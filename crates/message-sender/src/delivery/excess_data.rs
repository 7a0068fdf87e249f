//! Remembers the endpoints that have sent data that belongs to no response.
//!
//! What arrives between the last look at an idle connection and the first byte of the next request cannot be told
//! from the response to that request. Endpoints that have just sent such data get each request on a connection
//! of its own, and for a while longer their early responses are doubted.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use delivery_control::EndpointId;
use tokio::time::Instant;

use super::attempt::Target;
use crate::http_connection::EXCESS_DATA_MEMORY;
use crate::metrics::increment;

/// Time for which the early responses of an endpoint are doubted after it has sent excess data.
const DOUBT_MEMORY: Duration = Duration::from_secs(60);

/// The endpoints that have sent excess data lately, with the time when they did so last.
pub struct ExcessDataTracker {
    seen_at: RefCell<HashMap<EndpointId, Instant>>,
    /// Counts each time that excess data was seen.
    count: Rc<Cell<u64>>,
}

impl ExcessDataTracker {
    /// A tracker without endpoints that counts what it records in `count`.
    pub fn new(count: Rc<Cell<u64>>) -> Self {
        Self { seen_at: RefCell::default(), count }
    }

    /// Records that an endpoint has sent excess data, and logs this if it has not done so lately.
    pub fn record(&self, target: Target) {
        increment(&self.count);
        if !self.avoids_reuse(target.endpoint) {
            tracing::warn!(
                endpoint = target.endpoint,
                address = %target.address,
                "endpoint sends data after its responses, its connections are not reused"
            );
        }
        self.seen_at.borrow_mut().insert(target.endpoint, Instant::now());
    }

    /// Whether an endpoint has sent excess data so lately that its connections are not reused.
    pub fn avoids_reuse(&self, endpoint: EndpointId) -> bool {
        self.seen_at.borrow().get(&endpoint).is_some_and(|seen_at| seen_at.elapsed() < EXCESS_DATA_MEMORY)
    }

    /// Whether an endpoint has sent excess data within [`DOUBT_MEMORY`].
    pub fn is_remembered(&self, endpoint: EndpointId) -> bool {
        self.seen_at.borrow().get(&endpoint).is_some_and(|seen_at| seen_at.elapsed() < DOUBT_MEMORY)
    }

    /// Forgets the endpoints that have sent none for [`DOUBT_MEMORY`].
    pub fn expire(&self) {
        self.seen_at.borrow_mut().retain(|_, seen_at| seen_at.elapsed() < DOUBT_MEMORY);
    }
}

#[cfg(test)]
impl ExcessDataTracker {
    /// Records that an endpoint has sent excess data, so long ago that its connections are reused again.
    pub fn record_past(&self, endpoint: EndpointId) {
        self.seen_at.borrow_mut().insert(endpoint, Instant::now() - EXCESS_DATA_MEMORY);
    }
}
