//! A stand-in for a target that takes orders: runs under a lease, ends, fencing, a clock of its
//! own.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use model::{Resources, TaskId, Time};
use runner::{
    EndReason, HoldCommand, HoldReply, StartCommand, StartRefusal, StartReply, StopCommand,
    StopReply, TargetEnd, TargetInstance, TargetReport, TargetRun,
};

use super::world::ONE_HALL;

/// How much slower than true time its clock may run, in thousandths.
const SLOW_CLOCK: u64 = 20;
/// How long a stop takes.
const STOP_TIME: Duration = Duration::from_millis(40);
/// The longest lease that it grants.
pub(crate) const LONGEST_LEASE: Duration = Duration::from_secs(1);

/// How a target treats what it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Manner {
    /// As it should.
    Sound,
    /// It fails what it starts.
    Fails,
    /// What it starts never ends.
    Hangs,
    /// It takes this many times as long.
    Slow(u32),
}

/// A run at the target.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub run: u64,
    resources: Resources,
    ends: Option<Time>,
    reason: EndReason,
}

/// One life of a target.
#[derive(Debug)]
pub(crate) struct Target {
    pub id: TargetInstance,
    /// The hall that it stands in.
    pub hall: &'static str,
    pub capacity: Resources,
    /// Whether it refuses what it has no room for.
    pub guards_room: bool,
    pub manner: Manner,
    pub draining: bool,
    /// Its orders are not answered, and carried out later.
    pub mute: bool,
    began: Time,
    slow_clock: bool,
    fence: u64,
    lease_ms: u64,
    pub runs: BTreeMap<TaskId, Run>,
    ended: Vec<TargetEnd>,
    next_end: u64,
    /// The highest run of each task that was stopped or has ended.
    barred: BTreeMap<TaskId, u64>,
}

/// A run that ended, for the checks.
pub(crate) struct Ended {
    pub task: TaskId,
    pub reason: EndReason,
}

impl Target {
    pub fn new(id: TargetInstance, capacity: Resources, slow_clock: bool, now: Time) -> Self {
        Self {
            id,
            capacity,
            guards_room: true,
            hall: ONE_HALL,
            manner: Manner::Sound,
            draining: false,
            mute: false,
            began: now,
            slow_clock,
            fence: 0,
            lease_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            barred: BTreeMap::new(),
        }
    }

    pub fn clock_ms(&self, now: Time) -> u64 {
        let micros = now.since(self.began).as_micros() as u64;
        let micros = if self.slow_clock { micros / 1_000 * (1_000 - SLOW_CLOCK) } else { micros };
        1_000 + micros / 1_000
    }

    pub fn report(&self, now: Time) -> TargetReport {
        TargetReport {
            instance: self.id.clone(),
            service: Arc::from("work"),
            hall: Arc::from(self.hall),
            labels: Vec::new(),
            capacity: self.capacity,
            draining: self.draining,
            remaining: None,
            clock_ms: self.clock_ms(now),
            sequence: self.clock_ms(now),
        }
    }

    /// Lets time pass: runs end, the lease may lapse.
    pub fn pass(&mut self, now: Time) -> Vec<Ended> {
        if self.clock_ms(now) > self.lease_ms {
            let runs: Vec<TaskId> = self.runs.keys().cloned().collect();
            return runs
                .into_iter()
                .filter_map(|task| self.end(&task, EndReason::LeaseExpired))
                .collect();
        }
        let due: Vec<(TaskId, EndReason)> = self
            .runs
            .iter()
            .filter(|(_, run)| run.ends.is_some_and(|ends| ends <= now))
            .map(|(task, run)| (task.clone(), run.reason))
            .collect();
        due.into_iter().filter_map(|(task, reason)| self.end(&task, reason)).collect()
    }

    fn end(&mut self, task: &TaskId, reason: EndReason) -> Option<Ended> {
        let run = self.runs.remove(task)?;
        self.bar(task, run.run);
        let number = self.next_end;
        self.next_end += 1;
        let target_run = TargetRun { task: task.clone(), run: run.run };
        self.ended.push(TargetEnd { number, run: Some(target_run), reason });
        Some(Ended { task: task.clone(), reason })
    }

    fn bar(&mut self, task: &TaskId, run: u64) {
        let barred = self.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(run);
    }

