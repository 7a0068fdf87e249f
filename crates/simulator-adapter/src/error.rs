//! What can be wrong with the input.

use std::io;

use delivery_control::SettingsError;

use crate::incoming::EventError;

/// What is wrong with the input, and where.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct InputError {
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong with it.
    pub reason: LineError,
}

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// It could not be read, or its reply could not be written.
    #[error(transparent)]
    Stream(#[from] io::Error),
    /// It is not a line of the protocol.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The previous batch has not ended.
    #[error("a batch begins inside a batch")]
    BatchInsideBatch,
    /// Only the start of a batch may stand outside one.
    #[error("no batch has begun")]
    OutsideBatch,
    /// The last batch has not ended.
    #[error("input ends inside a batch")]
    EndInsideBatch,
    /// No such instance runs.
    #[error("instance {0} is not attached")]
    NotAttached(u64),
    /// The controller does not accept an instance's settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An endpoint list names no catalog.
    #[error("missing field `buffer`")]
    NoCatalog,
    /// An endpoint list names a catalog that was not sent.
    #[error("unknown catalog number {0}")]
    UnknownCatalog(u64),
    /// The line makes no event.
    #[error(transparent)]
    Event(#[from] EventError),
}
