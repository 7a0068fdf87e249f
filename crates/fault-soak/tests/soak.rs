//! Runs one seed with faults of the disk, the clock and sockets around restarts and upgrades.

use std::time::Duration;

use fault_soak::network::NetworkDelay;
use fault_soak::plan::{FaultKind, Plan};
use fault_soak::sender::find_executable;
use fault_soak::soak::{run_plan, Options};

/// Number of senders in the run.
const SENDERS: usize = 4;
/// Seed from which the plan of faults is drawn.
const SEED: u64 = 3;
/// Seed of the plan of shutdowns, which has all of its kinds of faults.
const SHUTDOWN_SEED: u64 = 4;
/// Seed of the plan of crowds, which has all of its kinds of faults.
const CROWD_SEED: u64 = 3;
/// Time from SIGTERM to SIGKILL.
const KILL_AFTER: Duration = Duration::from_millis(3_700);

/// Runs a seed of these kinds of faults and checks that no rule is broken.
async fn assert_no_rule_broken(seed: u64, kinds: &[FaultKind]) {
    let plan = Plan::draw(seed, kinds, kinds.len());
    println!("{plan}");
    let options = Options {
        senders: SENDERS,
        executable: find_executable().unwrap(),
        log_filter: "warn".to_owned(),
        logs: None,
        planted_defects: Vec::new(),
    };
    let report = run_plan(&plan, &options).await.unwrap();
    let broken: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert_eq!(broken, Vec::<String>::new());
    assert!(report.accepted > 1_000, "{} accepted", report.accepted);
    assert!(report.longest_shutdown < KILL_AFTER, "{:?}", report.longest_shutdown);
}

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
    assert_no_rule_broken(SEED, &kinds).await;
}

/// Guards against requests that are lost when a process ends: clients use their connections until SIGKILL, in
/// pieces and after a rest, while signals come in series, endpoints hang and the state folder takes no writes.
#[tokio::test(flavor = "multi_thread")]
async fn seed_of_shutdowns_loses_no_request() {
    use FaultKind::{
        ClientsHalfClose, ClientsPieces, ClientsRest, EndpointsOdd, KillUnwritable, NoticesLate,
        SignalSeries, Terminate, TerminateHanging,
    };
    let kinds = [
        ClientsHalfClose,
        ClientsPieces,
        ClientsRest,
        EndpointsOdd,
        KillUnwritable,
        NoticesLate,
        SignalSeries,
        Terminate,
        TerminateHanging,
    ];
    assert_no_rule_broken(SHUTDOWN_SEED, &kinds).await;
}

/// Guards against requests that are lost because crowds of connections occupy a sender, also in a shutdown.
#[tokio::test(flavor = "multi_thread")]
async fn seed_of_crowds_loses_no_request() {
    use FaultKind::{ClientsPieces, CrowdChurns, CrowdHolds, Interrupts, PeersStall, Terminate};
    let kinds = [ClientsPieces, CrowdChurns, CrowdHolds, Interrupts, PeersStall, Terminate];
    assert_no_rule_broken(CROWD_SEED, &kinds).await;
}

/// The first seed whose plan has all of these kinds of faults, and a network delay to the endpoints.
fn first_seed_with_all(kinds: &[FaultKind]) -> u64 {
    let has_all =
        |plan: Plan| plan.kinds().len() == kinds.len() && plan.network.endpoints != NetworkDelay::default();
    (1..10_000).find(|seed| has_all(Plan::draw(*seed, kinds, kinds.len()))).unwrap()
}

/// Guards against responses that are read as those to other requests, or as proof that a message was not processed:
/// endpoints and discovery send second copies, noise and large bodies over a network with a delay, while clients
/// move between senders and peers stop within large requests.
#[tokio::test(flavor = "multi_thread")]
async fn seed_of_odd_responses_breaks_no_rule() {
    use FaultKind::{ClientsMove, DiscoveryExcess, EndpointsBodies, EndpointsExcess, PeersStallInBodies};
    let kinds = [ClientsMove, DiscoveryExcess, EndpointsBodies, EndpointsExcess, PeersStallInBodies];
    assert_no_rule_broken(first_seed_with_all(&kinds), &kinds).await;
}

/// Guards against state that a handover passes on wrongly: upgrades, also with successors that die, while endpoints
/// refuse connections and send data after their responses, operators drain and restore endpoints, and notices are
/// refused.
#[tokio::test(flavor = "multi_thread")]
async fn seed_of_handovers_breaks_no_rule() {
    use FaultKind::{EndpointsExcess, EndpointsRefuse, NoticesRefused, OperatorsDrain, Upgrade, UpgradeDies};
    let kinds = [EndpointsExcess, EndpointsRefuse, NoticesRefused, OperatorsDrain, Upgrade, UpgradeDies];
    assert_no_rule_broken(first_seed_with_all(&kinds), &kinds).await;
}

/// Guards against responses that are discarded because they are unusually early: endpoints become faster, and senders
/// are held up around their system calls, also in shutdowns and handovers.
#[tokio::test(flavor = "multi_thread")]
async fn seed_of_changing_speeds_and_holds_breaks_no_rule() {
    use FaultKind::{EndpointsExcess, EndpointsSpeed, Holds, SignalSeries, Upgrade};
    let kinds = [EndpointsExcess, EndpointsSpeed, Holds, SignalSeries, Upgrade];
    assert_no_rule_broken(first_seed_with_all(&kinds), &kinds).await;
}
