//! How the disk space that the deployment grants is divided.

use super::record::AcceptedMessage;

/// Share of the disk for messages that have not ended. A compacted file is little larger than these, and so
/// far enough under [`COMPACTION_FRACTION`] that compactions are rare.
const OPEN_MESSAGES_FRACTION: f64 = 0.36;
/// Share of the disk from which the file is compacted, and over which no new message is accepted.
const COMPACTION_FRACTION: f64 = 0.48;
/// Share of the disk that the file never exceeds. Between the two, records of accepted messages still fit:
/// what was accepted can be brought to its end while nothing new is accepted. The rest of the disk takes the
/// new file of a compaction while the old one still exists.
const HARD_LIMIT_FRACTION: f64 = 0.54;
/// Share of the disk for the ids of messages that ended lately, in a compacted file.
const RECENTLY_ENDED_FRACTION: f64 = 0.02;
/// A record is no longer than 128 KiB.
const MAX_RECENTLY_ENDED_BYTES: u64 = 96 * 1024;
/// The unit in which a file system allots space.
const BLOCK_BYTES: u64 = 512;
/// Space reserved for a message beside its own record: for its attempts and its end.
const MESSAGE_OVERHEAD_BYTES: u64 = 256;

/// The space that the journal may take on the disk.
#[derive(Debug, Clone, Copy)]
pub(super) struct DiskBudget {
    disk_bytes: u64,
}

impl DiskBudget {
    /// The budget where all files of the journal together may take so many bytes.
    pub(super) fn new(disk_bytes: u64) -> Self {
        Self { disk_bytes }
    }

    /// Limit of the space reserved for messages that have not ended.
    pub(super) fn open_messages(self) -> u64 {
        self.fraction(OPEN_MESSAGES_FRACTION)
    }

    /// Length from which the file is compacted; also its limit for new messages.
    pub(super) fn compaction_threshold(self) -> u64 {
        self.fraction(COMPACTION_FRACTION)
    }

    /// Limit of the file's length for any record.
    pub(super) fn hard_limit(self) -> u64 {
        self.fraction(HARD_LIMIT_FRACTION)
    }

    /// Space for the ids of messages that ended lately; one record takes them.
    pub(super) fn recently_ended(self) -> u64 {
        self.fraction(RECENTLY_ENDED_FRACTION).min(MAX_RECENTLY_ENDED_BYTES)
    }

    /// Whether files of these lengths may exist side by side.
    pub(super) fn fits_both(self, old_length: u64, new_length: u64) -> bool {
        allotted(old_length) + allotted(new_length) <= self.disk_bytes
    }

    fn fraction(self, fraction: f64) -> u64 {
        let bytes = (self.disk_bytes as f64 * fraction) as u64;
        bytes / BLOCK_BYTES * BLOCK_BYTES
    }
}

/// The space that a file of this length takes.
pub(super) fn allotted(length: u64) -> u64 {
    length.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}

/// The space that a message needs until it has ended and its notice is acknowledged.
pub(super) fn reserved_bytes(message: &AcceptedMessage) -> u64 {
    // A notice repeats the call id.
    let call_ids = message.call_id.len() * 2;
    let key = message.key.as_ref().map_or(0, String::len);
    let order_key = message.order_key.as_ref().map_or(0, String::len);
    let texts = call_ids + message.class.len() + key + order_key;
    (texts + message.body.0.len()) as u64 + MESSAGE_OVERHEAD_BYTES
}
