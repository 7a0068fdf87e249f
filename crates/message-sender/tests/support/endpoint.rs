//! A simulated endpoint that answers calls by a script.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::http::{read_message, write_byte_by_byte, HttpMessage};
use super::TIMEOUT;

/// Header in a scripted answer that makes the endpoint close the connection afterwards, without announcing it
/// by `Connection: close`.
const CLOSE_SILENTLY: &str = "X-Then: closes";

/// What an endpoint does with a call.
#[derive(Clone)]
pub enum Reply {
    /// Answers with this status code, reason and header lines, and no body.
    Answer(&'static str),
    /// Writes this text unchanged.
    Raw(&'static str),
    /// Closes the connection without an answer.
    CloseConnection,
    /// Sends no answer and keeps the connection open.
    NoAnswer,
    /// Answers with 200 after this delay.
    Delayed(Duration),
    /// Answers with 200, one byte at a time.
    ByteByByte,
}

/// The answer that confirms the delivery of a message.
pub const OK: Reply = Reply::Answer("200 OK\r\n");

/// What an endpoint does with a connection after a reply.
enum Next {
    ReadNextCall,
    CloseConnection,
}

/// A running endpoint. Its script has one reply per call; the last one is repeated for all further calls.
pub struct Endpoint {
    /// Its listening address.
    pub address: SocketAddr,
    /// The calls that it has read.
    pub calls: Receiver<HttpMessage>,
    /// For each connection that has ended, the id of the message in its last call.
    pub closed_connections: Receiver<String>,
}

impl Endpoint {
    /// Starts an endpoint with this script.
    pub fn start(script: Vec<Reply>) -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap(), script)
    }

    /// An address at which connections are refused until an endpoint is started there.
    pub fn unused_address() -> SocketAddr {
        TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
    }

    /// Starts an endpoint at this address with this script.
    pub fn start_at(address: SocketAddr, script: Vec<Reply>) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let (call_sender, calls) = channel();
        let (closed_sender, closed_connections) = channel();
        let script = Arc::new(Mutex::new(script));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let calls = call_sender.clone();
                let closed_connections = closed_sender.clone();
                let script = script.clone();
                thread::spawn(move || {
                    let last_id = serve_connection(stream, &calls, &script);
                    closed_connections.send(last_id)
                });
            }
        });
        Self { address, calls, closed_connections }
    }

    /// Waits for the next call.
    pub fn next_call(&self) -> HttpMessage {
        self.calls.recv_timeout(TIMEOUT).expect("no call arrived")
    }

    /// Whether no further call has arrived so far.
    pub fn has_no_call(&self) -> bool {
        self.calls.try_recv().is_err()
    }
}

/// Answers the calls on a connection until it ends; returns the id of the message in the last call.
fn serve_connection(stream: TcpStream, calls: &Sender<HttpMessage>, script: &Mutex<Vec<Reply>>) -> String {
    let mut stream = BufReader::new(stream);
    let mut last_id = String::new();
    while let Some(call) = read_message(&mut stream) {
        last_id = call.headers.get("x-call-id").cloned().unwrap_or_default();
        let reply = next_reply(script);
        if let Next::CloseConnection = execute_reply(reply, call, stream.get_mut(), calls) {
            break;
        }
    }
    last_id
}

fn next_reply(script: &Mutex<Vec<Reply>>) -> Reply {
    let mut script = script.lock().unwrap();
    if script.len() > 1 {
        script.remove(0)
    } else {
        script[0].clone()
    }
}

fn execute_reply(
    reply: Reply,
    call: HttpMessage,
    stream: &mut TcpStream,
    calls: &Sender<HttpMessage>,
) -> Next {
    match reply {
        Reply::Answer(head) => {
            let text = format!("HTTP/1.1 {head}Content-Length: 0\r\n\r\n");
            answer_and_report(&text, call, stream, calls)
        }
        Reply::Raw(text) => answer_and_report(text, call, stream, calls),
        Reply::NoAnswer => answer_and_report("", call, stream, calls),
        Reply::CloseConnection => {
            let _ = calls.send(call);
            Next::CloseConnection
        }
        Reply::Delayed(delay) => {
            let _ = calls.send(call);
            thread::sleep(delay);
            next_after(stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
        }
        Reply::ByteByByte => {
            let _ = calls.send(call);
            next_after(write_byte_by_byte(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
        }
    }
}

/// Writes an answer and reports the call only afterwards, so that the answer has been written when a test
/// sees the call.
fn answer_and_report(
    text: &str,
    call: HttpMessage,
    stream: &mut TcpStream,
    calls: &Sender<HttpMessage>,
) -> Next {
    let written = stream.write_all(text.as_bytes());
    let reported = calls.send(call);
    if reported.is_err() || text.contains(CLOSE_SILENTLY) {
        return Next::CloseConnection;
    }
    next_after(written)
}

fn next_after(written: std::io::Result<()>) -> Next {
    match written {
        Ok(()) => Next::ReadNextCall,
        Err(_) => Next::CloseConnection,
    }
}
