//! Stand-ins for the clients, the endpoints and the platform, and control of real sender processes. They follow
//! the protocol page; a case changes only what its disruption needs.

pub mod client;
pub mod discovery;
pub mod endpoint;
pub mod http;
pub mod proxy;
pub mod record;
pub mod sender;

use std::path::PathBuf;

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run, for this reason.
    NotRun(String),
}

/// Runs a case: `case` gets the record and whether the disruption is on. Exits with 0 if the rule held, 1 if it was
/// broken and 2 if the case could not run. The first argument is the case's folder.
pub fn run(case: impl FnOnce(&record::Record, bool) -> Result<Verdict, String>) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = record::Record::create(&folder.join("record.txt")) else {
        eprintln!("record.txt cannot be written");
        std::process::exit(2);
    };
    record.line(format!("disruption: {}", if trouble { "on" } else { "off" }));
    let verdict = case(&record, trouble).unwrap_or_else(Verdict::NotRun);
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("THE RULE WAS BROKEN".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
