//! The machine's monotonic clock, which neither restarts of processes nor changes of the system time affect.
//!
//! It starts again at each boot. The kernel's boot id distinguishes one boot from another.

use std::fs;
use std::io;
use std::thread;
use std::time::Duration;

use delivery_control::Micros;
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};

/// File from which the kernel's boot id is read.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// Maximum number of tries to read [`BOOT_ID_FILE`].
const READ_ATTEMPTS: u32 = 20;
/// Pause after a failed try to read [`BOOT_ID_FILE`].
const READ_PAUSE: Duration = Duration::from_millis(10);

const MICROS_PER_SECOND: Micros = 1_000_000;
const NANOS_PER_MICRO: Micros = 1_000;

/// A reading of the machine's monotonic clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineTime {
    /// Identifies the boot at which the clock started.
    pub boot_id: String,
    /// Reading of the clock in microseconds.
    pub monotonic: Micros,
}

impl MachineTime {
    /// Reads the clock. Returns `None` if the boot id cannot be read.
    pub fn now() -> Option<Self> {
        let boot_id = read_boot_id()?;
        let time = clock_gettime(ClockId::Monotonic);
        Some(Self { boot_id, monotonic: time.tv_sec * MICROS_PER_SECOND + time.tv_nsec / NANOS_PER_MICRO })
    }

    /// The time since an earlier reading in microseconds, or `None` if the machine was booted in between.
    pub fn since(&self, earlier: &Self) -> Option<Micros> {
        let is_same_boot = self.boot_id == earlier.boot_id && self.monotonic >= earlier.monotonic;
        is_same_boot.then(|| self.monotonic - earlier.monotonic)
    }
}

/// Reads the boot id, with retries since a read may fail for a moment. `None` if there is none or all fail.
fn read_boot_id() -> Option<String> {
    for _ in 0..READ_ATTEMPTS {
        match fs::read_to_string(BOOT_ID_FILE) {
            Ok(text) if text.trim().is_empty() => return None,
            Ok(text) => return Some(text.trim().to_owned()),
            Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
            Err(_) => thread::sleep(READ_PAUSE),
        }
    }
    None
}
