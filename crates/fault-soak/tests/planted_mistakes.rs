//! Tests that the oracle reports defects that are planted on purpose, and reports nothing without them.

use fault_soak::plan::{Plan, DEFAULT_MAX_KINDS};
use fault_soak::planted::PlantedDefect;
use fault_soak::sender::find_executable;
use fault_soak::soak::{run_plan, Options};

/// Number of senders in a run.
const SENDERS: usize = 2;
/// A seed whose plan kills both senders.
const SEED: u64 = 5;

/// Runs the seed with these defects and returns the names of the violated rules, one for each violation.
async fn violated_rules(planted_defects: &[PlantedDefect]) -> Vec<&'static str> {
    use fault_soak::plan::FaultKind::{EndpointsFlaky, Kill};
    let options = Options {
        senders: SENDERS,
        executable: find_executable().unwrap(),
        log_filter: "warn".to_owned(),
        logs: None,
        planted_defects: planted_defects.to_vec(),
    };
    let plan = Plan::draw(SEED, &[Kill, EndpointsFlaky], DEFAULT_MAX_KINDS);
    assert!(plan.kinds().contains(&Kill), "{plan}");
    let report = run_plan(&plan, &options).await.unwrap();
    assert!(report.accepted > 500, "{} accepted", report.accepted);
    for violation in &report.violations {
        println!("{violation}");
    }
    report.violations.iter().map(|violation| violation.rule).collect()
}

/// Guards against false alarms of the oracle.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_mistake_no_rule_is_broken() {
    assert_eq!(violated_rules(&[]).await, Vec::<&str>::new());
}

/// Guards against an oracle that misses messages lost at a restart because writes reported as successful were
/// not done.
#[tokio::test(flavor = "multi_thread")]
async fn writes_that_are_not_done_lose_messages() {
    assert!(violated_rules(&[PlantedDefect::LyingDisk]).await.contains(&"lost"));
}

/// Guards against an oracle that misses messages that end without a delivery or a notice.
#[tokio::test(flavor = "multi_thread")]
async fn notices_that_are_not_sent_lose_messages() {
    assert!(violated_rules(&[PlantedDefect::SwallowedNotices]).await.contains(&"lost"));
}

/// Guards against an oracle that misses duplicate calls, or two calls of a message in flight at the same
/// time.
#[tokio::test(flavor = "multi_thread")]
async fn calls_made_twice_are_duplicates() {
    let rules = violated_rules(&[PlantedDefect::RepeatedCalls]).await;
    assert!(rules.contains(&"duplicate") && rules.contains(&"overlapping attempts"), "{rules:?}");
}

/// Guards against an oracle that misses calls to an endpoint that was listed as draining.
#[tokio::test(flavor = "multi_thread")]
async fn calls_to_a_drained_endpoint_are_noticed() {
    assert!(violated_rules(&[PlantedDefect::UnheededDrain]).await.contains(&"drain"));
}

/// Guards against an oracle that misses connections that were closed without a response.
#[tokio::test(flavor = "multi_thread")]
async fn requests_without_an_answer_are_noticed() {
    assert!(violated_rules(&[PlantedDefect::BrokenClients]).await.contains(&"closed without response"));
}

/// Guards against an oracle that misses one of several rules that are violated in the same run.
#[tokio::test(flavor = "multi_thread")]
async fn each_of_several_mistakes_is_named() {
    let planted_defects = [
        PlantedDefect::OtherOrder,
        PlantedDefect::LateRepeat,
        PlantedDefect::UnheededWait,
        PlantedDefect::SentRefused,
    ];
    let others = [PlantedDefect::OtherDestination, PlantedDefect::ExcessiveMemory];
    let rules = violated_rules(&[&planted_defects[..], &others].concat()).await;
    for rule in [
        "order",
        "repeated after idempotency window",
        "retry-after",
        "sent after refusal",
        "unexpected call",
        "memory",
    ] {
        assert!(rules.contains(&rule), "{rule} in {rules:?}");
    }
}

/// Guards against an oracle that misses a request that was dropped after part of it was read, or a call after
/// the end of its message, whichever the end is.
#[tokio::test(flavor = "multi_thread")]
async fn each_kind_of_lost_request_is_named() {
    let planted_defects = [
        PlantedDefect::DroppedRequests,
        PlantedDefect::SentAfterNotice,
        PlantedDefect::SentAfterDelivery,
        PlantedDefect::SentAfterTime,
        PlantedDefect::FailedAfterDelivery,
    ];
    let rules = violated_rules(&planted_defects).await;
    for rule in [
        "closed without response",
        "sent after notice",
        "sent after delivery",
        "sent after deadline",
        "failed after delivery",
    ] {
        assert!(rules.contains(&rule), "{rule} in {rules:?}");
    }
}
