//! Reads a sender's configuration from its file and environment variables.

use std::net::SocketAddr;
use std::path::PathBuf;

use delivery_control::Settings;
use deployment_config::Names;
use serde::Deserialize;

use super::error::ConfigError;
use super::limits::Limits;
use crate::endpoint_list::EndpointList;

/// Environment variable with the path of the configuration file.
const FILE_VARIABLE: &str = "ROUTER_CONFIG";
/// Environment variable with the path of the state folder, whose content outlives the process.
const STATE_VARIABLE: &str = "ROUTER_STATE";
/// Environment variable with the listening address for operators.
const MANAGEMENT_VARIABLE: &str = "ROUTER_MANAGEMENT";

/// The radix of a seed that is given as text.
const SEED_RADIX: u32 = 16;

/// A sender's configuration, with the settings converted for the controller.
pub struct Config {
    /// The sender's name, which is written to the log.
    pub name: String,
    /// Listening address for clients.
    pub listen: SocketAddr,
    /// Listening address for operators, if there is one.
    pub management: Option<SocketAddr>,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Path of the state folder, whose content outlives the process.
    pub state: PathBuf,
    /// Seed of the controller's random numbers.
    pub seed: u64,
    /// The resources that the process may use.
    pub limits: Limits,
    /// The endpoint list to start with, if the file contains one.
    pub known: Option<EndpointList>,
    /// The controller's settings.
    pub settings: Settings,
    /// The names that the settings list: classes, kinds of destinations, zones and tenants.
    pub names: Names,
}

/// The content of the configuration file.
#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    management: Option<SocketAddr>,
    discovery: SocketAddr,
    seed: Seed,
    limits: Limits,
    known: Option<EndpointList>,
    settings: deployment_config::Config,
}

/// The part of the file that is read again on SIGHUP.
#[derive(Deserialize)]
struct ReloadableConfig {
    discovery: SocketAddr,
}

/// A seed, given as hexadecimal text or as a number.
#[derive(Deserialize)]
#[serde(untagged)]
enum Seed {
    Text(String),
    Number(u64),
}

impl Seed {
    fn value(&self) -> Result<u64, ConfigError> {
        match self {
            Self::Number(number) => Ok(*number),
            Self::Text(text) => u64::from_str_radix(text, SEED_RADIX).map_err(ConfigError::Seed),
        }
    }
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names. The state folder is set by `ROUTER_STATE` only.
    /// `ROUTER_MANAGEMENT` takes precedence over the address for operators in the file, because during an
    /// upgrade the new version listens on a different address.
    pub fn from_environment() -> Result<Self, ConfigError> {
        let state = std::env::var_os(STATE_VARIABLE).ok_or(ConfigError::NotSet(STATE_VARIABLE))?;
        let mut config = Self::decode(&read_file()?, PathBuf::from(state))?;
        if let Some(address) = management_from_environment()? {
            config.management = Some(address);
        }
        Ok(config)
    }

    /// Reads the address of discovery from the file again. It is the only setting that may change while the
    /// process runs.
    pub fn read_discovery_address() -> Result<SocketAddr, ConfigError> {
        let config: ReloadableConfig =
            serde_json::from_slice(&read_file()?).map_err(ConfigError::Malformed)?;
        Ok(config.discovery)
    }

    pub(super) fn decode(text: &[u8], state: PathBuf) -> Result<Self, ConfigError> {
        let file: ConfigFile = serde_json::from_slice(text).map_err(ConfigError::Malformed)?;
        let settings = file.settings.settings().map_err(ConfigError::Settings)?;
        // This process tells the platform by a notice that a message has ended, so the platform learns of it
        // only after the controller has decided it.
        let settings = Settings { notices_are_acknowledged: true, ..settings };
        Ok(Self {
            name: file.name,
            listen: file.listen,
            management: file.management,
            discovery: file.discovery,
            state,
            seed: file.seed.value()?,
            limits: file.limits,
            known: file.known,
            names: file.settings.names(),
            settings,
        })
    }
}

fn read_file() -> Result<Vec<u8>, ConfigError> {
    let path = std::env::var_os(FILE_VARIABLE).ok_or(ConfigError::NotSet(FILE_VARIABLE))?;
    std::fs::read(&path).map_err(|error| ConfigError::Unreadable(path, error))
}

/// The listening address for operators. An empty variable counts as not set.
fn management_from_environment() -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(address) = std::env::var(MANAGEMENT_VARIABLE) else { return Ok(None) };
    if address.is_empty() {
        return Ok(None);
    }
    let address = address.parse();
    address.map(Some).map_err(|error| ConfigError::NotAnAddress(MANAGEMENT_VARIABLE, error))
}
