//! Tests of the journal on temporary folders: replay, damaged files, compaction and limits.

use std::fs;
use std::path::Path;

use bytes::Bytes;
use delivery_control::{MessageId, Micros};

use super::capacity::{allocated_bytes, reserved_bytes, DiskBudget};
use super::file::{COMPACTED_FILE_NAME, FILE_NAME};
use super::writer::MAX_DRAINED_ENDPOINTS;
use super::*;
use crate::notice::{Notice, NoticeResult};

/// Disk space for the journal in bytes, unless a test sets another limit.
const DISK_BYTES: u64 = 3_000_000;

fn accepted(call_id: &str, body_bytes: usize) -> AcceptedMessage {
    AcceptedMessage {
        call_id: call_id.to_owned(),
        key: Some("key".to_owned()),
        class: "notice".to_owned(),
        destination: 7,
        order_key: Some("card".to_owned()),
        deadline: 99,
        body: Body(Bytes::from(vec![7; body_bytes])),
    }
}

fn attempt(sent_at: Micros) -> AttemptStart {
    AttemptStart { sent_at, zone: 0 }
}

fn open(folder: &Path) -> Journal {
    Journal::open(folder, DISK_BYTES).unwrap()
}

fn entries(journal: &Journal) -> Vec<(MessageId, JournalEntry)> {
    journal.entries().map(|(id, entry)| (id, entry.clone())).collect()
}

/// The space that the file system allocates for all files of the folder, in bytes.
fn disk_usage(folder: &Path) -> u64 {
    fs::read_dir(folder).unwrap().map(|file| allocated_bytes(file.unwrap().metadata().unwrap().len())).sum()
}

/// Guards against a restart or a compaction that loses or changes a message, its attempts or its notice.
#[test]
fn replay_restores_what_was_recorded() {
    let folder = tempfile::tempdir().unwrap();
    let mut journal = open(folder.path());
    for id in 1..=3 {
        journal.record_accepted(id, accepted("m", 100)).unwrap();
    }
    journal.record_attempt(1, attempt(5)).unwrap();
    journal.record_unprocessed(1).unwrap();
    journal.record_attempt(1, attempt(6)).unwrap();
    journal.record_attempt(1, attempt(7)).unwrap();
    journal.record_end(2, None).unwrap();
    let notice = Notice { call_id: "m".to_owned(), result: NoticeResult::Rejected { retry_after: 9 } };
    journal.record_end(3, Some(notice.clone())).unwrap();
    let reopened = open(folder.path());
    assert_eq!(entries(&reopened), entries(&journal));
    let history = AttemptHistory { attempts: 3, ambiguous: Some(attempt(6)), in_flight: Some(attempt(7)) };
    // The order key must survive a restart and a compaction, because the next message with this key waits for
    // the acknowledgement of the notice.
    let pending = JournalEntry::PendingNotice(notice, Some("card".to_owned()));
    journal.compact().unwrap();
    assert_eq!(entries(&open(folder.path())), entries(&reopened));
    assert_eq!(entries(&reopened), [(1, JournalEntry::Open(accepted("m", 100), history)), (3, pending)]);
    assert_eq!((reopened.next_id(), history.first_ambiguous()), (4, Some(attempt(6))));
}

/// Guards against an upgrade that loses messages accepted by a version without order keys. The bytes are
/// those that such a version wrote.
#[test]
fn messages_stored_without_order_keys_are_still_read() {
    let folder = tempfile::tempdir().unwrap();
    let payload = b"\x01\x05\x02m1\x01\x03key\x06notice\x07\xc6\x01\x02hi";
    let mut bytes = (payload.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(payload).to_le_bytes());
    bytes.extend(payload);
    fs::write(folder.path().join(FILE_NAME), bytes).unwrap();
    let journal = open(folder.path());
    let body = Body(Bytes::from_static(b"hi"));
    let expected = AcceptedMessage { order_key: None, body, ..accepted("m1", 0) };
    assert_eq!(entries(&journal), [(5, JournalEntry::Open(expected, AttemptHistory::default()))]);
}

