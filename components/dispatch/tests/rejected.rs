//! What rejected clients are told, and what comes of it.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use dispatch::{Event, Outcome, Reason, SessionId, Ticket};
use model::{JobId, TaskId, Time};
use wire::{StartTask, TaskEnd, TaskReport, ToEntry};

use support::{Entry, job};

fn rejection(entry: &Entry, ticket: Ticket) -> Option<(Reason, Duration)> {
    match entry.answer(ticket) {
        Some(Outcome::NotRun { reason, retry_after }) => Some((reason, retry_after)),
        _ => None,
    }
}

#[test]
fn what_no_target_can_run_is_rejected_at_once() {
    let mut entry = Entry::new();
    entry.agent(1, 16_000, &["a"]);
    let agents = [(1, 16_000)];
    let mut labelled = job(1, 200);
    labelled.shape.requirement = Some(Arc::from("b"));
    let early = entry.submit(labelled.clone());
    assert_eq!(entry.answer(early), None, "more agents may be about to connect");
    entry.run_for(2_500, &agents);
    labelled.id = JobId::new("00000000000000b1");
    let late = entry.submit(labelled);
    assert_eq!(rejection(&entry, late).map(|(reason, _)| reason), Some(Reason::NoTarget));
    let mut large = job(1, 200);
    large.id = JobId::new("00000000000000b2");
    large.shape.resources.cpu_milli = 17_000;
    let large = entry.submit(large);
    assert_eq!(rejection(&entry, large).map(|(reason, _)| reason), Some(Reason::NoTarget));
    let mut fits = job(1, 200);
    fits.id = JobId::new("00000000000000b3");
    let fits = entry.submit(fits);
    assert_eq!(entry.answer(fits), None);
    assert!(entry.starts().len() == 1);
}

#[test]
fn a_job_waits_for_targets_that_were_there_a_moment_ago() {
    let mut entry = Entry::new();
    entry.agent(1, 16_000, &[]);
    entry.run_for(2_500, &[(1, 16_000)]);
    entry.handle(Event::AgentClosed(SessionId(1)));
    let ticket = entry.submit(job(1, 200));
    entry.run_for(50, &[]);
    assert_eq!(entry.answer(ticket), None);
    entry.agent(1, 16_000, &[]);
    assert_eq!(entry.starts().len(), 1);
}
