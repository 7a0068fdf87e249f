//! The file that holds the journal.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
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
    length: u64,
}

impl JournalFile {
    /// Opens the file in this folder, creating both if need be. Returns its contents too.
    pub(super) fn open(folder: &Path) -> Result<(Self, Vec<u8>), JournalError> {
        fs::create_dir_all(folder).map_err(|error| JournalError::io(folder, error))?;
        let path = folder.join(FILE_NAME);
        let compacted_path = folder.join(COMPACTED_FILE_NAME);
        remove_if_present(&compacted_path)?;
        let opened = OpenOptions::new().append(true).create(true).open(&path);
        let file = opened.map_err(|error| JournalError::io(&path, error))?;
        let contents = fs::read(&path).map_err(|error| JournalError::io(&path, error))?;
        let length = contents.len() as u64;
        Ok((Self { path, compacted_path, file, length }, contents))
    }

    /// Length in bytes.
    pub(super) fn length(&self) -> u64 {
        self.length
    }

    /// Appends bytes: all of them or, where that fails, none.
    pub(super) fn append(&mut self, bytes: &[u8]) -> Result<(), JournalError> {
        if let Err(error) = self.file.write_all(bytes) {
            // A part may have been written, and the next record must follow a complete one.
            self.truncate(self.length)?;
            return Err(JournalError::io(&self.path, error));
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Cuts off everything past this length.
    pub(super) fn truncate(&mut self, length: u64) -> Result<(), JournalError> {
        self.file.set_len(length).map_err(|error| JournalError::io(&self.path, error))?;
        self.length = length;
        Ok(())
    }

    /// Replaces the contents. Where that fails, the file is as before.
    pub(super) fn replace(&mut self, contents: &[u8]) -> Result<(), JournalError> {
        match self.write_compacted(contents) {
            Ok(file) => {
                self.file = file;
                self.length = contents.len() as u64;
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
        let mut file = OpenOptions::new().append(true).create_new(true).open(&self.compacted_path)?;
        file.write_all(contents)?;
        fs::rename(&self.compacted_path, &self.path)?;
        Ok(file)
    }
}

/// Removes what a process left that died during a compaction.
fn remove_if_present(path: &Path) -> Result<(), JournalError> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(JournalError::io(path, error)),
        _ => Ok(()),
    }
}
