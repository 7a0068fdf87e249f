//! What the deployment says to a sender: its file and its environment, decoded into the controller's terms.

mod deployment;
mod error;
mod limits;
#[cfg(test)]
mod tests;

pub use deployment::Config;
pub use error::ConfigError;
