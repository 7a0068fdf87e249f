//! Sender processes, started with the run command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client;
use crate::record::Record;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// An address of this machine that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    listener.local_addr().expect("its address")
}

/// The settings of a small deployment, as in the wire page's example. `classes` is the list of classes in JSON.
pub fn settings(senders: u32, classes: &str) -> String {
    format!(
        r#"{{"balancers":{senders},"ordinal":0,"categories":{classes},
        "clients":{{"marksRetry":false}},"family":"deliver",
        "familyInfo":{{"bundleMax":[1,1],"carriage":[0.0],"decay":"halves","maxCalls":8,"ownLimits":[false,false],"refusalCost":0.0}},
        "kinds":["money-networks","shop-agents"],
        "limits":{{"cancel":true,"connIdleMs":15000.0,"connectTimeoutMs":1000.0,"cpuUsPerRequest":0.0,"cpuUsPerS":487500,
          "maxRetryAfterMs":2000.0,"mayProbe":false,"mostHeld":143,"peers":false,"retryAfter":true,"secondCopies":false,
          "sendCap":12,"streamsPerConn":1}},
        "loadInfo":{{"fields":["x0","x1"],"how":"answers"}},"membershipMode":"subscribe",
        "orgs":[{{"allowancePerS":100.0,"name":"acme","share":1.0}}],"overShareWorth":0.2,"resolutionMs":5.0,
        "rules":{{"answerSlackMs":20.0,"askWithinMs":10000.0,"drainGraceMs":250.0,"fallMs":2000.0,"orderPauseMs":100.0,
          "overloadFactor":1.5,"startCapacity":0.26,"warmWithinMs":12000.0}},
        "tier":0,"tiers":["partner-systems"],"valueBy":"request","weights":"nominal","zone":"dc1","zones":["dc1"]}}"#
    )
}

/// The class `card-payment` of the brief: must never take effect twice, in order for each key.
pub const CARD_PAYMENT: &str = r#"{"aimMs":2500.0,"deadlineMs":28000.0,"effect":"side_effect","fifoByKey":true,"lateShare":0.3,"name":"card-payment","stream":false,"worth":1.0}"#;
/// The class `card-notice` of the brief: repeats are dropped for 12 s.
pub const CARD_NOTICE: &str = r#"{"aimMs":3000.0,"deadlineMs":20000.0,"dedupScope":"all","effect":"token","lateShare":0.5,"name":"card-notice","stream":false,"windowMs":12000.0,"worth":1.0}"#;

/// The folders and addresses that a sender keeps over its restarts. The folder is removed when this is dropped.
pub struct Site {
    folder: PathBuf,
    pub listen: SocketAddr,
    run: String,
    record: Record,
    starts: u32,
}

/// One process. It is killed when this is dropped.
pub struct Process {
    child: Child,
    pub name: String,
    record: Record,
}

impl Site {
    /// Prepares a temporary folder and reads the run command from the deploy file.
    pub fn new(record: &Record) -> Result<Self, String> {
        let run = run_command(Path::new("deploy/balancer.toml"))?;
        let unique = format!("review-{}-{:?}", std::process::id(), Instant::now())
            .replace(|c: char| !c.is_alphanumeric(), "");
        let folder = std::env::temp_dir().join(unique);
        fs::create_dir_all(folder.join("state")).map_err(|error| error.to_string())?;
        Ok(Self { folder, listen: free_address(), run, record: record.clone(), starts: 0 })
    }

    pub fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Writes the configuration file.
    pub fn configure(&self, discovery: SocketAddr, known: &str, settings: &str) -> Result<(), String> {
        let listen = self.listen;
        let text = format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},"known":{known},"settings":{settings}}}"#
        );
        let new = self.folder.join("config.new");
        fs::write(&new, text).map_err(|error| error.to_string())?;
        fs::rename(new, self.folder.join("config.json")).map_err(|error| error.to_string())
    }

    /// Starts a process; `management` is its address for operators.
    pub fn start(
        &mut self,
        discovery: SocketAddr,
        management: Option<SocketAddr>,
    ) -> Result<Process, String> {
        self.starts += 1;
        let name = format!("sender {}", self.starts);
        let log = File::create(self.log(self.starts)).map_err(|error| error.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&self.run);
        command.env("ROUTER_CONFIG", self.folder.join("config.json")).env("ROUTER_NAME", "n0");
        command.env("ROUTER_LISTEN", self.listen.to_string()).env("ROUTER_DISCOVERY", discovery.to_string());
        command.env("ROUTER_STATE", self.state()).env("TMPDIR", &self.folder);
        if let Ok(filter) = std::env::var("SENDER_LOG") {
            command.env("RUST_LOG", filter);
        }
        if let Some(management) = management {
            command.env("ROUTER_MANAGEMENT", management.to_string());
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).process_group(0);
        let child = command.spawn().map_err(|error| error.to_string())?;
        self.record.line(format!("{name}: started"));
        Ok(Process { child, name, record: self.record.clone() })
    }

    fn log(&self, start: u32) -> PathBuf {
        self.folder.join(format!("log-{start}.txt"))
    }

    /// Waits until the sender answers its health check with 200.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let started = Instant::now();
        while started.elapsed() < limit {
            let request = "GET /healthz HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n";
            if client::exchange(self.listen, request, Duration::from_millis(400))
                .is_ok_and(|answer| answer.status() == 200)
            {
                self.record.line("sender: ready");
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err("the sender did not become ready".to_owned())
    }

    /// Copies the senders' logs to the end of the record.
    pub fn record_logs(&self) {
        for start in 1..=self.starts {
            for line in fs::read_to_string(self.log(start)).unwrap_or_default().lines() {
                self.record.line(format!("log {start}: {line}"));
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.record_logs();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    pub fn signal(&self, signal: i32, name: &str) {
        self.record.line(format!("{}: {name}", self.name));
        // SAFETY: plain system call; the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Ends the process at once and waits for its end.
    pub fn kill(&mut self) {
        self.signal(SIGKILL, "SIGKILL");
        let _ = self.child.wait();
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the end of the process; returns whether it came in time.
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Some(status) = self.ended() {
                self.record.line(format!("{}: ended, {status}", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.ended().is_none() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// The value of `run` in the deploy file.
fn run_command(path: &Path) -> Result<String, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next());
    command.map(str::to_owned).ok_or_else(|| "the deploy file has no run command".to_owned())
}
