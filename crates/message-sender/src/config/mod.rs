//! The configuration of a sender, read from its file and environment variables and converted to the settings
//! of the controller.

mod deployment;
mod error;
mod limits;
#[cfg(test)]
mod tests;

pub use deployment::Config;
pub use error::ConfigError;
