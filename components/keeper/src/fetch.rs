//! The node's side of a document transfer: chooses the source of the next part.
//!
//! Keepers and agents offer the version that they have. A node fetches the newest version part by
//! part, taking turns between the sources that have it, so that it receives the document once and
//! the load is shared. Received parts are kept whichever source sent them: a silent source delays
//! one part, and a slow link delays the transfer but does not restart it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use model::Time;
use wire::{Document, DocumentPart, PartRequest};

/// Time after which a part is requested from another source. A part that arrives later is still
/// accepted. Twice what a part takes on the slowest link so far (2 Mbit/s), and a sixth of the time
/// in which a document has to be in force.
pub const PART_TIMEOUT: Duration = Duration::from_millis(300);

/// A source of document parts. Agents are ordered last, as their version may be older than that of
/// the keepers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DocumentSource {
    /// A keeper, by its address.
    Keeper(SocketAddr),
    /// An agent, by its session number.
    Agent(u64),
}

impl DocumentSource {
    /// The kind of the source, as a value for log lines.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Keeper(_) => "keeper",
            Self::Agent(_) => "agent",
        }
    }
}

/// What the caller has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Send the request to the source, and call [`DocumentFetch::next_step`] again after
    /// [`PART_TIMEOUT`].
    Request(DocumentSource, PartRequest),
    /// The document is complete; this source sent the last part. Call [`DocumentFetch::next_step`]
    /// once the document is in force.
    Complete(Document, DocumentSource),
}

/// A document that is partly received.
#[derive(Debug)]
struct Transfer {
    version: u64,
    bytes: Vec<u8>,
    /// The digest of the compressed document that the received parts belong to; `None` before the
    /// first part.
    digest: Option<u64>,
    /// The source of the outstanding request, and when the request was sent.
    request: Option<(DocumentSource, Time)>,
}

/// The state of a node's document transfers.
#[derive(Debug, Default)]
pub struct DocumentFetch {
    /// The newest version that was completely received.
    version: u64,
    /// The version that each source offers, if newer than `version`.
    offers: BTreeMap<DocumentSource, u64>,
    transfer: Option<Transfer>,
    /// The source of the latest request; the next request goes to the source after this one.
    last_source: Option<DocumentSource>,
}

impl DocumentFetch {
    /// The newest version that was completely received; 0 if none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether a source offers a newer version than the one received.
    pub fn is_behind(&self) -> bool {
        !self.offers.is_empty()
    }

    /// Handles a source's offer of its version.
    pub fn version_offered(
        &mut self,
        now: Time,
        source: DocumentSource,
        version: u64,
    ) -> Option<FetchStep> {
        if version > self.version {
            self.offers.insert(source, version);
        } else {
            self.offers.remove(&source);
        }
        self.next_step(now)
    }

    /// Handles a source's answer; `None` means that it no longer has the requested version.
    pub fn part_answered(
        &mut self,
        now: Time,
        source: DocumentSource,
        part: Option<DocumentPart>,
    ) -> Option<FetchStep> {
        match part {
            Some(part) => self.accept_part(now, source, part),
            None => self.handle_missing_version(now, source),
        }
    }

    /// Handles the loss of the connection to a source.
    pub fn source_gone(&mut self, now: Time, source: DocumentSource) -> Option<FetchStep> {
        self.offers.remove(&source);
        self.cancel_request_to(source);
        self.next_step(now)
    }

    /// The next request to send, if any. A source that timed out is not asked again until it
    /// offers a version again.
    pub fn next_step(&mut self, now: Time) -> Option<FetchStep> {
        if let Some((source, at)) = self.transfer.as_ref().and_then(|transfer| transfer.request) {
            if now.since(at) < PART_TIMEOUT {
                return None;
            }
            self.offers.remove(&source);
            self.cancel_request_to(source);
        }
        let newest = self.offers.values().copied().max()?;
        // No source has the version of the current transfer any more.
        self.transfer.take_if(|transfer| transfer.version > newest);
        let start = || Transfer { version: newest, bytes: Vec::new(), digest: None, request: None };
        let version = self.transfer.get_or_insert_with(start).version;
        let source = self.next_source(version)?;
        let transfer = self.transfer.as_mut()?;
        transfer.request = Some((source, now));
        self.last_source = Some(source);
        let request = PartRequest { version, offset: transfer.bytes.len() };
        Some(FetchStep::Request(source, request))
    }

