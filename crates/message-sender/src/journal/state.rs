//! The state that results from replaying a journal's records.

use std::collections::{BTreeMap, BTreeSet};

use delivery_control::{MessageId, Micros};

use super::capacity::reserved_bytes;
use super::frame::FrameReader;
use super::recently_ended::RecentlyEnded;
use super::record::{AcceptedMessage, AttemptHistory, ClockReading, Record};
use crate::notice::{Notice, NoticeResult};

/// What the journal holds about a message.
#[derive(Debug, Clone, PartialEq)]
pub enum JournalEntry {
    /// The message has not ended. Holds its attempts so far.
    Open(AcceptedMessage, AttemptHistory),
    /// The message has ended, and the platform has not acknowledged its notice yet. Holds its order key,
    /// because the next message with that key waits for the acknowledgement.
    PendingNotice(Notice, Option<String>),
}

/// Maximum number of unreadable records that a replay logs one by one; beyond it, only their total is logged.
const MAX_SKIPS_LOGGED: usize = 10;

/// The state of a journal after all of its records.
#[derive(Debug, Default)]
pub(super) struct JournalState {
    /// The messages that are open or have a pending notice.
    entries: BTreeMap<MessageId, JournalEntry>,
    /// Space reserved for the open messages, in bytes.
    open_bytes: u64,
    /// The highest id that a message has had; 0 if there was none.
    highest_used_id: MessageId,
    /// Names of the endpoints that operators have drained.
    drained_endpoints: BTreeSet<String>,
    /// The last recorded reading of the clocks.
    clock_reading: Option<ClockReading>,
    /// Messages that ended recently, by their call ids.
    recently_ended: RecentlyEnded,
}

/// The result of replaying a journal file.
pub(super) struct Replay {
    /// The state after its last complete record.
    pub(super) state: JournalState,
    /// Offset at which that record ends, in bytes.
    pub(super) complete_length: usize,
}

/// Applies all complete records of a file. Corrupt records are skipped, so that the others are not lost.
pub(super) fn replay(bytes: &[u8]) -> Replay {
    let mut state = JournalState::default();
    let mut frames = FrameReader::new(bytes);
    let mut skipped = 0;
    for frame in &mut frames {
        match frame.record {
            Ok(record) => state.apply(record),
            Err(error) => {
                skipped += 1;
                if skipped <= MAX_SKIPS_LOGGED {
                    tracing::warn!(offset = frame.offset, %error, "journal record skipped");
                }
            }
        }
    }
    if skipped > MAX_SKIPS_LOGGED {
        tracing::warn!(skipped, "journal records skipped");
    }
    Replay { state, complete_length: frames.offset() }
}

impl JournalState {
    /// All messages that are open or have a pending notice, in ascending order of their ids.
    pub(super) fn entries(&self) -> impl Iterator<Item = (MessageId, &JournalEntry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    /// Whether the journal holds the message and it has not ended.
    pub(super) fn is_open(&self, id: MessageId) -> bool {
        matches!(self.entries.get(&id), Some(JournalEntry::Open(..)))
    }

    /// Whether the journal holds the message, and its last attempt is not known to have had no effect.
    pub(super) fn has_attempt_started(&self, id: MessageId) -> bool {
        let Some(JournalEntry::Open(_, history)) = self.entries.get(&id) else { return false };
        history.last_started().is_some()
    }

    /// The messages that the journal holds and that have not ended.
    pub(super) fn open_messages(&self) -> impl Iterator<Item = MessageId> + '_ {
        let is_open = |entry: &JournalEntry| matches!(entry, JournalEntry::Open(..));
        self.entries.iter().filter(move |(_, entry)| is_open(entry)).map(|(id, _)| *id)
    }

    /// Space reserved for the open messages, in bytes.
    pub(super) fn open_bytes(&self) -> u64 {
        self.open_bytes
    }

    /// The highest id that a message has had; 0 if there was none.
    pub(super) fn highest_used_id(&self) -> MessageId {
        self.highest_used_id
    }

    /// Names of the endpoints that operators have drained.
    pub(super) fn drained_endpoints(&self) -> &BTreeSet<String> {
        &self.drained_endpoints
    }

    /// The messages that ended recently.
    pub(super) fn recently_ended(&self) -> &RecentlyEnded {
        &self.recently_ended
    }

