//! Runs the plan of one seed against real senders and reports the violations.

use std::collections::BTreeMap;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::time::{sleep, sleep_until, Instant};

use crate::client::{run_peers, Client, ClientSetup, LoadControl};
use crate::crowd::run_crowd;
use crate::discovery::Discovery;
use crate::endpoint::{Behaviour, Endpoint, EndpointSetup, FAST_SERVICE_MS};
use crate::faults::Targets;
use crate::history::{History, Message, Records, SubmitResult};
use crate::memory::watch_memory;
use crate::network::Network;
use crate::oracle::Oracle;
use crate::plan::{Plan, FAULTS_END};
use crate::planted::PlantedDefect;
use crate::process_group::ProcessGroup;
use crate::resting_client::run_resting_clients;
use crate::run_addresses::RunAddresses;
use crate::sender::{Sender, SenderSetup};
use crate::settings::{configuration, DEADLINE_MS, DESTINATIONS, ENDPOINTS_PER_DESTINATION, WARM_WITHIN_MS};
use crate::shim::{Failure, FailureRule, Syscall};
use crate::violation::Violation;

/// Time that endpoints take for a call in the seeds with slow endpoints, in milliseconds.
const SLOW_SERVICE_MS: Range<u64> = 45..60;
/// Number of clients of each sender.
const CLIENTS: usize = 3;
/// Time after the faults within which each sender must have called each destination again: the time in which
/// endpoints warm up, and 5 s.
const CALLED_AGAIN_WITHIN: Duration = Duration::from_millis(WARM_WITHIN_MS + 5_000);
/// Time for which the load continues after the faults.
const RECOVERY_TIME: Duration = CALLED_AGAIN_WITHIN;
/// Final part of the recovery time, in which messages must be accepted as before the faults.
const RECOVERY_CHECK_TIME: Duration = Duration::from_secs(3);
/// The destination whose endpoints reject most calls, so that senders may hold its messages back for seconds.
const LIMITED_DESTINATION: u64 = 3;
/// Number of accepted messages for a destination of which at least one has to be attempted.
const MIN_MESSAGES_FOR_CALL: usize = 5;
/// Minimum share of accepted messages among those submitted in the final part of the recovery time.
const MIN_ACCEPTED_RATIO: f64 = 0.9;
/// Time after the last deadline for the last notices and the end of restarts.
const FINAL_NOTICES_GRACE: Duration = Duration::from_secs(2);
/// Maximum number of file descriptors of an idle sender: listeners, journal, lock and some idle connections.
const IDLE_DESCRIPTORS: usize = 60;
/// Maximum number of log lines per second that a sender may write, averaged over the run.
const MAX_LOG_RATE: u64 = 40;
/// Number of descriptor counts, 250 ms apart, that must all be too high for a leak to be reported.
const DESCRIPTOR_CHECKS: usize = 40;

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Number of senders.
    pub senders: usize,
    /// Path of the sender executable.
    pub executable: PathBuf,
    /// `RUST_LOG` of the senders.
    pub log_filter: String,
    /// Folder for copies of the logs of the senders if rules are violated.
    pub logs: Option<PathBuf>,
    /// Defects that are planted in the run.
    pub planted_defects: Vec<PlantedDefect>,
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Violations of rules.
    pub violations: Vec<Violation>,
    /// Number of accepted messages.
    pub accepted: usize,
    /// Number of submitted messages.
    pub submitted: usize,
    /// Number of calls that arrived at endpoints.
    pub calls: usize,
    /// Number of times that endpoints sent data after a response while no request waited.
    pub excess_sent: usize,
    /// Highest memory of a sender process, in KiB.
    pub peak_memory_kib: u64,
    /// Number of invariant violations that the senders counted themselves.
    pub invariant_violations: u64,
    /// Longest time from SIGTERM to the end of a process.
    pub longest_shutdown: Duration,
}

