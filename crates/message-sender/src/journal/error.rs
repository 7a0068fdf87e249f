//! What can go wrong with the journal.

use std::io;
use std::path::{Path, PathBuf};

/// Why the journal could not be opened, or a record not be written.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The record does not fit into the space that is granted to records of its kind, or their number has
    /// reached its bound.
    #[error("journal is full")]
    Full,
    /// The file system refused an operation.
    #[error("journal file {path} cannot be accessed: {source}")]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The reason.
        source: io::Error,
    },
    /// A record has no stored form.
    #[error("journal record cannot be encoded: {0}")]
    Encoding(#[from] postcard::Error),
}

impl JournalError {
    /// Names the file or folder that an operation failed on.
    pub(super) fn io(path: &Path, source: io::Error) -> Self {
        Self::Io { path: path.to_owned(), source }
    }
}
