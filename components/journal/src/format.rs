//! Records as bytes.
//!
//! A file is an eight-byte magic, then records and marks. A record is a twelve-byte head (length of
//! the payload, CRC of the payload, CRC of the first eight bytes; little-endian), the payload, and an
//! end byte that is not zero, so that a record cut short and filled with zeros by the file system
//! never looks whole. A mark says that everything before it was synced; its bytes follow from its
//! offset alone. Files of the first format have no marks.

/// The first bytes of every journal.
pub(crate) const MAGIC: &[u8; 8] = b"dockjrn2";
/// The first bytes of a journal of the first format.
pub(crate) const FIRST_MAGIC: &[u8; 8] = b"dockjrn1";
/// Bytes of a mark.
pub(crate) const MARK: usize = 16;
/// What a mark begins with. As the length of a record it would be far above any.
const MARK_HEAD: [u8; 4] = [0xC3; 4];
/// Set in every other byte of a mark: with two bits set, no flipped bit makes a byte zero, which is
/// what a byte that never reached the disk reads as.
const MARK_BITS: u8 = 0b1000_0001;
/// Bytes of a mark that may differ for it to be taken for a spoilt one.
const MARK_SPOILT: usize = 2;
/// Bytes before a payload.
const HEAD: usize = 12;
/// The byte after a payload.
const END: u8 = 0xA5;

/// How a file is laid out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Records alone.
    First,
    /// Records, and marks of what was synced.
    Marked,
}

/// What stands at an offset.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Parsed<'a> {
    /// The end of the file.
    End,
    /// A record, and the offset behind it.
    Record(&'a [u8], usize),
    /// A mark, and the offset behind it.
    Mark(usize),
    /// What was being written when the process or host died.
    Torn,
    /// Bytes that were synced once and do not check out.
    Damaged(&'static str),
}

/// The format that a file names.
pub(crate) fn format(bytes: &[u8]) -> Option<Format> {
    match bytes {
        _ if bytes.starts_with(MAGIC) => Some(Format::Marked),
        _ if bytes.starts_with(FIRST_MAGIC) => Some(Format::First),
        _ => None,
    }
}

/// Appends a record's bytes.
pub(crate) fn write(payload: &[u8], out: &mut Vec<u8>) {
    let length = u32::try_from(payload.len()).expect("records are far below 4 GiB");
    let mut head = [0; 8];
    head[..4].copy_from_slice(&length.to_le_bytes());
    head[4..].copy_from_slice(&crc32fast::hash(payload).to_le_bytes());
    out.extend_from_slice(&head);
    out.extend_from_slice(&crc32fast::hash(&head).to_le_bytes());
    out.extend_from_slice(payload);
    out.push(END);
}

/// The mark that stands at an offset.
pub(crate) fn mark(offset: u64) -> [u8; MARK] {
    let mut mark = [0; MARK];
    mark[..4].copy_from_slice(&MARK_HEAD);
    mark[4..8].copy_from_slice(&crc32fast::hash(&offset.to_le_bytes()).to_le_bytes());
    mark[8..].copy_from_slice(&offset.to_le_bytes());
    mark[4..].iter_mut().for_each(|byte| *byte |= MARK_BITS);
    mark
}

/// Reads what stands at an offset.
pub(crate) fn parse(bytes: &[u8], offset: usize, format: Format) -> Parsed<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Parsed::End;
    }
    if format == Format::Marked && is_mark(bytes, offset) {
        return Parsed::Mark(offset + MARK);
    }
    if rest.len() < HEAD {
        return Parsed::Torn;
    }
    let (head, body) = rest.split_at(HEAD);
    if crc32fast::hash(&head[..8]) != number(&head[8..]) {
        let reason = "the head of a record does not match its checksum";
        return torn_or(reason, bytes, offset, format);
    }
    let length = number(&head[..4]) as usize;
    if body.len() < length + 1 {
        return Parsed::Torn;
    }
    let payload = &body[..length];
    if body[length] != END || crc32fast::hash(payload) != number(&head[4..8]) {
        return torn_or("a record does not match its checksum", bytes, offset, format);
    }
    Parsed::Record(payload, offset + HEAD + length + 1)
}

/// Whether bytes that don't check out were being written, or had been synced.
fn torn_or<'a>(reason: &'static str, bytes: &[u8], offset: usize, format: Format) -> Parsed<'a> {
    let torn = match format {
        // A whole file never ends in a zero byte, a torn one may be filled up with them.
        Format::First => bytes.last() == Some(&0),
        Format::Marked => !is_spoilt_mark(bytes, offset) && !was_synced(bytes, offset),
    };
    if torn { Parsed::Torn } else { Parsed::Damaged(reason) }
}

fn is_mark(bytes: &[u8], offset: usize) -> bool {
    bytes[offset..].starts_with(&MARK_HEAD) && bytes[offset..].starts_with(&mark(offset as u64))
}

/// Whether a mark stands anywhere behind an offset.
fn was_synced(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|place| is_mark(bytes, place))
}

/// Whether a mark stood here of which bits flipped. One that was torn lacks bytes, which are zero.
fn is_spoilt_mark(bytes: &[u8], offset: usize) -> bool {
    let expected = mark(offset as u64);
    let found = &bytes[offset..];
    if found.len() < MARK {
        return false;
    }
    let differ: Vec<u8> =
        found.iter().zip(expected).filter(|(a, b)| **a != *b).map(|(a, _)| *a).collect();
    differ.len() <= MARK_SPOILT && !differ.contains(&0)
}

fn number(bytes: &[u8]) -> u32 {
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
