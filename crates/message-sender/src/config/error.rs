//! Errors for which a configuration is rejected.

use std::ffi::OsString;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;

use delivery_control::SettingsError;

use crate::transient::{is_transient, MayBeTransient};

/// Why a configuration is rejected. Each message includes its cause, because only the message is printed.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// An environment variable is missing.
    #[error("environment variable {0} is not set")]
    NotSet(&'static str),
    /// An environment variable does not contain a socket address.
    #[error("environment variable {0} does not contain a socket address: {1}")]
    NotAnAddress(&'static str, AddrParseError),
    /// The configuration file cannot be read.
    #[error("the configuration file {0:?} cannot be read: {1}")]
    Unreadable(OsString, io::Error),
    /// The configuration file is not valid JSON, or a field is missing or has an invalid value.
    #[error("the configuration file is malformed: {0}")]
    Malformed(serde_json::Error),
    /// The seed is given as text but is not a hexadecimal number.
    #[error("the configuration file is invalid: seed is not a hexadecimal number: {0}")]
    Seed(ParseIntError),
    /// The controller's settings are invalid.
    #[error("the configuration file is invalid: settings: {0}")]
    Settings(SettingsError),
}

impl MayBeTransient for ConfigError {
    fn is_transient(&self) -> bool {
        match self {
            Self::Unreadable(_, error) => is_transient(error),
            // The file ends early because it is being replaced and only partly written.
            Self::Malformed(error) => error.is_eof(),
            _ => false,
        }
    }
}
