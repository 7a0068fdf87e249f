//! Errors of the journal.
//!
//! Each error's message includes its cause, because most of these errors are logged without their sources.
//! Causes are therefore not sources (`Error::source`): a printed chain of errors would show them twice.

use std::io;
use std::path::{Path, PathBuf};

use crate::transient::{is_transient, MayBeTransient};

/// Why the journal could not be opened or a record could not be written.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The record does not fit into the space for records of its kind, or their number has reached its limit.
    #[error("journal is full")]
    Full,
    /// A file system operation failed.
    #[error("journal file {path} cannot be accessed: {cause}")]
    Io {
        /// The file or folder that the operation was for.
        path: PathBuf,
        /// The error that the operating system reported.
        cause: io::Error,
    },
    /// A write failed and what it wrote could not be truncated yet, so the next process may find the record.
    #[error("journal write failed, but the record may have been stored")]
    Uncertain,
    /// The record could not be serialized.
    #[error("journal record cannot be encoded: {0}")]
    Encoding(postcard::Error),
}

impl MayBeTransient for JournalError {
    fn is_transient(&self) -> bool {
        matches!(self, Self::Io { cause, .. } if is_transient(cause))
    }
}

impl JournalError {
    /// Creates the error of an operation that failed on this file or folder.
    pub(super) fn io(path: &Path, cause: io::Error) -> Self {
        Self::Io { path: path.to_owned(), cause }
    }
}
