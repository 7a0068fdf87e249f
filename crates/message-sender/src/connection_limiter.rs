//! Which connections from clients stay: each has a seat that knows whether a request is open on it. A client
//! that says nothing, or never comes to an end, must not keep others out.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

use crate::instrumented_stream::StreamObserver;

/// One span for a request's head and body, from the connection's start or from the request's first byte on. A
/// client is owed an answer or a close within 3 s, and may have waited in the backlog before.
const REQUEST_PATIENCE: Duration = Duration::from_millis(2200);
/// A connection without a request may be closed after 2 s. While there is room it may stay a little longer:
/// clients that ask often then need no new one.
const IDLE_PATIENCE: Duration = Duration::from_secs(5);
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// How often it is looked whether requests are on their way, once the process is to end.
const LOOK_GAP: Duration = Duration::from_millis(5);
/// Pause after a failed accept: the cause, such as no descriptor left, will not be gone at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Between requests, or no byte has come yet.
    Idle,
    /// Part of a request has come.
    Reading,
    /// A request is whole and not answered yet.
    Open,
}

/// The place of one connection.
pub struct ConnectionSlot {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// No request has been answered on it yet.
    fresh: Cell<bool>,
    /// Bytes since the last answer.
    received: Cell<u64>,
    /// It has been told to go, to make room for another.
    leaves: Cell<bool>,
    /// Where the request's head ends among them, and how much of the blank line that ends it has come.
    head: Cell<Option<u64>>,
    blank: Cell<u8>,
    unwanted: Notify,
}

impl StreamObserver for ConnectionSlot {
    fn read(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.phase.get() == Phase::Idle {
            self.phase.set(Phase::Reading);
            // The first request's time has run since the connection's start.
            if !self.fresh.get() {
                self.since.set(Instant::now());
            }
        }
        if self.head.get().is_none() {
            self.head.set(self.find_end(bytes).map(|at| self.received.get() + at));
        }
        self.received.set(self.received.get() + bytes.len() as u64);
    }

    fn written(&self, _: usize) {}
}

impl ConnectionSlot {
    fn new() -> Self {
        Self {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
            fresh: Cell::new(true),
            received: Cell::new(0),
            leaves: Cell::new(false),
            head: Cell::new(None),
            blank: Cell::new(0),
            unwanted: Notify::new(),
        }
    }

    /// How many of these bytes belong to the head, if the blank line after it ends among them.
    fn find_end(&self, bytes: &[u8]) -> Option<u64> {
        for (at, byte) in bytes.iter().enumerate() {
            let blank = match (self.blank.get(), byte) {
                (1, b'\n') => 2,
                (2, b'\r') => 3,
                (3, b'\n') => return Some(at as u64 + 1),
                (_, b'\r') => 1,
                _ => 0,
            };
            self.blank.set(blank);
        }
        None
    }

    /// A request has come whole.
    pub fn open(&self) {
        self.phase.set(Phase::Open);
    }

    /// Whether exactly one request has come: a head and a body of this length. More is pipelined, or hidden in
    /// what another reader would take for the body; clients send one request at a time.
    pub fn holds_one_request(&self, body: u64) -> bool {
        self.head.get().is_some_and(|head| self.received.get() <= head + body)
    }

    /// The request has been answered.
    pub fn answered(&self) {
        self.phase.set(Phase::Idle);
        self.fresh.set(false);
        self.since.set(Instant::now());
        self.received.set(0);
        self.head.set(None);
        self.blank.set(0);
    }

    /// Part of a request has come, or all of it, and it is not answered yet.
    pub fn has_pending_request(&self) -> bool {
        self.phase.get() != Phase::Idle
    }

    /// Waits until the connection is to be closed.
    pub async fn wait_until_unwanted(&self) {
        self.unwanted.notified().await;
    }

    fn is_overdue(&self) -> bool {
        let patience = match self.phase.get() {
            Phase::Open => return false,
            Phase::Idle if !self.fresh.get() => IDLE_PATIENCE,
            Phase::Idle | Phase::Reading => REQUEST_PATIENCE,
        };
        self.since.get().elapsed() >= patience
    }
}

/// The seats of all connections from clients.
pub struct ConnectionLimiter {
    most: usize,
    /// Of these, those that another process of this sender still holds.
    elsewhere: Cell<usize>,
    /// Those whose connections have been told to go, and hold their descriptors until they have.
    leaving: Cell<usize>,
    slots: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    counter: Cell<u64>,
    changed: Notify,
}

/// A seat that is taken until this is dropped.
pub struct OccupiedSlot {
    limiter: Rc<ConnectionLimiter>,
    number: u64,
    pub slot: Rc<ConnectionSlot>,
}

impl Drop for OccupiedSlot {
    fn drop(&mut self) {
        self.limiter.slots.borrow_mut().remove(&self.number);
        let left = usize::from(self.slot.leaves.get());
        self.limiter.leaving.set(self.limiter.leaving.get() - left);
        self.limiter.changed.notify_one();
    }
}

impl ConnectionLimiter {
    pub fn new(most: usize) -> Rc<Self> {
        let (elsewhere, leaving, counter) = (Cell::new(0), Cell::new(0), Cell::new(0));
        let (slots, changed) = (RefCell::default(), Notify::new());
        Rc::new(Self { most, elsewhere, leaving, slots, counter, changed })
    }

