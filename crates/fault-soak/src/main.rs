//! `fault-soak`: runs seeds of randomized faults against real senders and prints the violated rules.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::{Parser, ValueEnum};
use fault_soak::plan::{FaultKind, Plan, DEFAULT_MAX_KINDS};
use fault_soak::planted::PlantedDefect;
use fault_soak::sender::find_executable;
use fault_soak::soak::{run_plan, Options, Report};

/// Maximum number of violations of a seed that are printed in full.
const MAX_PRINTED: usize = 12;

/// Runs seeds of randomized faults against real senders.
#[derive(Parser)]
struct Arguments {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of seeds that run at the same time.
    #[arg(long, default_value_t = 1)]
    parallel: usize,
    /// Number of senders in each seed.
    #[arg(long, default_value_t = 10)]
    senders: usize,
    /// Kinds of faults to draw from; all if not given.
    #[arg(long, value_delimiter = ',')]
    kinds: Vec<FaultKind>,
    /// Kinds of faults that are never drawn.
    #[arg(long, value_delimiter = ',')]
    except: Vec<FaultKind>,
    /// Maximum number of kinds of faults drawn for a seed, without restarts that are added.
    #[arg(long, default_value_t = DEFAULT_MAX_KINDS)]
    max_kinds: usize,
    /// Run a failed seed again without one kind of fault after the other, and print the faults that are
    /// needed to violate the same rule.
    #[arg(long)]
    shrink: bool,
    /// Plant a defect, with which the seed must fail. May be given more than once.
    #[arg(long)]
    plant: Vec<PlantedDefect>,
    /// `RUST_LOG` of the senders.
    #[arg(long, default_value = "info")]
    log: String,
    /// Copy the logs of the senders to this folder if a seed fails.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Path of the sender executable, if it is not in the folder of this program or the folder above.
    #[arg(long)]
    executable: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("Error: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Runs all seeds and returns how many failed.
fn run(arguments: &Arguments) -> Result<usize> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    let executable = match &arguments.executable {
        Some(path) => path.clone(),
        None => find_executable()?,
    };
    let options = Options {
        senders: arguments.senders,
        executable,
        log_filter: arguments.log.clone(),
        logs: arguments.logs.clone(),
        planted_defects: arguments.plant.clone(),
    };
    let kinds = arguments.kinds();
    let plans = (arguments.seed..arguments.seed + arguments.seeds)
        .map(|seed| Plan::draw(seed, &kinds, arguments.max_kinds));
    let plans: Vec<Plan> = plans.collect();
    let mut failed = 0;
    for batch in plans.chunks(arguments.parallel.max(1)) {
        for (plan, report) in runtime.block_on(run_batch(batch, &options))? {
            print_report(&plan, &report);
            if !report.violations.is_empty() {
                failed += 1;
                if arguments.shrink {
                    shrink(&runtime, plan, &report, &options)?;
                }
            }
        }
    }
    println!("{} seeds, {failed} failed", plans.len());
    Ok(failed)
}

impl Arguments {
    fn kinds(&self) -> Vec<FaultKind> {
        let all = || FaultKind::value_variants().to_vec();
        let kinds = if self.kinds.is_empty() { all() } else { self.kinds.clone() };
        kinds.into_iter().filter(|kind| !self.except.contains(kind)).collect()
    }
}

async fn run_batch(plans: &[Plan], options: &Options) -> Result<Vec<(Plan, Report)>> {
    let mut tasks = Vec::new();
    for plan in plans.iter().cloned() {
        println!("plan of seed {}:\n{plan}", plan.seed);
        let options = options.clone();
        tasks.push(tokio::spawn(async move {
            let report = run_plan(&plan, &options).await;
            report.map(|report| (plan, report))
        }));
    }
    let mut reports = Vec::new();
    for task in tasks {
        reports.push(task.await.context("the run of a seed panicked")??);
    }
    Ok(reports)
}

fn print_report(plan: &Plan, report: &Report) {
    let Report {
        violations,
        accepted,
        submitted,
        calls,
        excess_sent,
        peak_memory_kib,
        invariant_violations,
        longest_shutdown,
    } = report;
    let verdict = if violations.is_empty() { "passed" } else { "FAILED" };
    println!(
        "seed {}: {verdict}, {accepted} of {submitted} accepted, {calls} calls, {excess_sent} with excess data, \
         {peak_memory_kib} KiB at most, {} violations, \
         {invariant_violations} invariant violations counted by the senders, longest shutdown {:.3} s, \
         kinds {:?}",
        plan.seed,
        violations.len(),
        longest_shutdown.as_secs_f64(),
        plan.kinds()
    );
    let mut rules: Vec<&str> = violations.iter().map(|violation| violation.rule).collect();
    rules.sort_unstable();
    for group in rules.chunk_by(|left, right| left == right) {
        println!("  {} x {}", group.len(), group[0]);
    }
    for violation in violations.iter().take(MAX_PRINTED) {
        println!("    {violation}");
    }
}

/// Removes each kind of fault without which the seed still violates the rule of its first violation, and
/// prints the remaining plan.
fn shrink(runtime: &tokio::runtime::Runtime, plan: Plan, report: &Report, options: &Options) -> Result<()> {
    let rule = report.violations[0].rule;
    let mut minimal = plan;
    for kind in minimal.kinds() {
        let reduced = minimal.without(kind);
        let reports = runtime.block_on(run_batch(std::slice::from_ref(&reduced), options))?;
        let still_fails =
            reports.iter().any(|(_, report)| report.violations.iter().any(|it| it.rule == rule));
        println!("without {kind:?}: {}", if still_fails { "still fails" } else { "passes" });
        if still_fails {
            minimal = reduced;
        }
    }
    println!("minimal plan of seed {} that violates {rule}:\n{minimal}", minimal.seed);
    Ok(())
}
