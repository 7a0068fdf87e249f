//! Reading of HTTP/1.1 messages whose bodies have a stated length.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The path of a request, with its query.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a message; `None` if the connection ends before one begins.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if !read_line(stream, &mut message.first_line)? {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        if !read_line(stream, &mut line)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

fn read_line(stream: &mut BufReader<TcpStream>, line: &mut String) -> io::Result<bool> {
    let mut bytes = Vec::new();
    stream.read_until(b'\n', &mut bytes)?;
    if bytes.is_empty() {
        return Ok(false);
    }
    *line = String::from_utf8_lossy(&bytes).trim_end().to_owned();
    Ok(true)
}

/// A response with a status line such as `200 OK`, headers that each end with a line break, and a body.
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
