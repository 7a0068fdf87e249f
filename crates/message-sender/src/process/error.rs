//! Why a sender process can't go on.

use std::io;

use delivery_control::SettingsError;

use crate::config::ConfigError;
use crate::handover::OwnershipError;
use crate::journal::JournalError;

/// Why a sender process can't go on.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// No handler could be installed for a signal.
    #[error("signal handlers cannot be installed")]
    Signals(#[source] io::Error),
    /// The listener for operators could not be bound.
    #[error("the management address cannot be listened at")]
    ManagementAddress(#[source] io::Error),
    /// The listener for clients could not be bound.
    #[error("the listening address cannot be listened at")]
    ListeningAddress(#[source] io::Error),
    /// The ownership lock of the state directory could not be taken.
    #[error("the state directory cannot be used")]
    StateDirectory(#[source] OwnershipError),
    /// The journal could not be opened.
    #[error("the journal cannot be opened")]
    Journal(#[from] JournalError),
    /// The configuration is not accepted.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The controller does not accept the settings.
    #[error("the settings are not valid")]
    Settings(#[from] SettingsError),
    /// A listening socket failed.
    #[error("a listening socket cannot be used")]
    Socket(#[source] io::Error),
}
