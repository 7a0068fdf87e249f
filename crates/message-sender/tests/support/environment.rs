//! The environment that most tests use: a state directory, a discovery server and one endpoint.

use std::path::PathBuf;

use serde_json::Value;

use super::client::ACCEPTED;
use super::configuration::SenderOptions;
use super::discovery::{endpoint_line, Discovery};
use super::endpoint::{Endpoint, Reply};
use super::sender_process::{SenderProcess, Signal};

/// A state directory inside a temporary directory that is removed when the value is dropped.
pub struct StateDirectory {
    _parent: tempfile::TempDir,
    /// Path of the state directory, which is empty at first.
    pub path: PathBuf,
}

impl StateDirectory {
    /// Creates the temporary directory and an empty state directory in it.
    pub fn create() -> Self {
        let parent = tempfile::tempdir().unwrap();
        let path = parent.path().join("state");
        std::fs::create_dir(&path).unwrap();
        Self { _parent: parent, path }
    }
}

/// An environment with endpoint `s-1` of destination 7, which the discovery server lists.
pub struct Environment {
    /// The state directory that all senders of the test share.
    pub state: StateDirectory,
    /// The discovery server.
    pub discovery: Discovery,
    /// The endpoint `s-1`.
    pub endpoint: Endpoint,
    /// Options of the senders' configuration.
    pub options: SenderOptions,
}

impl Environment {
    /// Starts an endpoint with this script; senders get the default options.
    pub fn new(script: Vec<Reply>) -> Self {
        Self::with_options(script, SenderOptions::default())
    }

    /// Starts an endpoint with this script; senders get these options.
    pub fn with_options(script: Vec<Reply>, options: SenderOptions) -> Self {
        let endpoint = Endpoint::start(script);
        let discovery = Discovery::start(vec![endpoint_line("s-1", endpoint.address, 7, "up")]);
        Self { state: StateDirectory::create(), discovery, endpoint, options }
    }

    /// The endpoint list that contains only `s-1`, with the status `up`.
    pub fn endpoint_list(&self) -> Vec<Value> {
        vec![endpoint_line("s-1", self.endpoint.address, 7, "up")]
    }

    /// Starts a sender and waits until it is ready.
    pub fn start_sender(&self) -> SenderProcess {
        let mut sender = self.launch_sender(&self.options);
        sender.await_ready();
        sender
    }

    /// Starts a sender without waiting until it is ready.
    pub fn launch_sender(&self, options: &SenderOptions) -> SenderProcess {
        SenderProcess::launch(&self.state.path, &self.discovery, self.endpoint_list(), options)
    }

    /// Checks that the endpoint's first answer delivers its message: if the draining process or the next one
    /// sent the message again, that call would arrive before the one for the second message.
    pub fn assert_first_call_delivers(&self) {
        let mut sender = self.start_sender();
        assert_eq!(sender.submit("m1", 20_000, "x"), ACCEPTED);
        assert_eq!(self.endpoint.next_call().message_id(), "m1");
        sender.signal(Signal::Terminate);
        assert!(sender.wait().success());
        let sender = self.start_sender();
        assert_eq!(sender.submit("m2", 20_000, "x"), ACCEPTED);
        assert_eq!(self.endpoint.next_call().message_id(), "m2");
    }
}
