//! The operators' document, and how it travels: in parts that its receiver asks for one after the other.
//!
//! A document may be larger than what a node's link carries in the time after which silence means that a connection is
//! dead (845 kB are 0.27 s of 25 Mbit/s). So no message has a whole one, and what is sent unasked has its version alone.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Most bytes of a part: 10 ms of a link of 25 Mbit/s, so that a heartbeat behind it is not late. A call for
/// each part costs a round trip of some 3 ms, so that a document takes at most a third longer than in one piece.
pub const PART_BYTES_MAX: usize = 32 * 1024;

/// The configuration as operators send it: a whole text with its version. Keepers keep it and
/// don't look inside.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The operators' version; the highest holds.
    pub version: u64,
    /// The text, as it was sent.
    pub body: Arc<str>,
}

/// Asks for a part of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// The version of the document.
    pub version: u64,
    /// Where the part begins, in bytes.
    pub offset: usize,
}

/// A part of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPart {
    /// The version of the document.
    pub version: u64,
    /// How long the whole text is, in bytes.
    pub total: usize,
    /// Where the part begins, in bytes.
    pub offset: usize,
    /// The part; empty at the end of the document alone.
    pub text: String,
}

impl Document {
    /// The part that is asked for; none where this is another version or has no such place.
    pub fn part(&self, request: PartRequest) -> Option<DocumentPart> {
        let PartRequest { version, offset } = request;
        let rest = self.body.get(offset..).filter(|_| version == self.version)?;
        let mut end = rest.len().min(PART_BYTES_MAX);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let text = rest[..end].to_owned();
        Some(DocumentPart { version, total: self.body.len(), offset, text })
    }
}
