//! Who sends a node a new document, where several keepers tell of it.

use std::time::Duration;

use keeper::{Ask, DocumentFetch};
use model::Time;

const START: Time = Time::from_millis(1_000_000);

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// Five keepers each sent a node of 291 a document of 10 kB: 15 MB a change.
#[test]
fn one_of_several_keepers_sends_a_document() {
    let mut fetch = DocumentFetch::default();
    assert_eq!(fetch.next(at(0), 7, 7), Ask::News);
    assert_eq!(fetch.next(at(1), 7, 8), Ask::Document);
    for millis in 1..5 {
        assert_eq!(fetch.next(at(millis), 7, 8), Ask::After(Duration::from_millis(201 - millis)));
    }
    assert_eq!(fetch.next(at(6), 8, 8), Ask::News, "it has come");
}

/// A keeper that was asked and does not answer must not hold up a configuration that others have.
#[test]
fn another_keeper_is_asked_where_the_first_is_silent_or_gone() {
    let mut fetch = DocumentFetch::default();
    assert_eq!(fetch.next(at(0), 0, 8), Ask::Document);
    assert_eq!(fetch.next(at(150), 0, 8), Ask::After(Duration::from_millis(50)));
    assert_eq!(fetch.next(at(200), 0, 8), Ask::Document, "silent");
    assert_eq!(fetch.next(at(201), 0, 8), Ask::After(Duration::from_millis(199)));
    fetch.lost();
    assert_eq!(fetch.next(at(202), 0, 8), Ask::Document, "gone");
}

/// Configurations come in quick succession: who tells of a newer one is asked at once.
#[test]
fn a_newer_version_is_asked_for_at_once() {
    let mut fetch = DocumentFetch::default();
    assert_eq!(fetch.next(at(0), 7, 8), Ask::Document);
    assert_eq!(fetch.next(at(1), 7, 9), Ask::Document);
    assert_eq!(fetch.next(at(2), 7, 8), Ask::After(Duration::from_millis(199)));
    assert_eq!(fetch.next(at(3), 8, 9), Ask::After(Duration::from_millis(198)));
}
