//! The journal as the sender uses it: opened once, then written before each step.

use std::collections::{BTreeSet, VecDeque};
use std::path::Path;
use std::time::{Duration, Instant};

use delivery_control::{MessageId, Micros};

use super::capacity::{reserved_bytes, DiskBudget};
use super::compaction::encode_snapshot;
use super::error::JournalError;
use super::file::JournalFile;
use super::frame::encode;
use super::record::{AcceptedMessage, AttemptStart, ClockReading, Record};
use super::state::{replay, JournalEntry, JournalState};
use crate::notice::Notice;

/// Endpoints that operators may have drained at a time. Their names stay until they are restored, also where
/// no such endpoint is listed any more.
pub(super) const MAX_DRAINED_ENDPOINTS: usize = 1024;

/// Least time between compactions that fail: each writes all of the state.
const COMPACTION_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The journal of one sender.
///
/// Its state is ahead of the file while the folder takes no writes: what has happened to messages is kept in
/// `unwritten` until it can be appended. What must be on the disk first is refused meanwhile.
pub struct Journal {
    file: JournalFile,
    budget: DiskBudget,
    state: JournalState,
    /// Frames that could not be appended yet, oldest first. They are bounded by the open messages: no new
    /// message or attempt is recorded before them.
    unwritten: VecDeque<Vec<u8>>,
    /// When a compaction failed, so that it is not tried with each record.
    compaction_failed_at: Option<Instant>,
}

impl Journal {
    /// Opens the journal in the state folder and replays it. An incomplete record at its end is cut off, at
    /// the latest before the next record. All files of the journal together take no more than `disk_bytes`.
    pub fn open(folder: &Path, disk_bytes: u64) -> Result<Self, JournalError> {
        let (mut file, contents) = JournalFile::open(folder)?;
        let replayed = replay(&contents);
        if replayed.complete_length < contents.len() {
            let bytes = contents.len() - replayed.complete_length;
            tracing::warn!(bytes, "incomplete journal record cut off");
            if let Err(error) = file.truncate(replayed.complete_length as u64) {
                tracing::warn!(%error, "incomplete journal record not cut off yet");
            }
        }
        let budget = DiskBudget::new(disk_bytes);
        Ok(Self {
            file,
            budget,
            state: replayed.state,
            unwritten: VecDeque::new(),
            compaction_failed_at: None,
        })
    }

    /// All messages that are open or have a pending notice, in the order in which they were accepted.
    pub fn entries(&self) -> impl Iterator<Item = (MessageId, &JournalEntry)> {
        self.state.entries()
    }

    /// Whether the message is held and has not ended.
    pub fn is_open(&self, id: MessageId) -> bool {
        self.state.is_open(id)
    }

    /// The messages that are held and have not ended.
    pub fn open_messages(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.state.open_messages()
    }

    /// Whether a message of this id was delivered, or failed after attempts, a while ago.
    pub fn has_recently_ended(&self, call_id: &str) -> bool {
        self.state.recently_ended().contains(call_id)
    }

    /// Names of the endpoints that operators have drained.
    pub fn drained_endpoints(&self) -> &BTreeSet<String> {
        self.state.drained_endpoints()
    }

    /// The last reading of the clocks, by the process that began to count in this time.
    pub fn clock_reading(&self) -> Option<&ClockReading> {
        self.state.clock_reading()
    }

    /// Records a reading of the clocks, from which the next process goes on.
    pub fn record_clock_reading(&mut self, reading: ClockReading) -> Result<(), JournalError> {
        self.append_outcome(Record::ClockReading(reading))
    }

    /// Brings the deadlines of open messages forward to these times, each of a message that can't have longer.
    pub fn limit_deadlines(
        &mut self,
        latest: impl IntoIterator<Item = (MessageId, Micros)>,
    ) -> Result<(), JournalError> {
        let mut is_changed = false;
        for (id, latest) in latest {
            is_changed |= self.state.limit_deadline(id, latest);
        }
        if is_changed {
            self.compact()?;
        }
        Ok(())
    }

    /// An id that no message of this journal has had.
    pub fn next_id(&self) -> MessageId {
        self.state.highest_used_id() + 1
    }

    /// Records that an operator drained an endpoint; one that is drained already takes no record.
    pub fn record_drained(&mut self, name: &str) -> Result<(), JournalError> {
        let drained = self.state.drained_endpoints();
        if drained.contains(name) {
            return Ok(());
        }
        if drained.len() >= MAX_DRAINED_ENDPOINTS {
            return Err(JournalError::Full);
        }
        self.append_within_hard_limit(Record::EndpointDrained(name.to_owned()))
    }

    /// Records that an operator restored an endpoint; one that is not drained takes no record.
    pub fn record_restored(&mut self, name: &str) -> Result<(), JournalError> {
        if !self.state.drained_endpoints().contains(name) {
            return Ok(());
        }
        self.append_within_hard_limit(Record::EndpointRestored(name.to_owned()))
    }

