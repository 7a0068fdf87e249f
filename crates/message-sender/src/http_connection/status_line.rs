//! Parses the status of a response from its bytes as they arrive. The status is valid even if the rest of
//! the response is corrupt and the HTTP library rejects it.

/// Start of each status line, as far as it does not depend on the version and the status.
const PREFIX: &str = "HTTP/1.";
/// Number of bytes stored of each line: no more than `HTTP/1.1 200 ` is needed. Further bytes are discarded.
const MAX_STORED_BYTES: usize = 13;

/// Parses bytes up to the end of the final response's status line. Interim responses (1xx) and empty lines
/// before it are skipped, as the HTTP library does.
#[derive(Debug, Default)]
pub struct StatusLineParser {
    state: State,
    /// The first `MAX_STORED_BYTES` bytes of the current line.
    line: Vec<u8>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq)]
enum State {
    /// No byte has arrived but for empty lines.
    #[default]
    Empty,
    /// In a status line.
    StatusLine,
    /// After the status line of an interim response, whose head ends with an empty line.
    InterimHead,
    /// The status line is complete; `None` if it is malformed.
    Done(Option<u16>),
}

impl StatusLineParser {
    /// Whether any byte of a status line has arrived.
    pub fn has_started(&self) -> bool {
        self.state != State::Empty
    }

    /// Whether the status line is complete, even if it is malformed.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Done(_))
    }

    /// Whether what has arrived may be the beginning of a well-formed status line.
    pub fn may_become_complete(&self) -> bool {
        let (line, prefix) = (&self.line[..], PREFIX.as_bytes());
        match self.state {
            State::StatusLine => line.starts_with(prefix) || prefix.starts_with(line),
            State::InterimHead => true,
            State::Empty | State::Done(_) => false,
        }
    }

    /// The status, if the status line is complete and well-formed.
    pub fn status(&self) -> Option<u16> {
        match self.state {
            State::Done(status) => status,
            State::Empty | State::StatusLine | State::InterimHead => None,
        }
    }

    /// Parses the next bytes. The response may be split at any byte.
    pub fn read(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match (self.state, byte) {
                (State::Done(_), _) => return,
                (State::Empty, b'\r' | b'\n') => {}
                (State::StatusLine, b'\n') => self.end_status_line(),
                (State::InterimHead, b'\n') => self.end_interim_line(),
                (State::Empty | State::StatusLine, byte) => {
                    self.state = State::StatusLine;
                    self.store(*byte);
                }
                (State::InterimHead, byte) => self.store(*byte),
            }
        }
    }

    fn store(&mut self, byte: u8) {
        if self.line.len() < MAX_STORED_BYTES {
            self.line.push(byte);
        }
    }

    fn end_status_line(&mut self) {
        let status = parse_status(&self.line);
        let is_interim = status.is_some_and(|status| (100..200).contains(&status));
        self.state = if is_interim { State::InterimHead } else { State::Done(status) };
        self.line.clear();
    }

    fn end_interim_line(&mut self) {
        if self.line.is_empty() || self.line == b"\r" {
            self.state = State::StatusLine;
        }
        self.line.clear();
    }
}

/// Parses the status from the start of a line such as `HTTP/1.1 200 OK`.
fn parse_status(line: &[u8]) -> Option<u16> {
    let text = std::str::from_utf8(line).ok()?;
    let after_prefix = text.strip_prefix(PREFIX)?;
    let after_version = after_prefix.get(1..)?.strip_prefix(' ')?;
    let (status, after_status) = after_version.split_at_checked(3)?;
    let is_delimited = after_status.is_empty() || after_status.starts_with([' ', '\r']);
    let is_number = status.bytes().all(|digit| digit.is_ascii_digit());
    if is_delimited && is_number {
        status.parse().ok()
    } else {
        None
    }
}

#[cfg(test)]
mod tests;
