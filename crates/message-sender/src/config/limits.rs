//! The resources that the process may use, and how file descriptors are divided among their uses.

use serde::Deserialize;

use crate::operator_api;

/// The resources that this process may use.
#[derive(Deserialize, Clone, Copy)]
pub struct Limits {
    /// Memory, in megabytes (10^6 bytes).
    pub memory_mb: f64,
    /// Number of file descriptors.
    pub sockets: usize,
    /// Disk space for the journal, in megabytes (10^6 bytes).
    pub disk_mb: f64,
}

/// How many file descriptors each use may take, so that all uses together stay within the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorShares {
    /// Maximum number of connections from clients.
    pub clients: usize,
    /// Maximum number of idle connections to endpoints.
    pub idle: usize,
}

/// File descriptors that a process needs for itself: 28 for the runtime, the journal while it is compacted,
/// discovery, the listeners, a handover and the log, and one for each connection of an operator.
const OWN_DESCRIPTORS: usize = 28 + operator_api::MAX_CONNECTIONS;
/// Number of processes that run during an upgrade. Each needs [`OWN_DESCRIPTORS`]; they share the remaining
/// descriptors.
const PROCESSES_DURING_UPGRADE: usize = 2;
/// Memory for the buffers of a client connection. Bodies are not included, because few connections hold one
/// at the same time.
const CLIENT_CONNECTION_BYTES: f64 = 24.0 * 1024.0;
/// Fraction of the memory that client connections may take.
const CLIENT_MEMORY_FRACTION: f64 = 0.25;
const BYTES_PER_MEGABYTE: f64 = 1e6;

impl Limits {
    /// Divides the file descriptors that remain after those for calls in flight and for the processes
    /// themselves: two thirds for client connections, as far as the memory allows, and one third for idle
    /// connections to endpoints.
    pub fn shares(&self, max_in_flight: usize) -> DescriptorShares {
        let reserved = PROCESSES_DURING_UPGRADE * OWN_DESCRIPTORS + max_in_flight;
        let free = self.sockets.saturating_sub(reserved).max(2);
        let client_memory = self.memory_mb * BYTES_PER_MEGABYTE * CLIENT_MEMORY_FRACTION;
        let by_memory = (client_memory / CLIENT_CONNECTION_BYTES) as usize;
        DescriptorShares { clients: (free * 2 / 3).min(by_memory).max(1), idle: free / 3 }
    }
}
