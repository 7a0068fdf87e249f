//! A sender under test: its folder, configuration and processes.

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
use crate::settings::MAX_DESCRIPTORS;
use crate::shim::{ControlFile, LIBRARY};

/// A start that takes longer fails a version.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// A process that was told to end has so long.
const END_LIMIT: Duration = Duration::from_millis(3_700);
/// Between the end of a process and the start of the next.
const RESTART_PAUSE: Duration = Duration::from_millis(600);
const PROBE_PAUSE: Duration = Duration::from_millis(20);
const CLIENT_PORT: u16 = 3_000;
const MANAGEMENT_PORT: u16 = 3_100;

/// A sender and its processes; there are two during an upgrade.
pub struct Sender {
    /// Its number.
    pub index: usize,
    /// Where clients connect.
    pub address: SocketAddr,
    /// What fails in its processes.
    pub control: ControlFile,
    folder: PathBuf,
    executable: PathBuf,
    processes: Mutex<Vec<Process>>,
    /// Held while processes are ended and started, so that faults of one sender do not tread on each other.
    lifecycle: Mutex<()>,
    next_management: AtomicU16,
    /// Pauses that have begun, and those that have ended.
    pauses: [AtomicU16; 2],
    history: Arc<History>,
    /// The log of all its processes.
    pub log: PathBuf,
    seed: u64,
    log_filter: String,
    configuration: StdMutex<Value>,
}

