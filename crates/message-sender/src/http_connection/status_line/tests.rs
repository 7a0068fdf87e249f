//! Tests for complete, partial, malformed and interim status lines.

use super::StatusLineParser;

/// Parses the status of a response, in one piece and byte by byte. Both must give the same status.
fn parsed_status(response: &[u8]) -> Option<u16> {
    let mut parser = StatusLineParser::default();
    parser.read(response);
    let status = parser.status();

    let mut bytewise_parser = StatusLineParser::default();
    for byte in response {
        bytewise_parser.read(std::slice::from_ref(byte));
    }
    assert_eq!(bytewise_parser.status(), status, "the status must not depend on how the response is split");
    status
}

/// Guards against a status that is taken from a partial or malformed line: the message could be taken for
/// delivered.
#[test]
fn only_a_complete_status_line_has_a_status() {
    assert_eq!(parsed_status(b"HTTP/1.1 200 OK\r\n\0\xff"), Some(200));
    assert_eq!(parsed_status(b"HTTP/1.0 503 \r\n"), Some(503));
    assert_eq!(parsed_status(b"HTTP/1.1 200\n"), Some(200));
    assert_eq!(parsed_status(b"HTTP/1.1 200 OK"), None);
    assert_eq!(parsed_status(b"HTTP/1.1 2000 OK\r\n"), None);
    assert_eq!(parsed_status(b"\xff\0noise\r\nHTTP/1.1 200 OK\r\n"), None);
    assert_eq!(parsed_status(b"HTTP/1.1 +20 OK\r\n"), None);
}

/// Guards against the status of an interim response being taken for that of the final response.
#[test]
fn interim_responses_are_skipped() {
    let interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n";
    assert_eq!(parsed_status(interim), Some(200));
    assert_eq!(parsed_status(b"HTTP/1.1 100 Continue\r\n\r\n"), None);
}

/// Guards against a response that counts as malformed because of empty lines before it, which the HTTP library
/// accepts.
#[test]
fn empty_lines_before_a_response_are_skipped() {
    assert_eq!(parsed_status(b"\r\n\n\r\nHTTP/1.1 200 OK\r\n"), Some(200));
    assert_eq!(parsed_status(b"\r\n"), None);
}
