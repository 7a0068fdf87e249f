//! The endpoints and destinations that discovery's lists name, under the controller's ids.

mod destinations;
mod ids;
mod registry;
mod snapshot;

pub use self::destinations::DestinationStatus;
pub use self::registry::{EndpointRegistry, RegistryUpdate};
pub use self::snapshot::RegistrySnapshot;
