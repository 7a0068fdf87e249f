//! Reading of HTTP messages from a connection, with the times of their arrival.

use std::collections::HashMap;
use std::io;

use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader};
use tokio::time::Instant;

/// Maximum number of header lines that are read; senders are expected to write fewer.
const MAX_HEAD_LINES: usize = 64;

/// A request or a response that was read completely.
#[derive(Debug, Clone)]
pub struct HttpMessage {
    /// Request line or status line, without the line end.
    pub start_line: String,
    /// Headers by their names in lower case.
    pub headers: HashMap<String, String>,
    /// Body, with the length in `Content-Length`.
    pub body: Vec<u8>,
    /// Time at which its first byte arrived.
    pub first_byte_at: Instant,
    /// Time at which it was complete.
    pub complete_at: Instant,
}

impl HttpMessage {
    /// Returns the value of a header, or an empty string if there is none.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the status code of a response; 0 if there is none.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection ended before its first byte.
///
/// # Errors
///
/// The connection failed, or ended within the message.
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
