//! A simulated target that takes commands, with leases, fencing tokens, reported ends and its own
//! clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use model::{Resources, TaskId, Time};
use runner::{
    EndReason, HoldCommand, HoldReply, StartCommand, StartRefusal, StartReply, StopCommand,
    StopReply, TargetEnd, TargetInstance, TargetReport, TargetRun,
};

use super::simulation::DEFAULT_HALL;

/// How much a slow clock lags behind true time, in thousandths.
const CLOCK_DRIFT_PERMILLE: u64 = 20;
/// Duration of a stop.
const STOP_TIME: Duration = Duration::from_millis(40);
/// The longest lease that a target grants.
pub(crate) const MAX_LEASE: Duration = Duration::from_secs(1);

/// What a target does with the tasks that it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behavior {
    /// Tasks take their time and end as drawn.
    Normal,
    /// Tasks fail early.
    Fails,
    /// Tasks never end.
    Hangs,
    /// Tasks take a multiple of their time.
    Slow(u32),
}

/// A run of a task at the target.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub run: u64,
    resources: Resources,
    started_at: Time,
    ends_at: Option<Time>,
    reason: EndReason,
}

/// One instance of a target.
#[derive(Debug)]
pub(crate) struct Target {
    pub instance: TargetInstance,
    /// The hall of the target's host.
    pub hall: &'static str,
    pub labels: Vec<Arc<str>>,
    pub capacity: Resources,
    /// Whether the target refuses starts that exceed its capacity.
    pub enforces_capacity: bool,
    pub behavior: Behavior,
    pub draining: bool,
    /// Whether part of the commands is carried out late, without an answer.
    pub unresponsive: bool,
    /// Whether the target has begun to leave.
    pub is_leaving: bool,
    /// Whether the target refuses connections, although its runs go on.
    pub is_closed: bool,
    started_at: Time,
    slow_clock: bool,
    /// The highest token of a command; commands with a lower one are refused.
    fencing_token: u64,
    /// End of the lease, on the target's clock.
    lease_end_ms: u64,
    pub runs: BTreeMap<TaskId, Run>,
    /// Ends of runs that the agent has not acknowledged by a hold.
    ends: Vec<TargetEnd>,
    /// Number of the next end.
    next_end: u64,
    /// For each task, the highest run number that was stopped or has ended.
    highest_closed_run: BTreeMap<TaskId, u64>,
}

/// A run that ended, as reported to the checks.
pub(crate) struct EndedRun {
    pub task: TaskId,
    pub reason: EndReason,
    pub ran: Duration,
}

impl Target {
    pub fn new(instance: TargetInstance, capacity: Resources, slow_clock: bool, now: Time) -> Self {
        Self {
            instance,
            capacity,
            enforces_capacity: true,
            hall: DEFAULT_HALL,
            labels: Vec::new(),
            behavior: Behavior::Normal,
            draining: false,
            unresponsive: false,
            is_leaving: false,
            is_closed: false,
            started_at: now,
            slow_clock,
            fencing_token: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            highest_closed_run: BTreeMap::new(),
        }
    }

    pub fn clock_ms(&self, now: Time) -> u64 {
        let micros = now.since(self.started_at).as_micros() as u64;
        let micros =
            if self.slow_clock { micros / 1_000 * (1_000 - CLOCK_DRIFT_PERMILLE) } else { micros };
        1_000 + micros / 1_000
    }

    pub fn report(&self, now: Time) -> TargetReport {
        TargetReport {
            instance: self.instance.clone(),
            service: Arc::from("work"),
            hall: Arc::from(self.hall),
            labels: self.labels.clone(),
            capacity: self.capacity,
            draining: self.draining,
            remaining: None,
            clock_ms: self.clock_ms(now),
            sequence: self.clock_ms(now),
        }
    }

    /// Ends all runs that are due, or all runs once the lease has expired.
    pub fn end_due_runs(&mut self, now: Time) -> Vec<EndedRun> {
        if self.clock_ms(now) > self.lease_end_ms {
            let runs: Vec<TaskId> = self.runs.keys().cloned().collect();
            return runs
                .into_iter()
                .filter_map(|task| self.end_run(now, &task, EndReason::LeaseExpired))
                .collect();
        }
        let due: Vec<(TaskId, EndReason)> = self
            .runs
            .iter()
            .filter(|(_, run)| run.ends_at.is_some_and(|ends_at| ends_at <= now))
            .map(|(task, run)| (task.clone(), run.reason))
            .collect();
        due.into_iter().filter_map(|(task, reason)| self.end_run(now, &task, reason)).collect()
    }

    fn end_run(&mut self, now: Time, task: &TaskId, reason: EndReason) -> Option<EndedRun> {
        let run = self.runs.remove(task)?;
        self.close_run(task, run.run);
        let number = self.next_end;
        self.next_end += 1;
        let target_run = TargetRun { task: task.clone(), run: run.run };
        self.ends.push(TargetEnd { number, run: Some(target_run), reason });
        Some(EndedRun { task: task.clone(), reason, ran: now.since(run.started_at) })
    }

