//! Tests that this version reads journals of an earlier version and writes the same bytes.
//! `tests/data/journal/README.md` describes these journals.

use std::fs;

use bytes::Bytes;
use delivery_control::{MessageId, Micros};

use super::file::FILE_NAME;
use super::frame::{encode, FrameReader};
use super::record::{AcceptedMessageV1, Record};
use super::*;
use crate::notice::{Notice, NoticeResult};

const APPENDED: &[u8] = include_bytes!("../../tests/data/journal/appended.bin");
const COMPACTED: &[u8] = include_bytes!("../../tests/data/journal/compacted.bin");

/// Disk space for the journal in bytes, more than any of these tests needs.
const DISK_BYTES: u64 = 3_000_000;
/// Deadline of all messages: 2100-01-01 in microseconds of Unix time.
const DEADLINE: Micros = 4_102_444_800_000_000;
/// Base of the attempts' send times, in microseconds of Unix time.
const SENT_AT: Micros = 1_700_000_000_000_000;

/// The message `mN`, with N = `id`.
fn message(id: MessageId, order_key: Option<&str>) -> AcceptedMessage {
    AcceptedMessage {
        call_id: format!("m{id}"),
        key: Some(format!("key-of-m{id}")),
        class: "notice".to_owned(),
        destination: 7,
        order_key: order_key.map(str::to_owned),
        deadline: DEADLINE,
        body: Body(Bytes::from(format!("body of m{id}"))),
    }
}

/// The body of `m2`.
fn long_body() -> Body {
    let numbers = (0..=255).chain(0..=43);
    Body(numbers.collect())
}

/// An attempt that was sent `offset` microseconds after [`SENT_AT`].
fn attempt(offset: Micros, zone: u64) -> AttemptStart {
    AttemptStart { sent_at: SENT_AT + offset, zone }
}

fn notice(call_id: &str, result: NoticeResult) -> Notice {
    Notice { call_id: call_id.to_owned(), result }
}

fn open_entry(id: MessageId, message: AcceptedMessage, history: AttemptHistory) -> (MessageId, JournalEntry) {
    (id, JournalEntry::Open(message, history))
}

/// The entries that both journals hold.
fn expected_entries() -> Vec<(MessageId, JournalEntry)> {
    let unattempted = AttemptHistory::default();
    let unprocessed = AttemptHistory { attempts: 1, ambiguous: None, in_flight: None };
    let ambiguous = AttemptHistory { attempts: 2, ambiguous: Some(attempt(5, 0)), in_flight: None };
    let in_flight = AttemptHistory { attempts: 1, ambiguous: None, in_flight: Some(attempt(6, 0)) };
    let both =
        AttemptHistory { attempts: 2, ambiguous: Some(attempt(7, 1)), in_flight: Some(attempt(70, 0)) };
    let rejected = notice("m9", NoticeResult::Rejected { retry_after: 9_000_000 });
    let failed = notice("m10", NoticeResult::Failed);
    let rejected_at_once = notice("m11", NoticeResult::Rejected { retry_after: 0 });
    vec![
        open_entry(1, message(1, None), unattempted),
        open_entry(2, AcceptedMessage { body: long_body(), ..message(2, None) }, unattempted),
        open_entry(3, message(3, Some("card")), unprocessed),
        open_entry(4, AcceptedMessage { key: None, ..message(4, Some("desk")) }, unattempted),
        open_entry(5, message(5, None), ambiguous),
        open_entry(6, message(6, Some("till")), in_flight),
        open_entry(7, message(7, None), both),
        (9, JournalEntry::PendingNotice(rejected, Some("vault".to_owned()))),
        (10, JournalEntry::PendingNotice(failed, None)),
        (11, JournalEntry::PendingNotice(rejected_at_once, None)),
        open_entry(13, message(13, Some("vault")), unattempted),
        open_entry(14, empty_message(), unattempted),
        open_entry(15, message_of_unknown_class(), unattempted),
        open_entry(16, AcceptedMessage { destination: 8, ..message(16, None) }, unattempted),
    ]
}

