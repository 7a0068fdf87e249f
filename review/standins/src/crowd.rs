//! Case 2: clients stop in the middle of a request and stay. The sender must not exceed its memory.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::discovery::Discovery;
use crate::endpoint::Endpoint;
use crate::http;
use crate::record::Record;
use crate::sender::{Limits, Place, Sender};
use crate::settings::settings;
use crate::{endpoint_address, Trouble, Verdict};

/// Both are in the ranges of the terms page: 32 to 192 MB, 256 to 1,024 descriptors.
const LIMITS: Limits = Limits { memory_mb: 32, sockets: 1024 };
/// "Clients use no more than a third of those descriptors for their requests."
const CLIENTS: usize = LIMITS.sockets / 3;
/// The limit is taken in units of 2^20 bytes, the larger reading.
const BYTES_PER_MEGABYTE: u64 = 1 << 20;
/// "A body holds no more than 64 KiB".
const BODY_BYTES: usize = 64 * 1024;
const SERVICE_TIME: Duration = Duration::from_millis(200);
const MESSAGE_INTERVAL: Duration = Duration::from_millis(250);
const BUDGET_MS: u64 = 20_000;
/// How long the other clients hand in messages before the trouble, and after its beginning.
const BEFORE: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(8);
/// How often the platform looks at the memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

pub fn play(root: &Path, trouble: Trouble, record: &Record) -> Verdict {
    let endpoints: Vec<Arc<Endpoint>> = (1..=4)
        .map(|number: u8| {
            let address = endpoint_address(number);
            Endpoint::start(format!("s-{number}"), u64::from(number), address, SERVICE_TIME, record)
        })
        .collect();
    let discovery = Discovery::start(&endpoints, record);
    let place = Arc::new(Place::new(root, &discovery, &settings(8, 143), LIMITS, record));
    let verdict = run(&place, trouble, record);
    place.remove();
    verdict
}

fn run(place: &Arc<Place>, trouble: Trouble, record: &Record) -> Verdict {
    let Some(sender) = place.start() else { return Verdict::CouldNotRun("no sender became ready".into()) };
    let is_over = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (place, is_over) = (place.clone(), is_over.clone());
        thread::spawn(move || {
            for number in (0..).take_while(|_| !is_over.load(Ordering::Relaxed)) {
                place.submit(&format!("m{number}"), 1 + number % 4, BUDGET_MS);
                thread::sleep(MESSAGE_INTERVAL);
            }
        })
    };
    let mut highest = 0;
    let usual = watch(place, &sender, record, BEFORE, &mut highest);
    let mut crowd = Vec::new();
    if trouble != Trouble::None {
        record.line(format!("{CLIENTS} clients connect, send a request without its last byte, and stay"));
        crowd = (0..CLIENTS).map(|number| stop_in_the_middle(place.listen, number)).collect();
    }
    let held = usual && watch(place, &sender, record, AFTER, &mut highest);
    is_over.store(true, Ordering::Relaxed);
    traffic.join().expect("the client failed");
    let kibibytes = highest / 1024;
    if !held {
        let text = format!("the sender took {kibibytes} KiB of {} MB, or ended by itself", LIMITS.memory_mb);
        return Verdict::Broken(text);
    }
    let served: Vec<Duration> = crowd.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    let slowest = served.iter().max().copied().unwrap_or_default().as_millis();
    Verdict::Held(format!(
        "the sender took up to {kibibytes} KiB of {} MB; {} of the clients that stopped got their error or close, \
         the last after {slowest} ms",
        LIMITS.memory_mb,
        served.len(),
    ))
}

/// Looks at the sender's memory for a while, and kills it if it is over its limit. False if it is, or has ended.
fn watch(place: &Place, sender: &Sender, record: &Record, time: Duration, highest: &mut u64) -> bool {
    let start = Instant::now();
    while start.elapsed() < time {
        let Some(bytes) = sender.memory().filter(|_| !place.has_ended(sender)) else {
            record.line("the sender has ended by itself");
            return false;
        };
        *highest = bytes.max(*highest);
        if bytes > LIMITS.memory_mb * BYTES_PER_MEGABYTE {
            record.line(format!("platform: {bytes} bytes of memory, over the limit"));
            place.kill(sender);
            return false;
        }
        thread::sleep(SAMPLE_INTERVAL);
    }
    record.line(format!("platform: at most {highest} bytes of memory up to now"));
    true
}

/// Sends all of a request but its last byte, and stays until the sender answers or closes. Returns how long that took;
/// `None` if it took longer than the 6 s that are allowed at most.
fn stop_in_the_middle(sender: SocketAddr, number: usize) -> JoinHandle<Option<Duration>> {
    thread::spawn(move || {
        let start = Instant::now();
        let limit = Duration::from_secs(6);
        let mut stream = TcpStream::connect_timeout(&sender, limit).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        stream.set_write_timeout(Some(limit)).ok()?;
        let head = format!(
            "POST /card-notice HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: stopped-{number}\r\n\
             X-Call-Class: card-notice\r\nX-Caller: water-supply\r\nX-Budget-Ms: {BUDGET_MS}\r\n\
             Idempotency-Key: key-stopped-{number}\r\nX-Consignee: dest=1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        // Fails if the sender has closed the connection, which is allowed.
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&vec![b'x'; BODY_BYTES - 1]);
        let _ = http::read(&mut BufReader::new(stream));
        Some(start.elapsed()).filter(|elapsed| *elapsed < limit)
    })
}