/// Guards against losing records when a process crashes during a write: complete records before the partial
/// one must survive, and records that are appended later must be readable.
#[test]
fn an_incomplete_last_record_is_cut_off_wherever_it_ends() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(FILE_NAME);
    let TwoRecords { first_length, bytes: complete } = write_two_records(folder.path());
    for length in first_length..complete.len() {
        fs::write(&path, &complete[..length]).unwrap();
        let mut journal = open(folder.path());
        assert_eq!(entries(&journal).len(), 1, "cut at {length}");
        journal.record_accepted(3, accepted("m3", 40)).unwrap();
        assert_eq!(entries(&open(folder.path())).len(), 2, "cut at {length}");
    }
}

/// Guards against a sender that does not start, or that loses earlier records, because a later one is
/// corrupt. Records whose checksums match must be restored.
#[test]
fn a_corrupt_byte_leaves_earlier_records_intact() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(FILE_NAME);
    let TwoRecords { first_length, bytes: complete } = write_two_records(folder.path());
    for offset in first_length..complete.len() {
        let mut bytes = complete.clone();
        bytes[offset] ^= 0x55;
        fs::write(&path, &bytes).unwrap();
        let journal = open(folder.path());
        let expected = JournalEntry::Open(accepted("m1", 40), AttemptHistory::default());
        assert_eq!(entries(&journal), [(1, expected)], "corrupt at {offset}");
    }
}

/// Guards against a replay that stops at a record with a wrong checksum. Only that record may be lost.
#[test]
fn records_after_a_corrupt_one_are_still_read() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(FILE_NAME);
    let TwoRecords { first_length, mut bytes } = write_two_records(folder.path());
    bytes[first_length - 1] ^= 0x55;
    fs::write(&path, &bytes).unwrap();
    let expected = JournalEntry::Open(accepted("m2", 40), AttemptHistory::default());
    assert_eq!(entries(&open(folder.path())), [(2, expected)]);
    assert_eq!(fs::read(&path).unwrap(), bytes, "nothing is cut off");
}

/// Guards against losing valid records after a damaged section, wherever it begins and ends. Earlier versions
/// appended after a partial record that they could not truncate, and a disk may damage any part of the file.
#[test]
fn records_behind_a_torn_part_are_still_read() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(FILE_NAME);
    let TwoRecords { first_length, bytes } = write_two_records(folder.path());
    let (first, second) = bytes.split_at(first_length);
    for torn_length in 1..first_length {
        fs::write(&path, [&first[..torn_length], second].concat()).unwrap();
        let journal = open(folder.path());
        let expected = JournalEntry::Open(accepted("m2", 40), AttemptHistory::default());
        assert_eq!(entries(&journal), [(2, expected)], "torn after {torn_length}");
    }
    for damage in [&[0; 64][..], &[0xff; 64], &[1; 13]] {
        fs::write(&path, [first, damage, second].concat()).unwrap();
        let mut journal = open(folder.path());
        assert_eq!(entries(&journal).len(), 2, "{damage:?}");
        journal.record_accepted(3, accepted("m3", 40)).unwrap();
        assert_eq!(entries(&open(folder.path())).len(), 3, "{damage:?}");
    }
}

/// Guards against compactions that always fail after a process crashed during one, because the file that it
/// left is in the way.
#[test]
fn a_leftover_of_a_compaction_is_written_over() {
    let folder = tempfile::tempdir().unwrap();
    let mut journal = open(folder.path());
    journal.record_accepted(1, accepted("m1", 40)).unwrap();
    fs::write(folder.path().join(COMPACTED_FILE_NAME), vec![7; 9_000]).unwrap();
    journal.compact().unwrap();
    journal.record_accepted(2, accepted("m2", 40)).unwrap();
    assert_eq!(entries(&open(folder.path())), entries(&journal));
    assert!(!folder.path().join(COMPACTED_FILE_NAME).exists());
}

