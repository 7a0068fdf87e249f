//! A simulated discovery service with one list, and listeners for each sender, so that it is known which
//! status was sent to which sender.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

use crate::endpoint::Endpoint;
use crate::history::{History, NoticeResult, StatusUpdate};
use crate::http::{read_message, HttpMessage};
use crate::network::NetworkDelay;

/// Longest time for which a request for the list waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Delay of a response while the service is silent.
const SILENCE: Duration = Duration::from_secs(30);
/// Share of the posts of notices that are answered with an error, while that is switched on.
const REFUSED_NOTICE_CHANCE: f64 = 0.3;
/// Share of the responses that are followed by a second copy, while those are switched on.
const COPY_CHANCE: f64 = 0.25;
/// Time from a response to its second copy, in microseconds.
const COPY_DELAY_US: std::ops::Range<u64> = 0..5_000;
/// Probability that notices are acknowledged late, while that is switched on.
const LATE_NOTICE_CHANCE: f64 = 0.3;
/// How late notices are then acknowledged, in milliseconds.
const LATE_NOTICE_MS: std::ops::Range<u64> = 50..400;

/// Whether requests for the list are answered. Notices are always acknowledged at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ServiceState {
    /// Requests are answered.
    Up,
    /// Each request gets status 503.
    Down,
    /// Each request is answered 30 s late.
    Silent,
}

impl ServiceState {
    const ALL: [Self; 3] = [Self::Up, Self::Down, Self::Silent];
}

/// Status of an endpoint in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The endpoint takes calls.
    Up,
    /// The endpoint completes the calls that it has received.
    Draining,
    /// The endpoint is gone.
    Removed,
}

impl Status {
    fn name(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Draining => "draining",
            Self::Removed => "removed",
        }
    }
}

/// The list of endpoints.
#[derive(Clone)]
struct List {
    version: u64,
    /// For each endpoint, the version of its last change, and its status.
    endpoints: Vec<(u64, Status)>,
}

/// The simulated discovery service.
pub struct Discovery {
    endpoints: Vec<Arc<Endpoint>>,
    list: watch::Sender<List>,
    service_state: AtomicU8,
    history: Arc<History>,
    /// Whether notices are acknowledged, but not recorded, as a planted defect.
    pub drops_notices: bool,
    /// Whether second copies of some responses are sent.
    pub sends_copies: AtomicBool,
    network_delay: NetworkDelay,
    /// Whether some notices are acknowledged late.
    pub delays_notices: AtomicBool,
    /// Whether some notices are answered with an error.
    pub refuses_notices: AtomicBool,
    addresses: Mutex<Vec<SocketAddr>>,
}

impl Discovery {
    /// Creates a service that lists all these endpoints as up.
    #[must_use]
    pub fn new(
        endpoints: Vec<Arc<Endpoint>>,
        history: Arc<History>,
        network_delay: NetworkDelay,
        drops_notices: bool,
    ) -> Arc<Self> {
        let list = List { version: 1, endpoints: vec![(1, Status::Up); endpoints.len()] };
        Arc::new(Self {
            endpoints,
            list: watch::Sender::new(list),
            service_state: AtomicU8::new(ServiceState::Up as u8),
            history,
            drops_notices,
            sends_copies: AtomicBool::new(false),
            network_delay,
            delays_notices: AtomicBool::new(false),
            refuses_notices: AtomicBool::new(false),
            addresses: Mutex::default(),
        })
    }

