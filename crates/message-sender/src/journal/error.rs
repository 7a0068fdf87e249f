//! What can go wrong with the journal.
//!
//! Messages hold their causes, since most of these errors are logged alone; so causes are not sources too,
//! which would show them twice where a chain of errors is printed.

use std::io;
use std::path::{Path, PathBuf};

use crate::transient::{is_transient, MayBeTransient};

/// Why the journal could not be opened, or a record not be written.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The record does not fit into the space that is granted to records of its kind, or their number has
    /// reached its bound.
    #[error("journal is full")]
    Full,
    /// The file system refused an operation.
    #[error("journal file {path} cannot be accessed: {cause}")]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The reason.
        cause: io::Error,
    },
    /// A write failed, and what it has written cannot be cut off yet: the next process may find the record.
    #[error("journal record may have been written although that was reported as failed")]
    Uncertain,
    /// A record has no stored form.
    #[error("journal record cannot be encoded: {0}")]
    Encoding(postcard::Error),
}

impl MayBeTransient for JournalError {
    fn is_transient(&self) -> bool {
        matches!(self, Self::Io { cause, .. } if is_transient(cause))
    }
}

impl JournalError {
    /// Names the file or folder that an operation failed on.
    pub(super) fn io(path: &Path, cause: io::Error) -> Self {
        Self::Io { path: path.to_owned(), cause }
    }
}
