//! Discovery and the receiver of notices.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// An entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub group: u32,
    pub status: &'static str,
    pub weight: f64,
    /// Version at which the entry was changed last.
    changed: u64,
}

impl Entry {
    pub fn new(name: &str, address: SocketAddr, group: u32) -> Self {
        let name = name.to_owned();
        Self {
            name,
            address,
            zone: "dc1",
            kind: "shop-agents",
            group,
            status: "up",
            weight: 50.0,
            changed: 1,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"{}","group":{},"status":"{}","weight":{:.1},"since_ms":0}}"#,
            self.name, self.address, self.zone, self.kind, self.group, self.status, self.weight
        )
    }
}

/// A notice as it arrived.
#[derive(Clone)]
pub struct Notice {
    pub line: String,
    pub at: Instant,
}

struct State {
    index: u64,
    entries: Vec<Entry>,
    notices: Vec<Notice>,
}

/// Discovery at one address.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    pub fn start(record: &Record, entries: Vec<Entry>) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let state = State { index: 1, entries, notices: Vec::new() };
        let discovery = Self { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let (served, record) = (discovery.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, record) = (served.clone(), record.clone());
                thread::spawn(move || served.serve(&record, stream));
            }
        });
        Ok(discovery)
    }

    /// The whole list.
    pub fn list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        let entries: Vec<_> = state.entries.iter().filter(|entry| entry.status != "removed").collect();
        list(state.index, true, &entries)
    }

    /// Changes an entry and tells the watches.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Entry)) {
        let mut state = self.state.0.lock().unwrap();
        state.index += 1;
        let index = state.index;
        if let Some(entry) = state.entries.iter_mut().find(|entry| entry.name == name) {
            change(entry);
            entry.changed = index;
        }
        self.state.1.notify_all();
    }

    /// The notices so far.
    pub fn notices(&self) -> Vec<Notice> {
        self.state.0.lock().unwrap().notices.clone()
    }

    fn serve(&self, record: &Record, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let answer = if request.first_line.starts_with("POST /status ") {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let mut state = self.state.0.lock().unwrap();
                for line in text.lines() {
                    record.line(format!("platform: notice {line}"));
                    state.notices.push(Notice { line: line.to_owned(), at: Instant::now() });
                }
                b"HTTP/1.1 204 No Content\r\n\r\n".to_vec()
            } else {
                http::response("200 OK", "Content-Type: application/json\r\n", &self.watch(request.path()))
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// The answer to a request for the list or for what has changed after a version.
    fn watch(&self, path: &str) -> String {
        let parameter = |name: &str| {
            let query = path.split_once('?')?.1;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok())
        };
        let Some(after) = parameter("after=") else { return self.list() };
        let until = Instant::now() + Duration::from_millis(parameter("wait_ms=").unwrap_or(0).min(60_000));
        let mut state = self.state.0.lock().unwrap();
        while state.index <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        let changed: Vec<_> = state.entries.iter().filter(|entry| entry.changed > after).collect();
        list(state.index, false, &changed)
    }
}

fn list(index: u64, snapshot: bool, entries: &[&Entry]) -> String {
    let entries: Vec<_> = entries.iter().map(|entry| entry.json()).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}