fn empty_message() -> AcceptedMessage {
    AcceptedMessage { key: None, body: Body(Bytes::new()), ..message(14, None) }
}

fn message_of_unknown_class() -> AcceptedMessage {
    AcceptedMessage { class: "withdrawn".to_owned(), ..message(15, None) }
}

fn assert_replays_as_expected(bytes: &[u8]) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(FILE_NAME);
    fs::write(&path, bytes).unwrap();
    let journal = Journal::open(folder.path(), DISK_BYTES).unwrap();
    let entries: Vec<_> = journal.entries().map(|(id, entry)| (id, entry.clone())).collect();
    assert_eq!(entries, expected_entries());
    let drained: Vec<_> = journal.drained_endpoints().iter().map(String::as_str).collect();
    assert_eq!(drained, ["s-2", "s-4"]);
    assert_eq!(journal.next_id(), 18);
    assert_eq!(fs::read(&path).unwrap(), bytes, "the file stays as it is");
}

/// Records the messages with ids 1 to 7, which stay open, with their attempts.
fn record_open_messages(journal: &mut Journal) {
    let first = AcceptedMessageV1 {
        call_id: "m1".to_owned(),
        key: Some("key-of-m1".to_owned()),
        class: "notice".to_owned(),
        destination: 7,
        deadline: DEADLINE,
        body: Body(Bytes::from_static(b"body of m1")),
    };
    journal.append(Record::AcceptedV1(1, first), DISK_BYTES).unwrap();
    journal.record_accepted(2, AcceptedMessage { body: long_body(), ..message(2, None) }).unwrap();
    journal.record_accepted(3, message(3, Some("card"))).unwrap();
    journal.record_attempt(3, attempt(3, 0)).unwrap();
    journal.record_unprocessed(3).unwrap();
    journal.record_accepted(4, AcceptedMessage { key: None, ..message(4, Some("desk")) }).unwrap();
    journal.record_attempt(4, attempt(4, 1)).unwrap();
    journal.record_unsent(4).unwrap();
    journal.record_accepted(5, message(5, None)).unwrap();
    journal.record_attempt(5, attempt(5, 0)).unwrap();
    journal.record_attempt(5, attempt(50, 1)).unwrap();
    journal.record_unprocessed(5).unwrap();
    journal.record_accepted(6, message(6, Some("till"))).unwrap();
    journal.record_attempt(6, attempt(6, 0)).unwrap();
    journal.record_accepted(7, message(7, None)).unwrap();
    journal.record_attempt(7, attempt(7, 1)).unwrap();
    journal.record_attempt(7, attempt(70, 0)).unwrap();
}

/// Records messages with ids 8 to 12, which end with and without a notice.
fn record_ended_messages(journal: &mut Journal) {
    journal.record_accepted(8, message(8, None)).unwrap();
    journal.record_attempt(8, attempt(8, 0)).unwrap();
    journal.record_end(8, None).unwrap();
    journal.record_accepted(9, message(9, Some("vault"))).unwrap();
    journal.record_attempt(9, attempt(9, 0)).unwrap();
    journal.record_unprocessed(9).unwrap();
    let rejected = notice("m9", NoticeResult::Rejected { retry_after: 9_000_000 });
    journal.record_end(9, Some(rejected)).unwrap();
    journal.record_accepted(10, message(10, None)).unwrap();
    journal.record_attempt(10, attempt(10, 0)).unwrap();
    journal.record_end(10, Some(notice("m10", NoticeResult::Failed))).unwrap();
    journal.record_accepted(11, message(11, None)).unwrap();
    let rejected = notice("m11", NoticeResult::Rejected { retry_after: 0 });
    journal.record_end(11, Some(rejected)).unwrap();
    journal.record_accepted(12, message(12, None)).unwrap();
    journal.record_attempt(12, attempt(12, 0)).unwrap();
    journal.record_end(12, Some(notice("m12", NoticeResult::Failed))).unwrap();
    journal.record_notice_acknowledged(12).unwrap();
}

