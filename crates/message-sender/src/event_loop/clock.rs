//! Unix time that never goes back.

use std::time::{SystemTime, UNIX_EPOCH};

use delivery_control::Micros;
use tokio::time::Instant;

use crate::time::{duration, micros};

/// The clocks of two processes differ by no more, unless somebody has set the system's time in between.
const MAX_CLOCK_DIFFERENCE: Micros = 2_000_000;

/// A clock that reads the system's time once, at its start, and is monotonic from then on. Times in the
/// journal and in the controller are therefore the same.
#[derive(Clone, Copy)]
pub struct UnixClock {
    started: Instant,
    unix_at_start: Micros,
}

impl UnixClock {
    /// Starts at the system's time.
    pub fn start() -> Self {
        let unix_at_start = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, micros);
        Self { started: Instant::now(), unix_at_start }
    }

    /// Continues where the clock of another process stood a moment ago, unless this one agrees with it.
    pub fn restore(&mut self, other_now: Micros) {
        let ahead = self.now() - other_now;
        if !(0..MAX_CLOCK_DIFFERENCE).contains(&ahead) {
            self.unix_at_start -= ahead;
        }
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.unix_at_start + micros(self.started.elapsed())
    }

    /// The instant at which this clock shows the given time; its start for times before that.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started + duration(at - self.unix_at_start)
    }
}