    /// Records that a message is accepted. Until then its client must not be told so.
    pub fn record_accepted(&mut self, id: MessageId, message: AcceptedMessage) -> Result<(), JournalError> {
        if self.state.open_bytes() + reserved_bytes(&message) > self.budget.open_messages() {
            return Err(JournalError::Full);
        }
        self.append(Record::Accepted(id, message), self.budget.compaction_threshold())
    }

    /// Records that an attempt starts. Until then no byte of it may be sent. To be called once the connection
    /// is established: if the process died before that, a call that was never made would count as one that
    /// may have taken effect.
    pub fn record_attempt(&mut self, id: MessageId, attempt: AttemptStart) -> Result<(), JournalError> {
        self.append_within_hard_limit(Record::AttemptStarted(id, attempt))
    }

    /// Records that no byte of the last attempt was sent, nor will be.
    pub fn record_unsent(&mut self, id: MessageId) -> Result<(), JournalError> {
        self.append_outcome(Record::AttemptUnsent(id))
    }

    /// Records that the last attempt was not processed by its endpoint.
    pub fn record_unprocessed(&mut self, id: MessageId) -> Result<(), JournalError> {
        self.append_outcome(Record::AttemptUnprocessed(id))
    }

    /// Records that a message ended, with the notice that the platform must get, if any.
    pub fn record_end(&mut self, id: MessageId, notice: Option<Notice>) -> Result<(), JournalError> {
        self.append_outcome(Record::Ended(id, notice))
    }

    /// Records that the platform acknowledged the notice.
    pub fn record_notice_acknowledged(&mut self, id: MessageId) -> Result<(), JournalError> {
        self.append_outcome(Record::NoticeAcknowledged(id))
    }

    /// Whether all that has happened is in the file.
    pub fn is_synchronized(&self) -> bool {
        self.unwritten.is_empty() && !self.file.is_torn()
    }

    /// Appends what could not be appended yet. Where the file cannot be appended to, it is replaced.
    pub fn synchronize(&mut self) -> Result<(), JournalError> {
        if self.is_synchronized() {
            return Ok(());
        }
        let Err(error) = self.append_unwritten() else { return Ok(()) };
        // The new file holds all of the state.
        self.try_compact().then_some(()).ok_or(error)
    }

    fn append_unwritten(&mut self) -> Result<(), JournalError> {
        self.file.repair()?;
        while let Some(frame) = self.unwritten.front() {
            let length = frame.len() as u64;
            if self.file.length() + length > self.budget.hard_limit() {
                return Err(JournalError::Full);
            }
            self.file.append(frame)?;
            self.unwritten.pop_front();
        }
        Ok(())
    }

    /// Records what has happened already. It takes effect in any case, and is appended as soon as the file
    /// can be; an error says that it is not in the file yet.
    fn append_outcome(&mut self, record: Record) -> Result<(), JournalError> {
        let frame = encode(&record)?;
        self.state.apply(record);
        self.unwritten.push_back(frame);
        self.compact_when_due(0);
        self.synchronize()
    }

    /// Appends a record that brings accepted messages on, or that is small: it may use the space that is
    /// closed to new messages.
    fn append_within_hard_limit(&mut self, record: Record) -> Result<(), JournalError> {
        self.append(record, self.budget.hard_limit())
    }

    /// Appends a record unless the file would grow past this length, and applies it. A file that has reached
    /// the threshold is compacted first; where that fails, it grows on up to its limits.
    pub(super) fn append(&mut self, record: Record, max_length: u64) -> Result<(), JournalError> {
        self.synchronize()?;
        let frame = encode(&record)?;
        let frame_length = frame.len() as u64;
        self.compact_when_due(frame_length);
        if self.file.length() + frame_length > max_length {
            return Err(JournalError::Full);
        }
        self.file.append(&frame)?;
        self.state.apply(record);
        Ok(())
    }

    /// Compacts the file, unless that failed a moment ago; whether it was compacted.
    fn try_compact(&mut self) -> bool {
        if self.compaction_failed_at.is_some_and(|at| at.elapsed() < COMPACTION_RETRY_INTERVAL) {
            return false;
        }
        let compacted = self.compact();
        self.compaction_failed_at = compacted.is_err().then(Instant::now);
        if let Err(error) = &compacted {
            tracing::debug!(%error, "journal compaction failed");
        }
        compacted.is_ok()
    }

    /// Compacts the file if this many more bytes would take it beyond the threshold.
    fn compact_when_due(&mut self, more_bytes: u64) {
        let unwritten: usize = self.unwritten.iter().map(Vec::len).sum();
        let length = self.file.length() + unwritten as u64 + more_bytes;
        if length > self.budget.compaction_threshold() {
            self.try_compact();
        }
    }

    /// Replaces the file by one that holds the present state alone.
    pub(super) fn compact(&mut self) -> Result<(), JournalError> {
        let contents = encode_snapshot(&self.state, self.budget.recently_ended())?;
        if !self.budget.fits_both(self.file.length(), contents.len() as u64) {
            return Err(JournalError::Full);
        }
        self.file.replace(&contents)?;
        self.unwritten.clear();
        Ok(())
    }
}
