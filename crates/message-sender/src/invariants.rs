//! Counts and logs violations of the invariants that every sender must keep.
//!
//! The checks are made by [`delivery_control::AttemptGuard`], by the event loop's audits, and at the end of
//! the process. Each violation is a bug in the program. Each is logged, up to a limit that keeps a flood of
//! them out of the log.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use delivery_control::{Invariant, MessageId};

use crate::metrics::{increment, Metrics};

/// Maximum number of violations that one process logs; the metric counts all.
const MAX_LOG_LINES: u64 = 100;

/// Counts violations of invariants; a repeated violation of one invariant by the same message counts once.
pub struct InvariantMonitor {
    metrics: Rc<Metrics>,
    reported: RefCell<BTreeSet<(Invariant, MessageId)>>,
    logged_lines: Cell<u64>,
}

impl InvariantMonitor {
    /// A monitor that counts violations in these metrics.
    pub fn new(metrics: Rc<Metrics>) -> Rc<Self> {
        Rc::new(Self { metrics, reported: RefCell::default(), logged_lines: Cell::new(0) })
    }

    /// Reports that an invariant was violated for a message.
    pub fn report(&self, invariant: Invariant, message_id: MessageId) {
        if self.reported.borrow_mut().insert((invariant, message_id)) {
            self.count(invariant, Some(message_id));
        }
    }

    /// Reports a violation that concerns a connection and no particular message.
    pub fn report_connection(&self, invariant: Invariant) {
        self.count(invariant, None);
    }

    /// Forgets the violations of a message that has ended: its id is never used again.
    pub fn forget(&self, message_id: MessageId) {
        let mut reported = self.reported.borrow_mut();
        if !reported.is_empty() {
            reported.retain(|(_, id)| *id != message_id);
        }
    }

    fn count(&self, invariant: Invariant, message_id: Option<MessageId>) {
        increment(&self.metrics.invariant_violations);
        if self.logged_lines.get() < MAX_LOG_LINES {
            increment(&self.logged_lines);
            tracing::error!(?invariant, ?message_id, "invariant violated");
        }
    }
}
