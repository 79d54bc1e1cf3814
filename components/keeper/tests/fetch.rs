//! Document transfers of a node from several sources.

use std::net::SocketAddr;
use std::time::Duration;

use keeper::{DocumentFetch, DocumentSource, FetchStep, PART_TIMEOUT};
use model::Time;
use wire::{Document, DocumentPart, PART_BYTES_MAX, PartRequest};

const START: Time = Time::from_millis(1_000_000);
/// Number of parts of the test documents; the last part is shorter than the others.
const PARTS: usize = 5;

fn keeper(number: u8) -> DocumentSource {
    DocumentSource::Keeper(SocketAddr::from(([10, 0, 0, number], 7_101)))
}

fn agent(number: u64) -> DocumentSource {
    DocumentSource::Agent(number)
}

/// A document that has [`PARTS`] parts when compressed.
fn document(version: u64) -> Document {
    let mut state = version;
    let mut random_char = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        char::from(b'!' + (state >> 33) as u8 % 94)
    };
    // Each random character takes more than six bits when compressed.
    let count = (PARTS - 1) * PART_BYTES_MAX * 8 / 6;
    let text: String = (0..count).map(|_| random_char()).collect();
    Document::new(version, format!("ü€{text}"))
}

/// A node and its requests.
struct Node {
    fetch: DocumentFetch,
    now: Time,
    step: Option<FetchStep>,
    /// The requests sent so far, with their sources.
    requests: Vec<(DocumentSource, PartRequest)>,
}

impl Node {
    fn new() -> Self {
        Self { fetch: DocumentFetch::default(), now: START, step: None, requests: Vec::new() }
    }

    fn record_step(&mut self, step: Option<FetchStep>) {
        if let Some(FetchStep::Request(source, request)) = &step {
            self.requests.push((*source, *request));
        }
        if step.is_some() {
            self.step = step;
        }
    }

    fn offer(&mut self, source: DocumentSource, version: u64) {
        let step = self.fetch.version_offered(self.now, source, version);
        self.record_step(step);
    }

    fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        let step = self.fetch.next_step(self.now);
        self.record_step(step);
    }

    /// The outstanding request and its source.
    fn outstanding_request(&self) -> (DocumentSource, PartRequest) {
        match &self.step {
            Some(FetchStep::Request(source, request)) => (*source, *request),
            other => panic!("unexpected step: {other:?}"),
        }
    }

    /// Answers the outstanding request from the given documents.
    fn answer_from(&mut self, documents: &[Document]) {
        let (source, request) = self.outstanding_request();
        let part = documents.iter().find_map(|document| document.part(request));
        let step = self.fetch.part_answered(self.now, source, part);
        self.record_step(step);
    }

    fn fetch_from(&mut self, documents: &[Document]) -> Document {
        for _ in 0..10 * PARTS {
            match self.step.take() {
                Some(FetchStep::Complete(document, _)) => return document,
                step => self.step = step,
            }
            self.answer_from(documents);
        }
        panic!("the document is incomplete: {:?}", self.step);
    }
}

/// Each part must be requested once, and the sources must take turns.
#[test]
fn a_document_is_fetched_once_from_all_sources_in_turn() {
    let mut node = Node::new();
    (1..=5).for_each(|number| node.offer(keeper(number), 8));
    assert_eq!(node.requests.len(), 1, "only one request is outstanding");
    assert!(node.fetch.is_behind());
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
    let offsets: Vec<usize> = node.requests.iter().map(|(_, request)| request.offset).collect();
    assert_eq!(offsets.len(), PARTS, "each part is requested once: {offsets:?}");
    assert!(offsets.is_sorted_by(|a, b| a < b));
    let mut sources: Vec<DocumentSource> =
        node.requests.iter().map(|(source, _)| *source).collect();
    sources.sort();
    assert_eq!(sources, (1..=5).map(keeper).collect::<Vec<_>>());
    node.offer(keeper(1), 8);
    assert_eq!(
        (node.requests.len(), node.fetch.version()),
        (PARTS, 8),
        "a received version is not requested again"
    );
    assert!(!node.fetch.is_behind());
}

