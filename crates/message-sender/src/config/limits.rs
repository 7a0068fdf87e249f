//! The resources that the process may use, and how file descriptors and memory are divided among their uses.

use serde::Deserialize;

use crate::connection_limiter::SMALL_BODY_BYTES;
use crate::{client_api, operator_api};

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

/// How many file descriptors and how much memory each use may take, so that all uses together stay within the
/// limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceShares {
    /// Maximum number of connections from clients.
    pub clients: usize,
    /// Maximum number of idle connections to endpoints.
    pub idle: usize,
    /// Memory for the bodies of requests that have not been decided on, in bytes.
    pub request_bodies: usize,
    /// Memory for the bodies of open messages, in bytes.
    pub open_bodies: usize,
}

/// File descriptors that a process needs for itself: 28 for the runtime, the journal while it is compacted,
/// discovery, the listeners, a handover and the log, and one for each connection of an operator.
const OWN_DESCRIPTORS: usize = 28 + operator_api::MAX_CONNECTIONS;
/// Number of processes that run during an upgrade. Each needs [`OWN_DESCRIPTORS`]; they share the remaining
/// descriptors.
const PROCESSES_DURING_UPGRADE: usize = 2;
/// Memory of a client connection in bytes: its buffer, a small body, its task and the allocator's overhead.
const CLIENT_CONNECTION_BYTES: f64 = (client_api::MAX_BUFFER_BYTES + SMALL_BODY_BYTES + 12 * 1024) as f64;
/// Memory of an idle connection to an endpoint in bytes: its buffer and its task.
const IDLE_CONNECTION_BYTES: f64 = 16.0 * 1024.0;
/// Fraction of the memory that client connections may take.
const CLIENT_MEMORY_FRACTION: f64 = 0.25;
/// Fraction of the memory that idle connections to endpoints may take.
const IDLE_MEMORY_FRACTION: f64 = 0.125;
/// Fraction of the memory that the bodies of requests may take in both processes of an upgrade together.
const REQUEST_BODY_MEMORY_FRACTION: f64 = 0.125;
/// Fraction of the memory that the bodies of open messages may take.
const OPEN_BODY_MEMORY_FRACTION: f64 = 0.125;
const BYTES_PER_MEGABYTE: f64 = 1e6;

impl Limits {
    /// Divides the file descriptors that remain after those for calls in flight and for the processes
    /// themselves: two thirds for client connections and one third for idle connections to endpoints, as far
    /// as the memory allows. At least one body of each kind fits.
    pub fn shares(&self, max_in_flight: usize) -> ResourceShares {
        let reserved = PROCESSES_DURING_UPGRADE * OWN_DESCRIPTORS + max_in_flight;
        let free = self.sockets.saturating_sub(reserved).max(2);
        let max_clients = (self.memory(CLIENT_MEMORY_FRACTION) / CLIENT_CONNECTION_BYTES) as usize;
        let max_idle = (self.memory(IDLE_MEMORY_FRACTION) / IDLE_CONNECTION_BYTES) as usize;
        let request_bodies = self.memory(REQUEST_BODY_MEMORY_FRACTION) as usize / PROCESSES_DURING_UPGRADE;
        let open_bodies = self.memory(OPEN_BODY_MEMORY_FRACTION) as usize;
        ResourceShares {
            clients: (free * 2 / 3).min(max_clients).max(1),
            idle: (free / 3).min(max_idle),
            request_bodies: request_bodies.max(client_api::MAX_BODY_BYTES),
            open_bodies: open_bodies.max(client_api::MAX_BODY_BYTES),
        }
    }

    /// A fraction of the memory, in bytes.
    fn memory(&self, fraction: f64) -> f64 {
        self.memory_mb * BYTES_PER_MEGABYTE * fraction
    }
}
