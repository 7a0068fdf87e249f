//! A sender under test: its folder, its configuration and its processes.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex as StdMutex, PoisonError};
use std::time::Duration;

use anyhow::{Context, Result};
use rustix::process::{Pid, Signal};
use serde_json::Value;
use tokio::sync::{watch, Mutex};
use tokio::time::{sleep, Instant};

use crate::history::{History, ProcessEvent};
use crate::process::{fetch, signal_processes, watch_end, Process};
use crate::process_group::ProcessGroup;
use crate::settings::MAX_DESCRIPTORS;
use crate::shim::{ControlFile, Failure, FailureRule, Syscall, ALWAYS, LIBRARY};

/// A start that takes longer is recorded as an incident.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a process to end after a signal; after SIGTERM, SIGKILL follows.
pub(crate) const TERMINATION_TIMEOUT: Duration = Duration::from_millis(3_700);
/// Time between the end of a process and the start of the next one.
pub(crate) const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Maximum length of the name that the kernel gives a process, in bytes.
const MAX_PROCESS_NAME: usize = 15;
/// Error number of Linux for a full disk.
const ENOSPC: i32 = 28;
/// Time between two checks whether a process is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Management port of the first process; each later process gets the next port.
const MANAGEMENT_PORT: u16 = 3_100;

/// A sender and its processes, of which there are two during an upgrade.
pub struct Sender {
    /// Index of the sender.
    pub index: usize,
    /// Address for clients.
    pub address: SocketAddr,
    /// Control file for the failures of system calls in its processes.
    pub control: ControlFile,
    folder: PathBuf,
    executable: PathBuf,
    pub(crate) processes: Mutex<Vec<Process>>,
    process_group: Arc<ProcessGroup>,
    /// Held while processes are ended and started, so that concurrent faults of one sender do not interfere.
    pub(crate) lifecycle: Mutex<()>,
    next_management: AtomicU16,
    /// Number of pauses that have begun, and number of pauses that have ended.
    pauses: [AtomicU16; 2],
    pub(crate) history: Arc<History>,
    /// Path of the log file that all its processes append to.
    pub log: PathBuf,
    seed: u64,
    log_filter: String,
    configuration: StdMutex<Value>,
}

impl Sender {
    /// Creates a sender without a process and writes its configuration.
    ///
    /// # Errors
    ///
    /// The folder or a file in it cannot be written.
    pub fn create(setup: SenderSetup) -> Result<Arc<Self>> {
        let SenderSetup {
            index,
            address,
            folder,
            executable,
            process_group,
            history,
            seed,
            log_filter,
            configuration,
        } = setup;
        fs::create_dir_all(folder.join("state")).context("cannot create the state folder")?;
        let control =
            ControlFile::create(&folder.join("faults")).context("cannot create the control file")?;
        let sender = Self {
            index,
            address,
            control,
            log: folder.join("log"),
            folder,
            executable,
            processes: Mutex::default(),
            process_group,
            lifecycle: Mutex::default(),
            next_management: AtomicU16::new(MANAGEMENT_PORT),
            pauses: Default::default(),
            history,
            seed,
            log_filter,
            configuration: StdMutex::new(configuration),
        };
        sender.write_configuration(None)?;
        Ok(Arc::new(sender))
    }

    /// Returns the name of its processes, which the kernel cuts off.
    pub(crate) fn process_name(&self) -> &str {
        let name = self.executable.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        &name[..name.len().min(MAX_PROCESS_NAME)]
    }

