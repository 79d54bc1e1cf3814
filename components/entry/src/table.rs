//! Every submission that an entry knows, within bounds of time and memory.

use std::collections::{BTreeSet, VecDeque};

use model::{Expiry, Map, SubmissionId, Time};
use wire::RelayReply;

use crate::job::{Job, Phase};

/// Memory of a kept outcome besides its texts, in bytes: the job, its id in three indexes.
const OUTCOME_BYTES: usize = 512;

/// What is due for a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// Holders that have not replied are taken as silent.
    Round,
    /// Holders that have not replied to a question are taken as silent.
    Inquiry,
    /// Its tasks have waited long enough for any target.
    AnyTarget,
    /// The deadline.
    Deadline,
}

/// The submissions of one entry.
#[derive(Debug, Default)]
pub(crate) struct Table {
    jobs: Map<SubmissionId, Job>,
    due: BTreeSet<(Time, SubmissionId, Due)>,
    expiry: Expiry<SubmissionId>,
    /// Submissions with an outcome, oldest first.
    done: VecDeque<SubmissionId>,
    done_bytes: usize,
    active: usize,
    dropped: u64,
}

impl Table {
    pub fn get(&self, id: SubmissionId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    pub fn get_mut(&mut self, id: SubmissionId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// Adds a submission without an outcome.
    pub fn insert(&mut self, id: SubmissionId, job: Job) {
        self.due.insert((job.deadline, id, Due::Deadline));
        self.active += usize::from(job.is_active());
        let old = self.jobs.insert(id, job);
        debug_assert!(old.is_none(), "submissions are inserted once");
    }

    /// Forgets a submission that never got an outcome here.
    pub fn remove(&mut self, id: SubmissionId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.due.remove(&(job.deadline, id, Due::Deadline));
        self.active -= usize::from(job.is_active());
        Some(job)
    }

    /// Gives a submission its outcome, kept until `until` or while memory allows.
    pub fn finish(&mut self, id: SubmissionId, reply: RelayReply, until: Time, bytes_max: usize) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        debug_assert!(!job.is_done(), "an outcome is given once");
        self.due.remove(&(job.deadline, id, Due::Deadline));
        self.active -= 1;
        self.done_bytes += bytes(&reply);
        job.phase = Phase::Done(reply);
        self.done.push_back(id);
        self.expiry.insert(id, until);
        while self.done_bytes > bytes_max {
            let Some(oldest) = self.done.pop_front() else { break };
            if self.forget(oldest) {
                self.dropped += 1;
            }
        }
    }

    /// Keeps a submission that has not started in a phase without an outcome, until its id is
    /// too old.
    pub fn park(&mut self, id: SubmissionId, phase: Phase, until: Time) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        self.active -= usize::from(job.is_active());
        job.phase = phase;
        self.expiry.insert(id, until);
    }

    /// Gives a parked submission something to do again.
    pub fn unpark(&mut self, id: SubmissionId, phase: Phase, deadline: Time) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        debug_assert!(!job.is_active() && !job.is_done(), "only parked submissions are taken up");
        self.due.remove(&(job.deadline, id, Due::Deadline));
        job.phase = phase;
        job.deadline = deadline;
        self.due.insert((deadline, id, Due::Deadline));
        self.active += 1;
    }

    /// Forgets what is past its retention.
    pub fn expire(&mut self, now: Time) {
        for id in self.expiry.due(now) {
            match self.jobs.get(&id).map(|job| &job.phase) {
                Some(Phase::Done(_)) => {
                    self.forget(id);
                }
                Some(Phase::Undecided | Phase::Refused { .. }) => {
                    self.remove(id);
                }
                _ => {}
            }
        }
        while self.done.front().is_some_and(|id| !self.jobs.contains_key(id)) {
            self.done.pop_front();
        }
    }

    fn forget(&mut self, id: SubmissionId) -> bool {
        let Some(Job { phase: Phase::Done(reply), .. }) = self.jobs.remove(&id) else {
            return false;
        };
        self.done_bytes -= bytes(&reply);
        true
    }

    /// Notes that something is due for a submission.
    pub fn at(&mut self, time: Time, id: SubmissionId, due: Due) {
        self.due.insert((time, id, due));
    }

    /// Takes out the next thing that is due.
    pub fn next_due(&mut self, now: Time) -> Option<(SubmissionId, Due)> {
        let (time, id, due) = *self.due.first()?;
        if time > now {
            return None;
        }
        self.due.pop_first();
        Some((id, due))
    }

    /// When the next thing is due.
    pub fn next_timer(&self) -> Option<Time> {
        self.due.first().map(|(time, _, _)| *time)
    }

    /// Submissions without an outcome.
    pub fn active(&self) -> usize {
        self.active
    }

    /// Outcomes kept.
    pub fn kept(&self) -> usize {
        self.jobs.len() - self.active
    }

    /// Bytes of outcomes kept.
    pub fn kept_bytes(&self) -> usize {
        self.done_bytes
    }

    /// Outcomes dropped for memory.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

fn bytes(reply: &RelayReply) -> usize {
    let texts = match reply {
        Ok(answers) => answers.iter().map(|text| text.len() + size_of::<usize>() * 4).sum(),
        Err(failure) => failure.message.len(),
    };
    texts + OUTCOME_BYTES
}
