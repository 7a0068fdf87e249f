//! Operators' commands to a sender.

use std::time::Duration;

use tokio::time::{sleep, Instant};

use crate::history::OperatorCommand;
use crate::process::post;
use crate::sender::Sender;

/// Time within which a sender has to carry out a command, with its processes ended and started meanwhile.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(12);
/// Time between two calls of a command that was not carried out.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl Sender {
    /// Drains two endpoints, given by their indices, restores the first after half of `duration` and the second at
    /// its end.
    pub async fn drain_and_restore(&self, endpoints: [usize; 2], duration: Duration) {
        for endpoint in endpoints {
            self.command(endpoint, true).await;
        }
        for endpoint in endpoints {
            sleep(duration / 2).await;
            self.command(endpoint, false).await;
        }
    }

    /// Calls a command until it is carried out, and records that.
    async fn command(&self, endpoint: usize, is_drained: bool) {
        let path = if is_drained { "/maintenance/enter" } else { "/maintenance/exit" };
        let started = Instant::now();
        while started.elapsed() < COMMAND_TIMEOUT {
            let management = self.processes.lock().await.last().map(|process| process.management);
            if let Some(management) = management {
                if post(management, path, &format!("s-{endpoint}")).await == Some(200) {
                    // A restored endpoint may be called as soon as the command was sent.
                    let at = if is_drained { Instant::now() } else { started };
                    let command = OperatorCommand { sender: self.index, endpoint, is_drained, at };
                    self.history.records().operator_commands.push(command);
                    return;
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
        self.history.record_incident(self.index, format!("{path} for s-{endpoint} was not carried out"));
    }
}
