//! Limits the open connections of one listener, and evicts a connection if a new one finds no free slot.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

use super::body_memory::{BodyMemory, BodyReservation};
use super::{CloseReason, ConnectionSlot, Phase};

/// Interval between checks for timed-out connections.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between the checks of [`ConnectionLimiter::close_all`] for open connections.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// One of so many slots is kept free for new connections, as far as connections can be evicted.
const SPARE_SLOTS_DIVISOR: usize = 16;
/// Time for which a connection is evicted only after all others: its request may be about to arrive.
const NEW_CONNECTION_TIME: Duration = Duration::from_millis(50);
/// Length in bytes up to which a body needs no reservation: it is part of what each connection may take.
pub const SMALL_BODY_BYTES: usize = 4 * 1024;
/// Time for which a body that is being received keeps its memory although other requests wait for it.
const BODY_HOLD_TIME: Duration = Duration::from_millis(100);
/// Interval at which a request that waits for memory checks whether others have held it for too long.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(20);

/// Limits how many connections are open at the same time.
pub struct ConnectionLimiter {
    /// Maximum number of open connections, including those reserved for a predecessor process.
    capacity: usize,
    /// Memory for the bodies of requests.
    body_memory: Rc<BodyMemory>,
    /// Number of slots that are left to the connections of a predecessor process.
    reserved: Cell<usize>,
    /// Number of connections that were evicted but are not closed yet, and so still hold their file
    /// descriptors.
    evictions_pending: Cell<usize>,
    /// The slots of all open connections, by numbers that are assigned in the order of acceptance.
    slots: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    /// The number of the next connection in `slots`.
    next_number: Cell<u64>,
    /// Notified when a slot may have become available.
    changed: Notify,
}

/// Holds the slot of a connection, and releases it when dropped.
pub(super) struct OccupiedSlot {
    limiter: Rc<ConnectionLimiter>,
    number: u64,
    slot: Rc<ConnectionSlot>,
}

impl OccupiedSlot {
    pub(super) fn slot(&self) -> Rc<ConnectionSlot> {
        self.slot.clone()
    }
}

impl Drop for OccupiedSlot {
    fn drop(&mut self) {
        self.limiter.release(self.number, &self.slot);
    }
}