    /// Opens one more address for a sender and returns it.
    ///
    /// # Errors
    ///
    /// The listener cannot be opened.
    pub async fn listen(self: &Arc<Self>, sender: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        tokio::spawn(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(discovery.clone().serve(sender, stream));
                }
            }
        });
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner).push(address);
        Ok(address)
    }

    /// Changes the status of an endpoint in the list.
    pub fn set_status(&self, endpoint: usize, status: Status) {
        self.list.send_modify(|list| {
            list.version += 1;
            list.endpoints[endpoint] = (list.version, status);
        });
    }

    /// Restarts the version numbers at 1.
    pub fn reset_versions(&self) {
        self.list.send_modify(|list| {
            list.version = 1;
            for (version, _) in &mut list.endpoints {
                *version = 1;
            }
        });
    }

    /// Sets whether requests for the list are answered from now on.
    pub fn set_service_state(&self, service_state: ServiceState) {
        self.service_state.store(service_state as u8, Ordering::Relaxed);
    }

    /// Returns the complete list in its wire format.
    #[must_use]
    pub fn entries(&self) -> Vec<Value> {
        let list = self.list.borrow();
        (0..self.endpoints.len()).map(|index| self.entry(&list, index)).collect()
    }

    fn entry(&self, list: &List, index: usize) -> Value {
        let endpoint = &self.endpoints[index];
        json!({"name": endpoint.name(), "address": endpoint.address.to_string(), "zone": "here", "type": "big",
            "group": endpoint.destination, "status": list.endpoints[index].1.name(), "weight": 1.0,
            "since_ms": 0})
    }

    async fn serve(self: Arc<Self>, sender: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut stream).await {
            sleep(self.network_delay.draw_one_way()).await;
            let response = if request.start_line.starts_with("POST") {
                let response = self.take_notices(&request);
                self.delay_notices().await;
                response
            } else {
                self.list_response(sender, &request).await
            };
            sleep(self.network_delay.draw_one_way()).await;
            if self.write(&response, stream.get_mut()).await.is_err() {
                return;
            }
        }
    }

    /// Writes a response, and a second copy of it if those are switched on.
    async fn write(&self, response: &str, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(response.as_bytes()).await?;
        if self.sends_copies.load(Ordering::Relaxed) && fastrand::f64() < COPY_CHANCE {
            sleep(Duration::from_micros(fastrand::u64(COPY_DELAY_US))).await;
            stream.write_all(response.as_bytes()).await?;
        }
        Ok(())
    }

    async fn delay_notices(&self) {
        if self.delays_notices.load(Ordering::Relaxed) && fastrand::f64() < LATE_NOTICE_CHANCE {
            sleep(Duration::from_millis(fastrand::u64(LATE_NOTICE_MS))).await;
        }
    }

    fn take_notices(&self, request: &HttpMessage) -> String {
        let is_refused =
            self.refuses_notices.load(Ordering::Relaxed) && fastrand::f64() < REFUSED_NOTICE_CHANCE;
        let now = Instant::now();
        for line in request.body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            let Ok(notice) = serde_json::from_slice::<Value>(line) else {
                return "HTTP/1.1 400 Malformed\r\nContent-Length: 0\r\n\r\n".to_owned();
            };
            let result =
                if notice["result"] == "dead" { NoticeResult::Failed } else { NoticeResult::Rejected };
            let call_id = notice["ref"].as_str().unwrap_or_default().to_owned();
            if is_refused {
                self.history.records().refused_notices.entry(call_id).or_default().push(now);
            } else if !self.drops_notices {
                self.history.records().notices.entry(call_id).or_default().push((result, now));
            }
        }
        if is_refused {
            return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned();
        }
        "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
    }

    async fn list_response(&self, sender: usize, request: &HttpMessage) -> String {
        match ServiceState::ALL[self.service_state.load(Ordering::Relaxed) as usize] {
            ServiceState::Up => {}
            ServiceState::Down => return "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n".to_owned(),
            ServiceState::Silent => sleep(SILENCE).await,
        }
        let after = parameter(&request.start_line, "after");
        let wait = parameter(&request.start_line, "wait_ms").map_or(Duration::ZERO, Duration::from_millis);
        let list = self.await_change(after, wait.min(MAX_WAIT)).await;
        let after = after.filter(|after| *after <= list.version);
        let changed = |index: &usize| after.is_none_or(|after| list.endpoints[*index].0 > after);
        let indices: Vec<usize> = (0..self.endpoints.len()).filter(changed).collect();
        self.record_status_updates(sender, &list, &indices);
        let entries: Vec<Value> = indices.iter().map(|index| self.entry(&list, *index)).collect();
        let body = json!({"index": list.version, "snapshot": after.is_none(), "endpoints": entries});
        let text = format!("{body:#}");
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
    }

    /// Returns the list once its version differs from `after`, or when the wait is over.
    async fn await_change(&self, after: Option<u64>, wait: Duration) -> List {
        let mut list = self.list.subscribe();
        let changed = list.wait_for(|list| Some(list.version) != after);
        if let Ok(Ok(list)) = timeout(wait, changed).await {
            return list.clone();
        }
        self.list.borrow().clone()
    }

    fn record_status_updates(&self, sender: usize, list: &List, indices: &[usize]) {
        let at = Instant::now();
        let updates = indices.iter().map(|index| StatusUpdate {
            sender,
            endpoint: *index,
            is_up: list.endpoints[*index].1 == Status::Up,
            at,
        });
        self.history.records().status_updates.extend(updates);
    }
}

fn parameter(request_line: &str, name: &str) -> Option<u64> {
    let query = request_line.split(' ').nth(1)?.split_once('?')?.1;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
