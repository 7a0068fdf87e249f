//! Encodes the current state as a journal without obsolete records.

use delivery_control::MessageId;

use super::error::JournalError;
use super::frame::encode;
use super::record::Record;
use super::state::{JournalEntry, JournalState};

/// Encodes the records from which this state is replayed. Of the recently ended messages, keeps as many of
/// the newest as fit into `recently_ended_bytes`.
pub(super) fn encode_snapshot(
    state: &JournalState,
    recently_ended_bytes: u64,
) -> Result<Vec<u8>, JournalError> {
    let mut bytes = encode(&Record::HighestUsedId(state.highest_used_id()))?;
    if let Some(reading) = state.clock_reading() {
        bytes.extend(encode(&Record::ClockReading(reading.clone()))?);
    }
    for name in state.drained_endpoints() {
        bytes.extend(encode(&Record::EndpointDrained(name.clone()))?);
    }
    for (id, entry) in state.entries() {
        encode_entry(id, entry, &mut bytes)?;
    }
    let recently_ended = state.recently_ended().newest_within(recently_ended_bytes);
    if !recently_ended.is_empty() {
        bytes.extend(encode(&Record::RecentlyEnded(recently_ended))?);
    }
    Ok(bytes)
}

fn encode_entry(id: MessageId, entry: &JournalEntry, bytes: &mut Vec<u8>) -> Result<(), JournalError> {
    match entry {
        JournalEntry::Open(message, history) => {
            bytes.extend(encode(&Record::Accepted(id, message.clone()))?);
            bytes.extend(encode(&Record::History(id, *history))?);
        }
        JournalEntry::PendingNotice(notice, order_key) => {
            bytes.extend(encode(&Record::Ended(id, Some(notice.clone())))?);
            if let Some(order_key) = order_key {
                bytes.extend(encode(&Record::PendingNoticeOrderKey(id, order_key.clone()))?);
            }
        }
    }
    Ok(())
}
