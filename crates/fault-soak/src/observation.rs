//! Reads metrics and the use of resources of a sender's processes.

use std::fs;

use crate::process::fetch;
use crate::sender::Sender;

impl Sender {
    /// Reads a metric of the process that was started last.
    pub async fn metric(&self, name: &str) -> Option<u64> {
        let management = self.processes.lock().await.last()?.management;
        let (_, text) = fetch(management, "/status/metrics").await?;
        let prefix = format!("router.{name}:");
        let line = text.lines().find_map(|line| line.strip_prefix(&prefix))?.to_owned();
        line.split('|').next()?.parse().ok()
    }

    /// Returns the ids of its processes that run.
    pub async fn process_ids(&self) -> Vec<i32> {
        let processes = self.processes.lock().await;
        let running = processes.iter().filter(|process| !*process.ended.borrow());
        running.map(|process| process.pid.as_raw_nonzero().get()).collect()
    }

    /// Returns the number of file descriptors that the process that was started last has open.
    pub async fn open_descriptors(&self) -> Option<usize> {
        let pid = self.processes.lock().await.last()?.pid.as_raw_nonzero();
        Some(fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
    }
}
