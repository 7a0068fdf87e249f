//! HTTP messages as the stand-ins read them off a connection, and the times at which they arrive.

use std::collections::HashMap;
use std::io;

use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader};
use tokio::time::Instant;

/// No head is longer: a sender that writes more does the wrong thing.
const MAX_HEAD_LINES: usize = 64;

/// A request or an answer that was read completely.
#[derive(Debug, Clone)]
pub struct HttpMessage {
    /// The request line or the status line, without its end.
    pub start_line: String,
    /// The headers; the names are in lower case.
    pub headers: HashMap<String, String>,
    /// The body, as long as `Content-Length` says.
    pub body: Vec<u8>,
    /// When its first byte arrived.
    pub first_byte_at: Instant,
    /// When its last byte had arrived.
    pub complete_at: Instant,
}

impl HttpMessage {
    /// A header's value, or nothing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status code of an answer; 0 if there is none.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection ended before its first byte.
///
/// # Errors
///
/// The connection broke, or ended within the message.
pub async fn read_message<R: AsyncRead + Unpin>(
    reader: &mut BufReader<R>,
) -> io::Result<Option<HttpMessage>> {
    if reader.fill_buf().await?.is_empty() {
        return Ok(None);
    }
    let first_byte_at = Instant::now();
    let start_line = read_line(reader).await?;
    let mut headers = HashMap::new();
    for _ in 0..MAX_HEAD_LINES {
        let line = read_line(reader).await?;
        let Some((name, value)) = line.split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    Ok(Some(HttpMessage { start_line, headers, body, first_byte_at, complete_at: Instant::now() }))
}

async fn read_line<R: AsyncRead + Unpin>(reader: &mut BufReader<R>) -> io::Result<String> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line).await? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&line).trim().to_owned())
}
