//! What the machine allows the process, and how that is divided.

use serde::Deserialize;

use crate::operator_api;

/// What the machine allows this process.
#[derive(Deserialize, Clone, Copy)]
pub struct Limits {
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// File descriptors.
    pub sockets: usize,
    /// Space for the journal, in megabytes.
    pub disk_mb: f64,
}

/// How the descriptors are divided, so that all uses together stay under the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorShares {
    /// Connections from clients.
    pub clients: usize,
    /// Idle connections to endpoints.
    pub idle: usize,
}

/// Descriptors of the runtime, the journal while it is compacted, discovery, the listeners, a handover and
/// the log, and those of operators' calls.
const OWN_DESCRIPTORS: usize = 28 + operator_api::MAX_CONNECTIONS;
/// During an upgrade so many processes have [`OWN_DESCRIPTORS`]; they share what is left.
const PROCESSES: usize = 2;
/// Memory of a client's connection: its buffers. Few have a body in hand at the same time.
const CLIENT_CONNECTION_BYTES: f64 = 24.0 * 1024.0;
/// Fraction of the memory that clients' connections may take.
const CLIENT_MEMORY_FRACTION: f64 = 0.25;
const BYTES_PER_MEGABYTE: f64 = 1e6;

impl Limits {
    /// Divides the descriptors that calls in flight and the process itself leave: two thirds for clients, as
    /// far as the memory allows, and a third for idle connections.
    pub fn shares(&self, max_in_flight: usize) -> DescriptorShares {
        let reserved = PROCESSES * OWN_DESCRIPTORS + max_in_flight;
        let free = self.sockets.saturating_sub(reserved).max(2);
        let client_memory = self.memory_mb * BYTES_PER_MEGABYTE * CLIENT_MEMORY_FRACTION;
        let by_memory = (client_memory / CLIENT_CONNECTION_BYTES) as usize;
        DescriptorShares { clients: (free * 2 / 3).min(by_memory).max(1), idle: free / 3 }
    }
}
