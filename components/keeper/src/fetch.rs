//! The node's side of a new document: whom it asks for the next part.
//!
//! Keepers and agents tell a node which version they have. It fetches the newest, one part at a time and each from the
//! next of those that have it: a document comes to a node once, however many have it, and each of them sends its share. What
//! has come stays, whoever sent it: a source that goes silent costs a part, and a link that is slow costs time, but never
//! the whole document again. Asking for a whole one with a time-out would never end where the document takes longer than that.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use model::Time;
use wire::{Document, DocumentPart, PartRequest};

/// A part that has not come for so long is asked for elsewhere; it still counts when it comes. Twice what a part
/// takes alone on the slowest link so far (2 Mbit/s), and a sixth of the time in which a document is to be in force.
pub const PART_WITHIN: Duration = Duration::from_millis(300);

/// Who can send parts of a document. Agents come last: what they have may be older than what keepers are about
/// to tell of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DocumentSource {
    /// A keeper, by its address.
    Keeper(SocketAddr),
    /// An agent, by the number of its session.
    Agent(u64),
}

impl DocumentSource {
    /// What it is, as a word for the log.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Keeper(_) => "keeper",
            Self::Agent(_) => "agent",
        }
    }
}

/// What follows from an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Ask a source for a part, and call [`DocumentFetch::next`] after [`PART_WITHIN`].
    Ask(DocumentSource, PartRequest),
    /// A document has come whole; this source sent the last part. Call [`DocumentFetch::next`] after it is taken.
    Whole(Document, DocumentSource),
}

/// A document of which parts are still to come.
#[derive(Debug)]
struct Transfer {
    version: u64,
    bytes: Vec<u8>,
    /// Of the whole that the parts so far belong to; none before the first.
    digest: Option<u64>,
    /// Whom the next part was asked of, and when.
    asked: Option<(DocumentSource, Time)>,
}

/// A node's fetching of documents.
#[derive(Debug, Default)]
pub struct DocumentFetch {
    /// The newest version that has come whole.
    have: u64,
    /// The version that each source has told of, where it is newer.
    offers: BTreeMap<DocumentSource, u64>,
    transfer: Option<Transfer>,
    /// Who was asked last: the next part is asked of the source after it.
    last: Option<DocumentSource>,
}

impl DocumentFetch {
    /// The newest version that has come whole; 0 for none.
    pub fn version(&self) -> u64 {
        self.have
    }

    /// Whether someone has told of a version that has not come yet.
    pub fn is_behind(&self) -> bool {
        !self.offers.is_empty()
    }

    /// A source tells the version that it has.
    pub fn offered(
        &mut self,
        now: Time,
        source: DocumentSource,
        version: u64,
    ) -> Option<FetchStep> {
        if version > self.have {
            self.offers.insert(source, version);
        } else {
            self.offers.remove(&source);
        }
        self.next(now)
    }

    /// A source answers; `None` where it has no such version any more.
    pub fn answered(
        &mut self,
        now: Time,
        source: DocumentSource,
        part: Option<DocumentPart>,
    ) -> Option<FetchStep> {
        match part {
            Some(part) => self.take_part(now, source, part),
            None => self.refused(now, source),
        }
    }

    /// A source can't be asked any more.
    pub fn gone(&mut self, now: Time, source: DocumentSource) -> Option<FetchStep> {
        self.offers.remove(&source);
        self.ask_again_if_asked(source);
        self.next(now)
    }

