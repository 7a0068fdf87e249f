//! Reading HTTP messages from a socket and writing to it.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Approximate time that [`write_byte_by_byte`] takes for a text of any length.
const BYTE_BY_BYTE_TIME: Duration = Duration::from_millis(200);

/// A request or an answer that was read completely.
#[derive(Debug, Clone)]
pub struct HttpMessage {
    /// The request line or the status line, without its line ending.
    pub start_line: String,
    /// The headers, by their names in lower case.
    pub headers: HashMap<String, String>,
    /// The body, of the length that `Content-Length` states.
    pub body: Vec<u8>,
    /// When it had been read completely.
    pub received_at: Instant,
    /// Address of the other end of the connection.
    pub peer: SocketAddr,
}

impl HttpMessage {
    /// The id of the message in a call or a submission.
    pub fn message_id(&self) -> &str {
        &self.headers["x-call-id"]
    }

    /// The status code of an answer, as text.
    pub fn status(&self) -> Option<&str> {
        self.start_line.split(' ').nth(1)
    }
}

/// Reads one request or answer; `None` if the connection ended before it was complete.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<HttpMessage> {
    let start_line = read_line(stream)?;
    let mut headers = HashMap::new();
    while let Some((name, value)) = read_line(stream)?.split_once(':') {
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    let peer = stream.get_ref().peer_addr().ok()?;
    Some(HttpMessage { start_line, headers, body, received_at: Instant::now(), peer })
}

/// Reads a line and trims it; `None` if the connection has ended.
fn read_line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let length = stream.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim().to_owned())
}

/// Writes a text one byte at a time, with a TCP segment for each byte.
pub fn write_byte_by_byte(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let pause = BYTE_BY_BYTE_TIME / text.len() as u32;
    for byte in text {
        stream.write_all(&[*byte])?;
        thread::sleep(pause);
    }
    Ok(())
}
