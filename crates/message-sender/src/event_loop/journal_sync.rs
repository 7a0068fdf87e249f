//! Synchronizes the journal's file after its folder could not be written for a while, and holds the notices
//! that must wait for that.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use delivery_control::{MessageId, Micros};
use tokio::time::Instant;

use super::EventLoop;
use crate::journal::JournalError;
use crate::notice::Notice;

/// Time between two tries to write a journal that cannot be written.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two log lines about records that could not be written.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A step that could not be recorded in the journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnrecordedStep {
    /// A message that a client submitted; it was not accepted.
    Submission,
    /// The start of an attempt; the attempt was not made.
    AttemptStart,
    /// The outcome of an attempt or a message; it is recorded later.
    Outcome,
}

/// Counts records that could not be written and logs the counts once a second at most, since there may be
/// hundreds of them.
pub struct JournalFailureLog {
    counts: RefCell<BTreeMap<UnrecordedStep, u32>>,
    last_error: RefCell<String>,
    logged_at: Cell<Option<Instant>>,
}

impl JournalFailureLog {
    /// Creates a log with no counts.
    pub fn new() -> Self {
        Self { counts: RefCell::default(), last_error: RefCell::default(), logged_at: Cell::new(None) }
    }

    /// Counts a record that was not written, and logs the counts if that is due.
    pub fn count(&self, step: UnrecordedStep, error: &JournalError) {
        *self.counts.borrow_mut().entry(step).or_default() += 1;
        *self.last_error.borrow_mut() = error.to_string();
        self.log_when_due();
    }

    /// Logs the counts if there are any and the last log line is at least [`LOG_INTERVAL`] old.
    pub fn log_when_due(&self) {
        let is_recent = self.logged_at.get().is_some_and(|at| at.elapsed() < LOG_INTERVAL);
        if is_recent || self.counts.borrow().is_empty() {
            return;
        }
        self.logged_at.set(Some(Instant::now()));
        let records = self.counts.take();
        tracing::error!(?records, error = %self.last_error.borrow(), "journal records not written");
    }
}

/// A notice that must not be sent before its message's end is in the journal's file: if it were sent and the
/// process then died, the next process would send the message after its end. The notice is held until the
/// message's deadline at most, after which no process sends the message.
pub struct HeldNotice {
    /// The message that the notice is about.
    pub id: MessageId,
    /// The message's deadline, in microseconds of the journal's clock.
    pub deadline: Micros,
    /// The notice to be sent.
    pub notice: Notice,
}

/// The time of the last try to synchronize the journal, and the notices that wait for it.
pub struct JournalSync {
    tried_at: Instant,
    held_notices: Vec<HeldNotice>,
}

impl JournalSync {
    /// Starts with no notices held.
    pub fn new() -> Self {
        Self { tried_at: Instant::now(), held_notices: Vec::new() }
    }

    /// Holds a notice until the journal is synchronized or the message's deadline has passed.
    pub fn hold(&mut self, notice: HeldNotice) {
        self.held_notices.push(notice);
    }

    /// Number of notices held.
    pub fn held_count(&self) -> usize {
        self.held_notices.len()
    }
}

impl EventLoop {
    /// Whether all records are in the journal's file and no notice is held.
    pub(super) fn is_journal_synchronized(&self) -> bool {
        self.journal.borrow().is_synchronized() && self.journal_sync.held_count() == 0
    }

    /// When to try again to synchronize the journal; `None` if there is nothing to synchronize.
    pub(super) fn next_journal_retry(&self) -> Option<Instant> {
        (!self.is_journal_synchronized()).then(|| self.journal_sync.tried_at + RETRY_INTERVAL)
    }

    /// Tries to synchronize the journal if that is needed and the last try is at least [`RETRY_INTERVAL`]
    /// ago, and queues the held notices that need not wait any longer.
    pub(super) fn synchronize_journal(&mut self) {
        self.journal_failures.log_when_due();
        if self.next_journal_retry().is_none_or(|due| due > Instant::now()) {
            return;
        }
        self.journal_sync.tried_at = Instant::now();
        let is_synchronized = self.journal.borrow_mut().synchronize().is_ok();
        let now = self.clock.now();
        let held = std::mem::take(&mut self.journal_sync.held_notices);
        for notice in held {
            if is_synchronized || notice.deadline <= now {
                self.notices.push(notice.id, notice.notice);
            } else {
                self.journal_sync.hold(notice);
            }
        }
    }
}
