//! The program under test as a process: how it is started, signalled and ended, and how its log is read.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::configuration::{configuration, SenderOptions};
use super::discovery::Discovery;
use super::TIMEOUT;

/// Time between two checks whether the log is still paused.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A signal to a sender process.
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    /// Reload the configuration.
    Hangup,
    /// Drain and exit.
    Terminate,
    /// Drain and exit, as on Ctrl-C in a terminal.
    Interrupt,
    /// Exit at once; the process cannot handle this signal.
    Kill,
    /// Suspend the process.
    Stop,
    /// Resume a suspended process.
    Continue,
}

impl Signal {
    /// The option of the `kill` command that selects the signal.
    fn option(self) -> &'static str {
        match self {
            Self::Hangup => "-HUP",
            Self::Terminate => "-TERM",
            Self::Interrupt => "-INT",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// A running sender process, which is killed when the value is dropped.
pub struct SenderProcess {
    child: Child,
    /// Address for clients, which is set once the process is ready.
    pub address: SocketAddr,
    /// Address for operators.
    pub management: SocketAddr,
    /// Path of the configuration file.
    pub configuration: PathBuf,
    /// The lines of its log.
    pub log: Receiver<String>,
    is_log_closed: Arc<AtomicBool>,
    is_log_paused: Arc<AtomicBool>,
}

impl SenderProcess {
    /// Starts a process and waits until it is ready.
    pub fn start(
        state: &Path,
        discovery: &Discovery,
        known_endpoints: Vec<Value>,
        options: &SenderOptions,
    ) -> Self {
        let mut sender = Self::launch(state, discovery, known_endpoints, options);
        sender.await_ready();
        sender
    }

    /// Starts a process without waiting until it is ready. `address` is not valid before
    /// [`Self::await_ready`].
    pub fn launch(
        state: &Path,
        discovery: &Discovery,
        known_endpoints: Vec<Value>,
        options: &SenderOptions,
    ) -> Self {
        let path = state.with_extension("json");
        let text = configuration(options, discovery.address, known_endpoints).to_string();
        std::fs::write(&path, text).unwrap();
        let mut child = spawn(state, &path, options.max_descriptors);
        let is_log_closed = Arc::new(AtomicBool::new(false));
        let is_log_paused = Arc::new(AtomicBool::new(false));
        let log = read_log(child.stderr.take().unwrap(), is_log_closed.clone(), is_log_paused.clone());
        let placeholder = "127.0.0.1:0".parse().unwrap();
        let mut sender = Self {
            child,
            address: placeholder,
            management: placeholder,
            configuration: path,
            log,
            is_log_closed,
            is_log_paused,
        };
        sender.management = sender.await_logged_address("management=");
        sender
    }

    /// Stops reading the log: its pipe is closed after the next line.
    pub fn close_log(&self) {
        self.is_log_closed.store(true, Ordering::Relaxed);
    }

    /// Stops reading the log after the next line: its pipe stays open and fills up.
    pub fn pause_log(&self) {
        self.is_log_paused.store(true, Ordering::Relaxed);
    }

    /// Waits until the process serves clients.
    pub fn await_ready(&mut self) {
        self.address = self.await_logged_address("listen=");
    }

    /// Waits for a log line that ends with this field, and returns the field's value.
    fn await_logged_address(&self, field: &str) -> SocketAddr {
        loop {
            let line = self.log.recv_timeout(TIMEOUT).expect("the sender did not log its address");
            if let Some((_, address)) = line.trim().split_once(field) {
                break address.parse().expect("the logged address is not valid");
            }
        }
    }

    /// Waits for a log line that contains all these texts.
    pub fn await_log(&self, words: &[&str]) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            let Ok(line) = self.log.recv_timeout(time_left) else { panic!("no log line contains {words:?}") };
            if words.iter().all(|word| line.contains(word)) {
                break;
            }
        }
    }

    /// Changes the discovery server in the configuration file, and makes the process reload the file.
    pub fn reload_with_discovery(&self, discovery: &Discovery) {
        let text = std::fs::read(&self.configuration).unwrap();
        let mut configuration: Value = serde_json::from_slice(&text).unwrap();
        configuration["discovery"] = discovery.address.to_string().into();
        std::fs::write(&self.configuration, configuration.to_string()).unwrap();
        self.signal(Signal::Hangup);
    }

    /// Sends a signal; it may take effect only after this function returns.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal.option(), &pid]).status().unwrap();
        assert!(sent.success());
    }

    /// Suspends the process, and waits until it is suspended.
    pub fn suspend(&self) {
        self.signal(Signal::Stop);
        let path = format!("/proc/{}/stat", self.child.id());
        let start = Instant::now();
        while !std::fs::read_to_string(&path).unwrap().contains(") T ") {
            assert!(start.elapsed() < TIMEOUT, "the sender was not suspended");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::Continue);
    }

    /// Number of file descriptors that the process has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Memory of the process that no file backs, in bytes; 0 once the process has ended.
    pub fn anonymous_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let Some(line) = status.lines().find_map(|line| line.strip_prefix("RssAnon:")) else { return 0 };
        let kibibytes = line.trim().strip_suffix(" kB").expect("the unit is kB");
        kibibytes.parse::<u64>().unwrap() * 1024
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

impl Drop for SenderProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the program, with its limit of file descriptors also enforced by the kernel.
fn spawn(state: &Path, configuration: &Path, max_descriptors: usize) -> Child {
    let command = format!("ulimit -n {max_descriptors} && exec \"$0\"");
    Command::new("sh")
        .args(["-c", &command, env!("CARGO_BIN_EXE_message-sender")])
        .env("ROUTER_CONFIG", configuration)
        .env("ROUTER_STATE", state)
        .env("ROUTER_MANAGEMENT", "127.0.0.1:0")
        .stderr(Stdio::piped())
        .spawn()
        .expect("the sender could not be started")
}

/// Reads the log until it ends, or until it is to be closed, unless it is paused.
fn read_log(stderr: ChildStderr, is_closed: Arc<AtomicBool>, is_paused: Arc<AtomicBool>) -> Receiver<String> {
    let (line_sender, lines) = channel();
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            eprintln!("{line}");
            // The log is read on even when the test has dropped the receiver.
            let _ = line_sender.send(line);
            while is_paused.load(Ordering::Relaxed) {
                thread::sleep(PAUSE_CHECK_INTERVAL);
            }
            if is_closed.load(Ordering::Relaxed) {
                return;
            }
        }
    });
    lines
}
