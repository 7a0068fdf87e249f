//! The names of classes, kinds, zones and tenants, and the indices by which the controller refers to them.

use serde::{Deserialize, Serialize};

/// The names of the classes, kinds, zones and tenants that the settings list, in the order of their indices.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Names {
    pub(crate) classes: Vec<String>,
    pub(crate) kinds: Vec<String>,
    pub(crate) zones: Vec<String>,
    pub(crate) tenants: Vec<String>,
}

impl Names {
    /// The names of the classes, in the order of their indices.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The index of a class, if the settings list it.
    pub fn class(&self, name: &str) -> Option<usize> {
        position(&self.classes, name)
    }

    /// The index of a tenant, if the settings list it.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        position(&self.tenants, name)
    }

    /// The index of a kind; one past the last index if no name is given or the settings do not list it.
    pub fn kind(&self, name: Option<&String>) -> usize {
        index_or_end(&self.kinds, name)
    }

    /// The index of a zone; one past the last index if no name is given or the settings do not list it.
    pub fn zone(&self, name: Option<&String>) -> usize {
        index_or_end(&self.zones, name)
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|listed| listed == name)
}

/// The index of a name; one past the last index if the name is absent or not listed.
pub(crate) fn index_or_end(names: &[String], name: Option<&String>) -> usize {
    name.and_then(|name| position(names, name)).unwrap_or(names.len())
}
