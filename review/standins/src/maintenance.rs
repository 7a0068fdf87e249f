//! Case 3: an operator takes one endpoint out, a new version takes over, and the operator puts the endpoint back. No
//! other endpoint may be out.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::discovery::Discovery;
use crate::endpoint::Endpoint;
use crate::record::{milliseconds, Facts, Record};
use crate::sender::{Place, Sender, USUAL_LIMITS};
use crate::settings::settings;
use crate::{endpoint_address, Trouble, Verdict};

const SERVICE_TIME: Duration = Duration::from_millis(200);
const SLOTS: usize = 8;
const HELD: usize = 143;
const MESSAGE_INTERVAL: Duration = Duration::from_millis(250);
const BUDGET_MS: u64 = 20_000;
/// How long messages are handed in after the endpoint was put back.
const TRAFFIC: f64 = 12.0;
/// When the time of the last message is up, and its notice has come, in seconds after the last message.
const REST: f64 = 21.0;
/// Destination of the endpoint that no operator names.
const OTHER_DESTINATION: u64 = 1;
/// The figures of the rule: a sender that rejects all that it gets for so long, and so many messages.
const SPAN: f64 = 4.0;
const LEAST_MESSAGES: usize = 15;

pub fn play(root: &Path, trouble: Trouble, record: &Record) -> Verdict {
    // Destination 1 has the endpoint s-1, destination 2 has s-2 and s-3.
    let endpoints: Vec<Arc<Endpoint>> = [(1, 1), (2, 2), (3, 2)]
        .map(|(number, destination): (u8, u64)| {
            let address = endpoint_address(number);
            Endpoint::start(format!("s-{number}"), destination, address, SERVICE_TIME, record)
        })
        .to_vec();
    let discovery = Discovery::start(&endpoints, record);
    let place = Place::new(root, &discovery, &settings(SLOTS, HELD), USUAL_LIMITS, record);
    let verdict = run(&place, trouble, record);
    place.remove();
    verdict
}

fn run(place: &Place, trouble: Trouble, record: &Record) -> Verdict {
    let Some(mut sender) = place.start() else {
        return Verdict::CouldNotRun("no sender became ready".into());
    };
    for destination in [1, 2, 2] {
        place.submit(&format!("before-{}", milliseconds(record.now())), destination, BUDGET_MS);
        thread::sleep(Duration::from_millis(300));
    }
    if !operate(&sender, "enter", record) {
        return Verdict::CouldNotRun("the endpoint could not be taken out".into());
    }
    thread::sleep(Duration::from_secs(1));
    // The disruption of this case is the upgrade.
    if trouble == Trouble::Full {
        let Some(successor) = place.start() else { return Verdict::CouldNotRun("no new version".into()) };
        place.end(&sender);
        sender = successor;
    }
    thread::sleep(Duration::from_secs(1));
    let out = sender.figure("skipped_endpoints");
    record.line(format!("figure skipped_endpoints, with s-2 out by hand: {out:?}"));
    if !operate(&sender, "exit", record) {
        return Verdict::CouldNotRun("the endpoint could not be put back".into());
    }
    let traffic_start = record.now();
    while record.now() < traffic_start + TRAFFIC {
        place.submit(&format!("m-{}", milliseconds(record.now())), OTHER_DESTINATION, BUDGET_MS);
        place.submit(&format!("n-{}", milliseconds(record.now())), 2, BUDGET_MS);
        thread::sleep(MESSAGE_INTERVAL);
    }
    thread::sleep(Duration::from_secs_f64(REST));
    let left = sender.figure("skipped_endpoints");
    record.line(format!("figure skipped_endpoints, with no endpoint out by hand: {left:?}"));
    judge(&record.facts.lock().unwrap(), traffic_start, left)
}

fn operate(sender: &Sender, call: &str, record: &Record) -> bool {
    let (status, _) = sender.operate("POST", &format!("/maintenance/{call}"), "s-2");
    record.line(format!("operator calls /maintenance/{call} for s-2: {status}"));
    (200..300).contains(&status)
}

/// Looks at the messages for the destination whose endpoint no operator named.
fn judge(facts: &Facts, from: f64, left: Option<i64>) -> Verdict {
    let got: Vec<_> = facts
        .submissions
        .iter()
        .filter(|message| message.destination == OTHER_DESTINATION && message.at >= from)
        .collect();
    let calls = facts.calls.iter().filter(|call| call.endpoint == "s-1" && call.at >= from).count();
    let rejected = got
        .iter()
        .filter(|message| {
            let has_notice = facts.notices.iter().any(|notice| notice.call_id == message.call_id);
            let is_refused = message.status == 503 || message.status == 429;
            is_refused || (message.status == 202 && has_notice)
        })
        .count();
    let span = got.last().map_or(0.0, |last| last.at - from);
    let others: Vec<_> =
        facts.submissions.iter().filter(|message| message.destination == 2 && message.at >= from).collect();
    let is_delivered = |call_id: &str| facts.delivered.iter().any(|(delivered, _)| delivered == call_id);
    let delivered = others.iter().filter(|message| is_delivered(&message.call_id)).count();
    let text = format!(
        "after s-2 was put back, s-1 got {calls} calls; of {} messages for its destination, handed in over {} ms, \
         {rejected} were rejected; skipped_endpoints is {left:?}; of {} messages for the other destination, {delivered} \
         were delivered",
        got.len(),
        milliseconds(span),
        others.len(),
    );
    let is_out = calls == 0 && span >= SPAN && got.len() >= LEAST_MESSAGES && rejected == got.len();
    if is_out {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