    fn configuration_path(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    fn write_configuration(&self, discovery: Option<SocketAddr>) -> Result<()> {
        let mut configuration = self.configuration.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(address) = discovery {
            configuration["discovery"] = address.to_string().into();
        }
        let next = self.folder.join("config.next");
        fs::write(&next, configuration.to_string())?;
        fs::rename(&next, self.configuration_path())?;
        Ok(())
    }

    /// Starts a process and waits until it is ready or has ended.
    pub async fn start(&self) {
        if let Err(error) = self.try_start().await {
            self.history.record_incident(self.index, format!("a process cannot be started: {error:#}"));
        }
    }

    async fn try_start(&self) -> Result<()> {
        let management = self.spawn().await?;
        self.await_ready(management).await;
        Ok(())
    }

    /// Starts a process and returns its management address.
    pub(crate) async fn spawn(&self) -> Result<SocketAddr> {
        let port = self.next_management.fetch_add(1, Ordering::Relaxed);
        let management = SocketAddr::new(self.address.ip(), port);
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("sh");
        let child = self
            .process_group
            .add(&mut command)
            .args(["-c", &format!("ulimit -n {MAX_DESCRIPTORS} && LD_PRELOAD=$SHIM exec \"$0\"")])
            .arg(&self.executable)
            .env("SHIM", LIBRARY)
            .env("FAULT_SHIM_CONTROL", self.control.path())
            .env("FAULT_SHIM_SEED", (self.seed ^ u64::from(port)).to_string())
            .env("ROUTER_CONFIG", self.configuration_path())
            .env("ROUTER_STATE", self.folder.join("state"))
            .env("ROUTER_MANAGEMENT", management.to_string())
            .env("RUST_LOG", &self.log_filter)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .context("the executable cannot be run")?;
        let pid = Pid::from_raw(child.id() as i32).context("invalid process id")?;
        let (ended_sender, ended) = watch::channel(false);
        let is_end_expected = Arc::new(AtomicBool::new(false));
        tokio::spawn(watch_end(
            child,
            ended_sender,
            is_end_expected.clone(),
            self.history.clone(),
            self.index,
        ));
        self.processes.lock().await.push(Process { pid, is_end_expected, ended, management });
        Ok(management)
    }

    /// Waits until the process with this management address is ready or has ended, for 10 s at most.
    pub(crate) async fn await_ready(&self, management: SocketAddr) {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if fetch(management, "/status").await.is_some_and(|response| response.0 == 200) {
                self.history.record_process_event(self.index, ProcessEvent::Ready);
                return;
            }
            if self.is_ended(management).await {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        self.history.record_incident(self.index, "not ready within 10 s");
        self.history.record_process_event(self.index, ProcessEvent::Ready);
    }

    /// Whether the process with this management address has ended.
    pub(crate) async fn is_ended(&self, management: SocketAddr) -> bool {
        let processes = self.processes.lock().await;
        processes.iter().find(|process| process.management == management).is_none_or(|it| *it.ended.borrow())
    }

    /// Removes the processes and returns those that still run.
    pub(crate) async fn take_processes(&self) -> Vec<Process> {
        let mut processes = self.processes.lock().await;
        processes.drain(..).filter(|process| !*process.ended.borrow()).collect()
    }

    /// Kills all processes and waits for their end.
    pub async fn kill(&self) {
        self.history.record_process_event(self.index, ProcessEvent::Ending);
        self.history.record_process_event(self.index, ProcessEvent::Killed);
        for process in self.take_processes().await {
            process.kill();
            process.wait_for_end(TERMINATION_TIMEOUT).await;
        }
    }

    /// Kills all processes and starts a new one 0.6 s later.
    pub async fn kill_and_start(&self) {
        let _lifecycle = self.lifecycle.lock().await;
        self.kill().await;
        sleep(RESTART_DELAY).await;
        self.start().await;
    }

    /// Makes all writes to the state folder fail, kills all processes after the time `after`, and starts a new one
    /// 0.6 s later on a folder that takes writes.
    pub async fn kill_unwritable_and_start(&self, after: Duration) {
        let _lifecycle = self.lifecycle.lock().await;
        self.set_writable(false);
        sleep(after).await;
        self.kill().await;
        self.set_writable(true);
        sleep(RESTART_DELAY).await;
        self.start().await;
    }

    fn set_writable(&self, is_writable: bool) {
        let fails = FailureRule {
            rate: if is_writable { 0 } else { ALWAYS },
            modes: vec![Failure::NotDone],
            errnos: vec![ENOSPC],
        };
        for call in [Syscall::WriteFile, Syscall::Rename, Syscall::Truncate] {
            if let Err(error) = self.control.set(call, &fails) {
                eprintln!("cannot write the control file: {error}");
            }
        }
    }

    /// Kills all processes, starts one, kills it after the time `after`, ready or not, and starts another
    /// one.
    pub async fn kill_twice_and_start(&self, after: Duration) {
        let _lifecycle = self.lifecycle.lock().await;
        self.kill().await;
        sleep(RESTART_DELAY).await;
        if let Err(error) = self.spawn().await {
            self.history.record_incident(self.index, format!("a process cannot be started: {error:#}"));
        }
        sleep(after).await;
        self.kill().await;
        sleep(RESTART_DELAY).await;
        self.start().await;
    }

    /// Ends all processes with SIGTERM, and with SIGKILL if they have not ended in time.
    pub async fn terminate(&self) {
        self.history.record_process_event(self.index, ProcessEvent::Ending);
        for process in self.take_processes().await {
            process.expect_end();
            self.end_gracefully(&process, "still running 3.7 s after SIGTERM").await;
        }
    }

    /// Sends SIGTERM, and SIGKILL if the process has not ended in time. That is an incident unless the sender
    /// was paused in that time, as a paused process cannot end.
    pub(crate) async fn end_gracefully(&self, process: &Process, incident: &str) {
        let pauses_before = self.pauses[1].load(Ordering::Relaxed);
        let start = Instant::now();
        process.signal(Signal::TERM);
        if process.wait_for_end(TERMINATION_TIMEOUT).await {
            self.history.records().shutdown_times.push(start.elapsed());
            return;
        }
        if self.pauses[0].load(Ordering::Relaxed) == pauses_before {
            self.history.record_incident(self.index, incident);
        }
        self.history.record_process_event(self.index, ProcessEvent::Killed);
        process.kill();
        process.wait_for_end(TERMINATION_TIMEOUT).await;
    }

    /// Ends all processes as [`Self::terminate`] does, and starts a new one 0.6 s later.
    pub async fn terminate_and_start(&self) {
        let _lifecycle = self.lifecycle.lock().await;
        self.terminate().await;
        sleep(RESTART_DELAY).await;
        self.start().await;
    }

    /// Suspends all processes for this time.
    pub async fn pause(&self, duration: Duration) {
        self.pauses[0].fetch_add(1, Ordering::Relaxed);
        self.history.record_process_event(self.index, ProcessEvent::Paused);
        let pids: Vec<Pid> = self.processes.lock().await.iter().map(|process| process.pid).collect();
        signal_processes(&pids, Signal::STOP);
        sleep(duration).await;
        signal_processes(&pids, Signal::CONT);
        self.history.record_process_event(self.index, ProcessEvent::Resumed);
        self.pauses[1].fetch_add(1, Ordering::Relaxed);
    }

    async fn signal_all(&self, signal: Signal) {
        self.processes.lock().await.iter().for_each(|process| process.signal(signal));
    }

    /// Writes another address of discovery to the configuration file and sends SIGHUP.
    pub async fn reload(&self, discovery: SocketAddr) {
        if let Err(error) = self.write_configuration(Some(discovery)) {
            self.history
                .record_incident(self.index, format!("the configuration file cannot be written: {error:#}"));
        }
        self.signal_all(Signal::HUP).await;
    }

    /// Like [`Self::reload`], but SIGHUP is sent while the file is half written, 0.3 s before it is complete.
    pub async fn reload_torn(&self, discovery: SocketAddr) {
        let path = self.configuration_path();
        let whole = fs::read(&path).unwrap_or_default();
        let _ = fs::write(&path, &whole[..whole.len() / 2]);
        self.signal_all(Signal::HUP).await;
        sleep(Duration::from_millis(300)).await;
        if let Err(error) = self.write_configuration(Some(discovery)) {
            self.history
                .record_incident(self.index, format!("the configuration file cannot be written: {error:#}"));
        }
    }
}

/// Parameters of a new sender.
pub struct SenderSetup {
    /// Index of the sender.
    pub index: usize,
    /// Address for clients.
    pub address: SocketAddr,
    /// Folder for its configuration, state, log and control file.
    pub folder: PathBuf,
    /// Path of the sender executable.
    pub executable: PathBuf,
    /// Group of its processes.
    pub process_group: Arc<ProcessGroup>,
    /// History for its process events and incidents.
    pub history: Arc<History>,
    /// Seed for the random choices of the library in its processes.
    pub seed: u64,
    /// `RUST_LOG` of its processes.
    pub log_filter: String,
    /// Content of its configuration file.
    pub configuration: Value,
}

impl Drop for Sender {
    fn drop(&mut self) {
        for process in self.processes.get_mut().drain(..) {
            process.kill();
        }
    }
}

/// Finds the sender executable in the folder of the running program or the folder above it.
///
/// # Errors
///
/// It is in neither folder.
pub fn find_executable() -> Result<PathBuf> {
    let own = std::env::current_exe().context("cannot determine the path of this program")?;
    let beside = |folder: &Path| folder.join("message-sender");
    let candidates = own.ancestors().skip(1).take(2).map(beside);
    let found = candidates.into_iter().find(|path| path.is_file());
    found.context("message-sender is not built: run `cargo build --workspace` first")
}