impl Sender {
    /// A sender without a process, in this folder. Its address is one of its own in the loopback range.
    ///
    /// # Errors
    ///
    /// The folder cannot be written.
    pub fn create(setup: SenderSetup) -> Result<Arc<Self>> {
        let SenderSetup { index, address, folder, executable, history, seed, log_filter, configuration } =
            setup;
        fs::create_dir_all(folder.join("state")).context("state folder")?;
        let control = ControlFile::create(&folder.join("faults")).context("control file")?;
        let sender = Self {
            index,
            address,
            control,
            log: folder.join("log"),
            folder,
            executable,
            processes: Mutex::default(),
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

    /// The address that a sender of this number listens at, in a run of this number.
    #[must_use]
    pub fn address_of(run: u8, index: usize) -> SocketAddr {
        SocketAddr::from(([127, 10, run, index as u8 + 1], CLIENT_PORT))
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

    /// Starts a process and waits until it is ready.
    pub async fn start(&self) {
        if let Err(error) = self.try_start().await {
            self.history.incident(self.index, format!("start: {error:#}"));
        }
    }

    async fn try_start(&self) -> Result<()> {
        let management = self.spawn().await?;
        self.await_ready(management).await;
        Ok(())
    }

    async fn spawn(&self) -> Result<SocketAddr> {
        let port = self.next_management.fetch_add(1, Ordering::Relaxed);
        let management = SocketAddr::new(self.address.ip(), port);
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new("sh")
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
            .context("the sender cannot be started")?;
        let pid = Pid::from_raw(child.id() as i32).context("no process id")?;
        let (ended_sender, ended) = watch::channel(false);
        let may_end = Arc::new(AtomicBool::new(false));
        tokio::spawn(watch_end(child, ended_sender, may_end.clone(), self.history.clone(), self.index));
        self.processes.lock().await.push(Process { pid, may_end, ended, management });
        Ok(management)
    }

    /// Waits until the process with this management address is the sender.
    async fn await_ready(&self, management: SocketAddr) {
        let started = Instant::now();
        while started.elapsed() < READY_LIMIT {
            if fetch(management, "/status").await.is_some_and(|answer| answer.0 == 200) {
                self.history.process(self.index, ProcessEvent::Ready);
                return;
            }
            if self.is_ended(management).await {
                return;
            }
            sleep(PROBE_PAUSE).await;
        }
        self.history.incident(self.index, "not ready within 10 s");
        self.history.process(self.index, ProcessEvent::Ready);
    }

    async fn is_ended(&self, management: SocketAddr) -> bool {
        let processes = self.processes.lock().await;
        processes.iter().find(|process| process.management == management).is_none_or(|it| *it.ended.borrow())
    }

    async fn take_processes(&self) -> Vec<Process> {
        let mut processes = self.processes.lock().await;
        processes.drain(..).filter(|process| !*process.ended.borrow()).collect()
    }

    /// Kills all processes.
    pub async fn kill(&self) {
        self.history.process(self.index, ProcessEvent::Ending);
        for process in self.take_processes().await {
            process.kill();
            process.wait_for_end(END_LIMIT).await;
        }
    }

    /// Kills all processes and starts one after a pause.
    pub async fn kill_and_start(&self) {
        let _lifecycle = self.lifecycle.lock().await;
        self.kill().await;
        sleep(RESTART_PAUSE).await;
        self.start().await;
    }

    /// Kills all processes, and the one that is started next some time later, ready or not.
    pub async fn kill_twice_and_start(&self, after: Duration) {
        let _lifecycle = self.lifecycle.lock().await;
        self.kill().await;
        sleep(RESTART_PAUSE).await;
        if let Err(error) = self.spawn().await {
            self.history.incident(self.index, format!("start: {error:#}"));
        }
        sleep(after).await;
        self.kill().await;
        sleep(RESTART_PAUSE).await;
        self.start().await;
    }

    /// SIGTERM, and SIGKILL to what has not ended in time.
    pub async fn terminate(&self) {
        self.history.process(self.index, ProcessEvent::Ending);
        for process in self.take_processes().await {
            process.may_end.store(true, Ordering::Relaxed);
            self.end_gracefully(&process, "not ended 3.7 s after SIGTERM").await;
        }
    }

    /// SIGTERM, and SIGKILL if the process has not ended in time. One that is paused meanwhile cannot.
    async fn end_gracefully(&self, process: &Process, incident: &str) {
        let pauses_before = self.pauses[1].load(Ordering::Relaxed);
        process.signal(Signal::TERM);
        if process.wait_for_end(END_LIMIT).await {
            return;
        }
        if self.pauses[0].load(Ordering::Relaxed) == pauses_before {
            self.history.incident(self.index, incident);
        }
        process.kill();
        process.wait_for_end(END_LIMIT).await;
    }

    /// SIGTERM, and a start after the end.
    pub async fn terminate_and_start(&self) {
        let _lifecycle = self.lifecycle.lock().await;
        self.terminate().await;
        sleep(RESTART_PAUSE).await;
        self.start().await;
    }

    /// Starts a successor, which takes over; the predecessor is told to end once it has.
    pub async fn upgrade(&self) {
        let _lifecycle = self.lifecycle.lock().await;
        self.history.process(self.index, ProcessEvent::Upgrading);
        let predecessors = self.take_processes().await;
        for process in &predecessors {
            process.may_end.store(true, Ordering::Relaxed);
        }
        self.start().await;
        for process in predecessors {
            self.end_gracefully(&process, "predecessor not ended 3.7 s after SIGTERM").await;
        }
    }

    /// Starts a successor and kills it after a moment: the predecessor, told to end or not, or else a
    /// process that is started anew, has the work.
    pub async fn upgrade_dies(&self, after: Duration, is_predecessor_told_to_end: bool) {
        let _lifecycle = self.lifecycle.lock().await;
        self.history.process(self.index, ProcessEvent::Ending);
        let predecessors = self.take_processes().await;
        for process in &predecessors {
            process.may_end.store(true, Ordering::Relaxed);
        }
        if let Err(error) = self.spawn().await {
            self.history.incident(self.index, format!("start: {error:#}"));
        }
        sleep(after / 2).await;
        if is_predecessor_told_to_end {
            for process in &predecessors {
                process.signal(Signal::TERM);
            }
        }
        sleep(after / 2).await;
        for successor in self.take_processes().await {
            successor.kill();
            successor.wait_for_end(END_LIMIT).await;
        }
        if is_predecessor_told_to_end {
            for process in predecessors {
                self.end_gracefully(&process, "predecessor not ended 3.7 s after SIGTERM").await;
            }
            sleep(RESTART_PAUSE).await;
            return self.start().await;
        }
        self.resume_predecessors(predecessors).await;
    }

    async fn resume_predecessors(&self, predecessors: Vec<Process>) {
        let managements: Vec<_> = predecessors.iter().map(|process| process.management).collect();
        for process in &predecessors {
            process.may_end.store(false, Ordering::Relaxed);
        }
        self.processes.lock().await.extend(predecessors);
        for management in managements {
            self.await_ready(management).await;
            // It had handed over, and had nothing left to relay.
            if self.is_ended(management).await {
                sleep(RESTART_PAUSE).await;
                self.start().await;
            }
        }
    }

    /// Suspends all processes for some time.
    pub async fn pause(&self, lasts: Duration) {
        self.pauses[0].fetch_add(1, Ordering::Relaxed);
        self.history.process(self.index, ProcessEvent::Paused);
        let pids: Vec<Pid> = self.processes.lock().await.iter().map(|process| process.pid).collect();
        signal_processes(&pids, Signal::STOP);
        sleep(lasts).await;
        signal_processes(&pids, Signal::CONT);
        self.history.process(self.index, ProcessEvent::Resumed);
        self.pauses[1].fetch_add(1, Ordering::Relaxed);
    }

    async fn signal_all(&self, signal: Signal) {
        self.processes.lock().await.iter().for_each(|process| process.signal(signal));
    }

    /// Moves discovery to another address, with SIGHUP.
    pub async fn reload(&self, discovery: SocketAddr) {
        if let Err(error) = self.write_configuration(Some(discovery)) {
            self.history.incident(self.index, format!("configuration: {error:#}"));
        }
        self.signal_all(Signal::HUP).await;
    }

    /// As [`Self::reload`], but the signal comes while the file is half written.
    pub async fn reload_torn(&self, discovery: SocketAddr) {
        let path = self.configuration_path();
        let whole = fs::read(&path).unwrap_or_default();
        let _ = fs::write(&path, &whole[..whole.len() / 2]);
        self.signal_all(Signal::HUP).await;
        sleep(Duration::from_millis(300)).await;
        if let Err(error) = self.write_configuration(Some(discovery)) {
            self.history.incident(self.index, format!("configuration: {error:#}"));
        }
    }

    /// What the running process counts under this name.
    pub async fn metric(&self, name: &str) -> Option<u64> {
        let management = self.processes.lock().await.last()?.management;
        let (_, text) = fetch(management, "/status/metrics").await?;
        let prefix = format!("router.{name}:");
        let line = text.lines().find_map(|line| line.strip_prefix(&prefix))?.to_owned();
        line.split('|').next()?.parse().ok()
    }

    /// Descriptors that the running process has open.
    pub async fn open_descriptors(&self) -> Option<usize> {
        let pid = self.processes.lock().await.last()?.pid.as_raw_nonzero();
        Some(fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
    }
}

/// What a sender is made of.
pub struct SenderSetup {
    /// Its number.
    pub index: usize,
    /// Where clients connect.
    pub address: SocketAddr,
    /// A folder of its own.
    pub folder: PathBuf,
    /// The program.
    pub executable: PathBuf,
    /// Where what happens to it is recorded.
    pub history: Arc<History>,
    /// Seed of the faults in it.
    pub seed: u64,
    /// `RUST_LOG` of its processes.
    pub log_filter: String,
    /// Its configuration.
    pub configuration: Value,
}

impl Drop for Sender {
    fn drop(&mut self) {
        for process in self.processes.get_mut().drain(..) {
            process.kill();
        }
    }
}

/// The program, beside the running one in the build's folder.
///
/// # Errors
///
/// It is not there.
pub fn find_executable() -> Result<PathBuf> {
    let own = std::env::current_exe().context("the path of this program")?;
    let beside = |folder: &Path| folder.join("message-sender");
    let candidates = own.ancestors().skip(1).take(2).map(beside);
    let found = candidates.into_iter().find(|path| path.is_file());
    found.context("message-sender is not built: run `cargo build --workspace` first")
}
