//! Upgrades of a sender: a successor process takes over, or is killed while it does.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;

use crate::history::ProcessEvent;
use crate::process::Process;
use crate::sender::{Sender, RESTART_DELAY, TERMINATION_TIMEOUT};

impl Sender {
    /// Starts a successor, which takes over; once it is ready, the predecessor gets SIGTERM.
    pub async fn upgrade(&self) {
        let _lifecycle = self.lifecycle.lock().await;
        self.history.record_process_event(self.index, ProcessEvent::Upgrading);
        let predecessors = self.take_processes().await;
        for process in &predecessors {
            process.expect_end();
        }
        self.start().await;
        for process in predecessors {
            self.end_gracefully(&process, "predecessor still running 3.7 s after SIGTERM").await;
        }
    }

    /// Starts a successor and kills it after the time `after`. With `terminate_predecessor`, the predecessor
    /// gets SIGTERM half-way, and a new process is started after its end. Otherwise the predecessor
    /// continues, or a new process is started if the predecessor has ended.
    pub async fn upgrade_and_kill_successor(&self, after: Duration, terminate_predecessor: bool) {
        let _lifecycle = self.lifecycle.lock().await;
        self.history.record_process_event(self.index, ProcessEvent::Ending);
        let predecessors = self.take_processes().await;
        for process in &predecessors {
            process.expect_end();
        }
        if let Err(error) = self.spawn().await {
            self.history.record_incident(self.index, format!("a process cannot be started: {error:#}"));
        }
        sleep(after / 2).await;
        if terminate_predecessor {
            for process in &predecessors {
                process.signal(Signal::TERM);
            }
        }
        sleep(after / 2).await;
        self.history.record_process_event(self.index, ProcessEvent::Killed);
        for successor in self.take_processes().await {
            successor.kill();
            successor.wait_for_end(TERMINATION_TIMEOUT).await;
        }
        if terminate_predecessor {
            for process in predecessors {
                self.end_gracefully(&process, "predecessor still running 3.7 s after SIGTERM").await;
            }
            sleep(RESTART_DELAY).await;
            return self.start().await;
        }
        self.restore_predecessors(predecessors).await;
    }

    async fn restore_predecessors(&self, predecessors: Vec<Process>) {
        let restored: Vec<_> = predecessors
            .iter()
            .map(|process| (process.management, process.is_end_expected.clone()))
            .collect();
        self.processes.lock().await.extend(predecessors);
        for (management, is_end_expected) in restored {
            self.await_ready(management).await;
            if self.is_ended(management).await {
                // The predecessor ended because it had handed over and had nothing left to relay, possibly just
                // when the successor was killed.
                sleep(RESTART_DELAY).await;
                self.start().await;
            } else {
                is_end_expected.store(false, Ordering::Relaxed);
            }
        }
    }
}
