//! Bounds the memory of the request bodies that are being received or wait for a decision.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;

use tokio::sync::oneshot;

/// A request that waits for memory for its body.
struct WaitingBody {
    bytes: usize,
    granted: oneshot::Sender<BodyReservation>,
}

/// Memory for request bodies. When it is used up, freed memory goes to the request that came last: those
/// before it have waited longer, and their clients may have given up.
pub struct BodyMemory {
    /// Number of bytes that are not reserved.
    free: Cell<usize>,
    /// The requests that wait, in the order of their arrival.
    waiting: RefCell<Vec<WaitingBody>>,
}

impl BodyMemory {
    /// Memory of `capacity` bytes, all of it free.
    pub fn new(capacity: usize) -> Rc<Self> {
        Rc::new(Self { free: Cell::new(capacity), waiting: RefCell::default() })
    }

    /// Requests memory for a body. The receiver yields it at once if it is free, otherwise when others have
    /// freed it.
    pub fn request(self: &Rc<Self>, bytes: usize) -> oneshot::Receiver<BodyReservation> {
        let (granted, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(WaitingBody { bytes, granted });
        self.grant();
        receiver
    }

    /// Grants free memory to the requests that came last, as far as it suffices.
    fn grant(self: &Rc<Self>) {
        while let Some(next) = self.take_grantable() {
            self.free.set(self.free.get() - next.bytes);
            let reservation = BodyReservation { memory: self.clone(), bytes: next.bytes };
            // If the request has ended meanwhile, the reservation is dropped, which frees the memory again.
            let _ = next.granted.send(reservation);
        }
    }

    /// Removes the request that came last, if the free memory suffices for it. Forgets requests that have
    /// ended.
    fn take_grantable(&self) -> Option<WaitingBody> {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|body| !body.granted.is_closed());
        waiting.pop_if(|body| body.bytes <= self.free.get())
    }
}

/// Memory that is reserved for one body until this value is dropped.
pub struct BodyReservation {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl fmt::Debug for BodyReservation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("BodyReservation").field("bytes", &self.bytes).finish_non_exhaustive()
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.free.set(self.memory.free.get() + self.bytes);
        self.memory.grant();
    }
}
