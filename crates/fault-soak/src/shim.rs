//! Controls the library that is loaded into a sender (`shim/fault_shim.c`): which system calls fail, how
//! often and how, and by how much the wall clock is off.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Where the compiled library lies.
pub const LIBRARY: &str = env!("FAULT_SHIM");
/// A rate at which each call fails.
pub const ALWAYS: u32 = 10_000;

const OFFSET_BYTES: u64 = 8;
const RULE_BYTES: u64 = 32;
const MAX_ERRNOS: usize = 4;

/// A kind of system call, in the order of the library.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// `write` to a regular file.
    WriteFile,
    /// `ftruncate`.
    Truncate,
    /// `rename`.
    Rename,
    /// `open` in the state folder.
    OpenFile,
    /// `unlink` in the state folder.
    Unlink,
    /// `read` from a regular file.
    ReadFile,
    /// `flock`.
    Lock,
    /// `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`.
    Connect,
    /// `recv`, `read` from a socket, `recvmsg`.
    Receive,
    /// `send`, `write` and `writev` to a socket, `sendmsg`.
    Send,
    /// `epoll_wait`.
    EpollWait,
}

impl Call {
    const ALL: [Self; 13] = [
        Self::WriteFile,
        Self::Truncate,
        Self::Rename,
        Self::OpenFile,
        Self::Unlink,
        Self::ReadFile,
        Self::Lock,
        Self::Accept,
        Self::Socket,
        Self::Connect,
        Self::Receive,
        Self::Send,
        Self::EpollWait,
    ];
}

/// How a call fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Nothing is done.
    Fails = 1,
    /// A part is done; of a write to a file, the rest then fails.
    PartlyDone = 2,
    /// All is done, and an error reported.
    DoneButFailed = 4,
    /// Nothing is done, and success reported: a planted mistake, no fault that a system has.
    Lies = 8,
}

/// How often and how a kind of call fails.
#[derive(Debug, Clone)]
pub struct Rule {
    /// How many of ten thousand calls fail.
    pub rate: u32,
    /// One of these is drawn for each.
    pub modes: Vec<Mode>,
    /// One of these error numbers is drawn.
    pub errnos: Vec<i32>,
}

/// The control file of one sender, which its processes share.
#[derive(Debug)]
pub struct ControlFile {
    path: PathBuf,
    file: File,
}

impl ControlFile {
    /// Creates a file by which nothing fails.
    ///
    /// # Errors
    ///
    /// What the file system says.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(OFFSET_BYTES + RULE_BYTES * Call::ALL.len() as u64)?;
        Ok(Self { path: path.to_owned(), file })
    }

    /// Where it lies.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Shifts the wall clock by so many microseconds against the system's.
    ///
    /// # Errors
    ///
    /// What the file system says.
    pub fn set_wall_offset(&self, micros: i64) -> io::Result<()> {
        self.file.write_all_at(&micros.to_le_bytes(), 0)
    }

    /// Sets the rule of a kind of call.
    ///
    /// # Errors
    ///
    /// What the file system says.
    pub fn set(&self, call: Call, rule: &Rule) -> io::Result<()> {
        let modes = rule.modes.iter().fold(0, |bits, mode| bits | *mode as u32);
        let mut words = vec![rule.rate, modes];
        words.extend(rule.errnos.iter().take(MAX_ERRNOS).map(|errno| *errno as u32));
        words.resize(2 + MAX_ERRNOS, 0);
        let bytes: Vec<u8> = words.into_iter().flat_map(u32::to_le_bytes).collect();
        self.file.write_all_at(&bytes, OFFSET_BYTES + RULE_BYTES * call as u64)
    }

    /// Has a kind of call work again.
    ///
    /// # Errors
    ///
    /// What the file system says.
    pub fn clear(&self, call: Call) -> io::Result<()> {
        self.set(call, &Rule { rate: 0, modes: Vec::new(), errnos: Vec::new() })
    }

    /// Has all calls work again.
    ///
    /// # Errors
    ///
    /// What the file system says.
    pub fn clear_all(&self) -> io::Result<()> {
        Call::ALL.iter().try_for_each(|call| self.clear(*call))
    }
}
