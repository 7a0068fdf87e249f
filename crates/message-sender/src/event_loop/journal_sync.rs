//! Brings the journal up to date after its folder took no writes for a while, and what waits for that.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use delivery_control::{MessageId, Micros};
use tokio::time::Instant;

use super::EventLoop;
use crate::journal::JournalError;
use crate::notice::Notice;

/// How often a journal that cannot be written is tried again.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Least time between log events on records that could not be written.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What could not be recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnrecordedStep {
    /// A message that a client submitted; it was rejected.
    Submission,
    /// The start of an attempt; it was not made.
    AttemptStart,
    /// What became of an attempt or a message; recorded later.
    Outcome,
}

/// Counts records that could not be written, for a log event a second: there may be hundreds.
pub struct JournalFailureLog {
    counts: RefCell<BTreeMap<UnrecordedStep, u32>>,
    last_error: RefCell<String>,
    logged_at: Cell<Option<Instant>>,
}

impl JournalFailureLog {
    /// Starts with nothing counted.
    pub fn new() -> Self {
        Self { counts: RefCell::default(), last_error: RefCell::default(), logged_at: Cell::new(None) }
    }

    /// Counts a record that was not written, and logs it unless that was done a moment ago.
    pub fn count(&self, step: UnrecordedStep, error: &JournalError) {
        *self.counts.borrow_mut().entry(step).or_default() += 1;
        *self.last_error.borrow_mut() = error.to_string();
        self.log_when_due();
    }

    /// Logs what has been counted, if that is due.
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

/// A notice that must not be sent before its message's end is in the file: if the process died, the next one
/// would send the message while its client submits it again. It waits until the message's deadline at most,
/// after which nobody sends the message.
pub struct HeldNotice {
    /// The message.
    pub id: MessageId,
    /// Its deadline.
    pub deadline: Micros,
    /// The notice.
    pub notice: Notice,
}

/// When the journal was last tried, and the notices that wait for it.
pub struct JournalSync {
    tried_at: Instant,
    held_notices: Vec<HeldNotice>,
}

impl JournalSync {
    /// Starts with nothing waiting.
    pub fn new() -> Self {
        Self { tried_at: Instant::now(), held_notices: Vec::new() }
    }

    /// Has a notice wait until the journal is up to date.
    pub fn hold(&mut self, notice: HeldNotice) {
        self.held_notices.push(notice);
    }

    /// How many notices wait.
    pub fn held(&self) -> usize {
        self.held_notices.len()
    }
}

impl EventLoop {
    /// Whether all that has happened is in the journal's file, and reported.
    pub(super) fn is_journal_synchronized(&self) -> bool {
        self.journal.borrow().is_synchronized() && self.journal_sync.held() == 0
    }

    /// When the journal is to be tried again, if it is not up to date.
    pub(super) fn next_journal_retry(&self) -> Option<Instant> {
        (!self.is_journal_synchronized()).then(|| self.journal_sync.tried_at + RETRY_INTERVAL)
    }

    /// Tries to bring the journal up to date, if it is not and the last time is long enough ago, and sends
    /// the notices that need wait no longer.
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
