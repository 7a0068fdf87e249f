//! One sender with a few endpoints, for faults that are played by hand.
#![allow(dead_code, reason = "each test binary uses its own part")]

use std::sync::Arc;
use std::time::Duration;

use fault_soak::discovery::Discovery;
use fault_soak::endpoint::{Behaviour, Endpoint};
use fault_soak::history::{History, NoticeResult, Reply};
use fault_soak::http::read_message;
use fault_soak::sender::{find_executable, Sender, SenderSetup};
use fault_soak::settings::{configuration, Class};
use fault_soak::shim::{Call, Mode, Rule};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

/// Longest wait for anything that is sure to come.
pub const LIMIT: Duration = Duration::from_secs(15);
const POLL_PAUSE: Duration = Duration::from_millis(10);

pub const EINTR: i32 = 4;
pub const EIO: i32 = 5;
pub const EMFILE: i32 = 24;
pub const ENOSPC: i32 = 28;

/// A sender, an endpoint for each of the destinations 1 to 3, and discovery.
pub struct Scene {
    pub sender: Arc<Sender>,
    pub endpoints: Vec<Arc<Endpoint>>,
    pub discovery: Arc<Discovery>,
    pub history: Arc<History>,
    _folder: tempfile::TempDir,
}

impl Scene {
    /// Starts the sender. `number` tells the tests of one binary apart.
    pub async fn start(number: u8) -> Self {
        let history = Arc::new(History::default());
        let mut endpoints = Vec::new();
        for destination in 1..=3 {
            let index = endpoints.len();
            let endpoint = Endpoint::start(index, destination, Behaviour::Healthy, history.clone());
            endpoints.push(endpoint.await.unwrap());
        }
        let discovery = Discovery::new(endpoints.clone(), history.clone(), false);
        let folder = tempfile::tempdir().unwrap();
        let run = (std::process::id() % 120) as u8;
        let address = Sender::address_of(run, usize::from(number));
        let list = discovery.entries();
        let setup = SenderSetup {
            index: 0,
            address,
            folder: folder.path().join("n0"),
            executable: find_executable().unwrap(),
            history: history.clone(),
            seed: 1,
            log_filter: "info".to_owned(),
            configuration: configuration("n0", address, discovery.listen(0).await.unwrap(), 1, &list),
        };
        let sender = Sender::create(setup).unwrap();
        sender.start().await;
        Self { sender, endpoints, discovery, history, _folder: folder }
    }

    /// Has the endpoint of a destination behave so from now on.
    pub fn behave(&self, destination: usize, behaviour: Behaviour) {
        self.endpoints[destination - 1].set_behaviour(Some(behaviour));
    }

    /// Has a kind of call fail from now on, always.
    pub fn fail(&self, call: Call, mode: Mode, errno: i32) {
        self.fail_at_rate(call, mode, errno, fault_soak::shim::ALWAYS);
    }

    /// Has a kind of call fail from now on, so many times of ten thousand.
    pub fn fail_at_rate(&self, call: Call, mode: Mode, errno: i32, rate: u32) {
        self.sender.control.set(call, &Rule { rate, modes: vec![mode], errnos: vec![errno] }).unwrap();
    }

    /// Has all calls work again.
    pub fn mend(&self) {
        self.sender.control.clear_all().unwrap();
    }

    /// Submits a message on a new connection; returns the status, 0 if there was none.
    pub async fn submit(&self, id: &str, class: Class, destination: u64, budget_ms: u64) -> u16 {
        self.request(&submission(id, class, destination, budget_ms)).await
    }

    /// Submits a message that must be accepted.
    pub async fn accept(&self, id: &str, class: Class, destination: u64, budget_ms: u64) {
        assert_eq!(self.submit(id, class, destination, budget_ms).await, 202, "{id}");
    }

    /// Sends a request on a new connection; returns the status of its answer, 0 if there was none.
    pub async fn request(&self, text: &str) -> u16 {
        let Ok(stream) = TcpStream::connect(self.sender.address).await else { return 0 };
        let mut stream = BufReader::new(stream);
        // The sender may answer and close before it has read all.
        let _ = stream.get_mut().write_all(text.as_bytes()).await;
        let answer =
            tokio::time::timeout(LIMIT, read_message(&mut stream)).await.expect("an answer or an end");
        answer.ok().flatten().map_or(0, |answer| answer.status())
    }

    /// Calls of a message that have arrived.
    pub fn calls(&self, id: &str) -> usize {
        self.history.records().calls.iter().filter(|call| call.call_id == id).count()
    }

    /// Whether a message was delivered.
    pub fn is_delivered(&self, id: &str) -> bool {
        let records = self.history.records();
        let is_delivery = |reply| matches!(reply, Some((Reply::Delivered, _)));
        records.calls.iter().any(|call| call.call_id == id && is_delivery(call.reply))
    }

    /// The first notice of a message.
    pub fn notice(&self, id: &str) -> Option<NoticeResult> {
        self.history.records().notices.get(id).and_then(|notices| notices.first()).map(|(result, _)| *result)
    }

    /// Waits until this holds; false if it does not in time.
    pub async fn until(&self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if holds(self) {
                return true;
            }
            sleep(POLL_PAUSE).await;
        }
        false
    }

    /// Waits for a message's first call.
    pub async fn await_call(&self, id: &str) {
        assert!(self.until(LIMIT, |scene| scene.calls(id) > 0).await, "{id} is called");
    }

    /// Waits for a message's delivery.
    pub async fn await_delivery(&self, id: &str, limit: Duration) {
        let is_delivered = self.until(limit, |scene| scene.is_delivered(id)).await;
        assert!(is_delivered, "{id} is not delivered; its notice: {:?}", self.notice(id));
    }

    /// What went wrong with the process.
    pub fn incidents(&self) -> Vec<String> {
        self.history.records().incidents.iter().map(|incident| incident.what.clone()).collect()
    }
}

/// The request that submits a message; all of the ordered class have one key.
pub fn submission(id: &str, class: Class, destination: u64, budget_ms: u64) -> String {
    let query = if class == Class::Ordered { "?subject=card" } else { "" };
    format!(
        "POST /{0}{query} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {0}\r\n\
         X-Budget-Ms: {budget_ms}\r\nIdempotency-Key: key-of-{id}\r\nX-Consignee: dest={destination}\r\n\
         Content-Length: 1\r\n\r\nx",
        class.name()
    )
}
