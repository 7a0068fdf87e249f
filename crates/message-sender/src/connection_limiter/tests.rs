//! Tests of the connection limiter without sockets.

use std::rc::Rc;

use super::{ConnectionLimiter, ConnectionSlot};
use crate::instrumented_stream::StreamObserver;

/// Guards against a request that hides behind another, however its bytes are cut up on the way.
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

/// Guards against a request that is cut off for one that is only idle.
#[test]
fn the_connection_longest_without_a_request_is_evicted_first() {
    let limiter = ConnectionLimiter::new(3);
    let (processing, receiving, idle) = (limiter.occupy(), limiter.occupy(), limiter.occupy());
    processing.slot().mark_request_received();
    receiving.slot().read(b"P");
    assert!(Rc::ptr_eq(&limiter.eviction_candidate().unwrap(), &idle.slot()));
    drop(idle);
    assert!(Rc::ptr_eq(&limiter.eviction_candidate().unwrap(), &receiving.slot()));
    receiving.slot().mark_request_received();
    assert!(limiter.eviction_candidate().is_none());
}

/// Guards against two processes that together hold more connections than one may.
#[test]
fn slots_reserved_for_a_predecessor_stay_free() {
    let limiter = ConnectionLimiter::new(3);
    let first = limiter.occupy();
    assert!(!limiter.is_full());
    limiter.reserve_for_predecessor(2);
    assert!(limiter.is_full());
    limiter.reserve_for_predecessor(9);
    drop(first);
    assert!(!limiter.is_full(), "one at least gets in");
    limiter.reserve_for_predecessor(0);
    let (_first, _second) = (limiter.occupy(), limiter.occupy());
    assert!(!limiter.is_full());
}