impl ConnectionLimiter {
    /// Creates a limiter for at most `capacity` connections, with `body_bytes` of memory for the bodies of
    /// their requests.
    pub fn new(capacity: usize, body_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            capacity,
            body_memory: BodyMemory::new(body_bytes),
            reserved: Cell::new(0),
            evictions_pending: Cell::new(0),
            slots: RefCell::default(),
            next_number: Cell::new(0),
            changed: Notify::new(),
        })
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.slots.borrow().len()
    }

    /// Whether a request is pending on any connection. A connection on which no request has been answered yet
    /// counts as well, because its client opened it to send one.
    pub fn has_pending_request(&self) -> bool {
        self.has_request_without_answer()
            || self.slots.borrow().values().any(|slot| slot.awaits_first_answer())
    }

    /// Logs the number of open connections in each phase.
    pub fn log_open_connections(&self) {
        let slots = self.slots.borrow();
        let in_phase = |phase| slots.values().filter(|slot| slot.phase() == phase).count();
        tracing::info!(
            idle = in_phase(Phase::Idle),
            receiving = in_phase(Phase::Receiving),
            processing = in_phase(Phase::Processing),
            awaiting_first_answer = slots.values().filter(|slot| slot.awaits_first_answer()).count(),
            "client connections at the end of the event loop"
        );
    }

    /// Whether a request has been received on any connection, at least in part, and is not answered yet.
    pub fn has_request_without_answer(&self) -> bool {
        self.slots.borrow().values().any(|slot| slot.has_pending_request())
    }

    /// Asks for all connections to be closed, because the process is about to end, and waits until they are.
    pub async fn close_all(&self) {
        for slot in self.slots.borrow().values() {
            slot.close(CloseReason::ShuttingDown);
        }
        while self.open_connections() > 0 {
            sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }

    /// Reserves slots for the connections that a predecessor process still holds. One slot stays available in
    /// any case.
    pub fn reserve_for_predecessor(&self, connections: usize) {
        self.reserved.set(connections);
        self.changed.notify_one();
    }

    /// Waits until there is memory for a body of this length, and reserves it. Meanwhile, closes connections
    /// that have held the memory for their bodies for longer than [`BODY_HOLD_TIME`]. Small bodies need no
    /// reservation.
    pub async fn reserve_body(&self, slot: &ConnectionSlot, length: usize) -> Option<BodyReservation> {
        if length <= SMALL_BODY_BYTES {
            return None;
        }
        let mut granted = self.body_memory.request(length);
        slot.mark_awaiting_memory();
        loop {
            tokio::select! {
                biased;
                Ok(reservation) = &mut granted => {
                    slot.mark_body_reserved(length);
                    return Some(reservation);
                }
                () = sleep(RECLAIM_INTERVAL) => self.reclaim_body_memory(length),
            }
        }
    }

    /// Closes the connections that have held memory for a body that is still being received for longest, at
    /// least for [`BODY_HOLD_TIME`], until they hold `needed` bytes together.
    fn reclaim_body_memory(&self, needed: usize) {
        let slots = self.slots.borrow();
        let mut stalled: Vec<_> = slots
            .values()
            .filter(|slot| slot.phase() == Phase::Receiving && !slot.is_closing())
            .filter_map(|slot| Some((slot.reserved_body()?, slot)))
            .filter(|(body, _)| body.since.elapsed() >= BODY_HOLD_TIME)
            .collect();
        stalled.sort_by_key(|(body, _)| body.since);
        let mut reclaimed = 0;
        for (body, slot) in stalled {
            if reclaimed >= needed {
                return;
            }
            slot.close(CloseReason::MemoryShortage);
            reclaimed += body.bytes;
        }
    }

    /// Records that the request on this slot has been answered.
    pub fn mark_answered(&self, slot: &ConnectionSlot) {
        slot.mark_answered();
        self.changed.notify_one();
    }

    /// Closes timed-out connections at regular intervals, until the future is dropped.
    pub async fn run_maintenance(self: Rc<Self>) {
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            self.close_timed_out();
        }
    }

    /// Waits until a new connection can get a slot. If none is free, connections are evicted, as far as no
    /// request is being processed on them. Without this wait, many clients that connect at once would use up
    /// the file descriptors that discovery and the connections to endpoints need.
    pub(super) async fn wait_for_slot(&self) {
        while self.is_full() {
            self.evict_down_to(self.target().min(self.available() - 1));
            self.changed.notified().await;
        }
    }

    /// Assigns a free slot to a new connection. If few others are free, connections are evicted ahead of need:
    /// each keeps its slot until its client has read the answer, which new clients should not have to wait for.
    pub(super) fn occupy(self: &Rc<Self>) -> OccupiedSlot {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let slot = Rc::new(ConnectionSlot::new());
        self.slots.borrow_mut().insert(number, slot.clone());
        self.evict_down_to(self.target());
        OccupiedSlot { limiter: self.clone(), number, slot }
    }

    /// Whether no slot is free.
    pub(super) fn is_full(&self) -> bool {
        self.open_connections() >= self.available()
    }

    /// Number of slots that are not reserved for a predecessor, at least one.
    fn available(&self) -> usize {
        self.capacity.saturating_sub(self.reserved.get()).max(1)
    }

    /// Number of connections beyond which some are evicted ahead of need.
    fn target(&self) -> usize {
        self.available() - self.available() / SPARE_SLOTS_DIVISOR
    }

    /// The connection to evict if a new one needs a slot. Idle connections come before those on which a
    /// request is being received, and new connections come last; among each, the one whose phase began
    /// first. Connections on which a request is being processed are not evicted, and none that is about to
    /// close anyway.
    pub(super) fn eviction_candidate(&self) -> Option<Rc<ConnectionSlot>> {
        let slots = self.slots.borrow();
        let evictable = slots.values().filter(|slot| slot.phase() != Phase::Processing && !slot.is_closing());
        evictable
            .min_by_key(|slot| {
                let is_new = slot.phase_started().elapsed() < NEW_CONNECTION_TIME;
                (is_new, !is_new && slot.phase() == Phase::Receiving, slot.phase_started())
            })
            .cloned()
    }

    /// Asks for connections to be closed until no more than `target` remain, as far as they can be evicted.
    fn evict_down_to(&self, target: usize) {
        while self.open_connections() - self.evictions_pending.get() > target {
            let Some(slot) = self.eviction_candidate() else { return };
            slot.close(CloseReason::Evicted);
            self.evictions_pending.set(self.evictions_pending.get() + 1);
        }
    }

    fn release(&self, number: u64, slot: &ConnectionSlot) {
        self.slots.borrow_mut().remove(&number);
        if slot.is_evicted() {
            self.evictions_pending.set(self.evictions_pending.get() - 1);
        }
        self.changed.notify_one();
    }

    fn close_timed_out(&self) {
        for slot in self.slots.borrow().values() {
            if let Some(reason) = slot.timed_out() {
                slot.close(reason);
            }
        }
    }
}
