//! `fault-soak`: plays seeds of randomized faults against real senders, and says which rules were broken.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::{Parser, ValueEnum};
use fault_soak::plan::{FaultKind, Plan, USUAL_MAX_KINDS};
use fault_soak::planted::Plant;
use fault_soak::sender::find_executable;
use fault_soak::soak::{play, Options, Report};

/// Violations of a seed that are printed in full.
const MAX_PRINTED: usize = 12;

/// Plays seeds of randomized faults against real senders.
#[derive(Parser)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How many seeds at a time.
    #[arg(long, default_value_t = 1)]
    parallel: usize,
    /// Senders in each seed.
    #[arg(long, default_value_t = 10)]
    senders: usize,
    /// Draw only from these kinds of faults.
    #[arg(long, value_delimiter = ',')]
    kinds: Vec<FaultKind>,
    /// Never draw these kinds.
    #[arg(long, value_delimiter = ',')]
    except: Vec<FaultKind>,
    /// Most kinds of faults in a seed.
    #[arg(long, default_value_t = USUAL_MAX_KINDS)]
    max_kinds: usize,
    /// Play a red seed again without one kind after the other, and say which of them it needs.
    #[arg(long)]
    shrink: bool,
    /// Plant a mistake: the seed has to be red. May be given more than once.
    #[arg(long)]
    plant: Vec<Plant>,
    /// The senders' `RUST_LOG`.
    #[arg(long, default_value = "info")]
    log: String,
    /// Keep the senders' logs of red seeds in this folder.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// The sender's program, if not the one beside this program.
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

/// Plays all seeds; returns how many were red.
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
        plants: arguments.plant.clone(),
    };
    let kinds = arguments.kinds();
    let plans = (arguments.seed..arguments.seed + arguments.seeds)
        .map(|seed| Plan::draw(seed, &kinds, arguments.max_kinds));
    let plans: Vec<Plan> = plans.collect();
    let mut red = 0;
    for batch in plans.chunks(arguments.parallel.max(1)) {
        for (plan, report) in runtime.block_on(play_batch(batch, &options))? {
            print_report(&plan, &report);
            if !report.violations.is_empty() {
                red += 1;
                if arguments.shrink {
                    shrink(&runtime, plan, &report, &options)?;
                }
            }
        }
    }
    println!("{} seeds, {red} red", plans.len());
    Ok(red)
}

impl Arguments {
    fn kinds(&self) -> Vec<FaultKind> {
        let all = || FaultKind::value_variants().to_vec();
        let kinds = if self.kinds.is_empty() { all() } else { self.kinds.clone() };
        kinds.into_iter().filter(|kind| !self.except.contains(kind)).collect()
    }
}

async fn play_batch(plans: &[Plan], options: &Options) -> Result<Vec<(Plan, Report)>> {
    let mut tasks = Vec::new();
    for (run, plan) in plans.iter().cloned().enumerate() {
        println!("seed {} plays:\n{plan}", plan.seed);
        let options = options.clone();
        let address = run as u8 + (std::process::id() % 50) as u8 * 5;
        tasks.push(tokio::spawn(async move {
            let report = play(&plan, &options, address).await;
            report.map(|report| (plan, report))
        }));
    }
    let mut reports = Vec::new();
    for task in tasks {
        reports.push(task.await.context("a seed did not end")??);
    }
    Ok(reports)
}

fn print_report(plan: &Plan, report: &Report) {
    let Report { violations, accepted, submitted, calls, invariants } = report;
    let verdict = if violations.is_empty() { "green" } else { "RED" };
    println!(
        "seed {}: {verdict}, {accepted} of {submitted} accepted, {calls} calls, {} violations, \
         {invariants} counted by the senders, kinds {:?}",
        plan.seed,
        violations.len(),
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

/// Leaves out one kind after the other for as long as the seed stays red.
fn shrink(runtime: &tokio::runtime::Runtime, plan: Plan, report: &Report, options: &Options) -> Result<()> {
    let rule = report.violations[0].rule;
    let mut smallest = plan;
    for kind in smallest.kinds() {
        let smaller = smallest.without(kind);
        let played = runtime.block_on(play_batch(std::slice::from_ref(&smaller), options))?;
        let is_red = played.iter().any(|(_, report)| report.violations.iter().any(|it| it.rule == rule));
        println!("without {kind:?}: {}", if is_red { "still red" } else { "green" });
        if is_red {
            smallest = smaller;
        }
    }
    println!("smallest schedule of seed {} for {rule}:\n{smallest}", smallest.seed);
    Ok(())
}
