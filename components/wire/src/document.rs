//! The operators' document, and how it travels: in parts that its receiver asks for one after the other.
//!
//! A document may be larger than what a node's link carries in the time after which silence means that a connection is
//! dead. So no message has a whole one, and what is sent unasked has its version alone. It travels packed: each change goes to
//! each node, and its text names the same fields for each route.

use std::fmt;
use std::sync::{Arc, OnceLock};

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Most bytes of a part: little enough that a heartbeat behind it on a slow link is not late, enough that the round trip for
/// each part is small beside it.
pub const PART_BYTES_MAX: usize = 32 * 1024;

/// Most bytes that a document is unpacked to: more than an operator can send.
const UNPACKED_BYTES_MAX: usize = 64 * 1024 * 1024;
/// How hard a text is packed: the least, which takes a keeper the least time and gains most of it.
const PACKING_LEVEL: u8 = 1;

/// The configuration as operators send it: a whole text with its version. Keepers keep it and
/// don't look inside.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The operators' version; the highest holds.
    pub version: u64,
    /// The text, as it was sent.
    pub body: Arc<str>,
    #[serde(skip)]
    packed: PackedOnce,
}

/// What a document is as it travels, made when it is asked for first, once for all its copies. It follows from the text.
#[derive(Clone, Default)]
struct PackedOnce(Arc<OnceLock<Packed>>);

struct Packed {
    bytes: Vec<u8>,
    digest: u64,
}

impl PartialEq for PackedOnce {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for PackedOnce {}

impl fmt::Debug for PackedOnce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = self.0.get().map(|packed| packed.bytes.len());
        f.debug_tuple("PackedOnce").field(&bytes).finish()
    }
}

/// Asks for a part of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// The version of the document.
    pub version: u64,
    /// Where the part begins, in bytes.
    pub offset: usize,
}

/// A part of a document as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPart {
    /// The version of the document.
    pub version: u64,
    /// How long the whole is as it travels, in bytes.
    pub total: usize,
    /// Tells apart what different programs make of one text: parts of one whole have the same.
    pub digest: u64,
    /// Where the part begins, in bytes.
    pub offset: usize,
    /// The part; empty at the end of the document alone.
    pub bytes: Vec<u8>,
}

impl Document {
    /// A document.
    pub fn new(version: u64, body: impl Into<Arc<str>>) -> Self {
        Self { version, body: body.into(), packed: PackedOnce::default() }
    }

    /// The document that its parts make up; none where they are not what a document was packed to.
    pub fn from_compressed(version: u64, bytes: Vec<u8>) -> Option<Self> {
        let text = decompress_to_vec_with_limit(&bytes, UNPACKED_BYTES_MAX).ok()?;
        let document = Self::new(version, String::from_utf8(text).ok()?);
        // Whoever asks for it next gets what has come, without packing it again.
        document.packed.0.get_or_init(|| Packed::new(bytes));
        Some(document)
    }

    fn packed(&self) -> &Packed {
        let pack = || compress_to_vec(self.body.as_bytes(), PACKING_LEVEL);
        self.packed.0.get_or_init(|| Packed::new(pack()))
    }

    /// The part that is asked for; none where this is another version or has no such place.
    pub fn part(&self, request: PartRequest) -> Option<DocumentPart> {
        let PartRequest { version, offset } = request;
        if version != self.version {
            return None;
        }
        let Packed { bytes, digest } = self.packed();
        let rest = bytes.get(offset..)?;
        let part = rest[..rest.len().min(PART_BYTES_MAX)].to_vec();
        Some(DocumentPart { version, total: bytes.len(), digest: *digest, offset, bytes: part })
    }
}

impl Packed {
    fn new(bytes: Vec<u8>) -> Self {
        let digest = xxh3_64(&bytes);
        Self { bytes, digest }
    }
}
