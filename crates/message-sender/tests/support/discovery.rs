//! A simulated discovery server: it serves the endpoint list, holds watches until the list changes, and
//! accepts notices.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

use serde_json::{json, Value};

use super::http::{read_message, HttpMessage};
use super::TIMEOUT;

/// A running discovery server.
pub struct Discovery {
    /// Its listening address.
    pub address: SocketAddr,
    /// The notices that it acknowledges.
    pub notices: Receiver<Value>,
    /// The request line of each request for the list: watches and fetches.
    pub list_requests: Receiver<String>,
    shared: Arc<Shared>,
}

/// State that the threads of all connections share.
#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    /// Notified when the list changes or a post of notices is rejected.
    changed: Condvar,
}

/// What the server answers, and what it has rejected.
#[derive(Default)]
struct State {
    /// Version of the list.
    version: u64,
    /// The lines of the list.
    endpoints: Vec<Value>,
    /// Number of posts of notices that are still to be answered with an error.
    posts_to_reject: u32,
    /// Number of posts of notices that have been answered with an error.
    rejected_posts: u32,
    /// Whether requests for the list get no answer.
    is_unresponsive: bool,
}

impl Discovery {
    /// Starts a server with this endpoint list as version 1.
    pub fn start(endpoints: Vec<Value>) -> Self {
        Self::start_with(State { version: 1, endpoints, ..State::default() })
    }

    /// Starts a server that accepts notices but does not answer requests for the list.
    pub fn start_unresponsive() -> Self {
        Self::start_with(State { is_unresponsive: true, ..State::default() })
    }

    fn start_with(state: State) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let (notice_sender, notices) = channel();
        let (request_sender, list_requests) = channel();
        let connection =
            Connection { notices: notice_sender, list_requests: request_sender, shared: shared.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let connection = connection.clone();
                thread::spawn(move || connection.serve(stream));
            }
        });
        Self { address, notices, list_requests, shared }
    }

    /// Publishes a new version of the list.
    pub fn publish(&self, endpoints: Vec<Value>) {
        let mut state = self.shared.state.lock().unwrap();
        state.version += 1;
        state.endpoints = endpoints;
        self.shared.changed.notify_all();
    }

    /// Answers requests for the list from now on; requests received earlier stay unanswered.
    pub fn start_responding(&self) {
        self.shared.state.lock().unwrap().is_unresponsive = false;
    }

    /// Answers the next `posts` posts of notices with an error instead of an acknowledgement.
    pub fn reject_notices(&self, posts: u32) {
        self.shared.state.lock().unwrap().posts_to_reject = posts;
    }

    /// Waits until a post of notices has been answered with an error.
    pub fn await_rejected_notice(&self) {
        let state = self.shared.state.lock().unwrap();
        let none_rejected = |state: &mut State| state.rejected_posts == 0;
        let (_state, waited) = self.shared.changed.wait_timeout_while(state, TIMEOUT, none_rejected).unwrap();
        assert!(!waited.timed_out(), "no notice arrived");
    }

    /// Waits for the next notice.
    pub fn next_notice(&self) -> Value {
        self.notices.recv_timeout(TIMEOUT).expect("no notice arrived")
    }

    /// Waits for the next request for the list.
    pub fn next_list_request(&self) -> String {
        self.list_requests.recv_timeout(TIMEOUT).expect("no request for the list arrived")
    }

    /// Waits for a watch for changes after this version, which shows that the sender has received the
    /// version.
    pub fn await_watch_after(&self, version: u64) {
        let parameter = format!("after={version}&");
        while !self.next_list_request().contains(&parameter) {}
    }
}

/// What the thread of a connection uses.
#[derive(Clone)]
struct Connection {
    notices: Sender<Value>,
    list_requests: Sender<String>,
    shared: Arc<Shared>,
}

impl Connection {
    /// Answers requests until the connection ends.
    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = read_message(&mut stream) {
            let Some(answer) = self.answer(&request) else { continue };
            if stream.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &HttpMessage) -> Option<String> {
        if request.start_line.starts_with("POST") {
            return Some(self.take_notices(request).to_owned());
        }
        let _ = self.list_requests.send(request.start_line.clone());
        if self.shared.state.lock().unwrap().is_unresponsive {
            return None;
        }
        // Indented, because the sender must accept indented lists too.
        let text = format!("{:#}", self.await_list(&request.start_line));
        Some(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()))
    }

    fn take_notices(&self, request: &HttpMessage) -> &'static str {
        let mut state = self.shared.state.lock().unwrap();
        if state.posts_to_reject > 0 {
            state.posts_to_reject -= 1;
            state.rejected_posts += 1;
            self.shared.changed.notify_all();
            return "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
        }
        for line in request.body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            let _ = self.notices.send(serde_json::from_slice(line).expect("a notice is not valid JSON"));
        }
        "HTTP/1.1 204 No Content\r\n\r\n"
    }

    /// Waits until the list's version differs from the one that the request names, and returns the list.
    fn await_list(&self, request_line: &str) -> Value {
        let known = known_version(request_line);
        let state = self.shared.state.lock().unwrap();
        let is_known = |state: &mut State| Some(state.version) == known;
        let state = self.shared.changed.wait_while(state, is_known).unwrap();
        json!({"index": state.version, "snapshot": known.is_none(), "endpoints": state.endpoints})
    }
}

/// The version that a watch names as known to the sender; `None` for a fetch of the complete list.
fn known_version(request_line: &str) -> Option<u64> {
    let (_, rest) = request_line.split_once("after=")?;
    rest.split('&').next()?.parse().ok()
}

/// A line of the endpoint list; its status is `up`, `draining` or `removed`.
pub fn endpoint_line(name: &str, address: SocketAddr, destination: u64, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "here", "type": "big", "group": destination,
        "status": status, "weight": 1.0, "since_ms": 0})
}
