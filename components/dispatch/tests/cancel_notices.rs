//! Cancels sent to other entries, including entries that are listed later.

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
fn all_listed_entries_are_notified_of_a_cancel() {
    let mut notices = CancelNotices::default();
    assert_eq!(notices.update_entries(START, entries(&[1, 2])), []);
    assert_eq!(notices.record_cancel(after(1), &JobId::new("a")), [entry(1), entry(2)]);
    assert_eq!(notices.update_entries(after(2), entries(&[1, 2])), [], "they are already notified");
}

/// Otherwise a job at an entry that had just started would run to its end after its cancel was
/// acknowledged.
#[test]
fn an_entry_listed_just_after_a_cancel_is_notified() {
    let mut notices = CancelNotices::default();
    notices.update_entries(START, entries(&[1]));
    let job = JobId::new("a");
    assert_eq!(notices.record_cancel(after(100), &job), [entry(1)]);
    assert_eq!(notices.update_entries(after(130), entries(&[1, 2])), [(entry(2), job)]);
}

#[test]
fn an_entry_listed_long_after_a_cancel_is_not_notified() {
    let mut notices = CancelNotices::default();
    notices.record_cancel(START, &JobId::new("a"));
    assert_eq!(notices.update_entries(after(2_000), entries(&[1])), []);
}

/// An entry that could not be reached may still run the job.
#[test]
fn an_unreachable_entry_is_retried_until_the_cancel_expires() {
    let mut notices = CancelNotices::default();
    notices.update_entries(START, entries(&[1]));
    assert!(!notices.has_pending(START, entry(1)), "there is no cancel");
    notices.record_cancel(START, &JobId::new("a"));
    assert!(notices.has_pending(after(1_900), entry(1)));
    assert!(!notices.has_pending(after(1_900), entry(2)), "the entry is not listed");
    assert!(!notices.has_pending(after(2_000), entry(1)));
}