/// Runs a plan, on addresses that no other run uses at the same time.
///
/// # Errors
///
/// The environment of the senders cannot be set up, or logs cannot be copied.
pub async fn run_plan(plan: &Plan, options: &Options) -> Result<Report> {
    let folder = tempfile::tempdir().context("cannot create a temporary folder")?;
    let addresses = RunAddresses::claim().context("cannot claim addresses for the senders")?;
    let harness = Harness::set_up(plan, options, &addresses, folder.path()).await?;
    let start = Instant::now();
    let report = harness.run(plan, start).await;
    if let Some(logs) = options.logs.as_ref().filter(|_| !report.violations.is_empty()) {
        harness.save_logs(logs, plan.seed)?;
    }
    Ok(report)
}

/// The senders of a run with their simulated environment.
struct Harness {
    history: Arc<History>,
    targets: Arc<Targets>,
    planted_defects: Vec<PlantedDefect>,
    network: Network,
    seed: u64,
}

impl Harness {
    async fn set_up(plan: &Plan, options: &Options, addresses: &RunAddresses, folder: &Path) -> Result<Self> {
        let history = Arc::new(History::default());
        history.records().accepts_may_stall = plan.faults.iter().any(|fault| fault.kind.stalls_accepts());
        history.records().is_crowded = plan.faults.iter().any(|fault| fault.kind.is_crowd());
        let endpoints = start_endpoints(plan, &history).await?;
        let drops_notices = options.planted_defects.contains(&PlantedDefect::SwallowedNotices);
        let discovery =
            Discovery::new(endpoints.clone(), history.clone(), plan.network.discovery, drops_notices);
        let process_group = Arc::new(ProcessGroup::start().context("cannot start a process group")?);
        let mut senders = Vec::new();
        for index in 0..options.senders {
            let address = addresses.sender(index);
            let list = discovery.entries();
            let own_discovery = discovery.listen(index).await?;
            let name = format!("n{index}");
            senders.push(Sender::create(SenderSetup {
                index,
                address,
                folder: folder.join(&name),
                executable: options.executable.clone(),
                process_group: process_group.clone(),
                history: history.clone(),
                seed: plan.seed,
                log_filter: options.log_filter.clone(),
                configuration: configuration(&name, address, own_discovery, options.senders, &list),
            })?);
        }
        let load_control = Arc::new(LoadControl::default());
        let targets = Arc::new(Targets { senders, endpoints, discovery, load_control });
        let planted_defects = options.planted_defects.clone();
        Ok(Self { history, targets, planted_defects, network: plan.network, seed: plan.seed })
    }

    async fn run(&self, plan: &Plan, start: Instant) -> Report {
        for sender in &self.targets.senders {
            sender.start().await;
        }
        self.apply_runtime_defects();
        let memory_watch = tokio::spawn(watch_memory(self.targets.senders.clone(), self.history.clone()));
        let load_start = Instant::now();
        let clients = self.spawn_clients();
        self.targets.run(plan).await;
        sleep_until(load_start + FAULTS_END).await;
        let faults_end = Instant::now();
        sleep(RECOVERY_TIME).await;
        let load_end = Instant::now();
        self.targets.load_control.stop.store(true, Ordering::Relaxed);
        clients.join_all().await;
        sleep(Duration::from_millis(DEADLINE_MS) + FINAL_NOTICES_GRACE).await;
        self.check_senders(start).await;
        memory_watch.abort();
        let invariant_violations = self.count_invariant_violations().await;
        self.terminate_all().await;
        tokio::task::block_in_place(|| self.build_report(start, faults_end, load_end, invariant_violations))
    }

    async fn terminate_all(&self) {
        let mut tasks = tokio::task::JoinSet::new();
        for sender in self.targets.senders.clone() {
            tasks.spawn(async move { sender.terminate().await });
        }
        tasks.join_all().await;
    }

