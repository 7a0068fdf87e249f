//! Errors on which the adapter stops.

use std::io;

use delivery_control::SettingsError;

use crate::incoming::EventError;

/// An error in handling the input, and the line at which it occurred.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct InputError {
    /// Number of the line, counted from 1.
    pub line: usize,
    /// The error.
    pub reason: LineError,
}

/// An error in handling a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line could not be read, or the reply could not be written.
    #[error(transparent)]
    Stream(#[from] io::Error),
    /// The line is not JSON, or not a line of the protocol.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// A batch starts before the previous batch has ended.
    #[error("a batch starts before the previous batch has ended")]
    BatchInsideBatch,
    /// A line other than the start of a batch is outside a batch.
    #[error("line outside a batch")]
    OutsideBatch,
    /// The input ends before the last batch has ended.
    #[error("input ends inside a batch")]
    EndInsideBatch,
    /// The line refers to an instance that is not running.
    #[error("instance {0} is not attached")]
    NotAttached(u64),
    /// The settings of an instance are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An endpoint list refers to no catalog, and its kind requires one.
    #[error("missing field `buffer`")]
    NoCatalog,
    /// An endpoint list refers to a catalog that was not sent.
    #[error("unknown catalog number {0}")]
    UnknownCatalog(u64),
    /// The line cannot be converted to an event.
    #[error(transparent)]
    Event(#[from] EventError),
}
