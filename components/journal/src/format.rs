//! Records as bytes.
//!
//! A file is an eight-byte magic, then records. A record is a twelve-byte head (length of the
//! payload, CRC of the payload, CRC of the first eight bytes; little-endian), the payload, and an
//! end byte that is not zero, so that a record cut short and filled with zeros by the file system
//! never looks whole.

/// The first bytes of every journal.
pub(crate) const MAGIC: &[u8; 8] = b"dockjrn1";
/// Bytes before a payload.
const HEAD: usize = 12;
/// The byte after a payload.
const END: u8 = 0xA5;

/// What stands at an offset.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Parsed<'a> {
    /// The end of the file.
    End,
    /// A record, and the offset behind it.
    Record(&'a [u8], usize),
    /// A record that was being written when the process or host died.
    Torn,
    /// Bytes that were synced once and do not check out.
    Damaged(&'static str),
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

/// Reads what stands at an offset.
pub(crate) fn parse(bytes: &[u8], offset: usize) -> Parsed<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Parsed::End;
    }
    if rest.len() < HEAD {
        return Parsed::Torn;
    }
    let (head, body) = rest.split_at(HEAD);
    if crc32fast::hash(&head[..8]) != number(&head[8..]) {
        return torn_or("the head of a record does not match its checksum", rest);
    }
    let length = number(&head[..4]) as usize;
    if body.len() < length + 1 {
        return Parsed::Torn;
    }
    let payload = &body[..length];
    if body[length] != END || crc32fast::hash(payload) != number(&head[4..8]) {
        return torn_or("a record does not match its checksum", rest);
    }
    Parsed::Record(payload, offset + HEAD + length + 1)
}

/// A whole file never ends in a zero byte, a torn one may be filled up with them.
fn torn_or<'a>(reason: &'static str, rest: &[u8]) -> Parsed<'a> {
    match rest.last() {
        Some(0) => Parsed::Torn,
        _ => Parsed::Damaged(reason),
    }
}

fn number(bytes: &[u8]) -> u32 {
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
