//! The soak goes red on mistakes that are planted on purpose, and stays green without one.

use fault_soak::plan::{Plan, USUAL_MAX_KINDS};
use fault_soak::planted::Plant;
use fault_soak::sender::find_executable;
use fault_soak::soak::{play, Options};

const SENDERS: usize = 2;
/// A seed whose plan has a kill of both senders.
const SEED: u64 = 5;

async fn rules_broken(plants: &[Plant], run: u8) -> Vec<&'static str> {
    use fault_soak::plan::FaultKind::{EndpointsFlaky, Kill};
    let options = Options {
        senders: SENDERS,
        executable: find_executable().unwrap(),
        log_filter: "warn".to_owned(),
        logs: None,
        plants: plants.to_vec(),
    };
    let plan = Plan::draw(SEED, &[Kill, EndpointsFlaky], USUAL_MAX_KINDS);
    assert!(plan.kinds().contains(&Kill), "{plan}");
    let address = (std::process::id() % 18) as u8 * 7 + run + 121;
    let report = play(&plan, &options, address).await.unwrap();
    assert!(report.accepted > 500, "{} accepted", report.accepted);
    for violation in &report.violations {
        println!("{violation}");
    }
    report.violations.iter().map(|violation| violation.rule).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_mistake_no_rule_is_broken() {
    assert_eq!(rules_broken(&[], 0).await, Vec::<&str>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_that_are_not_done_lose_messages() {
    assert!(rules_broken(&[Plant::LyingDisk], 1).await.contains(&"lost"));
}

#[tokio::test(flavor = "multi_thread")]
async fn notices_that_are_not_sent_lose_messages() {
    assert!(rules_broken(&[Plant::SwallowedNotices], 2).await.contains(&"lost"));
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_made_twice_are_duplicates() {
    let rules = rules_broken(&[Plant::RepeatedCalls], 3).await;
    assert!(rules.contains(&"duplicate") && rules.contains(&"two attempts out"), "{rules:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_to_a_drained_endpoint_are_noticed() {
    assert!(rules_broken(&[Plant::UnheededDrain], 4).await.contains(&"drain"));
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_an_answer_are_noticed() {
    assert!(rules_broken(&[Plant::BrokenClients], 5).await.contains(&"closed without an answer"));
}

#[tokio::test(flavor = "multi_thread")]
async fn each_of_several_mistakes_is_named() {
    let plants = [Plant::OtherOrder, Plant::LateRepeat, Plant::UnheededWait, Plant::SentRefused];
    let rules = rules_broken(&[&plants[..], &[Plant::OtherDestination]].concat(), 6).await;
    for rule in ["order", "outside the window", "retry-after", "sent after refusal", "foreign call"] {
        assert!(rules.contains(&rule), "{rule} in {rules:?}");
    }
}
