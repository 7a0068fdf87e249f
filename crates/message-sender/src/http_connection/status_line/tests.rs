//! Complete, partial, malformed and interim status lines.

use super::StatusLineParser;

/// The status that a response tells, which must not depend on how its bytes are cut up.
fn parsed_status(response: &[u8]) -> Option<u16> {
    let mut parser = StatusLineParser::default();
    parser.read(response);
    let status = parser.status();

    let mut bytewise_parser = StatusLineParser::default();
    for byte in response {
        bytewise_parser.read(std::slice::from_ref(byte));
    }
    assert_eq!(bytewise_parser.status(), status, "however it is cut up");
    status
}

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

#[test]
fn interim_responses_are_skipped() {
    let interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n";
    assert_eq!(parsed_status(interim), Some(200));
    assert_eq!(parsed_status(b"HTTP/1.1 100 Continue\r\n\r\n"), None);
}
