//! File format of the journal: an eight-byte magic, followed by records and sync markers.
//!
//! A record consists of a twelve-byte header (payload length, CRC of the payload, CRC of the first
//! eight header bytes; little-endian), the payload and an end byte. A sync marker states that all
//! bytes before it were synced. Files of version 1 have no markers.

/// Magic of the current version.
pub(crate) const MAGIC: &[u8; 8] = b"dockjrn2";
/// Magic of version 1.
pub(crate) const V1_MAGIC: &[u8; 8] = b"dockjrn1";
/// Length of a marker in bytes.
pub(crate) const MARKER_LEN: usize = 16;
/// Prefix of a marker. Interpreted as a record length it exceeds any real record.
const MARKER_PREFIX: [u8; 4] = [0xC3; 4];
/// Bits that are set in every byte of a marker after the prefix. With two bits set, a single
/// flipped bit cannot make a byte zero, which is the value of a byte that never reached the disk.
const MARKER_SET_BITS: u8 = 0b1000_0001;
/// Maximum number of differing bytes for which a marker counts as corrupt.
const MAX_CORRUPT_MARKER_BYTES: usize = 2;
/// Length of a record header in bytes.
const HEADER_LEN: usize = 12;
/// Byte after the payload. It is nonzero, so that a truncated record that the file system fills
/// with zeros is never valid.
const END_BYTE: u8 = 0xA5;

/// Version of the file format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Records without markers.
    V1,
    /// Records and sync markers.
    V2,
}

/// Item at an offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Parsed<'a> {
    /// The end of the file.
    End,
    /// Payload of a record and the offset after the record.
    Record(&'a [u8], usize),
    /// Offset after a sync marker.
    Marker(usize),
    /// An incomplete write, interrupted by a crash or power loss.
    Torn,
    /// Synced bytes that fail validation, with the reason.
    Damaged(&'static str),
}

/// Returns the format version, or `None` if the magic is unknown.
pub(crate) fn detect_format(bytes: &[u8]) -> Option<Format> {
    match bytes {
        _ if bytes.starts_with(MAGIC) => Some(Format::V2),
        _ if bytes.starts_with(V1_MAGIC) => Some(Format::V1),
        _ => None,
    }
}

/// Appends an encoded record to `buffer`.
pub(crate) fn encode_record(payload: &[u8], buffer: &mut Vec<u8>) {
    let length = u32::try_from(payload.len()).expect("record payload is shorter than 4 GiB");
    let mut header = [0; 8];
    header[..4].copy_from_slice(&length.to_le_bytes());
    header[4..].copy_from_slice(&crc32fast::hash(payload).to_le_bytes());
    buffer.extend_from_slice(&header);
    buffer.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
    buffer.extend_from_slice(payload);
    buffer.push(END_BYTE);
}

/// Returns the marker for an offset, which determines its content.
pub(crate) fn encode_marker(offset: u64) -> [u8; MARKER_LEN] {
    let mut marker = [0; MARKER_LEN];
    marker[..4].copy_from_slice(&MARKER_PREFIX);
    marker[4..8].copy_from_slice(&crc32fast::hash(&offset.to_le_bytes()).to_le_bytes());
    marker[8..].copy_from_slice(&offset.to_le_bytes());
    marker[4..].iter_mut().for_each(|byte| *byte |= MARKER_SET_BITS);
    marker
}

/// Parses the item at an offset.
pub(crate) fn parse_at(bytes: &[u8], offset: usize, format: Format) -> Parsed<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Parsed::End;
    }
    if format == Format::V2 && is_marker_at(bytes, offset) {
        return Parsed::Marker(offset + MARKER_LEN);
    }
    if rest.len() < HEADER_LEN {
        return Parsed::Torn;
    }
    let (header, body) = rest.split_at(HEADER_LEN);
    if crc32fast::hash(&header[..8]) != read_u32_le(&header[8..]) {
        let reason = "record header does not match its checksum";
        return torn_or_damaged(reason, bytes, offset, format);
    }
    let length = read_u32_le(&header[..4]) as usize;
    if body.len() < length + 1 {
        return Parsed::Torn;
    }
    let payload = &body[..length];
    if body[length] != END_BYTE || crc32fast::hash(payload) != read_u32_le(&header[4..8]) {
        return torn_or_damaged(
            "record does not match its checksum or end byte",
            bytes,
            offset,
            format,
        );
    }
    Parsed::Record(payload, offset + HEADER_LEN + length + 1)
}

/// Classifies bytes that fail validation as torn or, if they had been synced, as damaged.
fn torn_or_damaged<'a>(
    reason: &'static str,
    bytes: &[u8],
    offset: usize,
    format: Format,
) -> Parsed<'a> {
    let torn = match format {
        // A complete file never ends in a zero byte, but a torn file may be padded with zeros.
        Format::V1 => bytes.last() == Some(&0),
        Format::V2 => !is_corrupt_marker(bytes, offset) && !has_later_marker(bytes, offset),
    };
    if torn { Parsed::Torn } else { Parsed::Damaged(reason) }
}

fn is_marker_at(bytes: &[u8], offset: usize) -> bool {
    bytes[offset..].starts_with(&MARKER_PREFIX)
        && bytes[offset..].starts_with(&encode_marker(offset as u64))
}

/// Whether there is a marker anywhere after the offset.
fn has_later_marker(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|candidate| is_marker_at(bytes, candidate))
}

/// Whether the bytes are a marker with flipped bits. A torn marker has zero bytes instead.
fn is_corrupt_marker(bytes: &[u8], offset: usize) -> bool {
    let expected = encode_marker(offset as u64);
    let actual = &bytes[offset..];
    if actual.len() < MARKER_LEN {
        return false;
    }
    let different_bytes: Vec<u8> = actual
        .iter()
        .zip(expected)
        .filter(|(actual_byte, expected_byte)| **actual_byte != *expected_byte)
        .map(|(actual_byte, _)| *actual_byte)
        .collect();
    different_bytes.len() <= MAX_CORRUPT_MARKER_BYTES && !different_bytes.contains(&0)
}

fn read_u32_le(bytes: &[u8]) -> u32 {
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