/// Records messages that are never attempted, one that is delivered, and endpoints drained and restored.
fn record_unattempted_messages_and_drains(journal: &mut Journal) {
    journal.record_accepted(13, message(13, Some("vault"))).unwrap();
    journal.record_accepted(14, empty_message()).unwrap();
    journal.record_accepted(15, message_of_unknown_class()).unwrap();
    journal.record_accepted(16, AcceptedMessage { destination: 8, ..message(16, None) }).unwrap();
    journal.record_accepted(17, message(17, None)).unwrap();
    journal.record_attempt(17, attempt(17, 0)).unwrap();
    journal.record_end(17, None).unwrap();
    journal.record_drained("s-2").unwrap();
    journal.record_drained("s-3").unwrap();
    journal.record_restored("s-3").unwrap();
    journal.record_drained("s-4").unwrap();
}

/// Guards against an upgrade that loses messages, attempts or drained endpoints because this version no
/// longer reads a record of the earlier one.
#[test]
fn an_appended_journal_of_the_earlier_version_is_replayed() {
    assert_replays_as_expected(APPENDED);
}

/// Guards against the same loss where the record is one that only a compaction writes.
#[test]
fn a_compacted_journal_of_the_earlier_version_is_replayed() {
    assert_replays_as_expected(COMPACTED);
}

/// Guards against a downgrade that loses messages because the earlier version cannot read this one's records.
/// It can read them if both versions write the same bytes.
#[test]
fn the_same_operations_write_the_same_bytes_as_the_earlier_version() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(FILE_NAME);
    let mut journal = Journal::open(folder.path(), DISK_BYTES).unwrap();
    record_open_messages(&mut journal);
    record_ended_messages(&mut journal);
    record_unattempted_messages_and_drains(&mut journal);
    assert_eq!(fs::read(&path).unwrap(), APPENDED);
    journal.compact().unwrap();
    assert_eq!(fs::read(&path).unwrap(), compacted_by_this_version());
}

/// Guards against a compaction after an upgrade that changes or drops what the earlier version recorded.
#[test]
fn compacting_the_earlier_versions_journal_writes_its_bytes() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(FILE_NAME);
    fs::write(&path, APPENDED).unwrap();
    Journal::open(folder.path(), DISK_BYTES).unwrap().compact().unwrap();
    assert_eq!(fs::read(&path).unwrap(), compacted_by_this_version());
}

/// The earlier version's compacted journal, followed by one record that the earlier version skips: the call
/// ids of the messages that were delivered or failed.
fn compacted_by_this_version() -> Vec<u8> {
    let ended = ["m8", "m10", "m12", "m17"].map(str::to_owned).to_vec();
    [COMPACTED, &encode(&Record::RecentlyEnded(ended)).unwrap()].concat()
}

/// Position of a record's variant in the stored form. The match has no wildcard, so that a new variant does
/// not compile until its position is added here.
fn position(record: &Record) -> usize {
    match record {
        Record::HighestUsedId(..) => 0,
        Record::AcceptedV1(..) => 1,
        Record::AttemptStarted(..) => 2,
        Record::AttemptUnprocessed(..) => 3,
        Record::History(..) => 4,
        Record::Ended(..) => 5,
        Record::NoticeAcknowledged(..) => 6,
        Record::Accepted(..) => 7,
        Record::EndpointDrained(..) => 8,
        Record::EndpointRestored(..) => 9,
        Record::PendingNoticeOrderKey(..) => 10,
        Record::AttemptUnsent(..) => 11,
        Record::ClockReading(..) => 12,
        Record::RecentlyEnded(..) => 13,
    }
}

/// Guards against a gap in these tests: the two journals must contain every kind of record that the earlier
/// version knew.
#[test]
fn the_journals_of_the_earlier_version_hold_every_kind_of_record() {
    let mut found = [false; 14];
    for frame in FrameReader::new(APPENDED).chain(FrameReader::new(COMPACTED)) {
        let record = frame.record.unwrap();
        found[position(&record)] = true;
    }
    assert_eq!(found[..12], [true; 12]);
    assert_eq!(found[12..], [false; 2], "the earlier version did not know these");
}