    fn renew(&mut self, clock: u64, deadline_ms: u64) {
        self.lease_ms =
            self.lease_ms.max(deadline_ms.min(clock + LONGEST_LEASE.as_millis() as u64));
    }

    /// Takes a start; `work` is how long the task takes, `fails` whether by its own fault. The
    /// second part of what is returned says whether it began to run.
    pub fn start(
        &mut self,
        now: Time,
        order: &StartCommand,
        resources: Resources,
        work: Duration,
        fails: bool,
    ) -> (StartReply, bool) {
        let clock_ms = self.clock_ms(now);
        let task = &order.key.task;
        let refused = |reason| (StartReply::Refused { clock_ms, reason }, false);
        if order.key.target.id != self.id.id {
            return (StartReply::OtherInstance, false);
        }
        if order.fencing_token < self.fence {
            return refused(StartRefusal::StaleToken);
        }
        self.fence = order.fencing_token;
        if order.deadline_ms <= clock_ms {
            return refused(StartRefusal::DeadlinePassed);
        }
        self.renew(clock_ms, order.deadline_ms);
        if self.runs.get(task).is_some_and(|run| run.run == order.key.run) {
            return (StartReply::Accepted { clock_ms }, false);
        }
        let barred = self.barred.get(task).is_some_and(|barred| order.key.run <= *barred);
        if barred || self.runs.contains_key(task) {
            return refused(StartRefusal::StaleRun);
        }
        let mut free = self.capacity;
        self.runs.values().for_each(|run| free -= run.resources);
        if self.guards_room && !resources.fits(&free) {
            return refused(StartRefusal::NoCapacity);
        }
        let (ends, reason) = match self.manner {
            Manner::Sound if fails => (Some(now + work), EndReason::Failed),
            Manner::Sound => (Some(now + work), EndReason::Done),
            Manner::Fails => (Some(now + work / 4), EndReason::Failed),
            Manner::Hangs => (None, EndReason::Other),
            Manner::Slow(times) => (Some(now + work * times), EndReason::Done),
        };
        self.runs.insert(task.clone(), Run { run: order.key.run, resources, ends, reason });
        (StartReply::Accepted { clock_ms }, true)
    }

    pub fn stop(&mut self, now: Time, order: &StopCommand) -> StopReply {
        if order.key.target.id != self.id.id {
            return StopReply::OtherInstance;
        }
        if order.fencing_token < self.fence {
            return StopReply::NoAnswer;
        }
        self.fence = order.fencing_token;
        match self.runs.get_mut(&order.key.task) {
            Some(run) if run.run == order.key.run => {
                run.ends = Some(run.ends.map_or(now + STOP_TIME, |ends| ends.min(now + STOP_TIME)));
                if run.ends == Some(now + STOP_TIME) {
                    run.reason = EndReason::Stopped;
                }
            }
            _ => self.bar(&order.key.task, order.key.run),
        }
        StopReply::Acknowledged
    }

    /// Takes a hold; `None` where the answer waits for an end.
    pub fn hold(&mut self, now: Time, order: &HoldCommand, last: bool) -> Option<HoldReply> {
        let clock_ms = self.clock_ms(now);
        if order.target.id != self.id.id {
            return Some(HoldReply::OtherInstance);
        }
        if order.fencing_token < self.fence {
            return Some(HoldReply::StaleToken { clock_ms });
        }
        self.fence = order.fencing_token;
        if let Some(deadline_ms) = order.deadline_ms
            && deadline_ms > clock_ms
        {
            self.renew(clock_ms, deadline_ms);
        }
        self.ended.retain(|end| end.number > order.last_seen);
        if self.ended.is_empty() && !last {
            return None;
        }
        let run = |(task, run): (&TaskId, &Run)| TargetRun { task: task.clone(), run: run.run };
        let running = self.runs.iter().map(run).collect();
        Some(HoldReply::Runs {
            started_ms: self.id.started_ms,
            clock_ms,
            running,
            ended: self.ended.clone(),
        })
    }

    /// What runs takes, in thousandths of a core.
    pub fn taken_cpu(&self) -> u64 {
        self.runs.values().map(|run| run.resources.cpu_milli).sum()
    }

    /// The tasks that run.
    pub fn running(&self) -> BTreeSet<&TaskId> {
        self.runs.keys().collect()
    }
}