/// Guards against limits that differ between versions: after an upgrade or a downgrade, one version would
/// find the other's journal full.
#[test]
fn limits_are_fixed_shares_of_the_disk_in_whole_blocks() {
    let budget = DiskBudget::new(3_000_000);
    assert_eq!(budget.open_messages(), 1_079_808);
    assert_eq!(budget.compaction_threshold(), 1_439_744);
    assert_eq!(budget.hard_limit(), 1_619_968);
    assert!(budget.fits_both(budget.hard_limit(), budget.open_messages()));
    assert!(!budget.fits_both(2_000_000, 1_000_000), "in blocks these are more than the disk");
    // Twice the call id, the class, both keys, the body, and the space for the attempts and the end.
    assert_eq!(reserved_bytes(&accepted("m1", 100)), 4 + 6 + 7 + 100 + 256);
}

/// Guards against a compaction that exceeds the disk limit while the old and the new file both exist, for
/// which the sender would count as crashed, and against one that loses an open message.
#[test]
fn compaction_stays_within_the_disk_limit_and_loses_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let disk_bytes = 200_000;
    let mut journal = Journal::open(folder.path(), disk_bytes).unwrap();
    journal.record_accepted(1, accepted("stays", 20_000)).unwrap();
    journal.record_attempt(1, attempt(5)).unwrap();
    for id in 2..500 {
        journal.record_accepted(id, accepted("goes", 3_000)).unwrap();
        journal.record_end(id, None).unwrap();
        assert!(disk_usage(folder.path()) <= disk_bytes);
    }
    let reopened = Journal::open(folder.path(), disk_bytes).unwrap();
    let history = AttemptHistory { attempts: 1, ambiguous: None, in_flight: Some(attempt(5)) };
    assert_eq!(entries(&reopened), [(1, JournalEntry::Open(accepted("stays", 20_000), history))]);
    assert_eq!(reopened.next_id(), 500);
}

/// Guards against drained endpoints that get messages again because the journal was compacted or the process
/// restarted, and against an unlimited number of stored names.
#[test]
fn drained_endpoints_survive_compaction_and_restart_up_to_a_bound() {
    let folder = tempfile::tempdir().unwrap();
    let mut journal = open(folder.path());
    for number in 0..MAX_DRAINED_ENDPOINTS {
        journal.record_drained(&format!("s-{number}")).unwrap();
    }
    journal.record_drained("s-0").unwrap();
    assert!(matches!(journal.record_drained("one too many"), Err(JournalError::Full)));
    for name in ["s-1", "s-1", "nobody"] {
        journal.record_restored(name).unwrap();
    }
    journal.compact().unwrap();
    journal.record_restored("s-2").unwrap();
    let reopened = open(folder.path());
    assert_eq!(reopened.drained_endpoints(), journal.drained_endpoints());
    assert_eq!(reopened.drained_endpoints().len(), MAX_DRAINED_ENDPOINTS - 2);
    assert!(reopened.drained_endpoints().contains("s-0") && !reopened.drained_endpoints().contains("s-1"));
}

/// Guards against losing records of the old file, or records appended to it later, when a compaction cannot
/// create its new file.
#[test]
fn a_failed_compaction_leaves_the_old_file_in_use() {
    let folder = tempfile::tempdir().unwrap();
    let disk_bytes = 100_000;
    let mut journal = Journal::open(folder.path(), disk_bytes).unwrap();
    fs::create_dir(folder.path().join(COMPACTED_FILE_NAME)).unwrap();
    let mut count = 0;
    while journal.record_accepted(count + 1, accepted("m", 1_000)).is_ok() {
        count += 1;
        journal.record_end(count, None).unwrap();
    }
    assert!(count > 10);
    journal
        .record_end(count + 1, Some(Notice { call_id: "m".to_owned(), result: NoticeResult::Failed }))
        .unwrap();
    fs::remove_dir(folder.path().join(COMPACTED_FILE_NAME)).unwrap();
    let mut reopened = Journal::open(folder.path(), disk_bytes).unwrap();
    assert_eq!(entries(&reopened), entries(&journal));
    assert_eq!(entries(&reopened).len(), 1);
    reopened.record_accepted(count + 2, accepted("m", 1_000)).unwrap();
}

