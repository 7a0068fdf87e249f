//! Answers of endpoints that are good but bring a second copy straight after, when nothing waits on the connection. A
//! message whose endpoint answered 500 must be delivered by another call or ended by a notice all the same.

use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use standins_2::client::{submit, Submission};
use standins_2::discovery::{Discovery, Entry};
use standins_2::sender::{settings, Site, CARD_PAYMENT};
use standins_2::{endpoint, http, proxy, run, Verdict};

/// Number of destinations, with one endpoint each.
const DESTINATIONS: u32 = 4;
/// Time that an endpoint takes for a message.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// How long messages are handed in.
const LOAD: Duration = Duration::from_secs(30);
/// Time within which each message may be delivered, in milliseconds.
const BUDGET_MS: u64 = 8_000;
/// Time that the network takes in each direction between the sender and an endpoint.
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// One of so many good answers brings a second copy.
const ANSWERS_PER_COPY: u64 = 4;
/// Time from an answer to its second copy.
const COPY_DELAY: Duration = Duration::from_millis(1);

/// What the endpoints did with a message.
#[derive(Default)]
struct Seen {
    delivered: bool,
    calls: Vec<String>,
}

/// Whether nothing waits on the connection.
fn is_quiet(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

fn main() {
    run(|record, trouble| {
        let seen: Arc<Mutex<HashMap<String, Seen>>> = Arc::default();
        let copies = Arc::new(AtomicU64::new(0));
        let strict = Arc::new(AtomicU64::new(0));
        let mut entries = Vec::new();
        for number in 0..DESTINATIONS {
            let name = format!("s-{number}");
            let (seen, copies, recorded, own) = (seen.clone(), copies.clone(), record.clone(), name.clone());
            let strict = strict.clone();
            let random = Mutex::new(u64::from(number) * 7919 + 12345);
            let address = endpoint::start(&name, record, move |call, stream| {
                sleep(SERVICE_TIME);
                let drawn = {
                    let mut random = random.lock().unwrap();
                    *random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                    *random >> 33
                };
                // Every third call fails; the message has not run. All others are delivered.
                let is_delivered = drawn % 3 != 0;
                let status = if is_delivered { "200 OK" } else { "500 Internal Server Error" };
                {
                    let mut seen = seen.lock().unwrap();
                    let message = seen.entry(call.id.clone()).or_default();
                    message.delivered |= is_delivered;
                    message.calls.push(format!("{own} connection {} {status}", call.connection));
                }
                let answer = http::response(status, "", "");
                if stream.write_all(&answer).is_err() {
                    return false;
                }
                recorded.line(format!("endpoint {own}: answers {} with {status}", call.id));
                if trouble && is_delivered && drawn / 3 % ANSWERS_PER_COPY == 0 {
                    sleep(COPY_DELAY);
                    if is_quiet(stream) {
                        let is_sent = stream.write_all(&answer).is_ok();
                        copies.fetch_add(1, Ordering::Relaxed);
                        recorded
                            .line(format!("endpoint {own}: second copy on connection {}", call.connection));
                        strict.fetch_add(u64::from(is_quiet(stream)), Ordering::Relaxed);
                        return is_sent;
                    }
                }
                true
            })?;
            entries.push(Entry::new(&name, proxy::start(address, NETWORK_DELAY)?, 100 + number));
        }
        let discovery = Discovery::start(record, entries)?;
        let mut site = Site::new(record)?;
        let settings = settings(2, &format!("[{CARD_PAYMENT}]")).replace("\"maxCalls\":8", "\"maxCalls\":24");
        site.configure(discovery.address, &discovery.list(), &settings)?;
        let mut sender = site.start(discovery.address, None)?;
        site.wait_ready(Duration::from_secs(10))?;

        let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
        let stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..DESTINATIONS)
            .map(|number| {
                let (accepted, stop, record, listen) =
                    (accepted.clone(), stop.clone(), record.clone(), site.listen);
                thread::spawn(move || {
                    for count in 0.. {
                        if stop.load(Ordering::Relaxed) {
                            return;
                        }
                        let mut message = Submission::new(
                            &format!("m-{number}-{count}"),
                            "card-payment",
                            100 + number,
                            BUDGET_MS,
                        );
                        message.subject = Some(format!("card-{number}"));
                        if submit(&record, listen, &message).is_ok_and(|status| status == 202) {
                            accepted.lock().unwrap().push(message.id);
                        }
                        sleep(Duration::from_millis(85));
                    }
                })
            })
            .collect();
        sleep(LOAD);
        stop.store(true, Ordering::Relaxed);
        for client in clients {
            let _ = client.join();
        }
        sleep(Duration::from_millis(BUDGET_MS + 1_500));
        if sender.ended().is_some() {
            return Err("the sender has ended".to_owned());
        }
        let notices: String = discovery.notices().iter().map(|notice| notice.line.clone() + "\n").collect();
        let ended: std::collections::HashSet<&str> =
            notices.lines().filter_map(|line| line.split("\"ref\":\"").nth(1)?.split('"').next()).collect();
        let (accepted, seen) = (accepted.lock().unwrap(), seen.lock().unwrap());
        let is_over =
            |id: &String| ended.contains(id.as_str()) || seen.get(id).is_some_and(|seen| seen.delivered);
        let lost: Vec<_> = accepted.iter().filter(|id| !is_over(id)).collect();
        for id in &lost {
            record.line(format!("lost: {id}, calls {:?}", seen.get(*id).map(|seen| &seen.calls)));
        }
        let wrongly_ended: Vec<_> = seen
            .iter()
            .filter(|(id, seen)| seen.delivered && ended.contains(id.as_str()))
            .map(|(id, _)| id)
            .collect();
        record.line(format!("ended by a notice although delivered: {wrongly_ended:?}"));
        let (copies, strict) = (copies.load(Ordering::Relaxed), strict.load(Ordering::Relaxed));
        record.line(format!("after {strict} of {copies} copies, too, nothing waited on the connection"));
        record.line(format!(
            "{} messages taken on, {copies} second copies, {} messages lost",
            accepted.len(),
            lost.len()
        ));
        println!("{} taken on, {copies} copies, {} lost", accepted.len(), lost.len());
        if accepted.is_empty() {
            return Ok(Verdict::NotRun("no message was taken on".to_owned()));
        }
        Ok(if lost.is_empty() { Verdict::Held } else { Verdict::Broken })
    });
}
