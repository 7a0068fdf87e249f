//! Where the handover socket lies in the file system.

use std::fs::File;
use std::io;
use std::os::fd::AsRawFd;
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, PathBuf};

const SOCKET_FILE: &str = "handover";
/// In bytes. The system takes no longer path for a socket.
const MAX_SOCKET_PATH_LENGTH: usize = 100;

/// A path by which the handover socket of a state folder can be bound and connected to while this value
/// lives.
pub struct SocketPath {
    path: PathBuf,
    /// The folder of a path that is too long, which then goes by way of this descriptor.
    _folder: Option<File>,
}

impl SocketPath {
    /// The path of the socket in this state folder.
    pub fn in_folder(folder: &Path) -> io::Result<Self> {
        let path = folder.join(SOCKET_FILE);
        if path.as_os_str().as_bytes().len() <= MAX_SOCKET_PATH_LENGTH {
            return Ok(Self { path, _folder: None });
        }
        let folder = File::open(folder)?;
        let path = format!("/proc/self/fd/{}/{SOCKET_FILE}", folder.as_raw_fd()).into();
        Ok(Self { path, _folder: Some(folder) })
    }

    /// The path itself.
    pub fn as_path(&self) -> &Path {
        &self.path
    }
}