/// Guards against accepted messages that cannot be attempted or ended once new ones have filled the journal.
#[test]
fn a_full_journal_still_records_attempts_and_ends() {
    let folder = tempfile::tempdir().unwrap();
    let disk_bytes = 100_000;
    let mut journal = Journal::open(folder.path(), disk_bytes).unwrap();
    let mut count = 0;
    while journal.record_accepted(count + 1, accepted("m", 1_000)).is_ok() {
        count += 1;
    }
    assert!(count > 10);
    for round in 0..50 {
        for id in 1..=count {
            journal.record_attempt(id, attempt(round)).unwrap();
            journal.record_unprocessed(id).unwrap();
        }
        assert!(disk_usage(folder.path()) <= disk_bytes);
    }
    for id in 1..=count {
        journal.record_end(id, None).unwrap();
    }
    journal.record_accepted(count + 1, accepted("m", 1_000)).unwrap();
}

/// Guards against counting an attempt that was never sent, and against such an attempt hiding that an earlier
/// one may have taken effect.
#[test]
fn an_unsent_attempt_does_not_count() {
    let folder = tempfile::tempdir().unwrap();
    let history = |journal: &Journal| match entries(journal).remove(0) {
        (_, JournalEntry::Open(_, history)) => (history.attempts, history.first_ambiguous()),
        pending => panic!("{pending:?}"),
    };
    let mut journal = open(folder.path());
    journal.record_accepted(1, accepted("m1", 10)).unwrap();
    journal.record_attempt(1, attempt(5)).unwrap();
    journal.record_unsent(1).unwrap();
    assert_eq!(history(&journal), (0, None));
    journal.record_attempt(1, attempt(6)).unwrap();
    journal.record_attempt(1, AttemptStart { sent_at: 7, zone: 1 }).unwrap();
    journal.record_unsent(1).unwrap();
    drop(journal);
    assert_eq!(history(&open(folder.path())), (1, Some(attempt(6))));
}

/// Guards against sending a delivered or failed message again when its client submits the call id again, also
/// after a restart or a compaction; and against taking a withdrawn or rejected message for a delivered one.
#[test]
fn messages_that_were_delivered_or_failed_are_remembered_by_their_ids() {
    let folder = tempfile::tempdir().unwrap();
    let mut journal = open(folder.path());
    let notice = |result| Some(Notice { call_id: "m".to_owned(), result });
    for (id, call_id, is_attempted, end) in [
        (1, "delivered", true, None),
        (2, "failed", true, notice(NoticeResult::Failed)),
        (3, "rejected", true, notice(NoticeResult::Rejected { retry_after: 0 })),
        (4, "withdrawn", false, None),
    ] {
        journal.record_accepted(id, accepted(call_id, 10)).unwrap();
        if is_attempted {
            journal.record_attempt(id, attempt(5)).unwrap();
        }
        journal.record_end(id, end).unwrap();
    }
    let remembered = |journal: &Journal| {
        ["delivered", "failed", "rejected", "withdrawn"].map(|call_id| journal.has_recently_ended(call_id))
    };
    let expected = [true, true, false, false];
    assert_eq!(remembered(&journal), expected);
    assert_eq!(remembered(&open(folder.path())), expected);
    journal.compact().unwrap();
    assert_eq!(remembered(&open(folder.path())), expected);
}

/// A journal of two records, which accept the messages `m1` and `m2` with the ids 1 and 2.
struct TwoRecords {
    /// Offset at which the first record's frame ends, in bytes.
    first_length: usize,
    /// The contents of the file.
    bytes: Vec<u8>,
}

fn write_two_records(folder: &Path) -> TwoRecords {
    let path = folder.join(FILE_NAME);
    let mut journal = open(folder);
    journal.record_accepted(1, accepted("m1", 40)).unwrap();
    let first_length = fs::read(&path).unwrap().len();
    journal.record_accepted(2, accepted("m2", 40)).unwrap();
    TwoRecords { first_length, bytes: fs::read(&path).unwrap() }
}