    /// What to ask for next, and of whom. A source that has let its time pass is not asked before it tells of a
    /// version again.
    pub fn next(&mut self, now: Time) -> Option<FetchStep> {
        if let Some((source, at)) = self.transfer.as_ref().and_then(|transfer| transfer.asked) {
            if now.since(at) < PART_WITHIN {
                return None;
            }
            self.offers.remove(&source);
            self.ask_again_if_asked(source);
        }
        let newest = self.offers.values().copied().max()?;
        // Nobody is left who has what was being fetched.
        self.transfer.take_if(|transfer| transfer.version > newest);
        let begin = || Transfer { version: newest, bytes: Vec::new(), digest: None, asked: None };
        let version = self.transfer.get_or_insert_with(begin).version;
        let source = self.next_source(version)?;
        let transfer = self.transfer.as_mut()?;
        transfer.asked = Some((source, now));
        self.last = Some(source);
        let request = PartRequest { version, offset: transfer.bytes.len() };
        Some(FetchStep::Ask(source, request))
    }

    /// The source after the last one that has a version, or a newer one: keepers remember some that were replaced.
    fn next_source(&self, version: u64) -> Option<DocumentSource> {
        let has = |(_, offer): &(&DocumentSource, &u64)| **offer >= version;
        let have: Vec<DocumentSource> =
            self.offers.iter().filter(has).map(|(source, _)| *source).collect();
        let is_keeper = |source: &&DocumentSource| matches!(source, DocumentSource::Keeper(_));
        let keepers = have.iter().filter(is_keeper).count();
        let first = if keepers > 0 { &have[..keepers] } else { &have[..] };
        let after = first.iter().find(|source| self.last.is_some_and(|last| **source > last));
        after.or(first.first()).copied()
    }

    fn take_part(
        &mut self,
        now: Time,
        source: DocumentSource,
        part: DocumentPart,
    ) -> Option<FetchStep> {
        let transfer = self.transfer.as_mut()?;
        // A part that was asked for elsewhere as well comes twice.
        if part.version != transfer.version || part.offset != transfer.bytes.len() {
            return None;
        }
        if transfer.digest.is_some_and(|digest| digest != part.digest) {
            return self.take_other(now, source);
        }
        transfer.digest = Some(part.digest);
        transfer.bytes.extend_from_slice(&part.bytes);
        transfer.asked = None;
        // One that was given up as late is there after all.
        self.offers.entry(source).or_insert(part.version);
        if transfer.bytes.len() < part.total && !part.bytes.is_empty() {
            return self.next(now);
        }
        let Transfer { version, bytes, .. } = self.transfer.take()?;
        let is_whole = bytes.len() == part.total;
        let document = Document::unpack(version, bytes).filter(|_| is_whole);
        let Some(document) = document else {
            // It says of itself that it is longer than all that there is, or is no document: not asked before it tells
            // again.
            self.offers.remove(&source);
            return self.next(now);
        };
        self.have = version;
        self.offers.retain(|_, offer| *offer > version);
        Some(FetchStep::Whole(document, source))
    }

    /// A source packs the text in another way than the one before, as another release may: the others go on with what has
    /// come, and where there are none, all of it is asked for again.
    fn take_other(&mut self, now: Time, source: DocumentSource) -> Option<FetchStep> {
        self.ask_again_if_asked(source);
        let offer = self.offers.remove(&source);
        if self.offers.is_empty() {
            self.transfer = None;
            self.offers.extend(offer.map(|version| (source, version)));
        }
        self.next(now)
    }

    /// A source has not the version that is being fetched: it has a newer one by now, or it is another life of it.
    fn refused(&mut self, now: Time, source: DocumentSource) -> Option<FetchStep> {
        let (asked, version) =
            self.transfer.as_ref().map(|transfer| (transfer.asked, transfer.version))?;
        if asked.is_none_or(|(asked, _)| asked != source) {
            return None;
        }
        if self.offers.get(&source).is_some_and(|offer| *offer > version) {
            self.transfer = None;
        } else {
            self.offers.remove(&source);
            self.ask_again_if_asked(source);
        }
        self.next(now)
    }

    fn ask_again_if_asked(&mut self, source: DocumentSource) {
        if let Some(transfer) = &mut self.transfer
            && transfer.asked.is_some_and(|(asked, _)| asked == source)
        {
            transfer.asked = None;
        }
    }
}