    fn apply_runtime_defects(&self) {
        if self.planted_defects.contains(&PlantedDefect::LyingDisk) {
            let false_success =
                FailureRule { rate: 3_000, modes: vec![Failure::FalseSuccess], errnos: Vec::new() };
            for sender in &self.targets.senders {
                if let Err(error) = sender.control.set(Syscall::WriteFile, &false_success) {
                    eprintln!("cannot write the control file: {error}");
                }
            }
        }
    }

    fn spawn_clients(&self) -> tokio::task::JoinSet<()> {
        let mut clients = tokio::task::JoinSet::new();
        for sender in &self.targets.senders {
            let load_control = &self.targets.load_control;
            for number in 0..CLIENTS {
                clients.spawn(Client::new(self.client_setup(sender, number)).run());
            }
            let history = self.history.clone();
            clients.spawn(run_resting_clients(
                sender.index,
                sender.address,
                load_control.clone(),
                history.clone(),
                self.seed,
            ));
            clients.spawn(run_crowd(sender.address, load_control.clone()));
            clients.spawn(run_peers(sender.index, sender.address, load_control.clone(), history, self.seed));
        }
        clients
    }

    fn client_setup(&self, sender: &Sender, number: usize) -> ClientSetup {
        ClientSetup {
            sender: sender.index,
            number,
            addresses: self.targets.senders.iter().map(|sender| sender.address).collect(),
            load_control: self.targets.load_control.clone(),
            history: self.history.clone(),
            network_delay: self.network.clients,
            seed: self.seed ^ ((sender.index * CLIENTS + number) as u64) << 32,
        }
    }

    /// Checks after the faults that no sender leaked descriptors, logged too many lines or panicked.
    async fn check_senders(&self, start: Instant) {
        for sender in &self.targets.senders {
            self.check_descriptors(sender).await;
            let log = std::fs::read_to_string(&sender.log).unwrap_or_default();
            let lines = log.lines().count() as u64;
            let limit = MAX_LOG_RATE * start.elapsed().as_secs();
            if lines > limit {
                self.history.record_incident(sender.index, format!("{lines} log lines, more than {limit}"));
            }
            if let Some(line) = log.lines().find(|line| line.contains("panicked")) {
                self.history.record_incident(sender.index, line);
            }
        }
    }

    async fn check_descriptors(&self, sender: &Sender) {
        let mut open = 0;
        for _ in 0..DESCRIPTOR_CHECKS {
            open = sender.open_descriptors().await.unwrap_or(0);
            if open <= IDLE_DESCRIPTORS {
                return;
            }
            sleep(Duration::from_millis(250)).await;
        }
        self.history.record_incident(sender.index, format!("{open} file descriptors open when idle"));
    }

    async fn count_invariant_violations(&self) -> u64 {
        let mut sum = 0;
        for sender in &self.targets.senders {
            match sender.metric("invariant_violations").await {
                Some(0) => {}
                Some(count) => {
                    sum += count;
                    self.history.record_incident(sender.index, format!("{count} invariant violations"));
                }
                None => self.history.record_incident(sender.index, "metrics cannot be read"),
            }
        }
        sum
    }

    fn build_report(
        &self,
        start: Instant,
        faults_end: Instant,
        load_end: Instant,
        invariant_violations: u64,
    ) -> Report {
        let mut records = self.history.records();
        for defect in &self.planted_defects {
            defect.apply(&mut records);
        }
        let check_from = faults_end + RECOVERY_TIME.saturating_sub(RECOVERY_CHECK_TIME);
        let mut violations = Oracle::new(&records, start).find_violations();
        violations.extend(check_recovery(&records, check_from, load_end));
        violations.extend(check_destinations_are_called(&records, faults_end, load_end));
        let is_accepted =
            |message: &&Message| message.result.is_some_and(|(result, _)| result == SubmitResult::Accepted);
        Report {
            violations,
            accepted: records.messages.values().filter(is_accepted).count(),
            submitted: records.messages.len(),
            calls: records.calls.len(),
            excess_sent: records.excess_sent,
            peak_memory_kib: records.peak_memory_kib.values().max().copied().unwrap_or_default(),
            invariant_violations,
            longest_shutdown: records.shutdown_times.iter().max().copied().unwrap_or_default(),
        }
    }

