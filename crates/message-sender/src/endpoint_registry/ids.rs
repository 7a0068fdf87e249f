//! The ids under which the controller knows endpoints.

use std::collections::HashMap;

use delivery_control::EndpointId;
use serde::{Deserialize, Serialize};

/// The ids of endpoints by name. No id is ever assigned twice.
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

    /// The id of an endpoint, which gets one if it has none.
    pub fn get_or_assign(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.get(name) {
            return id;
        }
        self.last_assigned += 1;
        self.by_name.insert(name.to_owned(), self.last_assigned);
        self.last_assigned
    }

    /// Forgets an endpoint: should it come back, it gets a new id.
    pub fn release(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// How many endpoints have ids.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }
}
