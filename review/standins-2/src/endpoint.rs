//! Endpoints of destinations.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use crate::http;
use crate::record::Record;

/// A call that has arrived with its last byte.
pub struct Call {
    /// Number of the call at this endpoint, counted from 1.
    pub number: u64,
    /// Number of its connection at this endpoint, counted from 1.
    pub connection: u64,
    pub id: String,
    pub key: String,
    pub arrived: Instant,
    pub body: Vec<u8>,
}

/// Answers a call; returns whether the connection stays open.
pub type Handler = dyn Fn(&Call, &mut TcpStream) -> bool + Send + Sync;

/// Starts an endpoint that answers each call by `handler`; returns its address.
pub fn start(
    name: &str,
    record: &Record,
    handler: impl Fn(&Call, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let handler: Arc<Handler> = Arc::new(handler);
    let calls = Arc::new(AtomicU64::new(0));
    let (name, record) = (name.to_owned(), record.clone());
    thread::spawn(move || {
        for (index, stream) in listener.incoming().flatten().enumerate() {
            let (name, record) = (name.clone(), record.clone());
            let (handler, calls) = (handler.clone(), calls.clone());
            thread::spawn(move || serve(&name, &record, index as u64 + 1, stream, &*handler, &calls));
        }
    });
    Ok(address)
}

fn serve(
    name: &str,
    record: &Record,
    connection: u64,
    stream: TcpStream,
    handler: &Handler,
    calls: &AtomicU64,
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = http::read(&mut reader) {
        if !message.first_line.starts_with("POST /receive ") {
            use std::io::Write;
            if writer.write_all(&http::response("404 Not Found", "", "")).is_err() {
                return;
            }
            continue;
        }
        let call = Call {
            number: calls.fetch_add(1, Ordering::Relaxed) + 1,
            connection,
            id: message.header("x-call-id").to_owned(),
            key: message.header("idempotency-key").to_owned(),
            arrived: Instant::now(),
            body: message.body,
        };
        record
            .line(format!("endpoint {name}: call {} of {} on connection {connection}", call.number, call.id));
        if !handler(&call, &mut writer) {
            return;
        }
    }
}