    /// The next source in turn that has this version or a newer one, as keepers keep some replaced
    /// versions. Agents are used only if no keeper qualifies.
    fn next_source(&self, version: u64) -> Option<DocumentSource> {
        let has = |(_, offer): &(&DocumentSource, &u64)| **offer >= version;
        let available: Vec<DocumentSource> =
            self.offers.iter().filter(has).map(|(source, _)| *source).collect();
        let is_keeper = |source: &&DocumentSource| matches!(source, DocumentSource::Keeper(_));
        let keepers = available.iter().filter(is_keeper).count();
        let first = if keepers > 0 { &available[..keepers] } else { &available[..] };
        let next = first.iter().find(|source| self.last_source.is_some_and(|last| **source > last));
        next.or(first.first()).copied()
    }

    fn accept_part(
        &mut self,
        now: Time,
        source: DocumentSource,
        part: DocumentPart,
    ) -> Option<FetchStep> {
        let transfer = self.transfer.as_mut()?;
        // A part that was requested from two sources arrives twice.
        if part.version != transfer.version || part.offset != transfer.bytes.len() {
            return None;
        }
        if transfer.digest.is_some_and(|digest| digest != part.digest) {
            return self.handle_digest_mismatch(now, source);
        }
        transfer.digest = Some(part.digest);
        transfer.bytes.extend_from_slice(&part.bytes);
        transfer.request = None;
        // The source may have been removed after a timeout.
        self.offers.entry(source).or_insert(part.version);
        if transfer.bytes.len() < part.total && !part.bytes.is_empty() {
            return self.next_step(now);
        }
        let Transfer { version, bytes, .. } = self.transfer.take()?;
        let is_whole = bytes.len() == part.total;
        let document = Document::from_compressed(version, bytes).filter(|_| is_whole);
        let Some(document) = document else {
            // The parts do not add up to the total length or can't be decompressed; the source is
            // not asked again until it offers a version again.
            self.offers.remove(&source);
            return self.next_step(now);
        };
        self.version = version;
        self.offers.retain(|_, offer| *offer > version);
        Some(FetchStep::Complete(document, source))
    }

    /// Handles a part whose digest differs from that of the earlier parts, as when another release
    /// compresses the document differently. Other sources continue the transfer; if there are none,
    /// it restarts from this source.
    fn handle_digest_mismatch(&mut self, now: Time, source: DocumentSource) -> Option<FetchStep> {
        self.cancel_request_to(source);
        let offer = self.offers.remove(&source);
        if self.offers.is_empty() {
            self.transfer = None;
            self.offers.extend(offer.map(|version| (source, version)));
        }
        self.next_step(now)
    }

    /// Handles a source that does not have the requested version, because it has a newer one or was
    /// restarted.
    fn handle_missing_version(&mut self, now: Time, source: DocumentSource) -> Option<FetchStep> {
        let (request, version) =
            self.transfer.as_ref().map(|transfer| (transfer.request, transfer.version))?;
        if request.is_none_or(|(asked, _)| asked != source) {
            return None;
        }
        if self.offers.get(&source).is_some_and(|offer| *offer > version) {
            self.transfer = None;
        } else {
            self.offers.remove(&source);
            self.cancel_request_to(source);
        }
        self.next_step(now)
    }

    fn cancel_request_to(&mut self, source: DocumentSource) {
        if let Some(transfer) = &mut self.transfer
            && transfer.request.is_some_and(|(asked, _)| asked == source)
        {
            transfer.request = None;
        }
    }
}
