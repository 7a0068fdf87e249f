//! Starts senders with the run command of the deploy file, and talks to them as clients and operators do.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::discovery::Discovery;
use crate::http;
use crate::record::{Record, Submission};

/// A new version must be ready within this time.
const READY_LIMIT: Duration = Duration::from_secs(6);
/// A client allows this time for an answer.
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
/// SIGKILL follows SIGTERM after this time.
const KILL_AFTER: Duration = Duration::from_millis(3_700);

/// All processes that were started, so that they can be ended however the play ends.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that are still running.
pub fn end_all() {
    for child in STARTED.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// What a sender is told, apart from its second address.
pub struct Place {
    root: PathBuf,
    folder: PathBuf,
    run: String,
    pub listen: SocketAddr,
    discovery: SocketAddr,
    record: Record,
}

/// The limits that bind in a case: memory in megabytes, and file descriptors.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: usize,
}

/// The limits that the operators' reports show for this deployment.
pub const USUAL_LIMITS: Limits = Limits { memory_mb: 48, sockets: 384 };

/// One running sender process.
pub struct Sender {
    number: usize,
    pid: u32,
    pub management: SocketAddr,
}

/// A free port of the loopback address.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).unwrap()
}

impl Place {
    /// Prepares a temporary folder with the configuration; `settings` and `known` are JSON objects.
    pub fn new(root: &Path, discovery: &Discovery, settings: &str, limits: Limits, record: &Record) -> Self {
        let (known, discovery) = (discovery.snapshot(), discovery.address);
        let Limits { memory_mb, sockets } = limits;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(folder.join("state")).unwrap();
        let listen = free_address();
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\
             \"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets},\"disk_mb\":3}},\
             \"known\":{known},\"settings\":{settings}}}"
        );
        fs::write(folder.join("config.json"), config).unwrap();
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.expect("the deploy file has no run command").to_owned();
        Self { root: root.to_owned(), folder, run, listen, discovery, record: record.clone() }
    }

    /// Starts a sender and waits until it says yes.
    pub fn start(&self) -> Option<Sender> {
        let management = free_address();
        let mut started = STARTED.lock().unwrap();
        let number = started.len();
        let log = fs::File::create(self.folder.join(format!("log{number}"))).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &self.run])
            .current_dir(&self.root)
            .env("ROUTER_NAME", "n0")
            .env("ROUTER_LISTEN", self.listen.to_string())
            .env("ROUTER_DISCOVERY", self.discovery.to_string())
            .env("ROUTER_STATE", self.folder.join("state"))
            .env("ROUTER_CONFIG", self.folder.join("config.json"))
            .env("ROUTER_MANAGEMENT", management.to_string())
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the sender could not be started");
        let pid = child.id();
        started.push(child);
        drop(started);
        let sender = Sender { number, pid, management };
        self.record.line(format!("process {number} was started"));
        let start = Instant::now();
        while start.elapsed() < READY_LIMIT {
            if sender.operate("GET", "/status", "").0 == 200 {
                self.record.line(format!("process {number} says yes"));
                return Some(sender);
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Sends SIGTERM, and SIGKILL 3.7 s later if the process has not ended.
    pub fn end(&self, sender: &Sender) {
        self.record.line(format!("process {} gets SIGTERM", sender.number));
        let _ = Command::new("kill").args(["-TERM", &sender.pid.to_string()]).status();
        let start = Instant::now();
        while start.elapsed() < KILL_AFTER {
            if self.has_ended(sender) {
                self.record.line(format!("process {} has ended", sender.number));
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.kill(sender);
    }

    pub fn has_ended(&self, sender: &Sender) -> bool {
        !matches!(STARTED.lock().unwrap()[sender.number].try_wait(), Ok(None))
    }

    /// Hands in a message as a client does. The body is of no interest.
    pub fn submit(&self, call_id: &str, destination: u64, budget_ms: u64) -> u16 {
        let request = format!(
            "POST /card-notice HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {call_id}\r\n\
             X-Call-Class: card-notice\r\nX-Caller: water-supply\r\nX-Budget-Ms: {budget_ms}\r\n\
             Idempotency-Key: key-{call_id}\r\nX-Consignee: dest={destination}\r\nContent-Length: 4\r\n\
             Connection: close\r\n\r\nbody"
        );
        let at = self.record.now();
        let answer = http::call(self.listen, request.as_bytes(), CLIENT_PATIENCE);
        let status = answer.map_or(0, |answer| answer.status());
        self.record.line(format!("client handed in {call_id} for {destination}: {status}"));
        let submission = Submission { at, call_id: call_id.to_owned(), destination, status };
        self.record.facts.lock().unwrap().submissions.push(submission);
        status
    }

    /// Ends a process at once, as the platform does when it is over its memory.
    pub fn kill(&self, sender: &Sender) {
        self.record.line(format!("process {} is killed", sender.number));
        let child = &mut STARTED.lock().unwrap()[sender.number];
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Removes the temporary folder.
    pub fn remove(&self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Sender {
    /// Makes an operator's call; returns the status (0 for none) and the body.
    pub fn operate(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let length = body.len();
        let request =
            format!("{method} {path} HTTP/1.1\r\nHost: n0\r\nContent-Length: {length}\r\n\r\n{body}");
        match http::call(self.management, request.as_bytes(), Duration::from_secs(1)) {
            Some(answer) => (answer.status(), String::from_utf8_lossy(&answer.body).into_owned()),
            None => (0, String::new()),
        }
    }

    /// Memory of the process in bytes that no file backs; `None` once it has ended.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1024)
    }

    /// The value of a figure; `None` if it is missing.
    pub fn figure(&self, name: &str) -> Option<i64> {
        let (_, text) = self.operate("GET", "/status/metrics", "");
        let prefix = format!("router.{name}:");
        let value = text.lines().find_map(|line| line.strip_prefix(&prefix)?.split('|').next()?.parse().ok());
        value
    }
}
