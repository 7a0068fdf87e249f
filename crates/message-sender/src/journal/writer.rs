//! The interface of the journal: opened once at startup, then written as messages change state.

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

/// Maximum number of endpoints that operators may have drained at a time. A drained endpoint's name is kept
/// until it is restored, even if discovery no longer lists the endpoint.
pub(super) const MAX_DRAINED_ENDPOINTS: usize = 1024;

/// Minimum time between a failed compaction and the next one, since each compaction writes the whole state.
const COMPACTION_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The journal of one sender.
///
/// While the file cannot be written, the state is ahead of it: outcomes of attempts and messages are kept in
/// `unwritten` until they can be appended. Steps that must be recorded before they are taken, such as
/// accepting a message, are refused until then.
pub struct Journal {
    file: JournalFile,
    /// Limits of the file's length.
    budget: DiskBudget,
    /// The result of all records, including those in `unwritten`.
    state: JournalState,
    /// Frames that could not be appended yet, oldest first. The number of open messages bounds them, because
    /// no new message or attempt is recorded before they are written.
    unwritten: VecDeque<Vec<u8>>,
    /// When the last compaction failed, if it did. Prevents another one with each record.
    compaction_failed_at: Option<Instant>,
}

impl Journal {
    /// Opens the journal in the state folder and replays it. An incomplete record at its end is truncated, at
    /// the latest before the next record is appended. All files of the journal together take no more than
    /// `disk_bytes`.
    pub fn open(folder: &Path, disk_bytes: u64) -> Result<Self, JournalError> {
        let (mut file, contents) = JournalFile::open(folder)?;
        let replayed = replay(&contents);
        if replayed.complete_length < contents.len() {
            let bytes = contents.len() - replayed.complete_length;
            tracing::warn!(bytes, "incomplete record at the end of the journal truncated");
            if let Err(error) = file.truncate(replayed.complete_length as u64) {
                tracing::warn!(%error, "incomplete record at the end of the journal not truncated yet");
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

    /// Whether the journal holds the message and it has not ended.
    pub fn is_open(&self, id: MessageId) -> bool {
        self.state.is_open(id)
    }

    /// The messages that the journal holds and that have not ended.
    pub fn open_messages(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.state.open_messages()
    }

    /// Whether the journal holds the message, and its last attempt may have taken effect.
    pub fn has_attempt_started(&self, id: MessageId) -> bool {
        self.state.has_attempt_started(id)
    }

    /// Whether a message with this call id was recently delivered, or recently failed after attempts.
    pub fn has_recently_ended(&self, call_id: &str) -> bool {
        self.state.recently_ended().contains(call_id)
    }

    /// Names of the endpoints that operators have drained.
    pub fn drained_endpoints(&self) -> &BTreeSet<String> {
        self.state.drained_endpoints()
    }

    /// The last reading of the clocks that an earlier process or this one recorded.
    pub fn clock_reading(&self) -> Option<&ClockReading> {
        self.state.clock_reading()
    }

    /// Records a reading of the clocks, from which the next process continues the journal's clock.
    pub fn record_clock_reading(&mut self, reading: ClockReading) -> Result<(), JournalError> {
        self.append_outcome(Record::ClockReading(reading))
    }

    /// Moves the deadlines of open messages that are later than the given times to these times, and compacts
    /// the file if a deadline changed, because no record changes the deadline of an accepted message.
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

    /// The lowest id above all ids that messages of this journal have had.
    pub fn next_id(&self) -> MessageId {
        self.state.highest_used_id() + 1
    }

    /// Records that an operator drained an endpoint. Writes nothing if it is already drained.
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

    /// Records that an operator restored an endpoint. Writes nothing if it is not drained.
    pub fn record_restored(&mut self, name: &str) -> Result<(), JournalError> {
        if !self.state.drained_endpoints().contains(name) {
            return Ok(());
        }
        self.append_within_hard_limit(Record::EndpointRestored(name.to_owned()))
    }

    /// Records that a message is accepted. Its client must not get that reply before this returns.
    pub fn record_accepted(&mut self, id: MessageId, message: AcceptedMessage) -> Result<(), JournalError> {
        if self.state.open_bytes() + reserved_bytes(&message) > self.budget.open_messages() {
            return Err(JournalError::Full);
        }
        self.append(Record::Accepted(id, message), self.budget.compaction_threshold())
    }

    /// Records that an attempt starts. No byte of it may be sent before this returns. Must be called once the
    /// connection is established: if it were called earlier and the process crashed while connecting, a call
    /// that was never made would count as one that may have taken effect.
    pub fn record_attempt(&mut self, id: MessageId, attempt: AttemptStart) -> Result<(), JournalError> {
        self.append_within_hard_limit(Record::AttemptStarted(id, attempt))
    }

    /// Records that no byte of the last attempt was or will be sent.
    pub fn record_unsent(&mut self, id: MessageId) -> Result<(), JournalError> {
        self.append_outcome(Record::AttemptUnsent(id))
    }

    /// Records that the last attempt was not processed by its endpoint.
    pub fn record_unprocessed(&mut self, id: MessageId) -> Result<(), JournalError> {
        self.append_outcome(Record::AttemptUnprocessed(id))
    }

    /// Records that a message ended, with the notice to be sent to the platform, if there is one.
    pub fn record_end(&mut self, id: MessageId, notice: Option<Notice>) -> Result<(), JournalError> {
        self.append_outcome(Record::Ended(id, notice))
    }

    /// Records that a message was rejected at its submission. Its client must not get that reply before this
    /// returns. If it fails, the message is still open.
    pub fn record_rejected(&mut self, id: MessageId) -> Result<(), JournalError> {
        self.append_within_hard_limit(Record::Ended(id, None))
    }

    /// Records that the platform acknowledged the message's notice.
    pub fn record_notice_acknowledged(&mut self, id: MessageId) -> Result<(), JournalError> {
        self.append_outcome(Record::NoticeAcknowledged(id))
    }

    /// Whether all records are in the file and it ends with a complete one.
    pub fn is_synchronized(&self) -> bool {
        self.unwritten.is_empty() && !self.file.is_torn()
    }

    /// Appends the records that could not be appended yet. If that fails, replaces the file by compacting it.
    pub fn synchronize(&mut self) -> Result<(), JournalError> {
        if self.is_synchronized() {
            return Ok(());
        }
        let Err(error) = self.append_unwritten() else { return Ok(()) };
        // The new file holds the whole state, including the unwritten records.
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

    /// Records something that has already happened. It is applied to the state in any case and appended as
    /// soon as the file can be written; an error means that it is not in the file yet.
    fn append_outcome(&mut self, record: Record) -> Result<(), JournalError> {
        let frame = encode(&record)?;
        self.state.apply(record);
        self.unwritten.push_back(frame);
        self.compact_when_due(0);
        self.synchronize()
    }

    /// Appends a record that is about an accepted message, or that is small. It may use the space that new
    /// messages may not use.
    fn append_within_hard_limit(&mut self, record: Record) -> Result<(), JournalError> {
        self.append(record, self.budget.hard_limit())
    }

    /// Appends a record and applies it, unless the file would exceed `max_length`. If the file would exceed
    /// the compaction threshold, it is compacted first; if that fails, it still grows up to `max_length`.
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

    /// Compacts the file, unless that failed within the last [`COMPACTION_RETRY_INTERVAL`]. Returns whether
    /// the file was compacted.
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

    /// Compacts the file if this many additional bytes would take it beyond the compaction threshold.
    fn compact_when_due(&mut self, additional_bytes: u64) {
        let unwritten: usize = self.unwritten.iter().map(Vec::len).sum();
        let length = self.file.length() + unwritten as u64 + additional_bytes;
        if length > self.budget.compaction_threshold() {
            self.try_compact();
        }
    }

    /// Replaces the file by one that holds only the current state.
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
