//! Tests of the connection limiter, without sockets.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use tokio::time::{advance, timeout};

use super::body_memory::BodyMemory;
use super::{ConnectionLimiter, ConnectionSlot, SMALL_BODY_BYTES};
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
    let limiter = ConnectionLimiter::new(3, 0);
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
    let limiter = ConnectionLimiter::new(32, 0);
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
    let limiter = ConnectionLimiter::new(3, 0);
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

/// Guards against bodies that take more memory together than there is, against memory that is lost with a request
/// that ended while it waited, and against requests that wait behind others whose clients have given up.
#[test]
fn freed_memory_goes_to_the_request_that_came_last() {
    let memory = BodyMemory::new(10);
    let first = memory.request(6).try_recv().expect("the memory is free");
    let mut second = memory.request(5);
    let third = memory.request(5);
    let mut fourth = memory.request(5);
    assert!(second.try_recv().is_err() && fourth.try_recv().is_err());
    drop(third);
    drop(first);
    let (second, fourth) = (second.try_recv().expect("both fit"), fourth.try_recv().expect("both fit"));
    let mut fifth = memory.request(1);
    let mut sixth = memory.request(6);
    drop(second);
    assert!(fifth.try_recv().is_err() && sixth.try_recv().is_err(), "the last one does not fit");
    drop(fourth);
    let sixth = sixth.try_recv().expect("it came last");
    let fifth = fifth.try_recv().expect("it fits as well");
    drop((fifth, sixth));
    assert!(memory.request(10).try_recv().is_ok(), "all memory is free again");
}

fn is_ready<F: Future>(future: F) -> bool {
    matches!(pin!(future).poll(&mut Context::from_waker(Waker::noop())), Poll::Ready(_))
}

/// Guards against a body that keeps its memory for as long as its client likes while others wait, and against
/// closing connections whose bodies have just begun to arrive.
#[tokio::test(start_paused = true)]
async fn bodies_that_do_not_arrive_give_up_their_memory() {
    let limiter = ConnectionLimiter::new(9, 20_000);
    let (stalled, recent, waiting) = (limiter.occupy(), limiter.occupy(), limiter.occupy());
    for occupied in [&stalled, &recent, &waiting] {
        occupied.slot().read(b"P");
    }
    let slots = [stalled.slot(), recent.slot(), waiting.slot()];
    let held = limiter.reserve_body(&slots[0], 10_000).await.expect("a long body needs memory");
    advance(Duration::from_millis(60)).await;
    let _recent = limiter.reserve_body(&slots[1], 10_000).await.expect("a long body needs memory");
    assert!(is_ready(limiter.reserve_body(&slots[2], SMALL_BODY_BYTES)), "a small body does not wait");
    let mut reservation = pin!(limiter.reserve_body(&slots[2], 10_000));
    assert!(timeout(Duration::from_millis(39), reservation.as_mut()).await.is_err());
    assert!(!slots[0].is_closing());
    assert!(timeout(Duration::from_millis(20), reservation.as_mut()).await.is_err());
    assert!(slots[0].is_closing() && !slots[1].is_closing());
    drop(held);
    assert!(reservation.await.is_some());
}