/// A silent or lost source must not block the transfer or discard the parts received so far.
#[test]
fn another_keeper_is_asked_if_the_first_is_silent_or_gone() {
    let mut node = Node::new();
    node.offer(keeper(1), 8);
    node.answer_from(&[document(8)]);
    let (_, part) = node.outstanding_request();
    assert!(part.offset > 0);
    node.offer(keeper(2), 8);
    node.advance(PART_TIMEOUT - Duration::from_millis(1));
    assert_eq!(node.requests.len(), 2);
    node.advance(Duration::from_millis(1));
    assert_eq!(node.outstanding_request(), (keeper(2), part), "after a timeout");
    node.offer(keeper(3), 8);
    let step = node.fetch.source_gone(node.now, keeper(2));
    node.record_step(step);
    assert_eq!(node.outstanding_request(), (keeper(3), part), "after a lost connection");
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
    assert!(
        node.requests.iter().skip(2).all(|(source, _)| *source != keeper(1)),
        "a silent source is not asked again"
    );
}

/// On a slow link every part arrives after its timeout; the transfer must still complete instead of
/// restarting.
#[test]
fn a_late_part_is_accepted_once() {
    let mut node = Node::new();
    let mut late = 0;
    (1..=2).for_each(|number| node.offer(keeper(number), 8));
    while !matches!(node.step, Some(FetchStep::Complete(..))) {
        let before = node.outstanding_request();
        node.advance(PART_TIMEOUT);
        late += usize::from(node.outstanding_request() != before);
        // The answer to the first request, then the answer to the second.
        for (source, request) in [before, node.outstanding_request()] {
            let step = node.fetch.part_answered(node.now, source, document(8).part(request));
            node.record_step(step);
        }
        assert!(node.requests.len() < 4 * PARTS, "the transfer restarts: {:?}", node.requests);
    }
    assert_eq!(late, PARTS, "each part was requested twice");
    assert_eq!(node.fetch_from(&[]), document(8));
}

/// A newer version must not discard a transfer in progress; it is fetched afterwards.
#[test]
fn a_newer_version_does_not_interrupt_a_transfer() {
    let mut node = Node::new();
    node.offer(keeper(1), 8);
    node.answer_from(&[document(8)]);
    node.offer(keeper(1), 9);
    node.offer(keeper(1), 11);
    assert_eq!(node.fetch_from(&[document(11), document(9), document(8)]), document(8));
    assert_eq!(node.requests.len(), PARTS);
    node.advance(Duration::ZERO);
    assert_eq!(node.fetch_from(&[document(11), document(9)]), document(11));
}

/// A transfer is abandoned if no source has its version any more.
#[test]
fn a_transfer_is_abandoned_if_its_version_is_gone() {
    let mut node = Node::new();
    node.offer(keeper(1), 8);
    node.answer_from(&[document(8)]);
    node.offer(keeper(1), 12);
    assert_eq!(node.fetch_from(&[document(12)]), document(12));

    let mut node = Node::new();
    node.offer(keeper(1), 12);
    node.answer_from(&[document(12)]);
    node.offer(keeper(2), 8);
    let step = node.fetch.source_gone(node.now, keeper(1));
    node.record_step(step);
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
}

/// A source that was restarted without the offered version must not be asked again until it
/// offers one.
#[test]
fn a_source_without_the_version_is_not_asked_until_it_offers_one() {
    let mut node = Node::new();
    node.offer(keeper(1), 8);
    node.answer_from(&[]);
    node.advance(PART_TIMEOUT * 4);
    assert_eq!(node.requests.len(), 1);
    node.offer(keeper(1), 8);
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
}

