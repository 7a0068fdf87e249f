//! Control of the library that is loaded into a sender (`shim/fault_shim.c`): which system calls fail, how
//! often and how, and the offset of the wall clock.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Path of the compiled library.
pub const LIBRARY: &str = env!("FAULT_SHIM");
/// Rate at which every call fails, of ten thousand.
pub const ALWAYS: u32 = 10_000;

/// Size of the wall clock offset at the beginning of the control file, in bytes.
const OFFSET_BYTES: u64 = 8;
/// Size of a rule in the control file, in bytes.
const RULE_BYTES: u64 = 32;
/// Offset in a rule of the number of calls that pass, in bytes.
const PASSES_OFFSET: u64 = 28;
/// Maximum number of error numbers in a rule.
const MAX_ERRNOS: usize = 4;

/// A kind of system call. The order is that of `enum syscall` in the library.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Syscall {
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
    /// `socket`, `socketpair`, `epoll_create1`.
    Socket,
    /// `connect`.
    Connect,
    /// `recv`, `read` from a socket, `recvmsg`.
    Receive,
    /// `send`, `write` and `writev` to a socket, `sendmsg`.
    Send,
    /// `epoll_wait`.
    EpollWait,
    /// `clock_gettime`, which can only be held.
    Clock,
}

impl Syscall {
    const ALL: [Self; 14] = [
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
        Self::Clock,
    ];
}

/// How a system call fails, with its bit in the control file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The call has no effect and returns an error.
    NotDone = 1,
    /// The call does a part of its work; after a partial write to a file, the next write to it fails.
    Partial = 2,
    /// The call is done, but returns an error.
    FalseFailure = 4,
    /// The call has no effect, but returns success. This is a planted defect, not a fault that real systems
    /// have.
    FalseSuccess = 8,
    /// The call is done late. The first error number of the rule is the delay in milliseconds.
    Delayed = 16,
    /// The process is held up right before the call, at most once in 0.4 s. The error numbers of the rule are times
    /// in milliseconds, one of which is drawn.
    HeldBefore = 32,
    /// As `HeldBefore`, but right after the call.
    HeldAfter = 64,
}

/// How often and how a kind of system call fails.
#[derive(Debug, Clone)]
pub struct FailureRule {
    /// How many of ten thousand calls fail.
    pub rate: u32,
    /// Possible kinds of failure, one of which is drawn for each failing call.
    pub modes: Vec<Failure>,
    /// Possible error numbers, of which the first four are used and one is drawn for each error.
    pub errnos: Vec<i32>,
}

/// The control file of one sender, which all its processes map into their memory.
#[derive(Debug)]
pub struct ControlFile {
    path: PathBuf,
    file: File,
}

impl ControlFile {
    /// Creates a control file without any failures.
    ///
    /// # Errors
    ///
    /// The file cannot be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(OFFSET_BYTES + RULE_BYTES * Syscall::ALL.len() as u64)?;
        Ok(Self { path: path.to_owned(), file })
    }

    /// Path of the file.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Sets the offset of the wall clock from the clock of the system, in microseconds.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn set_wall_offset(&self, micros: i64) -> io::Result<()> {
        self.file.write_all_at(&micros.to_le_bytes(), 0)
    }

    /// Sets the rule of a kind of system call.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn set(&self, call: Syscall, rule: &FailureRule) -> io::Result<()> {
        let modes = rule.modes.iter().fold(0, |bits, mode| bits | *mode as u32);
        let mut words = vec![rule.rate, modes];
        words.extend(rule.errnos.iter().take(MAX_ERRNOS).map(|errno| *errno as u32));
        words.resize(2 + MAX_ERRNOS, 0);
        let bytes: Vec<u8> = words.into_iter().flat_map(u32::to_le_bytes).collect();
        self.file.write_all_at(&bytes, OFFSET_BYTES + RULE_BYTES * call as u64)
    }

    /// Sets the rule of a kind of system call, which applies after `passes` further calls of this kind.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn set_after(&self, call: Syscall, rule: &FailureRule, passes: u32) -> io::Result<()> {
        let offset = OFFSET_BYTES + RULE_BYTES * call as u64 + PASSES_OFFSET;
        self.file.write_all_at(&passes.to_le_bytes(), offset)?;
        self.set(call, rule)
    }

    /// Ends the failures of a kind of system call.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn clear(&self, call: Syscall) -> io::Result<()> {
        self.set(call, &FailureRule { rate: 0, modes: Vec::new(), errnos: Vec::new() })
    }

    /// Ends the failures of all system calls.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn clear_all(&self) -> io::Result<()> {
        Syscall::ALL.iter().try_for_each(|call| self.clear(*call))
    }
}
