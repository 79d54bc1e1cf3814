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

/// A document that is packed into [`PARTS`] parts.
fn document(version: u64) -> Document {
    let mut dice = version;
    let mut letter = || {
        dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        char::from(b'!' + (dice >> 33) as u8 % 94)
    };
    // Each random letter takes about 6.5 bits when packed.
    let count = (PARTS - 1) * PART_BYTES_MAX * 8 / 6;
    let text: String = (0..count).map(|_| letter()).collect();
    Document::new(version, format!("ü€{text}"))
}

/// A node and its requests.
struct Node {
    fetch: DocumentFetch,
    now: Time,
    step: Option<FetchStep>,
    /// The requests sent so far, with their sources.
    asked: Vec<(DocumentSource, PartRequest)>,
}

impl Node {
    fn new() -> Self {
        Self { fetch: DocumentFetch::default(), now: START, step: None, asked: Vec::new() }
    }

    fn follow(&mut self, step: Option<FetchStep>) {
        if let Some(FetchStep::Request(source, request)) = &step {
            self.asked.push((*source, *request));
        }
        if step.is_some() {
            self.step = step;
        }
    }

    fn offered(&mut self, source: DocumentSource, version: u64) {
        let step = self.fetch.version_offered(self.now, source, version);
        self.follow(step);
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        let step = self.fetch.next_step(self.now);
        self.follow(step);
    }

    /// The outstanding request and its source.
    fn waits_for(&self) -> (DocumentSource, PartRequest) {
        match &self.step {
            Some(FetchStep::Request(source, request)) => (*source, *request),
            other => panic!("{other:?}"),
        }
    }

    /// Answers the outstanding request from the given documents.
    fn answered_from(&mut self, documents: &[Document]) {
        let (source, request) = self.waits_for();
        let part = documents.iter().find_map(|document| document.part(request));
        let step = self.fetch.part_answered(self.now, source, part);
        self.follow(step);
    }

    fn fetch_from(&mut self, documents: &[Document]) -> Document {
        for _ in 0..10 * PARTS {
            match self.step.take() {
                Some(FetchStep::Complete(document, _)) => return document,
                step => self.step = step,
            }
            self.answered_from(documents);
        }
        panic!("it has not come whole: {:?}", self.step);
    }
}

/// Each part must be requested once, and the sources must take turns.
#[test]
fn a_document_comes_once_and_from_all_that_have_it() {
    let mut node = Node::new();
    (1..=5).for_each(|number| node.offered(keeper(number), 8));
    assert_eq!(node.asked.len(), 1, "nothing more is asked for before it answers");
    assert!(node.fetch.is_behind());
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
    let offsets: Vec<usize> = node.asked.iter().map(|(_, request)| request.offset).collect();
    assert_eq!(offsets.len(), PARTS, "each part is asked for once: {offsets:?}");
    assert!(offsets.is_sorted_by(|a, b| a < b));
    let mut sources: Vec<DocumentSource> = node.asked.iter().map(|(source, _)| *source).collect();
    sources.sort();
    assert_eq!(sources, (1..=5).map(keeper).collect::<Vec<_>>());
    node.offered(keeper(1), 8);
    assert_eq!((node.asked.len(), node.fetch.version()), (PARTS, 8), "it has come");
    assert!(!node.fetch.is_behind());
}

/// A silent or lost source must not block the transfer or discard the parts received so far.
#[test]
fn another_keeper_is_asked_for_the_part_where_the_first_is_silent_or_gone() {
    let mut node = Node::new();
    node.offered(keeper(1), 8);
    node.answered_from(&[document(8)]);
    let (_, part) = node.waits_for();
    assert!(part.offset > 0);
    node.offered(keeper(2), 8);
    node.pass(PART_TIMEOUT - Duration::from_millis(1));
    assert_eq!(node.asked.len(), 2);
    node.pass(Duration::from_millis(1));
    assert_eq!(node.waits_for(), (keeper(2), part), "silent");
    node.offered(keeper(3), 8);
    let step = node.fetch.source_gone(node.now, keeper(2));
    node.follow(step);
    assert_eq!(node.waits_for(), (keeper(3), part), "gone");
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
    assert!(node.asked.iter().skip(2).all(|(source, _)| *source != keeper(1)), "not asked again");
}

/// On a slow link every part arrives after its timeout; the transfer must still complete instead of
/// restarting.
#[test]
fn a_part_that_comes_late_counts_once() {
    let mut node = Node::new();
    let mut late = 0;
    (1..=2).for_each(|number| node.offered(keeper(number), 8));
    while !matches!(node.step, Some(FetchStep::Complete(..))) {
        let before = node.waits_for();
        node.pass(PART_TIMEOUT);
        late += usize::from(node.waits_for() != before);
        // The answer to the first request, then the answer to the second.
        for (source, request) in [before, node.waits_for()] {
            let step = node.fetch.part_answered(node.now, source, document(8).part(request));
            node.follow(step);
        }
        assert!(node.asked.len() < 4 * PARTS, "it goes on: {:?}", node.asked);
    }
    assert_eq!(late, PARTS, "each was asked for twice");
    assert_eq!(node.fetch_from(&[]), document(8));
}

