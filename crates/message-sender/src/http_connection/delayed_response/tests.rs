//! Tests for the response after a second copy of an earlier one.

use std::time::Duration;

use tokio::time::{advance, Instant};

use super::{DelayedResponse, HeadState, MAX_HEAD_BYTES};

const COPY: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const REJECTION: &[u8] = b"HTTP/1.1 429 Wait\r\nX-Come-Back-Ms: 250\r\nContent-Length: 0\r\n\r\n";
/// Time for which copies arrive.
const COPY_TIME: Duration = Duration::from_millis(25);

fn delayed_response() -> DelayedResponse {
    DelayedResponse::new(Some(200), Instant::now() + COPY_TIME)
}

fn status(response: &DelayedResponse) -> Option<u16> {
    match response.head() {
        HeadState::Complete(head) => Some(head.status.as_u16()),
        HeadState::Partial | HeadState::Malformed => None,
    }
}

/// Guards against further copies, or the rest of one, that are read as the response.
#[tokio::test(start_paused = true)]
async fn copies_are_skipped_while_they_may_arrive() {
    let mut response = delayed_response();
    for part in [COPY, b"a part of a body".as_slice(), COPY.repeat(100).as_slice()] {
        assert!(!response.read(part));
    }
    assert_eq!(response.head(), HeadState::Partial);
    advance(COPY_TIME).await;
    assert!(response.read(COPY));
    assert_eq!(status(&response), Some(200));
}

/// Guards against a Retry-After that is missed because an endpoint rejects a message at once.
#[tokio::test(start_paused = true)]
async fn a_response_with_another_status_is_no_copy() {
    let mut response = delayed_response();
    assert!(!response.read(COPY));
    let (start, end) = REJECTION.split_at(30);
    assert!(response.read(start));
    assert_eq!(response.head(), HeadState::Partial);
    assert!(response.read(end));
    let HeadState::Complete(head) = response.head() else { panic!("the head has arrived") };
    assert_eq!((head.status.as_u16(), &head.headers["x-come-back-ms"]), (429, &"250".parse().unwrap()));
}

/// Guards against waiting for the end of a head that is none, and against memory that grows with it.
#[tokio::test(start_paused = true)]
async fn a_malformed_or_endless_head_ends_the_wait() {
    let mut response = delayed_response();
    advance(COPY_TIME).await;
    response.read(b"noise\r\n\r\n");
    assert_eq!(response.head(), HeadState::Malformed);
    let mut response = delayed_response();
    advance(COPY_TIME).await;
    response.read(b"HTTP/1.1 200 OK\r\nName: ");
    response.read(&vec![b'a'; 2 * MAX_HEAD_BYTES]);
    assert_eq!(response.head(), HeadState::Malformed);
    assert_eq!(response.head.len(), MAX_HEAD_BYTES);
}
