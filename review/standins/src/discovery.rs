//! Discovery and the platform: one list, watches on it, and notices.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::endpoint::Endpoint;
use crate::http::{self, Message};
use crate::record::{Notice, Record};

/// Version of the list, which never changes.
const VERSION: u64 = 1;

pub struct Discovery {
    pub address: SocketAddr,
    list: String,
    record: Record,
}

impl Discovery {
    pub fn start(endpoints: &[Arc<Endpoint>], record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let entries: Vec<String> = endpoints.iter().map(|endpoint| entry(endpoint)).collect();
        let discovery = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            list: entries.join(","),
            record: record.clone(),
        });
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = shared.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    /// The whole list.
    pub fn snapshot(&self) -> String {
        format!("{{\"index\":{VERSION},\"snapshot\":true,\"endpoints\":[{}]}}", self.list)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader) {
            let response = if request.start_line.starts_with("POST /status ") {
                self.take_notices(&request);
                "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
            } else {
                let body = self.answer(&request.start_line);
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            };
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The whole list, or the changes after a version once the wait for them is over: there are none.
    fn answer(&self, request_line: &str) -> String {
        let after = parameter(request_line, "after");
        if after != Some(VERSION) {
            return self.snapshot();
        }
        thread::sleep(Duration::from_millis(parameter(request_line, "wait_ms").unwrap_or(0).min(60_000)));
        format!("{{\"index\":{VERSION},\"snapshot\":false,\"endpoints\":[]}}")
    }

    fn take_notices(&self, request: &Message) {
        let text = String::from_utf8_lossy(&request.body);
        for line in text.lines().filter(|line| !line.is_empty()) {
            self.record.line(format!("platform got the notice {line}"));
            let notice = Notice { call_id: text_field(line, "ref") };
            self.record.facts.lock().unwrap().notices.push(notice);
        }
    }
}

fn entry(endpoint: &Endpoint) -> String {
    format!(
        "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"dodoma-dc1\",\"type\":\"shop-agents\",\"group\":{},\
         \"status\":\"up\",\"weight\":4.0,\"since_ms\":0}}",
        endpoint.name, endpoint.address, endpoint.destination
    )
}

fn parameter(request_line: &str, name: &str) -> Option<u64> {
    let query = request_line.split(' ').nth(1)?.split_once('?')?.1;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

/// The value of a text field in one flat JSON object without escapes.
fn text_field(line: &str, name: &str) -> String {
    let marker = format!("\"{name}\":\"");
    let value = line.split_once(&marker).and_then(|(_, rest)| rest.split_once('"'));
    value.map_or(String::new(), |(value, _)| value.to_owned())
}
