//! The tasks that ran, or may have run, when the target crashed.
//!
//! Such a task may have caused the crash, so entries count the crashes under it. One that certainly
//! ran is not started here again for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{TaskId, Time};
use wire::{SuspectedTask, TaskEnd, ToEntry};

use crate::crash_evidence::{CrashEvidence, RunAtCrash};
use crate::event::{Action, LogEvent, SessionId};
use crate::run::Run;
use crate::runner::{LostRun, Runner};

/// How long a crash is remembered: well beyond the client's retries.
const CRASH_RETENTION: Duration = Duration::from_secs(20);

/// The crashes under one task.
#[derive(Debug, Default)]
struct TaskCrashes {
    /// Whether the task ran at one of them.
    confirmed: bool,
    /// When further ones were noticed at which it may have run.
    suspected: Vec<Time>,
    expires: Time,
}

/// The tasks of recent crashes.
#[derive(Debug, Default)]
pub(crate) struct CrashedTasks(BTreeMap<TaskId, TaskCrashes>);

impl CrashedTasks {
    /// Whether the target has crashed while it ran a task.
    pub fn is_confirmed(&self, task: &TaskId) -> bool {
        self.0.get(task).is_some_and(|crashes| crashes.confirmed)
    }

    /// Whether the target has crashed and may have run a task at that time.
    pub fn is_suspected(&self, task: &TaskId) -> bool {
        self.0.get(task).is_some_and(|crashes| !crashes.suspected.is_empty())
    }

    pub fn expire(&mut self, now: Time) {
        self.0.retain(|_, crashes| crashes.expires > now);
    }

    /// Records a crash under these tasks.
    fn record(&mut self, now: Time, confirmed: &[TaskId], suspected: &[TaskId]) {
        confirmed.iter().for_each(|task| self.of_task(now, task).confirmed = true);
        suspected.iter().for_each(|task| self.of_task(now, task).suspected.push(now));
    }

    fn of_task(&mut self, now: Time, task: &TaskId) -> &mut TaskCrashes {
        let crashes = self.0.entry(task.clone()).or_default();
        crashes.expires = now + CRASH_RETENTION;
        crashes
    }

    fn confirmed(&self) -> Vec<TaskId> {
        let confirmed = self.0.iter().filter(|(_, crashes)| crashes.confirmed);
        confirmed.map(|(task, _)| task.clone()).collect()
    }

    fn suspected(&self) -> Vec<SuspectedTask> {
        let of_task = |(task, crashes): (&TaskId, &TaskCrashes)| {
            let report =
                |noticed_at: &Time| SuspectedTask { task: task.clone(), noticed_at: *noticed_at };
            crashes.suspected.iter().map(report).collect::<Vec<SuspectedTask>>()
        };
        self.0.iter().flat_map(of_task).collect()
    }
}

/// Which runs were active when the target crashed.
#[derive(Debug)]
pub(crate) struct CrashVerdict {
    runs: Vec<(TaskId, RunAtCrash)>,
    last_hold_answer: Time,
}

impl CrashVerdict {
    /// Judges these runs of a target that has crashed.
    pub fn new<'a>(
        evidence: &CrashEvidence,
        runs: impl Iterator<Item = (&'a TaskId, &'a Run)>,
    ) -> Self {
        let runs = runs.map(|(task, run)| (task.clone(), evidence.judge(run))).collect();
        Self { runs, last_hold_answer: evidence.last_hold_answer }
    }

    fn tasks_with(&self, wanted: RunAtCrash) -> impl Iterator<Item = TaskId> {
        let matching = self.runs.iter().filter(move |(_, run)| *run == wanted);
        matching.map(|(task, _)| task.clone())
    }
}

impl Runner {
    /// Ends runs whose target has crashed, and notifies every entry of their tasks, as clients may
    /// submit the jobs again anywhere.
    pub(crate) fn end_crashed_runs(
        &mut self,
        now: Time,
        crash: CrashVerdict,
        actions: &mut Vec<Action>,
    ) {
        let mut suspected = self.take_unsettled_losses(crash.last_hold_answer);
        suspected.extend(crash.tasks_with(RunAtCrash::MayBeActive));
        let confirmed: Vec<TaskId> = crash.tasks_with(RunAtCrash::Active).collect();
        self.crashed_tasks.record(now, &confirmed, &suspected);
        self.notify_of_crashes(&confirmed, actions);
        self.notify_of_suspected_crashes(now, &suspected, actions);
        for (task, run) in &crash.runs {
            let end = match run {
                RunAtCrash::Active => TaskEnd::Crashed,
                RunAtCrash::MayBeActive | RunAtCrash::Inactive => TaskEnd::Lost,
            };
            self.end_run(now, task, end, actions);
            if let Some(lost) = self.lost_runs.get_mut(task) {
                lost.is_settled = true;
            }
        }
    }

    /// The tasks of runs that were lost after the last answer to a hold, when it was not known yet
    /// that the target had crashed.
    fn take_unsettled_losses(&mut self, last_hold_answer: Time) -> Vec<TaskId> {
        let is_unsettled = |lost: &LostRun| !lost.is_settled && lost.lost_at > last_hold_answer;
        let unsettled = self.lost_runs.iter_mut().filter(|(_, lost)| is_unsettled(lost));
        let settle = |(task, lost): (&TaskId, &mut LostRun)| {
            lost.is_settled = true;
            task.clone()
        };
        unsettled.map(settle).collect()
    }

    fn notify_of_crashes(&self, tasks: &[TaskId], actions: &mut Vec<Action>) {
        if tasks.is_empty() {
            return;
        }
        let message = || ToEntry::TargetCrashed(tasks.to_vec());
        actions.extend(self.sessions.keys().map(|id| Action::Send(*id, message())));
    }

    fn notify_of_suspected_crashes(
        &mut self,
        now: Time,
        tasks: &[TaskId],
        actions: &mut Vec<Action>,
    ) {
        if tasks.is_empty() {
            return;
        }
        self.counters.suspected_crashes += tasks.len() as u64;
        let events = tasks.iter().map(|task| LogEvent::CrashSuspected(task.clone()));
        actions.extend(events.map(Action::Log));
        let report = |task: &TaskId| SuspectedTask { task: task.clone(), noticed_at: now };
        let reports: Vec<SuspectedTask> = tasks.iter().map(report).collect();
        let readers = self.sessions.iter().filter(|(_, session)| session.reads_suspicions);
        let message = || ToEntry::CrashSuspected(reports.clone());
        actions.extend(readers.map(|(id, _)| Action::Send(*id, message())));
    }

    /// Notifies an entry that has just connected of recent crashes: a restarted entry has forgotten
    /// them, and clients submit their jobs again.
    pub(crate) fn notify_of_recent_crashes(&self, id: SessionId, actions: &mut Vec<Action>) {
        let confirmed = self.crashed_tasks.confirmed();
        if !confirmed.is_empty() {
            actions.push(Action::Send(id, ToEntry::TargetCrashed(confirmed)));
        }
    }

    /// Processes the announcement of an entry that it reads reports of suspected crashes.
    pub(crate) fn enable_suspicions(&mut self, id: SessionId, actions: &mut Vec<Action>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.reads_suspicions = true;
        let suspected = self.crashed_tasks.suspected();
        if !suspected.is_empty() {
            actions.push(Action::Send(id, ToEntry::CrashSuspected(suspected)));
        }
    }
}