    /// The last recorded reading of the clocks.
    pub(super) fn clock_reading(&self) -> Option<&ClockReading> {
        self.clock_reading.as_ref()
    }

    /// Moves the deadline of an open message to this time if it is later. Returns whether it was.
    pub(super) fn limit_deadline(&mut self, id: MessageId, latest: Micros) -> bool {
        let Some(JournalEntry::Open(message, _)) = self.entries.get_mut(&id) else { return false };
        let is_later = message.deadline > latest;
        message.deadline = message.deadline.min(latest);
        is_later
    }

    /// Applies one record. Records of attempts and of pending notices' order keys have no effect if the
    /// journal holds no entry of the matching kind for their message.
    pub(super) fn apply(&mut self, record: Record) {
        match record {
            Record::HighestUsedId(id) => self.mark_used(id),
            Record::AcceptedV1(id, message) => self.accept(id, message.into()),
            Record::Accepted(id, message) => self.accept(id, message),
            Record::AttemptStarted(id, attempt) => {
                self.update_history(id, |history| history.start_attempt(attempt));
            }
            Record::AttemptUnprocessed(id) => self.update_history(id, AttemptHistory::mark_unprocessed),
            Record::AttemptUnsent(id) => self.update_history(id, AttemptHistory::mark_unsent),
            Record::History(id, stored) => self.update_history(id, |history| *history = stored),
            Record::Ended(id, notice) => self.end(id, notice),
            Record::PendingNoticeOrderKey(id, order_key) => self.set_order_key(id, order_key),
            Record::NoticeAcknowledged(id) => {
                self.remove(id);
            }
            Record::RecentlyEnded(call_ids) => {
                for call_id in call_ids {
                    self.recently_ended.insert(call_id);
                }
            }
            Record::ClockReading(reading) => self.clock_reading = Some(reading),
            Record::EndpointDrained(name) => {
                self.drained_endpoints.insert(name);
            }
            Record::EndpointRestored(name) => {
                self.drained_endpoints.remove(&name);
            }
        }
    }

    fn mark_used(&mut self, id: MessageId) {
        self.highest_used_id = self.highest_used_id.max(id);
    }

    fn accept(&mut self, id: MessageId, message: AcceptedMessage) {
        self.mark_used(id);
        self.open_bytes += reserved_bytes(&message);
        self.entries.insert(id, JournalEntry::Open(message, AttemptHistory::default()));
    }

    fn update_history(&mut self, id: MessageId, update: impl FnOnce(&mut AttemptHistory)) {
        if let Some(JournalEntry::Open(_, history)) = self.entries.get_mut(&id) {
            update(history);
        }
    }

    fn end(&mut self, id: MessageId, notice: Option<Notice>) {
        self.mark_used(id);
        let is_rejected =
            notice.as_ref().is_some_and(|notice| matches!(notice.result, NoticeResult::Rejected { .. }));
        // A message without an attempt was withdrawn or rejected at once, so its client may submit it again.
        if !is_rejected && self.is_attempted(id) {
            self.add_recently_ended(id);
        }
        let order_key = self.remove(id).and_then(|message| message.order_key);
        if let Some(notice) = notice {
            self.entries.insert(id, JournalEntry::PendingNotice(notice, order_key));
        }
    }

    fn is_attempted(&self, id: MessageId) -> bool {
        matches!(self.entries.get(&id), Some(JournalEntry::Open(_, history)) if history.attempts > 0)
    }

    fn add_recently_ended(&mut self, id: MessageId) {
        if let Some(JournalEntry::Open(message, _)) = self.entries.get(&id) {
            self.recently_ended.insert(message.call_id.clone());
        }
    }

    fn set_order_key(&mut self, id: MessageId, order_key: String) {
        if let Some(JournalEntry::PendingNotice(_, stored)) = self.entries.get_mut(&id) {
            *stored = Some(order_key);
        }
    }

    /// Removes a message; returns it if it was open.
    fn remove(&mut self, id: MessageId) -> Option<AcceptedMessage> {
        match self.entries.remove(&id)? {
            JournalEntry::Open(message, _) => {
                self.open_bytes = self.open_bytes.saturating_sub(reserved_bytes(&message));
                Some(message)
            }
            JournalEntry::PendingNotice(..) => None,
        }
    }
}
