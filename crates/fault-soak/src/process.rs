//! One process of a sender: signals to it, its end, and what it answers operators.

use std::net::SocketAddr;
use std::process::Child;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::history::History;
use crate::http::read_message;

const PROBE_LIMIT: Duration = Duration::from_millis(400);

/// A process of a sender.
pub(crate) struct Process {
    /// Its id.
    pub pid: Pid,
    /// Set before a signal that ends it.
    pub may_end: Arc<AtomicBool>,
    /// Whether it has ended.
    pub ended: watch::Receiver<bool>,
    /// Where operators call it.
    pub management: SocketAddr,
}

impl Process {
    /// Sends it a signal, unless it has ended.
    pub fn signal(&self, signal: Signal) {
        if !*self.ended.borrow() {
            // It may have ended since.
            let _ = kill_process(self.pid, signal);
        }
    }

    /// SIGKILL.
    pub fn kill(&self) {
        self.may_end.store(true, Ordering::Relaxed);
        self.signal(Signal::KILL);
    }

    /// Waits for its end; whether that came in time.
    pub async fn wait_for_end(&self, limit: Duration) -> bool {
        let mut ended = self.ended.clone();
        let has_ended =
            timeout(limit, ended.wait_for(|ended| *ended)).await.is_ok_and(|waited| waited.is_ok());
        has_ended
    }
}

/// Sends a signal to all of these processes.
pub(crate) fn signal_processes(pids: &[Pid], signal: Signal) {
    for pid in pids {
        // It may have ended meanwhile.
        let _ = kill_process(*pid, signal);
    }
}

/// Waits for a process's end; one that nobody asked for is a crash.
pub(crate) async fn watch_end(
    mut child: Child,
    ended: watch::Sender<bool>,
    may_end: Arc<AtomicBool>,
    history: Arc<History>,
    sender: usize,
) {
    let status = tokio::task::spawn_blocking(move || child.wait()).await;
    if !may_end.load(Ordering::Relaxed) {
        history.incident(sender, format!("ended by itself: {status:?}"));
    }
    ended.send_replace(true);
}

/// Fetches a page on a new connection: its status and body.
pub(crate) async fn fetch(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).await.ok()?;
        let mut reader = BufReader::new(stream);
        let answer = read_message(&mut reader).await.ok()??;
        let mut rest = String::new();
        let _ = reader.read_to_string(&mut rest).await;
        Some((answer.status(), String::from_utf8_lossy(&answer.body).into_owned() + &rest))
    };
    timeout(PROBE_LIMIT, exchange).await.ok()?
}
