//! The ids that the controller uses for endpoints.

use std::collections::HashMap;

use delivery_control::EndpointId;
use serde::{Deserialize, Serialize};

/// The ids of endpoints by name. An id is never reused.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct EndpointIds {
    by_name: HashMap<String, EndpointId>,
    last_assigned: EndpointId,
}

impl EndpointIds {
    /// The id of an endpoint, if it has one.
    pub fn get(&self, name: &str) -> Option<EndpointId> {
        self.by_name.get(name).copied()
    }

    /// The id of an endpoint; assigns one if the endpoint has none.
    pub fn get_or_assign(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.get(name) {
            return id;
        }
        self.last_assigned += 1;
        self.by_name.insert(name.to_owned(), self.last_assigned);
        self.last_assigned
    }

    /// Forgets the id of an endpoint; if the endpoint returns, it gets a new one.
    pub fn release(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Number of endpoints that have ids.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }
}
