//! An endpoint that delivers each message after a fixed service time. While it is down, its process is dead: its
//! connections are reset or closed, and new ones are refused.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http;
use crate::record::{Call, Record};

pub struct Endpoint {
    pub name: String,
    pub destination: u64,
    pub address: SocketAddr,
    service_time: Duration,
    record: Record,
    running: Mutex<Option<Running>>,
}

struct Running {
    stop: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    accepting: JoinHandle<()>,
}

impl Endpoint {
    /// Starts an endpoint at an address of its own, so that its port cannot be taken while it is down.
    pub fn start(
        name: String,
        destination: u64,
        address: SocketAddr,
        service_time: Duration,
        record: &Record,
    ) -> Arc<Self> {
        let record = record.clone();
        let endpoint =
            Arc::new(Self { name, destination, address, service_time, record, running: Mutex::default() });
        endpoint.up();
        endpoint
    }

    pub fn up(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("the endpoint's address is in use");
        listener.set_nonblocking(true).unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let accepting = {
            let (endpoint, stop, connections) = (self.clone(), stop.clone(), connections.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let Ok((stream, _)) = listener.accept() else {
                        thread::sleep(Duration::from_millis(1));
                        continue;
                    };
                    stream.set_nonblocking(false).unwrap();
                    let _ = stream.set_nodelay(true);
                    connections.lock().unwrap().push(stream.try_clone().unwrap());
                    let endpoint = endpoint.clone();
                    thread::spawn(move || endpoint.serve(stream));
                }
            })
        };
        *self.running.lock().unwrap() = Some(Running { stop, connections, accepting });
        self.record.line(format!("endpoint {} is up at {}", self.name, self.address));
    }

    pub fn down(&self) {
        let Some(running) = self.running.lock().unwrap().take() else { return };
        running.stop.store(true, Ordering::Relaxed);
        running.accepting.join().unwrap();
        for connection in running.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(format!("endpoint {} is down: connections are refused", self.name));
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(call) = http::read(&mut reader) {
            let call_id = call.header("x-call-id").to_owned();
            let at = self.record.now();
            self.record.line(format!("endpoint {} got {call_id}", self.name));
            let fact = Call { at, endpoint: self.name.clone() };
            self.record.facts.lock().unwrap().calls.push(fact);
            thread::sleep(self.service_time);
            if writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                return;
            }
            let at = self.record.now();
            self.record.line(format!("endpoint {} answered {call_id} with 200", self.name));
            self.record.facts.lock().unwrap().delivered.push((call_id, at));
        }
    }
}
