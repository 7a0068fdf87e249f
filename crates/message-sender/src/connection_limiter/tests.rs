//! Tests of the connection limiter, without sockets.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{advance, timeout};

use super::{ConnectionLimiter, ConnectionSlot};
use crate::instrumented_stream::StreamObserver;

/// Guards against missing a request that follows another one, because the head of the first arrives in pieces
/// and its end is not found.
#[test]
fn bytes_beyond_one_request_are_noticed() {
    let text = b"POST / HTTP/1.1\r\nA: b\r\n\r\nbody";
    for cut in 0..text.len() {
        let slot = ConnectionSlot::new();
        slot.read(&text[..cut]);
        slot.read(&text[cut..]);
        assert!(slot.holds_one_request(4), "cut at {cut}");
        assert!(!slot.holds_one_request(3), "cut at {cut}");
        slot.mark_answered();
        assert!(!slot.holds_one_request(4));
    }
}

/// Guards against evicting a connection with a request on it while another connection is idle.
#[tokio::test(start_paused = true)]
async fn the_connection_longest_without_a_request_is_evicted_first() {
    let limiter = ConnectionLimiter::new(3);
    let (processing, receiving, idle) = (limiter.occupy(), limiter.occupy(), limiter.occupy());
    processing.slot().mark_request_received();
    receiving.slot().read(b"P");
    advance(Duration::from_millis(50)).await;
    assert!(Rc::ptr_eq(&limiter.eviction_candidate().unwrap(), &idle.slot()));
    drop(idle);
    assert!(Rc::ptr_eq(&limiter.eviction_candidate().unwrap(), &receiving.slot()));
    receiving.slot().mark_request_received();
    assert!(limiter.eviction_candidate().is_none());
}

/// Guards against new connections that wait for evictions, against an eviction of the connections that were just
/// accepted, and against more connections than there are descriptors for.
#[tokio::test(start_paused = true)]
async fn connections_are_evicted_ahead_of_need() {
    let limiter = ConnectionLimiter::new(32);
    let occupied: Vec<_> = (0..31)
        .map(|_| {
            let occupied = limiter.occupy();
            occupied.slot().read(b"P");
            occupied
        })
        .collect();
    assert!(occupied[0].slot().is_closing() && !occupied[1].slot().is_closing());
    advance(Duration::from_millis(50)).await;
    let new = limiter.occupy();
    assert!(occupied[1].slot().is_closing() && !new.slot().is_closing());
    assert!(limiter.is_full(), "an evicted connection keeps its descriptor until it is closed");
    assert!(timeout(Duration::from_millis(1), limiter.wait_for_slot()).await.is_err());
    drop(occupied);
    limiter.wait_for_slot().await;
}

/// Guards against a predecessor and its successor that together hold more connections than one process may.
#[test]
fn slots_reserved_for_a_predecessor_stay_free() {
    let limiter = ConnectionLimiter::new(3);
    let first = limiter.occupy();
    assert!(!limiter.is_full());
    limiter.reserve_for_predecessor(2);
    assert!(limiter.is_full());
    limiter.reserve_for_predecessor(9);
    drop(first);
    assert!(!limiter.is_full(), "at least one connection is accepted");
    limiter.reserve_for_predecessor(0);
    let (_first, _second) = (limiter.occupy(), limiter.occupy());
    assert!(!limiter.is_full());
}
