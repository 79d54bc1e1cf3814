//! The submissions known to an entry, limited by retention time and memory.

use std::collections::{BTreeSet, VecDeque};

use model::{Expiry, Map, SubmissionId, Time};
use wire::RelayReply;

use crate::job::{Job, Phase};

/// Estimated memory of a kept submission without its texts, in bytes: the job, and its id in three
/// indexes.
const SUBMISSION_BYTES: usize = 1_024;

/// The timers of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// Timeout of the claim round.
    ClaimTimeout,
    /// Timeout of the lookup at the claim holders.
    LookupTimeout,
    /// The job has waited long enough to accept straggling targets.
    AnyTarget,
    /// The deadline of the submission.
    Deadline,
}

/// The submissions of one entry with their timers and expiry times.
#[derive(Debug, Default)]
pub(crate) struct Table {
    jobs: Map<SubmissionId, Job>,
    timers: BTreeSet<(Time, SubmissionId, TimerKind)>,
    expiry: Expiry<SubmissionId>,
    /// Submissions with an outcome, oldest first.
    done: VecDeque<SubmissionId>,
    /// Submissions that have not started and are not in progress, oldest first. Some are in progress
    /// again or removed.
    inactive: VecDeque<SubmissionId>,
    /// Estimated size of the kept outcomes, in bytes.
    done_bytes: usize,
    /// Submissions in progress.
    active: usize,
    /// Submissions dropped for the memory limit.
    dropped: u64,
}

impl Table {
    pub fn get(&self, id: SubmissionId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    pub fn get_mut(&mut self, id: SubmissionId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// Adds a new submission and its deadline timer.
    pub fn insert(&mut self, id: SubmissionId, job: Job) {
        self.timers.insert((job.deadline, id, TimerKind::Deadline));
        self.active += usize::from(job.is_active());
        let old = self.jobs.insert(id, job);
        debug_assert!(old.is_none(), "a submission is inserted twice");
    }

    /// Removes a submission without an outcome.
    pub fn remove(&mut self, id: SubmissionId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.timers.remove(&(job.deadline, id, TimerKind::Deadline));
        self.active -= usize::from(job.is_active());
        Some(job)
    }

    /// Stores the outcome of a submission until `until`; drops the oldest submissions while the size
    /// of those kept exceeds `bytes_max`.
    pub fn finish(&mut self, id: SubmissionId, reply: RelayReply, until: Time, bytes_max: usize) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        debug_assert!(!job.is_done(), "a submission gets a second outcome");
        self.timers.remove(&(job.deadline, id, TimerKind::Deadline));
        self.active -= 1;
        self.done_bytes += outcome_bytes(&reply);
        job.phase = Phase::Done(reply);
        self.done.push_back(id);
        self.expiry.insert(id, until);
        self.drop_oldest(bytes_max);
    }

    /// Keeps a submission that has not started in an inactive phase until `until`, when its id is
    /// too old; drops the oldest submissions while the size of those kept exceeds `bytes_max`.
    pub fn deactivate(&mut self, id: SubmissionId, phase: Phase, until: Time, bytes_max: usize) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        self.active -= usize::from(job.is_active());
        job.phase = phase;
        self.inactive.push_back(id);
        self.expiry.insert(id, until);
        self.drop_oldest(bytes_max);
    }

    /// Drops submissions that have not started before outcomes. If one is submitted again, the
    /// holders of its claim still know it, so that it does not start.
    fn drop_oldest(&mut self, bytes_max: usize) {
        while self.kept_bytes() > bytes_max {
            let is_dropped = if let Some(oldest) = self.inactive.pop_front() {
                self.remove_inactive(oldest)
            } else if let Some(oldest) = self.done.pop_front() {
                self.remove_done(oldest)
            } else {
                return;
            };
            self.dropped += u64::from(is_dropped);
        }
    }

    /// Removes a submission that has not started and is not in progress; false if there is none.
    fn remove_inactive(&mut self, id: SubmissionId) -> bool {
        let phase = self.jobs.get(&id).map(|job| &job.phase);
        matches!(phase, Some(Phase::Undecided | Phase::Refused { .. })) && self.remove(id).is_some()
    }

    /// Moves an inactive submission to an active phase with a new deadline.
    pub fn reactivate(&mut self, id: SubmissionId, phase: Phase, deadline: Time) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        debug_assert!(
            !job.is_active() && !job.is_done(),
            "only inactive submissions are reactivated"
        );
        self.timers.remove(&(job.deadline, id, TimerKind::Deadline));
        job.phase = phase;
        job.deadline = deadline;
        self.timers.insert((deadline, id, TimerKind::Deadline));
        self.active += 1;
    }

    /// Removes outcomes and inactive submissions past their retention.
    pub fn expire(&mut self, now: Time) {
        for id in self.expiry.take_expired(now) {
            match self.jobs.get(&id).map(|job| &job.phase) {
                Some(Phase::Done(_)) => {
                    self.remove_done(id);
                }
                Some(Phase::Undecided | Phase::Refused { .. }) => {
                    self.remove(id);
                }
                _ => {}
            }
        }
        while self.inactive.front().is_some_and(|id| !self.jobs.contains_key(id)) {
            self.inactive.pop_front();
        }
        while self.done.front().is_some_and(|id| !self.jobs.contains_key(id)) {
            self.done.pop_front();
        }
    }

    /// Removes a submission and its kept outcome; false if it had none.
    fn remove_done(&mut self, id: SubmissionId) -> bool {
        let Some(Job { phase: Phase::Done(reply), .. }) = self.jobs.remove(&id) else {
            return false;
        };
        self.done_bytes -= outcome_bytes(&reply);
        true
    }

    /// Sets a timer for a submission.
    pub fn set_timer(&mut self, time: Time, id: SubmissionId, kind: TimerKind) {
        self.timers.insert((time, id, kind));
    }

    /// Removes and returns the next timer that has expired.
    pub fn pop_expired_timer(&mut self, now: Time) -> Option<(SubmissionId, TimerKind)> {
        let (time, id, kind) = *self.timers.first()?;
        if time > now {
            return None;
        }
        self.timers.pop_first();
        Some((id, kind))
    }

    /// The time of the next timer.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(time, _, _)| *time)
    }

    /// The number of submissions in progress.
    pub fn active(&self) -> usize {
        self.active
    }

    /// The number of submissions kept that are not in progress.
    pub fn kept(&self) -> usize {
        self.jobs.len() - self.active
    }

    /// The estimated size of the submissions kept, in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.done_bytes + self.inactive.len() * SUBMISSION_BYTES
    }

    /// The number of submissions dropped for the memory limit.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

fn outcome_bytes(reply: &RelayReply) -> usize {
    let texts = match reply {
        Ok(answers) => answers.iter().map(|text| text.len() + size_of::<usize>() * 4).sum(),
        Err(failure) => failure.message.len(),
    };
    texts + SUBMISSION_BYTES
}
