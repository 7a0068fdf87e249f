//! The endpoints and destinations in discovery's lists, under the ids that the controller uses.

mod destinations;
mod ids;
mod registry;
mod snapshot;

pub use self::destinations::DestinationStatus;
pub use self::registry::{EndpointRegistry, RegistryUpdate};
pub use self::snapshot::RegistrySnapshot;
