//! The clock that the journal and the controller use.

use std::time::{SystemTime, UNIX_EPOCH};

use delivery_control::Micros;
use tokio::time::Instant;

use crate::journal::ClockReading;
use crate::machine_clock::MachineTime;
use crate::time::{duration, micros};

/// Largest difference between the clocks of two processes, in microseconds, if the system's time has not been
/// set in between.
const MAX_CLOCK_DIFFERENCE: Micros = 2_000_000;

/// A clock that does not step, neither within a process nor from one process to the next.
///
/// It starts from the Unix time that the first process with this journal read, and advances with the
/// machine's monotonic clock. The system's time is read again only after a reboot, or if the journal holds no
/// reading of the monotonic clock.
#[derive(Clone, Copy)]
pub struct JournalClock {
    /// When this process started the clock.
    started: Instant,
    /// What the clock showed then, in microseconds since the Unix epoch.
    time_at_start: Micros,
}

impl JournalClock {
    /// Starts at the system's time.
    pub fn start() -> Self {
        let time_at_start = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, micros);
        Self { started: Instant::now(), time_at_start }
    }

    /// Continues from an earlier process's reading, or starts at the system's time if there is none or the
    /// machine has been rebooted since.
    pub fn resume(last: Option<&ClockReading>, now: Option<&MachineTime>) -> Self {
        let system = Self::start();
        let resumed =
            last.zip(now).and_then(|(last, now)| Some(last.journal_time + now.since(&last.machine)?));
        let Some(time_at_start) = resumed else { return system };
        let step = system.time_at_start - time_at_start;
        if step.abs() >= MAX_CLOCK_DIFFERENCE {
            tracing::warn!(
                step_ms = step / 1000,
                "the system's time was set since the journal's clock was started"
            );
        }
        Self { time_at_start, ..system }
    }

    /// Sets this clock to what another process's clock showed a moment ago, in microseconds since the Unix
    /// epoch, unless this clock is ahead of it by less than [`MAX_CLOCK_DIFFERENCE`].
    pub fn restore(&mut self, other_now: Micros) {
        let ahead = self.now() - other_now;
        if !(0..MAX_CLOCK_DIFFERENCE).contains(&ahead) {
            self.time_at_start -= ahead;
        }
    }

    /// The current time, in microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.time_at_start + micros(self.started.elapsed())
    }

    /// The instant at which this clock shows the given time; for times before its start, the start.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started + duration(at - self.time_at_start)
    }
}
