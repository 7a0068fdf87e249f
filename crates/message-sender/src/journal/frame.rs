//! The frame of a record in the file: its length and checksum, four bytes each in little-endian order, and
//! the record.

use super::error::JournalError;
use super::record::Record;

/// Bytes before the record: its length and its CRC-32.
const HEADER_BYTES: usize = 8;
/// Where the checksum begins in the header.
const CHECKSUM_OFFSET: usize = 4;
/// No record is longer: a body of 64 KiB and its headers. A larger length is not one that was written.
const MAX_RECORD_BYTES: usize = 128 * 1024;

/// Encodes a record and frames it.
pub(super) fn encode(record: &Record) -> Result<Vec<u8>, JournalError> {
    let payload = postcard::to_stdvec(record).map_err(JournalError::Encoding)?;
    let length = u32::try_from(payload.len()).map_err(|_| JournalError::Full)?;
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend(length.to_le_bytes());
    frame.extend(crc32fast::hash(&payload).to_le_bytes());
    frame.extend(payload);
    Ok(frame)
}

/// A complete frame, or a damaged place before one, as read.
pub(super) struct Frame {
    /// Where it begins in the file.
    pub(super) offset: usize,
    /// Its record, or what is wrong with it.
    pub(super) record: Result<Record, FrameError>,
}

/// Why a complete frame holds no record.
#[derive(Debug, thiserror::Error)]
pub(super) enum FrameError {
    /// The length is none that was written, or a part of the frame is missing.
    #[error("frame is torn")]
    Length,
    /// The bytes are not those that were written.
    #[error("checksum does not match")]
    Checksum,
    /// The bytes are as written, but not a record that this version knows.
    #[error("record cannot be decoded: {0}")]
    Decoding(#[from] postcard::Error),
}

/// Reads frames one after the other, up to a last one that is incomplete. A damaged place does not end the
/// reading: it goes on with the next sound frame.
pub(super) struct FrameReader<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> FrameReader<'a> {
    /// A reader of the file's contents.
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, offset: 0 }
    }

    /// Where the last frame that was read ends.
    pub(super) fn offset(&self) -> usize {
        self.offset
    }

    /// The frame at this offset: its end, and its record. `None` if its length is none that was written, or
    /// reaches beyond the file.
    fn frame_at(&self, offset: usize) -> Option<(usize, Result<Record, FrameError>)> {
        let rest = self.bytes.get(offset..)?;
        let header = Header::read(rest)?;
        let payload = rest.get(HEADER_BYTES..HEADER_BYTES + header.length)?;
        Some((offset + HEADER_BYTES + header.length, decode(payload, header.checksum)))
    }

    fn is_sound(&self, offset: usize) -> bool {
        matches!(self.frame_at(offset), Some((_, Ok(_))))
    }

    /// The first sound frame behind this offset. One that a client has put into the body of a message is
    /// taken for one of ours only if the message itself is damaged.
    fn next_sound(&self, offset: usize) -> Option<usize> {
        (offset + 1..self.bytes.len().saturating_sub(HEADER_BYTES)).find(|offset| self.is_sound(*offset))
    }
}

impl Iterator for FrameReader<'_> {
    type Item = Frame;

    fn next(&mut self) -> Option<Frame> {
        let offset = self.offset;
        let error = match self.frame_at(offset) {
            Some((end, Ok(record))) => {
                self.offset = end;
                return Some(Frame { offset, record: Ok(record) });
            }
            // Its length tells where the next one begins, unless it is the length that is damaged.
            Some((end, Err(error))) if end == self.bytes.len() || self.is_sound(end) => {
                self.offset = end;
                return Some(Frame { offset, record: Err(error) });
            }
            Some((_, Err(error))) => error,
            None => FrameError::Length,
        };
        self.offset = self.next_sound(offset)?;
        Some(Frame { offset, record: Err(error) })
    }
}

struct Header {
    length: usize,
    checksum: u32,
}

impl Header {
    fn read(bytes: &[u8]) -> Option<Self> {
        let length = read_u32(bytes, 0)? as usize;
        let checksum = read_u32(bytes, CHECKSUM_OFFSET)?;
        (length <= MAX_RECORD_BYTES).then_some(Self { length, checksum })
    }
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let bytes = bytes.get(offset..)?.first_chunk()?;
    Some(u32::from_le_bytes(*bytes))
}

fn decode(payload: &[u8], checksum: u32) -> Result<Record, FrameError> {
    if crc32fast::hash(payload) != checksum {
        return Err(FrameError::Checksum);
    }
    Ok(postcard::from_bytes(payload)?)
}
