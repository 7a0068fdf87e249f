//! Encoding and decoding of a record's frame in the file: the length and the CRC-32 checksum of the encoded
//! record, four bytes each in little-endian order, followed by the record.

use super::error::JournalError;
use super::record::Record;

/// Length of a frame's header in bytes: the record's length and its CRC-32.
const HEADER_BYTES: usize = 8;
/// Offset of the checksum in the header, in bytes.
const CHECKSUM_OFFSET: usize = 4;
/// Maximum length of an encoded record in bytes: enough for a body of 64 KiB and its headers. A larger length
/// in a frame's header was not written by a sender and shows that the frame is damaged.
const MAX_RECORD_BYTES: usize = 128 * 1024;

/// Encodes a record as a frame.
pub(super) fn encode(record: &Record) -> Result<Vec<u8>, JournalError> {
    let payload = postcard::to_stdvec(record).map_err(JournalError::Encoding)?;
    let length = u32::try_from(payload.len()).map_err(|_| JournalError::Full)?;
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend(length.to_le_bytes());
    frame.extend(crc32fast::hash(&payload).to_le_bytes());
    frame.extend(payload);
    Ok(frame)
}

/// A complete frame as read from the file, or a damaged section before one.
pub(super) struct Frame {
    /// Offset in the file at which it begins, in bytes.
    pub(super) offset: usize,
    /// The decoded record, or why there is none.
    pub(super) record: Result<Record, FrameError>,
}

/// Why no record could be read at a place in the file.
#[derive(Debug, thiserror::Error)]
pub(super) enum FrameError {
    /// The length is over the maximum, or the frame would reach beyond the end of the file.
    #[error("frame length is invalid")]
    Length,
    /// The record's bytes differ from those that were written.
    #[error("checksum does not match")]
    Checksum,
    /// The bytes are as written, but this version knows no such record.
    #[error("record cannot be decoded: {0}")]
    Decoding(#[from] postcard::Error),
}

/// Iterates over the frames of a file, up to an incomplete last one. After a damaged section, reading resumes
/// at the next valid frame.
pub(super) struct FrameReader<'a> {
    /// The file's contents.
    bytes: &'a [u8],
    /// Offset at which the last item ends, in bytes.
    offset: usize,
}

impl<'a> FrameReader<'a> {
    /// Creates a reader of a file with these contents.
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, offset: 0 }
    }

    /// Offset at which the last frame that was read ends, in bytes.
    pub(super) fn offset(&self) -> usize {
        self.offset
    }

    /// Decodes the frame at this offset. Returns the offset of its end and its record, or `None` if its
    /// length is invalid or the frame would reach beyond the end of the file.
    fn frame_at(&self, offset: usize) -> Option<(usize, Result<Record, FrameError>)> {
        let rest = self.bytes.get(offset..)?;
        let header = Header::read(rest)?;
        let payload = rest.get(HEADER_BYTES..HEADER_BYTES + header.length)?;
        Some((offset + HEADER_BYTES + header.length, decode(payload, header.checksum)))
    }

    fn is_valid(&self, offset: usize) -> bool {
        matches!(self.frame_at(offset), Some((_, Ok(_))))
    }

    /// Finds the first valid frame after this offset. A frame that a client put into a message's body is
    /// mistaken for one of the journal's only if the frame of that message is damaged.
    fn next_valid(&self, offset: usize) -> Option<usize> {
        (offset + 1..self.bytes.len().saturating_sub(HEADER_BYTES)).find(|offset| self.is_valid(*offset))
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
            // The length gives the start of the next frame, unless the length itself is damaged.
            Some((end, Err(error))) if end == self.bytes.len() || self.is_valid(end) => {
                self.offset = end;
                return Some(Frame { offset, record: Err(error) });
            }
            Some((_, Err(error))) => error,
            None => FrameError::Length,
        };
        self.offset = self.next_valid(offset)?;
        Some(Frame { offset, record: Err(error) })
    }
}

/// The header of a frame.
struct Header {
    /// Length of the encoded record in bytes.
    length: usize,
    /// CRC-32 of the encoded record.
    checksum: u32,
}

impl Header {
    /// Reads the header at the start of these bytes. `None` if it is incomplete or its length is invalid.
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
