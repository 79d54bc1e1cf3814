//! The operators' configuration document and its transfer in compressed parts.
//!
//! A slow link may need longer for a whole document than the silence after which a connection
//! counts as dead. Messages therefore announce only its version, and the receiver requests the
//! compressed text part by part.

use std::fmt;
use std::sync::{Arc, OnceLock};

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Largest part of a document, in bytes. Small enough not to delay a heartbeat that is queued
/// behind it on a slow link, large enough that transfer time outweighs the round trip of each
/// request.
pub const PART_BYTES_MAX: usize = 32 * 1024;

/// Upper bound of a decompressed document, in bytes; above the limit on what an operator can
/// submit.
const DECOMPRESSED_BYTES_MAX: usize = 64 * 1024 * 1024;
/// The fastest compression level, which keeps the load on keepers low and achieves most of the
/// reduction.
const COMPRESSION_LEVEL: u8 = 1;

/// A version of the configuration as operators submit it. Keepers store and distribute the text
/// without interpreting it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The version that the operators assigned; the highest one is in force.
    pub version: u64,
    /// The unmodified text.
    pub body: Arc<str>,
    #[serde(skip)]
    compressed: CompressedOnce,
}

/// The compressed form of a document, computed on first use and shared by all clones. It is derived
/// from the text and therefore ignored by comparisons.
#[derive(Clone, Default)]
struct CompressedOnce(Arc<OnceLock<Compressed>>);

struct Compressed {
    bytes: Vec<u8>,
    digest: u64,
}

impl PartialEq for CompressedOnce {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for CompressedOnce {}

impl fmt::Debug for CompressedOnce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = self.0.get().map(|compressed| compressed.bytes.len());
        f.debug_tuple("CompressedOnce").field(&bytes).finish()
    }
}

/// Requests one part of a compressed document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// The version of the document.
    pub version: u64,
    /// Byte offset of the part in the compressed document.
    pub offset: usize,
}

/// One part of a compressed document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPart {
    /// The version of the document.
    pub version: u64,
    /// Size of the compressed document, in bytes.
    pub total: usize,
    /// Hash of the compressed document. Program versions may compress one text differently, and
    /// only parts with equal digests fit together.
    pub digest: u64,
    /// Byte offset of the part in the compressed document.
    pub offset: usize,
    /// The compressed bytes; empty only at the end of the document.
    pub bytes: Vec<u8>,
}

impl Document {
    /// Creates a document; it is compressed when its first part is requested.
    pub fn new(version: u64, body: impl Into<Arc<str>>) -> Self {
        Self { version, body: body.into(), compressed: CompressedOnce::default() }
    }

    /// Decompresses a document from its joined parts; `None` if the bytes are corrupt or not UTF-8.
    pub fn from_compressed(version: u64, bytes: Vec<u8>) -> Option<Self> {
        let text = decompress_to_vec_with_limit(&bytes, DECOMPRESSED_BYTES_MAX).ok()?;
        let document = Self::new(version, String::from_utf8(text).ok()?);
        // Later part requests are served from the received bytes without compressing the text
        // again.
        document.compressed.0.get_or_init(|| Compressed::new(bytes));
        Some(document)
    }

    fn compressed(&self) -> &Compressed {
        let compress = || compress_to_vec(self.body.as_bytes(), COMPRESSION_LEVEL);
        self.compressed.0.get_or_init(|| Compressed::new(compress()))
    }

    /// Returns the requested part; `None` if the version differs or the offset is past the end.
    pub fn part(&self, request: PartRequest) -> Option<DocumentPart> {
        let PartRequest { version, offset } = request;
        if version != self.version {
            return None;
        }
        let Compressed { bytes, digest } = self.compressed();
        let rest = bytes.get(offset..)?;
        let part = rest[..rest.len().min(PART_BYTES_MAX)].to_vec();
        Some(DocumentPart { version, total: bytes.len(), digest: *digest, offset, bytes: part })
    }
}

impl Compressed {
    fn new(bytes: Vec<u8>) -> Self {
        let digest = xxh3_64(&bytes);
        Self { bytes, digest }
    }
}
