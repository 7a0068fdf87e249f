//! One process of a sender: signals, its end, and requests to its management address.

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

/// Time limit for a request to the management address.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// A process of a sender.
pub(crate) struct Process {
    /// Process id.
    pub pid: Pid,
    /// Whether the process may end: set before it gets a signal that ends it.
    pub is_end_expected: Arc<AtomicBool>,
    /// Whether the process has ended.
    pub ended: watch::Receiver<bool>,
    /// Management address of the process.
    pub management: SocketAddr,
}

impl Process {
    /// Sends the process a signal, unless it is known to have ended.
    pub fn signal(&self, signal: Signal) {
        if !*self.ended.borrow() {
            // Fails if the process has ended since the check.
            let _ = kill_process(self.pid, signal);
        }
    }

    /// Records that the process may end from now on.
    pub fn expect_end(&self) {
        self.is_end_expected.store(true, Ordering::Relaxed);
    }

    /// Sends SIGKILL.
    pub fn kill(&self) {
        self.is_end_expected.store(true, Ordering::Relaxed);
        self.signal(Signal::KILL);
    }

    /// Waits for the end of the process; returns whether it ended within the limit.
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
        // Fails if the process has ended.
        let _ = kill_process(*pid, signal);
    }
}

/// Waits for the end of a process, and records an incident if the end was not expected.
pub(crate) async fn watch_end(
    mut child: Child,
    ended: watch::Sender<bool>,
    is_end_expected: Arc<AtomicBool>,
    history: Arc<History>,
    sender: usize,
) {
    let status = tokio::task::spawn_blocking(move || child.wait()).await;
    if !is_end_expected.load(Ordering::Relaxed) {
        history.record_incident(sender, format!("ended unexpectedly: {status:?}"));
    }
    ended.send_replace(true);
}

/// Sends a GET request on a new connection and returns the status and body of the response.
pub(crate) async fn fetch(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    exchange(address, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n")).await
}

/// Sends a POST request on a new connection and returns the status of the response.
pub(crate) async fn post(address: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let length = body.len();
    let request = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}");
    exchange(address, &request).await.map(|(status, _)| status)
}

async fn exchange(address: SocketAddr, request: &str) -> Option<(u16, String)> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut reader = BufReader::new(stream);
        let response = read_message(&mut reader).await.ok()??;
        let mut rest = String::new();
        let _ = reader.read_to_string(&mut rest).await;
        Some((response.status(), String::from_utf8_lossy(&response.body).into_owned() + &rest))
    };
    timeout(FETCH_TIMEOUT, exchange).await.ok()?
}
