//! The time in which the journal and the controller count.

use std::time::{SystemTime, UNIX_EPOCH};

use delivery_control::Micros;
use tokio::time::Instant;

use crate::journal::ClockReading;
use crate::machine_clock::MachineTime;
use crate::time::{duration, micros};

/// The clocks of two processes differ by no more, unless somebody has set the system's time in between.
const MAX_CLOCK_DIFFERENCE: Micros = 2_000_000;

/// A clock that never steps, while this process lives nor from one process to the next.
///
/// It shows Unix time as the first process that wrote the journal read it, and has advanced with the machine's
/// monotonic clock since. Only after a boot, or where the journal tells no reading of that clock, is the
/// system's time read once more.
#[derive(Clone, Copy)]
pub struct JournalClock {
    started: Instant,
    time_at_start: Micros,
}

impl JournalClock {
    /// Starts at the system's time.
    pub fn start() -> Self {
        let time_at_start = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, micros);
        Self { started: Instant::now(), time_at_start }
    }

    /// Goes on from an earlier process's reading, if the machine has not been booted since.
    pub fn resume(last: Option<&ClockReading>, now: Option<&MachineTime>) -> Self {
        let system = Self::start();
        let resumed =
            last.zip(now).and_then(|(last, now)| Some(last.journal_time + now.since(&last.machine)?));
        let Some(time_at_start) = resumed else { return system };
        let step = system.time_at_start - time_at_start;
        if step.abs() >= MAX_CLOCK_DIFFERENCE {
            tracing::warn!(step_ms = step / 1000, "the system's time was set since the journal was begun");
        }
        Self { time_at_start, ..system }
    }

    /// Continues where the clock of another process stood a moment ago, unless this one agrees with it.
    pub fn restore(&mut self, other_now: Micros) {
        let ahead = self.now() - other_now;
        if !(0..MAX_CLOCK_DIFFERENCE).contains(&ahead) {
            self.time_at_start -= ahead;
        }
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.time_at_start + micros(self.started.elapsed())
    }

    /// The instant at which this clock shows the given time; its start for times before that.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started + duration(at - self.time_at_start)
    }
}
