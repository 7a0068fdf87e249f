//! Remembers the endpoints that have sent data that belongs to no response.
//!
//! What arrives between the last look at an idle connection and the first byte of the next request cannot be told
//! from the response to that request. Endpoints that are known for such data get each request on a connection
//! of its own.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use delivery_control::EndpointId;
use tokio::time::Instant;

use super::attempt::Target;
use crate::http_connection::EXCESS_DATA_MEMORY;
use crate::metrics::increment;

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
        if self.seen_at.borrow_mut().insert(target.endpoint, Instant::now()).is_none() {
            tracing::warn!(
                endpoint = target.endpoint,
                address = %target.address,
                "endpoint sends data after its responses, its connections are not reused"
            );
        }
    }

    /// Whether an endpoint has sent excess data lately.
    pub fn is_known(&self, endpoint: EndpointId) -> bool {
        self.seen_at.borrow().contains_key(&endpoint)
    }

    /// Forgets the endpoints that have sent none for [`EXCESS_DATA_MEMORY`].
    pub fn expire(&self) {
        self.seen_at.borrow_mut().retain(|_, seen_at| seen_at.elapsed() < EXCESS_DATA_MEMORY);
    }
}