    /// Accepts connections for good, and serves each in a task of its own until it or its seat ends that.
    pub async fn serve<F>(
        self: Rc<Self>,
        listener: TcpListener,
        converse: impl Fn(TcpStream, Rc<ConnectionSlot>) -> F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        loop {
            self.wait_for_slot().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    // Before the next one is accepted, so that all that are open are counted.
                    let taken = self.occupy();
                    let conversation = converse(stream, taken.slot.clone());
                    tokio::task::spawn_local(async move {
                        tokio::select! {
                            () = conversation => {}
                            () = taken.slot.wait_until_unwanted() => {}
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "a connection was not accepted");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn is_full(&self) -> bool {
        self.open_connections() >= self.most.saturating_sub(self.elsewhere.get()).max(1)
    }

    /// Connections that have a seat.
    pub fn open_connections(&self) -> usize {
        self.slots.borrow().len()
    }

    /// A request is on its way on some connection: one that was made to hand it in counts.
    pub fn has_pending_request(&self) -> bool {
        self.slots.borrow().values().any(|slot| slot.has_pending_request() || slot.fresh.get())
    }

    /// Waits until no request is on its way.
    pub async fn wait_until_quiet(&self) {
        while self.has_pending_request() {
            sleep(LOOK_GAP).await;
        }
    }

    /// So many seats are taken by connections of another process.
    pub fn reserve_for_predecessor(&self, elsewhere: usize) {
        self.elsewhere.set(elsewhere);
        self.changed.notify_one();
    }

    /// Waits until another connection can have a seat: always, unless requests are open on all, once those have gone
    /// that were told to. Otherwise a crowd that comes at once takes the descriptors of discovery and endpoints.
    pub async fn wait_for_slot(&self) {
        while self.leaving.get() > 0 || (self.is_full() && self.dispensable().is_none()) {
            self.changed.notified().await;
        }
    }

    /// Gives a new connection its seat. Where none is free, the connection that has been without a request for
    /// longest is closed.
    pub fn occupy(self: &Rc<Self>) -> OccupiedSlot {
        if self.is_full() {
            if let Some(slot) = self.dispensable() {
                // It may not be chosen again until it has gone.
                slot.open();
                slot.leaves.set(true);
                self.leaving.set(self.leaving.get() + 1);
                slot.unwanted.notify_one();
            }
        }
        let (number, slot) = (self.counter.get(), Rc::new(ConnectionSlot::new()));
        self.counter.set(number + 1);
        self.slots.borrow_mut().insert(number, slot.clone());
        OccupiedSlot { limiter: self.clone(), number, slot }
    }

    /// The request on this seat has been answered.
    pub fn answered(&self, slot: &ConnectionSlot) {
        slot.answered();
        self.changed.notify_one();
    }

    /// A silent connection before one on which a request is coming, and the oldest of each.
    fn dispensable(&self) -> Option<Rc<ConnectionSlot>> {
        let slots = self.slots.borrow();
        let closable = slots.values().filter(|slot| slot.phase.get() != Phase::Open);
        closable.min_by_key(|slot| (slot.phase.get() == Phase::Reading, slot.since.get())).cloned()
    }

    /// Closes what is overdue.
    pub async fn run_maintenance(self: Rc<Self>) {
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            self.slots.borrow().values().filter(|slot| slot.is_overdue()).for_each(|slot| {
                slot.unwanted.notify_one();
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a request that hides behind another, however its bytes are cut up on the way.
    #[test]
    fn what_stands_behind_a_request_is_seen() {
        let text = b"POST / HTTP/1.1\r\nA: b\r\n\r\nbody";
        for cut in 0..text.len() {
            let slot = ConnectionSlot::new();
            slot.read(&text[..cut]);
            slot.read(&text[cut..]);
            assert!(slot.holds_one_request(4), "cut at {cut}");
            assert!(!slot.holds_one_request(3), "cut at {cut}");
            slot.answered();
            assert!(!slot.holds_one_request(4));
        }
    }

    /// Guards against a request that is cut off for one that is only idle.
    #[test]
    fn the_longest_without_a_request_goes_first() {
        let limiter = ConnectionLimiter::new(3);
        let (open, reading, idle) = (limiter.occupy(), limiter.occupy(), limiter.occupy());
        open.slot.open();
        reading.slot.read(b"P");
        assert!(Rc::ptr_eq(&limiter.dispensable().unwrap(), &idle.slot));
        drop(idle);
        assert!(Rc::ptr_eq(&limiter.dispensable().unwrap(), &reading.slot));
        reading.slot.open();
        assert!(limiter.dispensable().is_none());
    }

    /// Guards against two processes that together hold more connections than one may.
    #[test]
    fn seats_that_another_process_holds_are_left_free() {
        let limiter = ConnectionLimiter::new(3);
        let _first = limiter.occupy();
        assert!(!limiter.is_full());
        limiter.reserve_for_predecessor(2);
        assert!(limiter.is_full());
        limiter.reserve_for_predecessor(9);
        drop(_first);
        assert!(!limiter.is_full(), "one at least gets in");
        limiter.reserve_for_predecessor(0);
        let (_first, _second) = (limiter.occupy(), limiter.occupy());
        assert!(!limiter.is_full());
    }
}
