//! The file that holds the journal.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use super::error::JournalError;

/// Name of the journal in the state folder.
pub(super) const FILE_NAME: &str = "journal";
/// Name under which a compaction writes the journal before it takes the place of the present one.
pub(super) const COMPACTED_FILE_NAME: &str = "journal.next";

/// The journal file, open for appending.
pub(super) struct JournalFile {
    path: PathBuf,
    compacted_path: PathBuf,
    file: File,
    /// Length of the records that were written completely.
    length: u64,
    /// A part of a record follows them, which has to be cut off before the next one.
    is_torn: bool,
}

impl JournalFile {
    /// Opens the file in this folder, creating both if need be. Returns its contents too.
    pub(super) fn open(folder: &Path) -> Result<(Self, Vec<u8>), JournalError> {
        fs::create_dir_all(folder).map_err(|error| JournalError::io(folder, error))?;
        let path = folder.join(FILE_NAME);
        let compacted_path = folder.join(COMPACTED_FILE_NAME);
        remove_leftover(&compacted_path);
        let opened = OpenOptions::new().append(true).create(true).open(&path);
        let file = opened.map_err(|error| JournalError::io(&path, error))?;
        let contents = fs::read(&path).map_err(|error| JournalError::io(&path, error))?;
        let length = contents.len() as u64;
        Ok((Self { path, compacted_path, file, length, is_torn: false }, contents))
    }

    /// Length in bytes.
    pub(super) fn length(&self) -> u64 {
        self.length
    }

    /// Whether a part of a record could not be cut off yet, so that nothing can be appended.
    pub(super) fn is_torn(&self) -> bool {
        self.is_torn
    }

    /// Appends bytes: all of them or, where that fails, none. A part that was written and cannot be cut off
    /// keeps further records out until it can, or until the file is replaced.
    pub(super) fn append(&mut self, bytes: &[u8]) -> Result<(), JournalError> {
        self.repair()?;
        if let Err(error) = self.file.write_all(bytes) {
            // A part may have been written, and the next record must follow a complete one.
            self.is_torn = true;
            if self.repair().is_err() && !self.lacks_end_of(bytes) {
                return Err(JournalError::Uncertain);
            }
            return Err(JournalError::io(&self.path, error));
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Cuts off everything past this length, now or, where that fails, before the next record.
    pub(super) fn truncate(&mut self, length: u64) -> Result<(), JournalError> {
        self.length = length;
        self.is_torn = true;
        self.repair()
    }

    /// Cuts off the part of a record that a failed write has left, if there is one.
    pub(super) fn repair(&mut self) -> Result<(), JournalError> {
        if self.is_torn {
            self.file.set_len(self.length).map_err(|error| JournalError::io(&self.path, error))?;
            self.is_torn = false;
        }
        Ok(())
    }

    /// Whether the file surely ends within these bytes, which were to be appended last.
    fn lacks_end_of(&self, bytes: &[u8]) -> bool {
        self.file.metadata().is_ok_and(|metadata| metadata.len() < self.length + bytes.len() as u64)
    }

    /// Replaces the contents. Where that fails, the file is as before.
    pub(super) fn replace(&mut self, contents: &[u8]) -> Result<(), JournalError> {
        match self.write_compacted(contents) {
            Ok(file) => {
                self.file = file;
                self.length = contents.len() as u64;
                self.is_torn = false;
                Ok(())
            }
            Err(error) => {
                // What is left of the new file would take space that the old one needs. If it cannot be
                // removed, the failure that is returned counts.
                let _ = fs::remove_file(&self.compacted_path);
                Err(JournalError::io(&self.compacted_path, error))
            }
        }
    }

    /// Writes the new file and renames it over the old one. Returns the handle that wrote it: a second open
    /// by name could fail and leave the sender appending to a file that has no name any more.
    fn write_compacted(&self, contents: &[u8]) -> io::Result<File> {
        let mut file = self.create_compacted()?;
        file.write_all(contents)?;
        match fs::rename(&self.compacted_path, &self.path) {
            Err(error) if !self.is_at_path(&file) => Err(error),
            // Also where it was done and reported as failed.
            _ => Ok(file),
        }
    }

    /// Creates the new file, in place of a leftover of an earlier compaction.
    fn create_compacted(&self) -> io::Result<File> {
        let mut options = OpenOptions::new();
        options.append(true).create_new(true);
        match options.open(&self.compacted_path) {
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {
                fs::remove_file(&self.compacted_path)?;
                options.open(&self.compacted_path)
            }
            created => created,
        }
    }

    /// Whether this open file is the one that the journal's name stands for.
    fn is_at_path(&self, file: &File) -> bool {
        let identity = |metadata: fs::Metadata| (metadata.dev(), metadata.ino());
        let named = fs::metadata(&self.path).map(identity);
        let opened = file.metadata().map(identity);
        matches!((named, opened), (Ok(named), Ok(opened)) if named == opened)
    }
}

/// Removes what a process left that died during a compaction. Where that fails, the next compaction writes
/// over it.
fn remove_leftover(path: &Path) {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            tracing::warn!(%error, "leftover of a compaction not removed");
        }
        _ => {}
    }
}
