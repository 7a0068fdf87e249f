//! Plays one seed from its start to its verdict.

use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::time::{sleep, sleep_until, Instant};

use crate::client::{run_peers, Client, Habits};
use crate::discovery::Discovery;
use crate::endpoint::{Behaviour, Endpoint};
use crate::faults::Targets;
use crate::history::{Answer, History, Message, Records};
use crate::oracle::Oracle;
use crate::plan::{Plan, FAULTS_END};
use crate::planted::Plant;
use crate::sender::{Sender, SenderSetup};
use crate::settings::{configuration, DEADLINE_MS, DESTINATIONS, ENDPOINTS_PER_DESTINATION};
use crate::shim::{Call, Mode, Rule};
use crate::violation::Violation;

/// Clients of each sender.
const CLIENTS: usize = 3;
/// Load goes on for so long after the last fault.
const RECOVERY: Duration = Duration::from_secs(6);
/// Of the recovery, the end in which all has to be as before the faults.
const RECOVERED: Duration = Duration::from_secs(3);
/// Of the messages submitted then, this share has to be accepted.
const ACCEPTED_SHARE: f64 = 0.9;
/// Beyond the last deadline, for the last notices and the end of restarts.
const LAST_NOTICES: Duration = Duration::from_secs(2);
/// Descriptors that an idle sender holds: listeners, its journal and lock, some idle connections.
const IDLE_DESCRIPTORS: usize = 60;
/// Lines that a sender logs a second at most, in the mean over the run.
const MAX_LOG_RATE: u64 = 40;
/// How often a descriptor count is taken before it counts as a leak.
const DESCRIPTOR_CHECKS: usize = 40;

/// What to play.
#[derive(Debug, Clone)]
pub struct Options {
    /// Number of senders.
    pub senders: usize,
    /// The program.
    pub executable: PathBuf,
    /// `RUST_LOG` of the senders.
    pub log_filter: String,
    /// Where their logs are kept if rules are broken.
    pub logs: Option<PathBuf>,
    /// Planted mistakes.
    pub plants: Vec<Plant>,
}

/// How a seed ended.
#[derive(Debug, Default)]
pub struct Report {
    /// The broken rules.
    pub violations: Vec<Violation>,
    /// Messages that were accepted.
    pub accepted: usize,
    /// Messages that were submitted.
    pub submitted: usize,
    /// Calls that arrived.
    pub calls: usize,
    /// Violations that the senders counted themselves.
    pub invariants: u64,
}

/// Plays a plan. `run` tells apart the addresses of plans that are played side by side.
///
/// # Errors
///
/// The surroundings cannot be set up.
pub async fn play(plan: &Plan, options: &Options, run: u8) -> Result<Report> {
    let folder = tempfile::tempdir().context("a folder for the run")?;
    let stage = Stage::set_up(plan, options, run, folder.path()).await?;
    let start = Instant::now();
    let report = stage.play(plan, start).await;
    if let Some(logs) = options.logs.as_ref().filter(|_| !report.violations.is_empty()) {
        stage.keep_logs(logs, plan.seed)?;
    }
    Ok(report)
}

/// Senders with all that surrounds them.
struct Stage {
    history: Arc<History>,
    targets: Arc<Targets>,
    plants: Vec<Plant>,
    seed: u64,
}

impl Stage {
    async fn set_up(plan: &Plan, options: &Options, run: u8, folder: &Path) -> Result<Self> {
        let history = Arc::new(History::default());
        let endpoints = start_endpoints(&history).await?;
        let swallows_notices = options.plants.contains(&Plant::SwallowedNotices);
        let discovery = Discovery::new(endpoints.clone(), history.clone(), swallows_notices);
        let mut senders = Vec::new();
        for index in 0..options.senders {
            let address = Sender::address_of(run, index);
            let list = discovery.entries();
            let own_discovery = discovery.listen(index).await?;
            let name = format!("n{index}");
            senders.push(Sender::create(SenderSetup {
                index,
                address,
                folder: folder.join(&name),
                executable: options.executable.clone(),
                history: history.clone(),
                seed: plan.seed,
                log_filter: options.log_filter.clone(),
                configuration: configuration(&name, address, own_discovery, options.senders, &list),
            })?);
        }
        let habits = Arc::new(Habits::default());
        let targets = Arc::new(Targets { senders, endpoints, discovery, habits });
        Ok(Self { history, targets, plants: options.plants.clone(), seed: plan.seed })
    }

    async fn play(&self, plan: &Plan, start: Instant) -> Report {
        for sender in &self.targets.senders {
            sender.start().await;
        }
        self.plant();
        let load_start = Instant::now();
        let clients = self.spawn_clients();
        self.targets.play(plan).await;
        sleep_until(load_start + FAULTS_END).await;
        let faults_end = Instant::now();
        sleep(RECOVERY).await;
        let load_end = Instant::now();
        self.targets.habits.stop.store(true, Ordering::Relaxed);
        clients.join_all().await;
        sleep(Duration::from_millis(DEADLINE_MS) + LAST_NOTICES).await;
        self.check_senders(start).await;
        let invariants = self.count_invariants().await;
        self.terminate_all().await;
        let recovered = faults_end + RECOVERY - RECOVERED;
        tokio::task::block_in_place(|| self.judge(start, recovered, load_end, invariants))
    }

