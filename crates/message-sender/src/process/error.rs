//! Errors that end a sender process.

use std::io;

use delivery_control::SettingsError;

use crate::config::ConfigError;
use crate::handover::OwnershipError;
use crate::journal::JournalError;

/// An error that ends a sender process.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The handler of a signal could not be installed.
    #[error("signal handlers cannot be installed")]
    Signals(#[source] io::Error),
    /// The listener for operators could not be bound.
    #[error("the management address cannot be bound")]
    ManagementAddress(#[source] io::Error),
    /// The listener for clients could not be bound.
    #[error("the listening address cannot be bound")]
    ListeningAddress(#[source] io::Error),
    /// The state folder could not be created, or its ownership lock could not be taken.
    #[error("the state folder cannot be used")]
    StateFolder(#[source] OwnershipError),
    /// The journal could not be opened.
    #[error("the journal cannot be opened")]
    Journal(#[from] JournalError),
    /// The configuration cannot be read or is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The controller rejects the settings.
    #[error("the settings are not valid")]
    Settings(#[from] SettingsError),
    /// A listening socket could not be duplicated, configured or passed to the runtime.
    #[error("a listening socket cannot be used")]
    Socket(#[source] io::Error),
}
