//! Watches the memory of sender processes, and checks that none exceeds its limit.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::history::History;
use crate::oracle::Oracle;
use crate::sender::Sender;
use crate::settings::MEMORY_MB;

/// Time between two looks at the memory of the processes. The kernel remembers their peaks.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Kibibytes per mebibyte.
const KIB_PER_MIB: u64 = 1_024;

/// Memory that a sender may have in use, in KiB.
pub const MEMORY_LIMIT_KIB: u64 = MEMORY_MB * KIB_PER_MIB;

/// Records the peaks of all processes. Never returns.
pub(crate) async fn watch_memory(senders: Vec<Arc<Sender>>, history: Arc<History>) {
    loop {
        for sender in &senders {
            for pid in sender.process_ids().await {
                let peak = std::fs::read_to_string(format!("/proc/{pid}/status"))
                    .ok()
                    .and_then(|status| peak_memory_kib(&status, sender.process_name()));
                if let Some(peak) = peak {
                    let mut records = history.records();
                    let highest = records.peak_memory_kib.entry(sender.index).or_default();
                    *highest = peak.max(*highest);
                }
            }
        }
        sleep(WATCH_INTERVAL).await;
    }
}

/// Returns the peak of the resident memory from the status file of a process, in KiB. `None` if the process does not
/// have this name: until it has started its program, it has the memory and the name of the soak.
#[must_use]
pub fn peak_memory_kib(status: &str, name: &str) -> Option<u64> {
    let field = |field: &str| status.lines().find_map(|line| line.strip_prefix(field)).map(str::trim);
    if field("Name:")? != name {
        return None;
    }
    field("VmHWM:")?.split_whitespace().next()?.parse().ok()
}

impl Oracle<'_> {
    /// Checks that no process has used more memory than its configuration permits.
    pub(crate) fn check_memory(&mut self) {
        let exceeded = self.records.peak_memory_kib.iter().filter(|(_, peak)| **peak > MEMORY_LIMIT_KIB);
        let details = exceeded
            .map(|(sender, peak)| format!("sender {sender}: {peak} KiB, more than {MEMORY_LIMIT_KIB} KiB"));
        self.report_all("memory", details.collect());
    }
}
