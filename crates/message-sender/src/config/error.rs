//! Why a configuration is not accepted.

use std::ffi::OsString;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;

use delivery_control::SettingsError;

use crate::transient::{is_transient, MayBeTransient};

/// Why a configuration is not accepted. The messages hold their causes: they are printed as they are.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// An environment variable is missing.
    #[error("{0} is not set")]
    NotSet(&'static str),
    /// An environment variable does not hold an address.
    #[error("{0} is not an address: {1}")]
    NotAnAddress(&'static str, AddrParseError),
    /// The file cannot be read.
    #[error("the configuration cannot be read from {0:?}: {1}")]
    Unreadable(OsString, io::Error),
    /// The file is not the JSON that is expected.
    #[error("the configuration is malformed: {0}")]
    Malformed(serde_json::Error),
    /// The seed is given as text and is not hexadecimal.
    #[error("seed is not a hexadecimal number: {0}")]
    Seed(ParseIntError),
    /// The controller's settings are impossible.
    #[error("settings: {0}")]
    Settings(SettingsError),
}

impl MayBeTransient for ConfigError {
    fn is_transient(&self) -> bool {
        match self {
            Self::Unreadable(_, error) => is_transient(error),
            // Half written: it is being replaced at this moment.
            Self::Malformed(error) => error.is_eof(),
            _ => false,
        }
    }
}