    fn close_run(&mut self, task: &TaskId, run: u64) {
        let highest_closed_run = self.highest_closed_run.entry(task.clone()).or_default();
        *highest_closed_run = (*highest_closed_run).max(run);
    }

    fn renew_lease(&mut self, clock_ms: u64, deadline_ms: u64) {
        self.lease_end_ms =
            self.lease_end_ms.max(deadline_ms.min(clock_ms + MAX_LEASE.as_millis() as u64));
    }

    /// Carries out a start, where `work` is the duration of the task and `fails` whether it fails.
    /// Returns the reply and whether a new run started.
    pub fn start(
        &mut self,
        now: Time,
        command: &StartCommand,
        resources: Resources,
        work: Duration,
        fails: bool,
    ) -> (StartReply, bool) {
        let clock_ms = self.clock_ms(now);
        let task = &command.key.task;
        let refused = |reason| (StartReply::Refused { clock_ms, reason }, false);
        if command.key.target.id != self.instance.id {
            return (StartReply::OtherInstance, false);
        }
        if command.fencing_token < self.fencing_token {
            return refused(StartRefusal::StaleToken);
        }
        self.fencing_token = command.fencing_token;
        if command.deadline_ms <= clock_ms {
            return refused(StartRefusal::DeadlinePassed);
        }
        self.renew_lease(clock_ms, command.deadline_ms);
        if self.runs.get(task).is_some_and(|run| run.run == command.key.run) {
            return (StartReply::Accepted { clock_ms }, false);
        }
        let is_closed = self
            .highest_closed_run
            .get(task)
            .is_some_and(|highest_closed_run| command.key.run <= *highest_closed_run);
        if is_closed || self.runs.contains_key(task) {
            return refused(StartRefusal::StaleRun);
        }
        let mut free = self.capacity;
        self.runs.values().for_each(|run| free -= run.resources);
        if self.enforces_capacity && !resources.fits(&free) {
            return refused(StartRefusal::NoCapacity);
        }
        let (ends_at, reason) = match self.behavior {
            Behavior::Normal if fails => (Some(now + work), EndReason::Failed),
            Behavior::Normal => (Some(now + work), EndReason::Done),
            Behavior::Fails => (Some(now + work / 4), EndReason::Failed),
            Behavior::Hangs => (None, EndReason::Other),
            Behavior::Slow(factor) => (Some(now + work * factor), EndReason::Done),
        };
        let run = command.key.run;
        self.runs.insert(task.clone(), Run { run, resources, started_at: now, ends_at, reason });
        (StartReply::Accepted { clock_ms }, true)
    }

    pub fn stop(&mut self, now: Time, command: &StopCommand) -> StopReply {
        if command.key.target.id != self.instance.id {
            return StopReply::OtherInstance;
        }
        if command.fencing_token < self.fencing_token {
            return StopReply::NoAnswer;
        }
        self.fencing_token = command.fencing_token;
        match self.runs.get_mut(&command.key.task) {
            Some(run) if run.run == command.key.run => {
                run.ends_at = Some(
                    run.ends_at.map_or(now + STOP_TIME, |ends_at| ends_at.min(now + STOP_TIME)),
                );
                if run.ends_at == Some(now + STOP_TIME) {
                    run.reason = EndReason::Stopped;
                }
            }
            _ => self.close_run(&command.key.task, command.key.run),
        }
        StopReply::Acknowledged
    }

    /// Carries out a hold; `None` if the answer has to wait for a run to end.
    pub fn hold(&mut self, now: Time, command: &HoldCommand, timed_out: bool) -> Option<HoldReply> {
        let clock_ms = self.clock_ms(now);
        if command.target.id != self.instance.id {
            return Some(HoldReply::OtherInstance);
        }
        if command.fencing_token < self.fencing_token {
            return Some(HoldReply::StaleToken { clock_ms });
        }
        self.fencing_token = command.fencing_token;
        if let Some(deadline_ms) = command.deadline_ms
            && deadline_ms > clock_ms
        {
            self.renew_lease(clock_ms, deadline_ms);
        }
        self.ends.retain(|end| end.number > command.last_seen);
        if self.ends.is_empty() && !timed_out {
            return None;
        }
        let run = |(task, run): (&TaskId, &Run)| TargetRun { task: task.clone(), run: run.run };
        let running = self.runs.iter().map(run).collect();
        Some(HoldReply::Runs {
            started_ms: self.instance.started_ms,
            clock_ms,
            running,
            ended: self.ends.clone(),
        })
    }

    /// Returns the CPU that runs take, in thousandths of a core.
    pub fn used_cpu_milli(&self) -> u64 {
        self.runs.values().map(|run| run.resources.cpu_milli).sum()
    }

    /// Returns the running tasks.
    pub fn running(&self) -> BTreeSet<&TaskId> {
        self.runs.keys().collect()
    }
}
