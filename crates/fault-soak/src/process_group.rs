//! A process group that ends with this program, however it ends.

use std::io;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};

/// Command of the leader: waits for the end of its input, and then kills the group and itself.
const LEADER_COMMAND: &str = "trap '' HUP INT TERM; read _; kill -KILL 0";

/// A process group. The leader's input ends when this value is dropped or this program ends, even by SIGKILL.
pub struct ProcessGroup {
    leader: Child,
}

impl ProcessGroup {
    /// Starts the leader of a new group.
    ///
    /// # Errors
    ///
    /// The leader cannot be started.
    pub fn start() -> io::Result<Self> {
        let leader = Command::new("sh")
            .args(["-c", LEADER_COMMAND])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .process_group(0)
            .spawn()?;
        Ok(Self { leader })
    }

    /// Makes a command start its process in this group.
    pub fn add<'command>(&self, command: &'command mut Command) -> &'command mut Command {
        command.process_group(self.leader.id() as i32)
    }
}

impl Drop for ProcessGroup {
    fn drop(&mut self) {
        drop(self.leader.stdin.take());
        // The leader has ended already if waiting fails.
        let _ = self.leader.wait();
    }
}
