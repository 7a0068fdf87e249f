//! Counts and logs violations of the invariants that every sender must keep.
//!
//! The checks are made by [`delivery_control::AttemptGuard`], by the event loop's audits, and at the end of
//! the process. Each violation is a bug in the program. Each is logged, up to a limit that keeps a flood of
//! them out of the log.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use delivery_control::{EndpointId, Invariant, MessageId};

use crate::metrics::{increment, Metrics};

/// Maximum number of violations that one process logs; the metric counts all.
const MAX_LOG_LINES: u64 = 100;

/// What a violation concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationSubject {
    /// A message.
    Message(MessageId),
    /// An endpoint.
    Endpoint(EndpointId),
    /// A connection with a client. Each violation is counted, since connections have no ids.
    Connection,
}

/// Counts violations of invariants; a repeated violation of one invariant by the same subject counts once.
pub struct InvariantMonitor {
    metrics: Rc<Metrics>,
    reported: RefCell<BTreeSet<(Invariant, ViolationSubject)>>,
    logged_lines: Cell<u64>,
}

impl InvariantMonitor {
    /// A monitor that counts violations in these metrics.
    pub fn new(metrics: Rc<Metrics>) -> Rc<Self> {
        Rc::new(Self { metrics, reported: RefCell::default(), logged_lines: Cell::new(0) })
    }

    /// Reports that an invariant was violated.
    pub fn report(&self, invariant: Invariant, subject: ViolationSubject) {
        let is_new = self.reported.borrow_mut().insert((invariant, subject));
        if is_new || subject == ViolationSubject::Connection {
            self.count(invariant, subject);
        }
    }

    /// Forgets the violations of a message that has ended: its id is never used again.
    pub fn forget(&self, message_id: MessageId) {
        let mut reported = self.reported.borrow_mut();
        if !reported.is_empty() {
            reported.retain(|(_, subject)| *subject != ViolationSubject::Message(message_id));
        }
    }

    fn count(&self, invariant: Invariant, subject: ViolationSubject) {
        increment(&self.metrics.invariant_violations);
        if self.logged_lines.get() < MAX_LOG_LINES {
            increment(&self.logged_lines);
            tracing::error!(?invariant, ?subject, "invariant violated");
        }
    }
}
