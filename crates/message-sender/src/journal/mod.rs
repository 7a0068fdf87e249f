//! The write-ahead journal, which preserves accepted messages across restarts of the process.
//!
//! Each change is appended as a record (`record`) in a checksummed frame (`frame`) before it is visible from
//! outside: a message before its client gets the answer, an attempt before its first byte is sent. A new
//! process replays the records and resumes from the resulting state (`state`). A file that has grown is
//! replaced by one that holds only the current state (`compaction`). All files stay within a budget of disk
//! space (`capacity`).
//!
//! Nothing is synced to the disk. Written records survive a crash of the process, because the kernel holds
//! them, but may not survive a crash of the machine.

mod capacity;
mod compaction;
mod error;
mod file;
mod frame;
mod recently_ended;
mod record;
mod state;
mod writer;

pub use self::error::JournalError;
pub use self::record::{AcceptedMessage, AttemptHistory, AttemptStart, Body, ClockReading};
pub use self::state::JournalEntry;
pub use self::writer::Journal;

#[cfg(test)]
mod compatibility_tests;
#[cfg(test)]
mod tests;