    async fn terminate_all(&self) {
        let mut tasks = tokio::task::JoinSet::new();
        for sender in self.targets.senders.clone() {
            tasks.spawn(async move { sender.terminate().await });
        }
        tasks.join_all().await;
    }

    fn plant(&self) {
        if self.plants.contains(&Plant::LyingDisk) {
            let lies = Rule { rate: 3_000, modes: vec![Mode::Lies], errnos: Vec::new() };
            for sender in &self.targets.senders {
                if let Err(error) = sender.control.set(Call::WriteFile, &lies) {
                    eprintln!("control file: {error}");
                }
            }
        }
    }

    fn spawn_clients(&self) -> tokio::task::JoinSet<()> {
        let mut clients = tokio::task::JoinSet::new();
        for sender in &self.targets.senders {
            let habits = &self.targets.habits;
            for number in 0..CLIENTS {
                let seed = self.seed ^ ((sender.index * CLIENTS + number) as u64) << 32;
                let history = self.history.clone();
                let client = Client::new(sender.index, number, sender.address, habits.clone(), history, seed);
                clients.spawn(client.run());
            }
            let history = self.history.clone();
            clients.spawn(run_peers(sender.index, sender.address, habits.clone(), history, self.seed));
        }
        clients
    }

    /// After the faults: no descriptors leaked, no flood of log lines.
    async fn check_senders(&self, start: Instant) {
        for sender in &self.targets.senders {
            self.check_descriptors(sender).await;
            let log = std::fs::read_to_string(&sender.log).unwrap_or_default();
            let lines = log.lines().count() as u64;
            let limit = MAX_LOG_RATE * start.elapsed().as_secs();
            if lines > limit {
                self.history.incident(sender.index, format!("{lines} lines of log, over {limit}"));
            }
            if let Some(line) = log.lines().find(|line| line.contains("panicked")) {
                self.history.incident(sender.index, line);
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
        self.history.incident(sender.index, format!("{open} descriptors open when idle"));
    }

    async fn count_invariants(&self) -> u64 {
        let mut sum = 0;
        for sender in &self.targets.senders {
            match sender.metric("invariant_violations").await {
                Some(0) => {}
                Some(count) => {
                    sum += count;
                    self.history.incident(sender.index, format!("{count} invariants violated"));
                }
                None => self.history.incident(sender.index, "no metrics"),
            }
        }
        sum
    }

    fn judge(&self, start: Instant, recovered: Instant, load_end: Instant, invariants: u64) -> Report {
        let mut records = self.history.records();
        for plant in &self.plants {
            plant.falsify(&mut records);
        }
        let mut violations = Oracle::new(&records, start).judge();
        violations.extend(check_recovery(&records, recovered, load_end));
        let is_accepted =
            |message: &&Message| message.answer.is_some_and(|(answer, _)| answer == Answer::Accepted);
        Report {
            violations,
            accepted: records.messages.values().filter(is_accepted).count(),
            submitted: records.messages.len(),
            calls: records.calls.len(),
            invariants,
        }
    }

    fn keep_logs(&self, logs: &Path, seed: u64) -> Result<()> {
        std::fs::create_dir_all(logs)?;
        for sender in &self.targets.senders {
            std::fs::copy(&sender.log, logs.join(format!("seed-{seed}-n{}.log", sender.index)))?;
        }
        Ok(())
    }
}

async fn start_endpoints(history: &Arc<History>) -> Result<Vec<Arc<Endpoint>>> {
    let mut endpoints = Vec::new();
    for destination in 1..=DESTINATIONS {
        let usual = match destination {
            1 => Behaviour::Healthy,
            2 => Behaviour::Flaky,
            _ => Behaviour::Limited,
        };
        for _ in 0..ENDPOINTS_PER_DESTINATION {
            let index = endpoints.len();
            endpoints.push(Endpoint::start(index, destination, usual, history.clone()).await?);
        }
    }
    Ok(endpoints)
}

/// Once the faults are over, new messages are accepted as before them.
fn check_recovery(records: &Records, from: Instant, to: Instant) -> Vec<Violation> {
    let mut violations = Vec::new();
    let senders = records.messages.values().map(|message| message.sender).max().unwrap_or(0);
    for sender in 0..=senders {
        let answers: Vec<Answer> = records
            .messages
            .values()
            .filter(|message| message.sender == sender && message.destination == 1)
            .filter(|message| message.submitted_at >= from && message.submitted_at < to)
            .filter_map(|message| Some(message.answer?.0))
            .collect();
        let accepted = answers.iter().filter(|answer| **answer == Answer::Accepted).count();
        if (accepted as f64) < ACCEPTED_SHARE * answers.len() as f64 || answers.is_empty() {
            let details =
                format!("sender {sender}: {accepted} of {} accepted after the faults", answers.len());
            violations.push(Violation { rule: "recovery", details });
        }
    }
    violations
}
