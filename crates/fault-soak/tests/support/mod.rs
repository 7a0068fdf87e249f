//! A fixture with one sender and three endpoints, for tests that inject chosen faults.
#![allow(dead_code, reason = "each test binary uses only a part of this module")]

use std::sync::Arc;
use std::time::Duration;

use fault_soak::discovery::Discovery;
use fault_soak::endpoint::{Behaviour, Endpoint, EndpointSetup};
use fault_soak::history::{History, NoticeResult, Reply};
use fault_soak::http::read_message;
use fault_soak::network::NetworkDelay;
use fault_soak::process_group::ProcessGroup;
use fault_soak::run_addresses::RunAddresses;
use fault_soak::sender::{find_executable, Sender, SenderSetup};
use fault_soak::settings::{configuration, Class};
use fault_soak::shim::{Failure, FailureRule, Syscall};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

/// Time limit for events that must occur.
pub const TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

// Error numbers of Linux that the tests inject.
pub const EINTR: i32 = 4;
pub const EIO: i32 = 5;
pub const EMFILE: i32 = 24;
pub const ENOSPC: i32 = 28;

/// A sender, one endpoint for each of the destinations 1 to 3, and discovery.
pub struct Fixture {
    pub sender: Arc<Sender>,
    pub endpoints: Vec<Arc<Endpoint>>,
    pub discovery: Arc<Discovery>,
    pub history: Arc<History>,
    _addresses: RunAddresses,
    _folder: tempfile::TempDir,
}

impl Fixture {
    /// Starts the sender.
    pub async fn start() -> Self {
        let history = Arc::new(History::default());
        let mut endpoints = Vec::new();
        for destination in 1..=3 {
            let index = endpoints.len();
            let setup = EndpointSetup::near(index, destination, Behaviour::Healthy);
            let endpoint = Endpoint::start(setup, history.clone());
            endpoints.push(endpoint.await.unwrap());
        }
        let discovery = Discovery::new(endpoints.clone(), history.clone(), NetworkDelay::default(), false);
        let folder = tempfile::tempdir().unwrap();
        let addresses = RunAddresses::claim().unwrap();
        let address = addresses.sender(0);
        let list = discovery.entries();
        let setup = SenderSetup {
            index: 0,
            address,
            folder: folder.path().join("n0"),
            executable: find_executable().unwrap(),
            process_group: Arc::new(ProcessGroup::start().unwrap()),
            history: history.clone(),
            seed: 1,
            log_filter: "info".to_owned(),
            configuration: configuration("n0", address, discovery.listen(0).await.unwrap(), 1, &list),
        };
        let sender = Sender::create(setup).unwrap();
        sender.start().await;
        Self { sender, endpoints, discovery, history, _addresses: addresses, _folder: folder }
    }

    /// Sets the behaviour of the endpoint of a destination.
    pub fn set_behaviour(&self, destination: usize, behaviour: Behaviour) {
        self.endpoints[destination - 1].set_behaviour(Some(behaviour));
    }

    /// Makes every system call of this kind fail from now on.
    pub fn fail(&self, call: Syscall, mode: Failure, errno: i32) {
        self.fail_at_rate(call, mode, errno, fault_soak::shim::ALWAYS);
    }

    /// Makes system calls of this kind fail from now on, `rate` of ten thousand.
    pub fn fail_at_rate(&self, call: Syscall, mode: Failure, errno: i32, rate: u32) {
        self.sender.control.set(call, &FailureRule { rate, modes: vec![mode], errnos: vec![errno] }).unwrap();
    }

    /// Makes every system call of this kind fail after `passes` further ones.
    pub fn fail_after(&self, passes: u32, call: Syscall, mode: Failure, errno: i32) {
        let rule = FailureRule { rate: fault_soak::shim::ALWAYS, modes: vec![mode], errnos: vec![errno] };
        self.sender.control.set_after(call, &rule, passes).unwrap();
    }

    /// Ends the failures of all system calls.
    pub fn clear_faults(&self) {
        self.sender.control.clear_all().unwrap();
    }

    /// Submits a message on a new connection; returns the status of the response, 0 if there was none.
    pub async fn submit(&self, id: &str, class: Class, destination: u64, budget_ms: u64) -> u16 {
        self.request(&submission(id, class, destination, budget_ms)).await
    }

    /// Submits a message and checks that it is accepted.
    pub async fn submit_accepted(&self, id: &str, class: Class, destination: u64, budget_ms: u64) {
        assert_eq!(self.submit(id, class, destination, budget_ms).await, 202, "{id}");
    }

    /// Sends a request on a new connection; returns the status of the response, 0 if there was none.
    pub async fn request(&self, text: &str) -> u16 {
        let Ok(stream) = TcpStream::connect(self.sender.address).await else { return 0 };
        let mut stream = BufReader::new(stream);
        // The write fails if the sender responds and closes the connection before it has read everything.
        let _ = stream.get_mut().write_all(text.as_bytes()).await;
        let response = tokio::time::timeout(TIMEOUT, read_message(&mut stream))
            .await
            .expect("neither a response nor a close in time");
        response.ok().flatten().map_or(0, |response| response.status())
    }

    /// Returns the number of calls of a message that have arrived.
    pub fn calls(&self, id: &str) -> usize {
        self.history.records().calls.iter().filter(|call| call.call_id == id).count()
    }

    /// Returns whether a message was delivered.
    pub fn is_delivered(&self, id: &str) -> bool {
        let records = self.history.records();
        let is_delivery = |reply| matches!(reply, Some((Reply::Delivered, _)));
        records.calls.iter().any(|call| call.call_id == id && is_delivery(call.reply))
    }

    /// Returns the result in the first notice of a message.
    pub fn notice(&self, id: &str) -> Option<NoticeResult> {
        self.history.records().notices.get(id).and_then(|notices| notices.first()).map(|(result, _)| *result)
    }

    /// Waits until the condition holds; returns false if it does not within the limit.
    pub async fn wait_until(&self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if holds(self) {
                return true;
            }
            sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Waits for the first call of a message.
    pub async fn await_call(&self, id: &str) {
        assert!(
            self.wait_until(TIMEOUT, |fixture| fixture.calls(id) > 0).await,
            "no call of {id} has arrived"
        );
    }

    /// Waits for the delivery of a message.
    pub async fn await_delivery(&self, id: &str, limit: Duration) {
        let is_delivered = self.wait_until(limit, |fixture| fixture.is_delivered(id)).await;
        assert!(is_delivered, "{id} was not delivered, its notice: {:?}", self.notice(id));
    }

    /// Returns the descriptions of the recorded incidents.
    pub fn incidents(&self) -> Vec<String> {
        self.history.records().incidents.iter().map(|incident| incident.description.clone()).collect()
    }
}

/// Returns the request that submits a message. All messages of class `Ordered` have the same order key.
pub fn submission(id: &str, class: Class, destination: u64, budget_ms: u64) -> String {
    let query = if class == Class::Ordered { "?subject=card" } else { "" };
    format!(
        "POST /{0}{query} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {0}\r\n\
         X-Budget-Ms: {budget_ms}\r\nIdempotency-Key: key-of-{id}\r\nX-Consignee: dest={destination}\r\n\
         Content-Length: 1\r\n\r\nx",
        class.name()
    )
}
