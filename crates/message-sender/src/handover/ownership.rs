//! Ownership of the state folder: the process that holds its lock is the sender. A process becomes the sender
//! at its start, by a handover, or again after its successor has died.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::Duration;

use deployment_config::Names;
use tokio::time::{sleep, Instant};

use super::error::HandoverError;
use super::request::{request_handover, InheritedState, RequestedTransfer};
use crate::transient::{is_transient, MayBeTransient, StartupRetries};

const LOCK_FILE: &str = "lock";
/// Pause between two attempts to take the lock.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// How long a process whose successor has died tries to take the lock: the kernel releases it shortly after
/// the successor's death.
const REACQUIRE_TIMEOUT: Duration = Duration::from_secs(1);

/// An error because of which a process cannot become the sender at all.
#[derive(Debug, thiserror::Error)]
pub enum OwnershipError {
    /// The state folder does not exist and cannot be created.
    #[error("cannot create the state folder {}", path.display())]
    CreateFolder {
        /// The state folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The lock file cannot be opened, or the system cannot lock it.
    #[error("cannot lock {}", path.display())]
    Lock {
        /// The lock file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
}

impl MayBeTransient for OwnershipError {
    fn is_transient(&self) -> bool {
        let (Self::CreateFolder { source, .. } | Self::Lock { source, .. }) = self;
        is_transient(source)
    }
}

/// The lock that makes this process the sender; released when dropped.
pub struct OwnershipLock {
    /// The system releases the lock when the file is closed.
    _file: File,
}

impl OwnershipLock {
    /// Takes the lock; `None` while another process holds it.
    pub(super) fn try_acquire(folder: &Path) -> Result<Option<Self>, OwnershipError> {
        let path = folder.join(LOCK_FILE);
        let opened = OpenOptions::new().write(true).create(true).truncate(false).open(&path);
        let file = match opened {
            Ok(file) => file,
            Err(source) => return Err(OwnershipError::Lock { path, source }),
        };
        match file.try_lock() {
            Ok(()) => Ok(Some(Self { _file: file })),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(source)) => Err(OwnershipError::Lock { path, source }),
        }
    }
}

/// Tries to take the lock; `None` while another process holds it. Transient system errors are retried.
async fn acquire_lock(folder: &Path) -> Result<Option<OwnershipLock>, OwnershipError> {
    StartupRetries::begin().run("ownership lock", || OwnershipLock::try_acquire(folder)).await
}

/// What a process has when it becomes the sender.
pub struct Ownership {
    /// The lock that makes it the sender.
    pub lock: OwnershipLock,
    /// The listening socket for clients, if a predecessor handed it over.
    pub listener: Option<TcpListener>,
    /// The predecessor's state, if it was handed over.
    pub inherited: Option<InheritedState>,
}

/// Becomes the sender: immediately if there is none, otherwise by a handover or when the current sender has
/// ended. Creates the state folder if it does not exist.
pub async fn acquire_ownership(folder: &Path, names: &Names) -> Result<Ownership, OwnershipError> {
    let retries = StartupRetries::begin();
    let create_folder = || {
        std::fs::create_dir_all(folder)
            .map_err(|source| OwnershipError::CreateFolder { path: folder.to_owned(), source })
    };
    retries.run("state folder", create_folder).await?;
    let mut acquisition = Acquisition::new(folder, names);
    loop {
        if let Some(lock) = acquire_lock(folder).await? {
            return Ok(Ownership { lock, listener: acquisition.listener, inherited: None });
        }
        // A predecessor that has sent its listener without a state drains: it only remains to wait for its
        // end.
        if acquisition.listener.is_none() {
            if let Some(ownership) = acquisition.request().await? {
                return Ok(ownership);
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Becomes the sender again after the successor has died. `None` if another process has become the sender in
/// the meantime: two processes of the old version must not hand the work back and forth.
pub async fn reacquire_ownership(folder: &Path) -> Result<Option<Ownership>, OwnershipError> {
    let started = Instant::now();
    while started.elapsed() < REACQUIRE_TIMEOUT {
        if let Some(lock) = acquire_lock(folder).await? {
            return Ok(Some(Ownership { lock, listener: None, inherited: None }));
        }
        sleep(RETRY_INTERVAL).await;
    }
    Ok(None)
}

/// The state of a process that tries to become the sender.
struct Acquisition<'a> {
    folder: &'a Path,
    names: &'a Names,
    /// What the next request asks for.
    transfer: RequestedTransfer,
    /// The listening socket of a predecessor that drains for this process.
    listener: Option<TcpListener>,
    /// The text of the last error that was logged, so that an error that repeats is logged only once.
    last_logged_error: String,
}

impl<'a> Acquisition<'a> {
    fn new(folder: &'a Path, names: &'a Names) -> Self {
        let transfer = RequestedTransfer::State;
        Self { folder, names, transfer, listener: None, last_logged_error: String::new() }
    }

    /// Requests a handover once. `None` if this process has not become the sender through it.
    async fn request(&mut self) -> Result<Option<Ownership>, OwnershipError> {
        let granted = match request_handover(self.folder, self.names, self.transfer).await {
            Ok(granted) => granted,
            Err(error) => {
                self.handle_failure(&error);
                return Ok(None);
            }
        };
        let Some(inherited) = granted.inherited else {
            self.listener = Some(granted.listener);
            return Ok(None);
        };
        // The lock was released before the commit was sent; another process may have taken it first.
        let Some(lock) = acquire_lock(self.folder).await? else {
            return Ok(None);
        };
        Ok(Some(Ownership { lock, listener: Some(granted.listener), inherited: Some(inherited) }))
    }

    /// Logs the error, and from now on requests only the journal if the state cannot be used.
    fn handle_failure(&mut self, error: &HandoverError) {
        let text = error.to_string();
        if self.last_logged_error != text {
            tracing::info!(%error, "no handover yet");
            self.last_logged_error = text;
        }
        if error.makes_state_unusable() {
            self.transfer = RequestedTransfer::JournalOnly;
        }
    }
}
