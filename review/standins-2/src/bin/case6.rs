//! A partner answers payments with errors whose bodies are longer than the protocol allows. The payments may have
//! run, and must not be sent again.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use standins_2::client::{submit, Submission};
use standins_2::discovery::{Discovery, Entry};
use standins_2::sender::{settings, Site, CARD_NOTICE, CARD_PAYMENT};
use standins_2::{endpoint, http, run, Verdict};

/// Number of payments.
const PAYMENTS: usize = 10;
/// Time that the partner takes for a payment.
const SERVICE_TIME: Duration = Duration::from_millis(120);
/// Length of each chunk of the error's body, in bytes; five of them are longer than the 64 KiB of the protocol.
const CHUNK_BYTES: usize = 14 * 1024;

/// An error whose body comes in chunks: `chunks` of them.
fn error_page(chunks: usize) -> Vec<u8> {
    let mut text = b"HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..chunks {
        text.extend(format!("{CHUNK_BYTES:x}\r\n{}\r\n", "e".repeat(CHUNK_BYTES)).into_bytes());
    }
    text.extend(b"0\r\n\r\n");
    text
}

fn main() {
    run(|record, trouble| {
        let runs: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
        let (counted, recorded) = (runs.clone(), record.clone());
        let address = endpoint::start("s-1", record, move |call, stream| {
            sleep(SERVICE_TIME);
            let mut counted = counted.lock().unwrap();
            let times = counted.entry(call.id.clone()).or_default();
            *times += 1;
            recorded.line(format!("endpoint s-1: ran {} ({} times so far)", call.id, *times));
            let is_first = *times == 1;
            drop(counted);
            // Each payment runs; the answer to its first call is an error, of 56 KiB or of 70 KiB.
            let answer = match (is_first, trouble) {
                (false, _) => http::response("200 OK", "", ""),
                (true, true) => error_page(5),
                (true, false) => error_page(4),
            };
            recorded.line(format!("endpoint s-1: answers {} with {} bytes", call.id, answer.len()));
            stream.write_all(&answer).is_ok()
        })?;
        let discovery = Discovery::start(record, vec![Entry::new("s-1", address, 7)])?;
        let mut site = Site::new(record)?;
        site.configure(
            discovery.address,
            &discovery.list(),
            &settings(2, &format!("[{CARD_NOTICE},{CARD_PAYMENT}]")),
        )?;
        let _sender = site.start(discovery.address, None)?;
        site.wait_ready(Duration::from_secs(10))?;
        let mut accepted = 0;
        for number in 0..PAYMENTS {
            let mut payment = Submission::new(&format!("payment-{number}"), "card-payment", 7, 12_000);
            payment.subject = Some(format!("card-{number}"));
            accepted += usize::from(submit(record, site.listen, &payment).is_ok_and(|status| status == 202));
            sleep(Duration::from_millis(600));
        }
        sleep(Duration::from_secs(14));
        if accepted == 0 {
            return Ok(Verdict::NotRun("no payment was taken on".to_owned()));
        }
        let runs = runs.lock().unwrap();
        let twice = runs.values().filter(|times| **times > 1).count();
        record.line(format!(
            "{accepted} payments taken on, {} run, {twice} of them more than once",
            runs.len()
        ));
        Ok(if twice > 0 { Verdict::Broken } else { Verdict::Held })
    });
}