    fn save_logs(&self, logs: &Path, seed: u64) -> Result<()> {
        std::fs::create_dir_all(logs)?;
        for sender in &self.targets.senders {
            std::fs::copy(&sender.log, logs.join(format!("seed-{seed}-n{}.log", sender.index)))?;
        }
        Ok(())
    }
}

async fn start_endpoints(plan: &Plan, history: &Arc<History>) -> Result<Vec<Arc<Endpoint>>> {
    let mut endpoints = Vec::new();
    for destination in 1..=DESTINATIONS {
        let default_behaviour = match destination {
            1 => Behaviour::Healthy,
            2 => Behaviour::Flaky,
            _ => Behaviour::Limited,
        };
        for _ in 0..ENDPOINTS_PER_DESTINATION {
            let setup = EndpointSetup {
                index: endpoints.len(),
                destination,
                default_behaviour,
                network_delay: plan.network.endpoints,
                service_ms: service_ms(plan.seed),
            };
            endpoints.push(Endpoint::start(setup, history.clone()).await?);
        }
    }
    Ok(endpoints)
}

/// Returns the time that endpoints take for a call, in milliseconds. A sender recognizes second copies of responses by
/// their time only where endpoints are slow.
fn service_ms(seed: u64) -> Range<u64> {
    if seed.is_multiple_of(2) {
        FAST_SERVICE_MS
    } else {
        SLOW_SERVICE_MS
    }
}

/// Checks that each sender accepts messages again between `from` and `to`, after the faults. Only messages to
/// destination 1 count, as its endpoints are healthy without a fault.
fn check_recovery(records: &Records, from: Instant, to: Instant) -> Vec<Violation> {
    let mut violations = Vec::new();
    let senders = records.messages.values().map(|message| message.sender).max().unwrap_or(0);
    for sender in 0..=senders {
        let results: Vec<SubmitResult> = records
            .messages
            .values()
            .filter(|message| message.sender == sender && message.destination == 1)
            .filter(|message| message.submitted_at >= from && message.submitted_at < to)
            .filter_map(|message| Some(message.result?.0))
            .collect();
        let accepted = results.iter().filter(|result| **result == SubmitResult::Accepted).count();
        if (accepted as f64) < MIN_ACCEPTED_RATIO * results.len() as f64 || results.is_empty() {
            let details =
                format!("sender {sender}: {accepted} of {} accepted after the faults", results.len());
            violations.push(Violation { rule: "recovery", details });
        }
    }
    violations
}

/// Checks that each sender calls the destinations that do not reject calls again between `from` and `to`, after the
/// faults, if it has accepted messages for them: all endpoints are up and drained by nobody.
fn check_destinations_are_called(records: &Records, from: Instant, to: Instant) -> Vec<Violation> {
    let is_in_time = |at: Instant| at >= from && at < to;
    let mut waiting: BTreeMap<(usize, u64), usize> = BTreeMap::new();
    let is_checked =
        |message: &&Message| is_in_time(message.submitted_at) && message.destination != LIMITED_DESTINATION;
    for message in records.messages.values().filter(is_checked) {
        if message.result.is_some_and(|(result, _)| result == SubmitResult::Accepted) {
            *waiting.entry((message.sender, message.destination)).or_default() += 1;
        }
    }
    for call in records.calls.iter().filter(|call| is_in_time(call.first_byte_at)) {
        if let Some(message) = records.messages.get(&call.call_id) {
            waiting.remove(&(message.sender, message.destination));
        }
    }
    let not_called = waiting.into_iter().filter(|(_, accepted)| *accepted >= MIN_MESSAGES_FOR_CALL);
    let violation = |((sender, destination), accepted)| Violation {
        rule: "destination not called",
        details: format!("sender {sender}: {accepted} messages for destination {destination}, no call"),
    };
    not_called.map(violation).collect()
}
