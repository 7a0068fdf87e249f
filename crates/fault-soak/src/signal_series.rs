//! Shutdowns by a series of signals with short suspensions, and SIGKILL at the earliest time that the platform
//! allows.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time::{sleep, sleep_until, Instant};

use crate::history::ProcessEvent;
use crate::process::Process;
use crate::sender::{Sender, RESTART_DELAY, TERMINATION_TIMEOUT};

/// Signals that are repeated and mixed after the first SIGTERM.
const SIGNALS: [Signal; 3] = [Signal::HUP, Signal::TERM, Signal::INT];
/// Number of signals after the first one.
const SERIES_LENGTH: std::ops::Range<usize> = 2..9;
/// Pause between two signals, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1..25;
/// Longest suspension of a process, in milliseconds.
const LONGEST_SUSPENSION_MS: u64 = 150;
/// Time from SIGTERM to the second suspension, in milliseconds: the end of the process falls into it.
const LATE_SUSPENSION_MS: std::ops::Range<u64> = 800..3_500;

impl Sender {
    /// Ends all processes with a series of signals and two suspensions, kills them 3.7 s after the first signal
    /// if they still run, and starts a new one 0.6 s later.
    pub async fn terminate_by_series_and_start(&self, seed: u64) {
        let _lifecycle = self.lifecycle.lock().await;
        self.history.record_process_event(self.index, ProcessEvent::Ending);
        for process in self.take_processes().await {
            let random = fastrand::Rng::with_seed(seed);
            self.end_by_series(&process, random).await;
        }
        sleep(RESTART_DELAY).await;
        self.start().await;
    }

    async fn end_by_series(&self, process: &Process, mut random: fastrand::Rng) {
        process.expect_end();
        let start = Instant::now();
        process.signal(Signal::TERM);
        suspend(process, &mut random).await;
        for _ in 0..random.usize(SERIES_LENGTH) {
            sleep(Duration::from_millis(random.u64(PAUSE_MS))).await;
            process.signal(SIGNALS[random.usize(0..SIGNALS.len())]);
        }
        let late = start + Duration::from_millis(random.u64(LATE_SUSPENSION_MS));
        if !process.wait_for_end(late.saturating_duration_since(Instant::now())).await {
            suspend(process, &mut random).await;
        }
        self.kill_at(process, start, start + TERMINATION_TIMEOUT).await;
    }

    /// Waits for the end of a process until `kill_at`, and then kills it.
    async fn kill_at(&self, process: &Process, start: Instant, kill_at: Instant) {
        if process.wait_for_end(kill_at.saturating_duration_since(Instant::now())).await {
            self.history.records().shutdown_times.push(start.elapsed());
            return;
        }
        sleep_until(kill_at).await;
        self.history.record_incident(self.index, "still running 3.7 s after a series of signals");
        self.history.record_process_event(self.index, ProcessEvent::Killed);
        process.kill();
        process.wait_for_end(TERMINATION_TIMEOUT).await;
    }
}

async fn suspend(process: &Process, random: &mut fastrand::Rng) {
    process.signal(Signal::STOP);
    sleep(Duration::from_millis(random.u64(0..=LONGEST_SUSPENSION_MS))).await;
    process.signal(Signal::CONT);
}