/// Agents serve as sources only while no keeper is available.
#[test]
fn agents_are_asked_if_no_keeper_is_available() {
    let mut node = Node::new();
    node.offer(agent(1), 8);
    node.answer_from(&[document(8)]);
    assert_eq!(node.outstanding_request().0, agent(1));
    node.offer(agent(2), 8);
    node.answer_from(&[document(8)]);
    assert_eq!(node.outstanding_request().0, agent(2));
    node.offer(keeper(1), 8);
    node.answer_from(&[document(8)]);
    assert_eq!(node.outstanding_request().0, keeper(1));
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
    assert!(node.requests.iter().skip(3).all(|(source, _)| *source == keeper(1)));
}

/// No part may exceed the size limit, and the parts must add up to the document.
#[test]
fn no_part_exceeds_the_size_limit() {
    let document = document(8);
    let (mut bytes, mut totals) = (Vec::new(), Vec::new());
    while let Some(part) = document.part(PartRequest { version: 8, offset: bytes.len() })
        && !part.bytes.is_empty()
    {
        assert!(part.bytes.len() <= PART_BYTES_MAX);
        assert_eq!(part.offset, bytes.len());
        totals.push(part.total);
        bytes.extend(part.bytes);
    }
    assert!(totals.iter().all(|total| *total == bytes.len()));
    let beyond = PartRequest { version: 8, offset: bytes.len() + 1 };
    assert_eq!(Document::from_compressed(8, bytes), Some(document.clone()));
    assert_eq!(document.part(beyond), None);
    assert_eq!(document.part(PartRequest { version: 7, offset: 0 }), None);
}

/// A source that sends less than the total length must not block the transfer from others.
#[test]
fn a_truncated_document_is_fetched_again() {
    let mut node = Node::new();
    node.offer(keeper(1), 8);
    node.offer(keeper(2), 8);
    let (source, request) = node.outstanding_request();
    let mut part = document(8).part(request).expect("the first part");
    part.bytes.clear();
    let step = node.fetch.part_answered(node.now, source, Some(part));
    node.record_step(step);
    assert_eq!(node.outstanding_request().0, keeper(2));
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
}

/// Sources of different releases may compress a document differently; their parts must not be
/// combined.
#[test]
fn parts_with_different_digests_are_not_combined() {
    let recompressed = |request| {
        document(8).part(request).map(|part| DocumentPart { digest: part.digest + 1, ..part })
    };
    let mut node = Node::new();
    (1..=3).for_each(|number| node.offer(keeper(number), 8));
    node.answer_from(&[document(8)]);
    let (mismatched, request) = node.outstanding_request();
    let step = node.fetch.part_answered(node.now, mismatched, recompressed(request));
    node.record_step(step);
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
    let requests = node.requests.iter().filter(|(source, _)| *source == mismatched);
    assert_eq!(requests.count(), 1);

    // If the source of the first part is gone, the transfer restarts from the remaining source.
    let mut node = Node::new();
    (1..=2).for_each(|number| node.offer(keeper(number), 8));
    let first = node.outstanding_request().0;
    node.answer_from(&[document(8)]);
    let step = node.fetch.source_gone(node.now, first);
    node.record_step(step);
    for _ in 0..2 * PARTS {
        if let Some(FetchStep::Complete(whole, _)) = &node.step {
            assert_eq!(*whole, document(8));
            return;
        }
        let (source, request) = node.outstanding_request();
        let step = node.fetch.part_answered(node.now, source, recompressed(request));
        node.record_step(step);
    }
    panic!("the document is incomplete: {:?}", node.step);
}

/// A source whose parts can't be decompressed must not be asked again until it offers a version.
#[test]
fn a_document_that_cannot_be_decompressed_is_fetched_again() {
    let mut node = Node::new();
    node.offer(keeper(1), 8);
    let (source, request) = node.outstanding_request();
    let part = document(8).part(request).expect("the first part");
    let invalid = DocumentPart { total: 3, bytes: vec![255; 3], ..part };
    let step = node.fetch.part_answered(node.now, source, Some(invalid));
    node.record_step(step);
    node.offer(keeper(2), 8);
    assert_eq!(node.outstanding_request().0, keeper(2));
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
}
