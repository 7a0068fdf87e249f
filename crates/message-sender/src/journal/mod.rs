//! The write-ahead journal: accepted messages outlast the process that accepted them.
//!
//! Each change is appended as a record (`record`) in a checksummed frame (`frame`) before it can be observed
//! from outside: a message before its client gets the answer, an attempt before its first byte is sent. A new
//! process replays the records and resumes from the state that they add up to (`state`). When the file has
//! grown, it is replaced by one that holds the present state alone (`compaction`), within a budget of disk
//! space (`capacity`).
//!
//! Nothing is synced to the disk. What was written survives the death of the process, since the kernel holds
//! it; it may not survive the death of the machine.

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
