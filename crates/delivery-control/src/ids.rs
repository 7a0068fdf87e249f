//! Identifiers and the time unit that all parts share.

/// A point in time or a duration in microseconds, on the host's clock.
pub type Micros = i64;
/// Identifies a message; never reused during the life of a controller.
pub type MessageId = u64;
/// Identifies an endpoint; the same at every sender.
pub type EndpointId = u64;
/// Identifies a destination.
pub type DestinationId = u64;
