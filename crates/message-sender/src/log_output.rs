//! Writes the log to standard error, and keeps the process running if nobody reads it.

use std::io::{self, Stderr, Write};
use std::sync::atomic::{AtomicU64, Ordering};

use rustix::event::{poll, PollFd, PollFlags, Timespec};

/// Maximum number of bytes for which a pipe has room if it is ready for writing.
const MAX_READY_BYTES: usize = 4 * 1024;
/// No wait.
const IMMEDIATELY: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Number of log lines that could not be written. It is global because the log is, too.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Standard error, for the log. A line that cannot be written at once is counted and dropped: a write to a pipe that
/// is full would block the event loop until somebody reads from it.
pub struct LogOutput;

impl Write for LogOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if write_without_blocking(&mut io::stderr(), line).is_err() {
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_without_blocking(output: &mut Stderr, line: &[u8]) -> io::Result<()> {
    for part in line.chunks(MAX_READY_BYTES) {
        if !is_ready(output)? {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        output.write_all(part)?;
    }
    Ok(())
}

/// Whether a write does not block. A write that fails does not, either.
fn is_ready(output: &Stderr) -> io::Result<bool> {
    loop {
        match poll(&mut [PollFd::new(output, PollFlags::OUT)], Some(&IMMEDIATELY)) {
            Ok(ready) => return Ok(ready > 0),
            Err(rustix::io::Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// Number of log lines of this process that could not be written.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}
