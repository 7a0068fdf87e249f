//! Tests for heads that are complete, partial, malformed or endless.

use super::{HeadCollector, HeadState, MAX_HEAD_BYTES};

fn state_after(parts: &[&[u8]]) -> HeadState {
    let mut head = HeadCollector::default();
    for part in parts {
        head.read(part);
    }
    head.state()
}

/// Guards against headers that are missed because a head arrives in parts.
#[test]
fn a_head_in_parts_is_complete_with_its_last_part() {
    let parts: [&[u8]; 2] = [b"HTTP/1.1 429 Wait\r\nX-Come-Back", b"-Ms: 250\r\nContent-Length: 0\r\n\r\n"];
    assert_eq!(state_after(&parts[..1]), HeadState::Partial);
    let HeadState::Complete(head) = state_after(&parts) else { panic!("the head has arrived") };
    assert_eq!((head.status.as_u16(), &head.headers["x-come-back-ms"]), (429, &"250".parse().unwrap()));
}

/// Guards against waiting for the end of a head that is none, and against memory that grows with it.
#[test]
fn a_malformed_or_endless_head_is_recognized() {
    assert_eq!(state_after(&[b"noise\r\n\r\n"]), HeadState::Malformed);
    let mut head = HeadCollector::default();
    head.read(b"HTTP/1.1 200 OK\r\nName: ");
    head.read(&vec![b'a'; 2 * MAX_HEAD_BYTES]);
    assert_eq!(head.state(), HeadState::Malformed);
    assert_eq!(head.bytes.len(), MAX_HEAD_BYTES);
}