/// A newer version must not discard a transfer in progress; it is fetched afterwards.
#[test]
fn a_newer_version_does_not_cost_what_has_come_of_an_older_one() {
    let mut node = Node::new();
    node.offered(keeper(1), 8);
    node.answered_from(&[document(8)]);
    node.offered(keeper(1), 9);
    node.offered(keeper(1), 11);
    assert_eq!(node.fetch_from(&[document(11), document(9), document(8)]), document(8));
    assert_eq!(node.asked.len(), PARTS);
    node.pass(Duration::ZERO);
    assert_eq!(node.fetch_from(&[document(11), document(9)]), document(11));
}

/// A transfer is abandoned if no source has its version any more.
#[test]
fn the_newest_version_is_fetched_where_the_older_one_is_gone() {
    let mut node = Node::new();
    node.offered(keeper(1), 8);
    node.answered_from(&[document(8)]);
    node.offered(keeper(1), 12);
    assert_eq!(node.fetch_from(&[document(12)]), document(12));

    let mut node = Node::new();
    node.offered(keeper(1), 12);
    node.answered_from(&[document(12)]);
    node.offered(keeper(2), 8);
    let step = node.fetch.source_gone(node.now, keeper(1));
    node.follow(step);
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
}

/// A source that was restarted without the advertised version must not be asked again until it
/// advertises one.
#[test]
fn a_source_that_has_nothing_is_not_asked_before_it_tells_again() {
    let mut node = Node::new();
    node.offered(keeper(1), 8);
    node.answered_from(&[]);
    node.pass(PART_TIMEOUT * 4);
    assert_eq!(node.asked.len(), 1);
    node.offered(keeper(1), 8);
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
}

/// Agents serve as sources only while no keeper is available.
#[test]
fn agents_are_asked_where_no_keeper_is() {
    let mut node = Node::new();
    node.offered(agent(1), 8);
    node.answered_from(&[document(8)]);
    assert_eq!(node.waits_for().0, agent(1));
    node.offered(agent(2), 8);
    node.answered_from(&[document(8)]);
    assert_eq!(node.waits_for().0, agent(2));
    node.offered(keeper(1), 8);
    node.answered_from(&[document(8)]);
    assert_eq!(node.waits_for().0, keeper(1));
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
    assert!(node.asked.iter().skip(3).all(|(source, _)| *source == keeper(1)));
}

/// No part may exceed the size limit, and the parts must add up to the document.
#[test]
fn no_part_is_longer_than_a_link_carries_at_once() {
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
    assert_eq!(Document::unpack(8, bytes), Some(document.clone()));
    assert_eq!(document.part(beyond), None);
    assert_eq!(document.part(PartRequest { version: 7, offset: 0 }), None);
}

/// A source that sends less than the announced length must not block the transfer from others.
#[test]
fn a_text_that_is_not_as_long_as_told_is_fetched_anew() {
    let mut node = Node::new();
    node.offered(keeper(1), 8);
    node.offered(keeper(2), 8);
    let (source, request) = node.waits_for();
    let mut part = document(8).part(request).expect("the first part");
    part.bytes.clear();
    let step = node.fetch.part_answered(node.now, source, Some(part));
    node.follow(step);
    assert_eq!(node.waits_for().0, keeper(2));
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
}

/// Sources of different releases may pack a document differently; their parts must not be combined.
#[test]
fn parts_of_two_ways_of_packing_are_not_mixed() {
    let other_way = |request| {
        document(8).part(request).map(|part| DocumentPart { digest: part.digest + 1, ..part })
    };
    let mut node = Node::new();
    (1..=3).for_each(|number| node.offered(keeper(number), 8));
    node.answered_from(&[document(8)]);
    let (odd, request) = node.waits_for();
    let step = node.fetch.part_answered(node.now, odd, other_way(request));
    node.follow(step);
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
    let asked = node.asked.iter().filter(|(source, _)| *source == odd);
    assert_eq!(asked.count(), 1);

    // If the source of the first part is gone, the transfer restarts from the remaining source.
    let mut node = Node::new();
    (1..=2).for_each(|number| node.offered(keeper(number), 8));
    let first = node.waits_for().0;
    node.answered_from(&[document(8)]);
    let step = node.fetch.source_gone(node.now, first);
    node.follow(step);
    for _ in 0..2 * PARTS {
        if let Some(FetchStep::Complete(whole, _)) = &node.step {
            assert_eq!(*whole, document(8));
            return;
        }
        let (source, request) = node.waits_for();
        let step = node.fetch.part_answered(node.now, source, other_way(request));
        node.follow(step);
    }
    panic!("it has not come whole: {:?}", node.step);
}

/// A source whose parts can't be unpacked must not be asked again until it advertises a version.
#[test]
fn bytes_that_are_no_document_are_fetched_anew() {
    let mut node = Node::new();
    node.offered(keeper(1), 8);
    let (source, request) = node.waits_for();
    let part = document(8).part(request).expect("the first part");
    let odd = DocumentPart { total: 3, bytes: vec![255; 3], ..part };
    let step = node.fetch.part_answered(node.now, source, Some(odd));
    node.follow(step);
    node.offered(keeper(2), 8);
    assert_eq!(node.waits_for().0, keeper(2));
    assert_eq!(node.fetch_from(&[document(8)]), document(8));
}
