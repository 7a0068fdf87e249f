//! Plays one case of the review: `play ROOT CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.

mod crowd;
mod discovery;
mod endpoint;
mod http;
mod maintenance;
mod outage;
mod record;
mod sender;
mod settings;

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

/// The play is given up after this time, so that no process outlives it.
const LIMIT: Duration = Duration::from_secs(115);

/// What became of a play.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

/// What the variable `TROUBLE` asks for; by default, the play with its disruption.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    Full,
    /// `TROUBLE=0`: the same without the disruption.
    None,
    /// `TROUBLE=only`: the disruption, but no upgrade; a second control.
    WithoutUpgrade,
}

impl Trouble {
    fn from_environment() -> Self {
        match std::env::var("TROUBLE").as_deref() {
            Ok("0") => Self::None,
            Ok("only") => Self::WithoutUpgrade,
            _ => Self::Full,
        }
    }
}

/// The address of the endpoint with this number, on a loopback address that belongs to this play alone.
pub fn endpoint_address(number: u8) -> SocketAddr {
    let id = std::process::id();
    (Ipv4Addr::new(127, 10 + (id >> 8) as u8 % 200, id as u8, number), 3000).into()
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, root, case, path] = arguments.as_slice() else {
        eprintln!("play ROOT CASE RECORD");
        exit(2);
    };
    let record = Record::new();
    thread::spawn(|| {
        thread::sleep(LIMIT);
        sender::end_all();
        eprintln!("the play took too long");
        exit(2);
    });
    let trouble = Trouble::from_environment();
    let played = catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "outage" => outage::play(Path::new(root), trouble, &record),
        "crowd" => crowd::play(Path::new(root), trouble, &record),
        "maintenance" => maintenance::play(Path::new(root), trouble, &record),
        _ => Verdict::CouldNotRun(format!("unknown case {case}")),
    }));
    sender::end_all();
    let verdict = played.unwrap_or_else(|_| Verdict::CouldNotRun("a stand-in failed".to_owned()));
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("HELD: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("COULD NOT RUN: {text}")),
    };
    println!("{text}");
    if fs::write(path, format!("{}{text}\n", record.text())).is_err() {
        exit(2);
    }
    exit(code);
}
