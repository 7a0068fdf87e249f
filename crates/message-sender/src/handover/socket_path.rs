//! The path of the handover socket in the file system.

use std::fs::File;
use std::io;
use std::os::fd::AsRawFd;
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, PathBuf};

const SOCKET_FILE: &str = "handover";
/// Maximum length in bytes of a path that is used as it is. The system limits the path of a Unix socket to
/// 108 bytes.
const MAX_SOCKET_PATH_LENGTH: usize = 100;

/// A path for binding and connecting to the handover socket of a state folder, valid as long as this value
/// exists.
pub struct SocketPath {
    path: PathBuf,
    /// The open state folder, if its own path is too long: `path` then leads through this descriptor.
    _folder: Option<File>,
}

impl SocketPath {
    /// Makes the path of the socket in this state folder. A path that would be too long is replaced by one
    /// through `/proc/self/fd`.
    pub fn in_folder(folder: &Path) -> io::Result<Self> {
        let path = folder.join(SOCKET_FILE);
        if path.as_os_str().as_bytes().len() <= MAX_SOCKET_PATH_LENGTH {
            return Ok(Self { path, _folder: None });
        }
        let folder = File::open(folder)?;
        let path = format!("/proc/self/fd/{}/{SOCKET_FILE}", folder.as_raw_fd()).into();
        Ok(Self { path, _folder: Some(folder) })
    }

    /// Returns the path.
    pub fn as_path(&self) -> &Path {
        &self.path
    }
}
