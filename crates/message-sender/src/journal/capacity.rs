//! How the disk space that the configuration grants to the journal is divided.

use super::record::AcceptedMessage;

/// Share of the disk space for messages that have not ended. A compacted file is little larger than these
/// messages, and thus far enough below [`COMPACTION_FRACTION`] that compactions are rare.
const OPEN_MESSAGES_FRACTION: f64 = 0.36;
/// Share of the disk space above which the file is compacted and no new message is accepted.
const COMPACTION_FRACTION: f64 = 0.48;
/// Share of the disk space that the file never exceeds. Between [`COMPACTION_FRACTION`] and this limit,
/// records about accepted messages still fit, so that these messages can be completed while no new one is
/// accepted. The rest of the disk space takes a compaction's new file while the old one still exists.
const HARD_LIMIT_FRACTION: f64 = 0.54;
/// Share of the disk space for the call ids of recently ended messages in a compacted file.
const RECENTLY_ENDED_FRACTION: f64 = 0.02;
/// Maximum space for the call ids of recently ended messages, in bytes. They are stored in one record, which
/// must not be longer than 128 KiB.
const MAX_RECENTLY_ENDED_BYTES: u64 = 96 * 1024;
/// Unit in which a file system allocates space, in bytes.
const BLOCK_BYTES: u64 = 512;
/// Space reserved for a message in addition to its texts and body, for its attempts and its end; in bytes.
const MESSAGE_OVERHEAD_BYTES: u64 = 256;

/// The space that the journal may take on the disk.
#[derive(Debug, Clone, Copy)]
pub(super) struct DiskBudget {
    /// Maximum size of all files of the journal together, in bytes.
    disk_bytes: u64,
}

impl DiskBudget {
    /// Creates a budget that allows `disk_bytes` for all files of the journal together.
    pub(super) fn new(disk_bytes: u64) -> Self {
        Self { disk_bytes }
    }

    /// Limit of the space reserved for messages that have not ended, in bytes.
    pub(super) fn open_messages(self) -> u64 {
        self.fraction(OPEN_MESSAGES_FRACTION)
    }

    /// Length above which the file is compacted, in bytes; also its maximum length after a new message.
    pub(super) fn compaction_threshold(self) -> u64 {
        self.fraction(COMPACTION_FRACTION)
    }

    /// Maximum length of the file after any record, in bytes.
    pub(super) fn hard_limit(self) -> u64 {
        self.fraction(HARD_LIMIT_FRACTION)
    }

    /// Space for the call ids of recently ended messages, in bytes; one record holds them.
    pub(super) fn recently_ended(self) -> u64 {
        self.fraction(RECENTLY_ENDED_FRACTION).min(MAX_RECENTLY_ENDED_BYTES)
    }

    /// Whether two files of these lengths fit into the disk space together.
    pub(super) fn fits_both(self, old_length: u64, new_length: u64) -> bool {
        allocated_bytes(old_length) + allocated_bytes(new_length) <= self.disk_bytes
    }

    fn fraction(self, fraction: f64) -> u64 {
        let bytes = (self.disk_bytes as f64 * fraction) as u64;
        bytes / BLOCK_BYTES * BLOCK_BYTES
    }
}

/// The space that the file system allocates for a file of this length, in bytes.
pub(super) fn allocated_bytes(length: u64) -> u64 {
    length.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}

/// The space to reserve for a message until it has ended and its notice is acknowledged, in bytes.
pub(super) fn reserved_bytes(message: &AcceptedMessage) -> u64 {
    // The record of the message's end repeats the call id in its notice.
    let call_ids = message.call_id.len() * 2;
    let key = message.key.as_ref().map_or(0, String::len);
    let order_key = message.order_key.as_ref().map_or(0, String::len);
    let texts = call_ids + message.class.len() + key + order_key;
    (texts + message.body.0.len()) as u64 + MESSAGE_OVERHEAD_BYTES
}
