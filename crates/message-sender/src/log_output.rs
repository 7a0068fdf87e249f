//! Writes the log to standard error, and keeps the process running if nobody reads it any more.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of log lines that could not be written. It is global because the log is, too.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Standard error, for the log. A line that cannot be written is counted and dropped.
pub struct LogOutput;

impl Write for LogOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if io::stderr().write_all(line).is_err() {
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Number of log lines of this process that could not be written.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}
