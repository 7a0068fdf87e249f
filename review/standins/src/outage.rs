//! Case 1: a new version takes over while half of the destinations are down. Once they are back, the sender must
//! still deliver.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::discovery::Discovery;
use crate::endpoint::Endpoint;
use crate::record::{milliseconds, Facts, Record};
use crate::sender::{Place, USUAL_LIMITS};
use crate::settings::settings;
use crate::{endpoint_address, Trouble, Verdict};

/// Destinations, each with one endpoint; the second half of them goes down.
const DESTINATIONS: u64 = 16;
/// Time of a call at an endpoint.
const SERVICE_TIME: Duration = Duration::from_millis(200);
/// Calls that the sender may have out at once.
const SLOTS: usize = 4;
/// Messages that the sender may hold.
const HELD: usize = 100;
/// Time between two messages: six a second, spread evenly over the destinations.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(166);
const BUDGET_MS: u64 = 20_000;

const OUTAGE_START: f64 = 4.0;
const UPGRADE: f64 = 6.5;
const OUTAGE_END: f64 = 9.0;
/// The rule is looked at from here on: the destinations have been back, and could have been warm, for 12 s.
const CHECK_START: f64 = 22.0;
const TRAFFIC_END: f64 = 45.0;
/// When the time of the last message is up, and its notice has come.
const END: f64 = 67.0;

/// The figures of the rule: a sender that rejects all that it gets for so long, and so many messages.
const SPAN: f64 = 4.0;
const LEAST_MESSAGES: usize = 15;

pub fn play(root: &Path, trouble: Trouble, record: &Record) -> Verdict {
    let endpoints: Vec<Arc<Endpoint>> = (1..=DESTINATIONS)
        .map(|number| {
            let address = endpoint_address(number as u8);
            Endpoint::start(format!("s-{number}"), number, address, SERVICE_TIME, record)
        })
        .collect();
    let discovery = Discovery::start(&endpoints, record);
    let place = Place::new(root, &discovery, &settings(SLOTS, HELD), USUAL_LIMITS, record);
    let place = Arc::new(place);
    let verdict = run(&place, &endpoints, trouble, record);
    place.remove();
    verdict
}

fn run(place: &Arc<Place>, endpoints: &[Arc<Endpoint>], trouble: Trouble, record: &Record) -> Verdict {
    let Some(first) = place.start() else { return Verdict::CouldNotRun("no sender became ready".into()) };
    let is_over = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (place, is_over) = (place.clone(), is_over.clone());
        thread::spawn(move || hand_in(&place, &is_over))
    };
    let (_, failing) = endpoints.split_at(endpoints.len() / 2);
    wait_until(record, OUTAGE_START);
    if trouble != Trouble::None {
        failing.iter().for_each(|endpoint| endpoint.down());
    }
    wait_until(record, UPGRADE);
    let mut sender = first;
    if trouble != Trouble::WithoutUpgrade {
        let Some(successor) = place.start() else { return Verdict::CouldNotRun("no new version".into()) };
        place.end(&sender);
        sender = successor;
    }
    wait_until(record, OUTAGE_END);
    if trouble != Trouble::None {
        failing.iter().for_each(|endpoint| endpoint.up());
    }
    wait_until(record, TRAFFIC_END);
    is_over.store(true, Ordering::Relaxed);
    traffic.join().expect("the client failed");
    wait_until(record, END);
    record.line(format!(
        "process asked at the end: /status {}, messages in progress {:?}, invariant_violations {:?}",
        sender.operate("GET", "/status", "").0,
        sender.figure("in_progress"),
        sender.figure("invariant_violations"),
    ));
    if place.has_ended(&sender) {
        return Verdict::Broken("the sender crashed".into());
    }
    judge(&record.facts.lock().unwrap())
}

fn hand_in(place: &Place, is_over: &AtomicBool) {
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        // Steps through all destinations, the failing ones and the others in turn.
        let destination = 1 + number * 9 % DESTINATIONS;
        place.submit(&format!("m{number}"), destination, BUDGET_MS);
        thread::sleep(MESSAGE_INTERVAL);
    }
}

fn wait_until(record: &Record, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - record.now()).max(0.0)));
}

/// Looks for the longest time without any call to any endpoint, and at what became of the messages of that time.
fn judge(facts: &Facts) -> Verdict {
    let mut times: Vec<f64> =
        facts.calls.iter().map(|call| call.at).filter(|at| (CHECK_START..TRAFFIC_END).contains(at)).collect();
    times.insert(0, CHECK_START);
    times.push(TRAFFIC_END);
    let longest = times.windows(2).max_by(|a, b| (a[1] - a[0]).total_cmp(&(b[1] - b[0]))).unwrap();
    let (from, to) = (longest[0], longest[1]);
    let got: Vec<_> =
        facts.submissions.iter().filter(|message| from <= message.at && message.at < to).collect();
    let is_delivered = |call_id: &str| facts.delivered.iter().any(|(delivered, _)| delivered == call_id);
    let is_rejected = |message: &&&crate::record::Submission| {
        let has_notice = facts.notices.iter().any(|notice| notice.call_id == message.call_id);
        let is_refused = message.status == 503 || message.status == 429;
        !is_delivered(&message.call_id) && (is_refused || (message.status == 202 && has_notice))
    };
    let rejected = got.iter().filter(is_rejected).count();
    let after: Vec<_> = facts.submissions.iter().filter(|message| message.at >= CHECK_START).collect();
    let delivered = after.iter().filter(|message| is_delivered(&message.call_id)).count();
    let text = format!(
        "longest time without any attempt after {CHECK_START} s: {} ms, from {} ms on; the sender got {} messages \
         in it and rejected {rejected}; of all {} messages from {CHECK_START} s on, {delivered} were delivered",
        milliseconds(to - from),
        milliseconds(from),
        got.len(),
        after.len(),
    );
    if to - from >= SPAN && got.len() >= LEAST_MESSAGES && rejected == got.len() {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
