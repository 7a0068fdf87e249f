//! Runs one seed with faults of the disk, the clock and sockets around restarts and upgrades.

use fault_soak::plan::{FaultKind, Plan};
use fault_soak::sender::find_executable;
use fault_soak::soak::{run_plan, Options};

/// Number of senders in the run.
const SENDERS: usize = 4;
/// Seed from which the plan of faults is drawn.
const SEED: u64 = 3;

/// Guards against violations of the protocol that show only when several kinds of faults overlap.
#[tokio::test(flavor = "multi_thread")]
async fn seed_with_many_kinds_of_faults_breaks_no_rule() {
    use FaultKind::{
        Accepts, ClientsReplay, DiskTornWrites, DiskWrites, Interrupts, Kill, Sockets, Terminate, Upgrade,
        WallClockBack, WallClockForward,
    };
    let kinds = [
        Accepts,
        ClientsReplay,
        DiskTornWrites,
        DiskWrites,
        Interrupts,
        Kill,
        Sockets,
        Terminate,
        Upgrade,
        WallClockBack,
        WallClockForward,
    ];
    let plan = Plan::draw(SEED, &kinds, kinds.len());
    println!("{plan}");
    let options = Options {
        senders: SENDERS,
        executable: find_executable().unwrap(),
        log_filter: "warn".to_owned(),
        logs: None,
        planted_defects: Vec::new(),
    };
    let report = run_plan(&plan, &options, (std::process::id() % 120) as u8 + 120).await.unwrap();
    let broken: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert_eq!(broken, Vec::<String>::new());
    assert!(report.accepted > 1_000, "{} accepted", report.accepted);
}
