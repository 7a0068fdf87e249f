//! The journal file: appending to it, truncating it and replacing it.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use super::error::JournalError;

/// Name of the journal file in the state folder.
pub(super) const FILE_NAME: &str = "journal";
/// Name under which a compaction writes the new journal file before it replaces the current one.
pub(super) const COMPACTED_FILE_NAME: &str = "journal.next";

/// The journal file, open for appending.
pub(super) struct JournalFile {
    path: PathBuf,
    /// Where a compaction writes the new file.
    compacted_path: PathBuf,
    file: File,
    /// Length in bytes of the completely written records.
    length: u64,
    /// Whether a partial record may follow them, which must be truncated before the next record is appended.
    is_torn: bool,
}

impl JournalFile {
    /// Opens the file in this folder and returns it with its contents. Creates the folder and the file if
    /// they do not exist.
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

    /// Length in bytes of the completely written records.
    pub(super) fn length(&self) -> u64 {
        self.length
    }

    /// Whether a partial record could not be truncated yet, so that nothing can be appended.
    pub(super) fn is_torn(&self) -> bool {
        self.is_torn
    }

    /// Appends all of these bytes or, if that fails, none of them. If a partial write cannot be truncated,
    /// appending fails until it can be, or until the file is replaced. Returns [`JournalError::Uncertain`] if
    /// the write failed but all of the bytes may be in the file.
    pub(super) fn append(&mut self, bytes: &[u8]) -> Result<(), JournalError> {
        self.repair()?;
        if let Err(error) = self.file.write_all(bytes) {
            // Some of the bytes may have been written, and the next record must follow a complete one.
            self.is_torn = true;
            if self.repair().is_err() && !self.is_known_incomplete(bytes) {
                return Err(JournalError::Uncertain);
            }
            return Err(JournalError::io(&self.path, error));
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Truncates the file to this length, now or, if that fails, before the next record is appended.
    pub(super) fn truncate(&mut self, length: u64) -> Result<(), JournalError> {
        self.length = length;
        self.is_torn = true;
        self.repair()
    }

    /// Truncates the partial record that a failed write left, if there is one.
    pub(super) fn repair(&mut self) -> Result<(), JournalError> {
        if self.is_torn {
            self.file.set_len(self.length).map_err(|error| JournalError::io(&self.path, error))?;
            self.is_torn = false;
        }
        Ok(())
    }

    /// Whether the file is known to be too short to hold all of these bytes, which could not be appended.
    /// `false` if its length cannot be read.
    fn is_known_incomplete(&self, bytes: &[u8]) -> bool {
        self.file.metadata().is_ok_and(|metadata| metadata.len() < self.length + bytes.len() as u64)
    }

    /// Replaces the file by one with these contents. If that fails, the file is unchanged.
    pub(super) fn replace(&mut self, contents: &[u8]) -> Result<(), JournalError> {
        match self.write_compacted(contents) {
            Ok(file) => {
                self.file = file;
                self.length = contents.len() as u64;
                self.is_torn = false;
                Ok(())
            }
            Err(error) => {
                // A partly written new file would take space that the old one needs. An error of its removal
                // is ignored: the error of the replacement is the one to report.
                let _ = fs::remove_file(&self.compacted_path);
                Err(JournalError::io(&self.compacted_path, error))
            }
        }
    }

    /// Writes the new file and renames it over the old one. Returns the handle that wrote it: opening the
    /// file by name again could fail and leave the sender appending to the old, unlinked file.
    fn write_compacted(&self, contents: &[u8]) -> io::Result<File> {
        let mut file = self.create_compacted()?;
        file.write_all(contents)?;
        match fs::rename(&self.compacted_path, &self.path) {
            Err(error) if !self.is_at_path(&file) => Err(error),
            // This includes a rename that took effect although it was reported as failed.
            _ => Ok(file),
        }
    }

    /// Creates the new file, after removing one that an earlier compaction left behind.
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

    /// Whether this open file is the one at the journal's path, by device and inode number.
    fn is_at_path(&self, file: &File) -> bool {
        let identity = |metadata: fs::Metadata| (metadata.dev(), metadata.ino());
        let named = fs::metadata(&self.path).map(identity);
        let opened = file.metadata().map(identity);
        matches!((named, opened), (Ok(named), Ok(opened)) if named == opened)
    }
}

/// Removes the new file that a process left behind when it crashed during a compaction. If that fails, the
/// next compaction tries again.
fn remove_leftover(path: &Path) {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            tracing::warn!(%error, "file of an interrupted compaction not removed");
        }
        _ => {}
    }
}
