//! `message-sender`: accepts messages from clients and delivers each of them by calling an endpoint of its
//! destination.
//!
//! It takes no arguments. Environment variables name its configuration file and its state folder; see
//! [`config::Config::from_environment`].
#![forbid(unsafe_code)]

use std::io::{self, Write};
use std::process::ExitCode;

use anyhow::Context;
use tokio::runtime;
use tokio::task::LocalSet;
use tracing_subscriber::EnvFilter;

mod client_api;
mod config;
mod connection_limiter;
mod delivery;
mod discovery;
mod drain;
mod endpoint_list;
mod endpoint_registry;
mod event;
mod event_loop;
mod handover;
mod http_body;
mod http_connection;
mod in_flight;
mod instrumented_stream;
mod invariants;
mod journal;
mod log_limit;
mod log_output;
mod machine_clock;
mod metrics;
mod notice;
mod operator_api;
mod process;
mod serving_state;
mod signals;
mod submission;
mod time;
mod transient;

use log_output::LogOutput;
use transient::{is_transient, RETRY_PAUSE};

/// The log filter if `RUST_LOG` is not set or is invalid.
const DEFAULT_LOG_FILTER: &str = "info";
/// Maximum number of attempts to build the runtime, with a pause of [`RETRY_PAUSE`] (50 ms) in between.
const RUNTIME_ATTEMPTS: u32 = 100;

fn main() -> ExitCode {
    init_logging();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // The only place to report a failure to write the error is where that failed.
            let _ = writeln!(LogOutput, "Error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Initializes the log, which is written to standard error, one line per event.
fn init_logging() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_LOG_FILTER));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(|| LogOutput).with_ansi(false).init();
}

/// Runs the process on a single thread, because its parts share state without locks.
fn run() -> anyhow::Result<()> {
    let runtime = build_runtime().context("the runtime cannot be built")?;
    LocalSet::new().block_on(&runtime, process::run())?;
    Ok(())
}

/// Builds the runtime, and retries if the system fails with a transient error.
fn build_runtime() -> io::Result<runtime::Runtime> {
    for _ in 1..RUNTIME_ATTEMPTS {
        match runtime::Builder::new_current_thread().enable_all().build() {
            Err(error) if is_transient(&error) => std::thread::sleep(RETRY_PAUSE),
            built => return built,
        }
    }
    runtime::Builder::new_current_thread().enable_all().build()
}
