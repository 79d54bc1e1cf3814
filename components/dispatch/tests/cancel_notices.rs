//! Cancels that other entries are told of, also entries that are heard of later.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use dispatch::CancelNotices;
use model::{JobId, Time};

const START: Time = Time::from_millis(1_000_000);

fn entry(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn entries(numbers: &[u16]) -> BTreeSet<SocketAddr> {
    numbers.iter().map(|number| entry(*number)).collect()
}

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

#[test]
fn all_listed_entries_are_told_of_a_cancel() {
    let mut notices = CancelNotices::default();
    assert_eq!(notices.update_entries(START, entries(&[1, 2])), []);
    assert_eq!(notices.record_cancel(after(1), &JobId::new("a")), [entry(1), entry(2)]);
    assert_eq!(notices.update_entries(after(2), entries(&[1, 2])), [], "they have been told");
}

/// A client sent its job to an entry that had just started, and its cancel 80 ms later to one that had not heard of
/// that entry yet. The cancel was acknowledged and told to nobody; the job ran to its end.
#[test]
fn an_entry_that_is_heard_of_just_after_a_cancel_is_told_of_it() {
    let mut notices = CancelNotices::default();
    notices.update_entries(START, entries(&[1]));
    let job = JobId::new("a");
    assert_eq!(notices.record_cancel(after(100), &job), [entry(1)]);
    assert_eq!(notices.update_entries(after(130), entries(&[1, 2])), [(entry(2), job)]);
}

#[test]
fn an_entry_that_comes_long_after_a_cancel_is_not_told_of_it() {
    let mut notices = CancelNotices::default();
    notices.record_cancel(START, &JobId::new("a"));
    assert_eq!(notices.update_entries(after(2_000), entries(&[1])), []);
}

/// An entry that could not be reached may still run the job: it is tried again for as long as it is listed, and as
/// a cancel is news.
#[test]
fn an_entry_that_did_not_answer_is_owed_the_cancel_for_a_while() {
    let mut notices = CancelNotices::default();
    notices.update_entries(START, entries(&[1]));
    assert!(!notices.has_pending(START, entry(1)), "nothing was cancelled");
    notices.record_cancel(START, &JobId::new("a"));
    assert!(notices.has_pending(after(1_900), entry(1)));
    assert!(!notices.has_pending(after(1_900), entry(2)), "nobody lists it");
    assert!(!notices.has_pending(after(2_000), entry(1)));
}
