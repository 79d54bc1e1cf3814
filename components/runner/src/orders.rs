//! Starts and stops: which runs get room, and what the target answers.

use std::time::Duration;

use model::{TaskId, Time};
use wire::{Refusal, TaskEnd};

use crate::event::{
    Action, LogEvent, RunKey, StartCommand, StartRefusal, StartReply, StopCommand, StopReply,
};
use crate::run::{Run, RunState, Stopping};
use crate::runner::{Runner, report_health};

/// A stop that was not answered is sent again after this.
const STOP_AGAIN: Duration = Duration::from_millis(60);
/// Added to the time that a stop may take, for the list that shows its end to arrive.
const LIST_SLACK: Duration = Duration::from_millis(30);
/// Starts of one number that may go unanswered before the run is stopped instead.
const UNANSWERED: u32 = 3;
/// How often a start gets a higher number before it is given up.
const RENUMBERINGS: u32 = 6;
/// A run is overdue after this many times its estimate,
const OVERDUE_TIMES: u32 = 3;
/// far overdue after this many,
const FAR_OVERDUE_TIMES: u32 = 8;
/// and this besides.
const OVERDUE_LEAST: Duration = Duration::from_millis(120);
/// A target where nothing has ended for so long while a run is overdue may be stuck.
const NOTHING_ENDS: Duration = Duration::from_millis(400);
/// The most that a target's slowdown stretches estimates.
const SLOWEST: f64 = 4.0;
/// The number of a task's first run.
const FIRST_RUN: u64 = 1;

impl Runner {
    /// Starts the runs that have room, the most urgent first.
    pub(crate) fn admit(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.is_open(now) {
            return;
        }
        let mut waiting: Vec<(u8, Time, TaskId)> = self
            .runs
            .iter()
            .filter(|(_, run)| run.state == RunState::Waiting)
            .map(|(task, run)| (run.priority, run.asked, task.clone()))
            .collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort();
        let mut free = self.free();
        for (_, _, task) in waiting {
            let on_trial = self.target.as_ref().is_some_and(|target| target.health.on_trial());
            if on_trial && self.runs.values().any(Run::takes_room) {
                return;
            }
            let Some(run) = self.runs.get_mut(&task) else { continue };
            if !run.resources.fits(&free) {
                continue;
            }
            free -= run.resources;
            run.state = RunState::Starting;
            run.since = now;
            self.send_start(now, &task, out);
        }
    }

    fn send_start(&mut self, now: Time, task: &TaskId, out: &mut Vec<Action>) {
        let (Some(target), Some(run)) = (&mut self.target, self.runs.get(task)) else { return };
        target.renew(now, self.timing.start_validity);
        out.push(Action::Start(StartCommand {
            key: RunKey { target: target.id().clone(), task: task.clone(), run: run.run },
            spec: run.spec.clone(),
            deadline_ms: target.deadline_ms(now, self.timing.start_validity),
            fencing_token: target.fencing_token,
        }));
    }

    pub(crate) fn send_stop(&self, task: &TaskId, out: &mut Vec<Action>) {
        let (Some(target), Some(run)) = (&self.target, self.runs.get(task)) else { return };
        out.push(Action::Stop(StopCommand {
            key: RunKey { target: target.id().clone(), task: task.clone(), run: run.run },
            fencing_token: target.fencing_token,
        }));
    }

    /// The run that a key names, if it is here and the target's life is the same.
    fn find(&mut self, key: &RunKey) -> Option<&mut Run> {
        let same_life = self.target.as_ref().is_some_and(|target| target.id().may_be(&key.target));
        self.runs.get_mut(&key.task).filter(|run| same_life && run.run == key.run)
    }

    /// The target answered a start.
    pub(crate) fn started(
        &mut self,
        now: Time,
        key: &RunKey,
        reply: StartReply,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.find(key) else { return };
        let stopping = matches!(run.state, RunState::Stopping(_));
        let doubtful = run.unanswered > 0;
        match reply {
            StartReply::Accepted { clock_ms } => {
                if let RunState::Stopping(stopping) = &mut run.state {
                    // It runs after all: the stop that is under way ends it.
                    stopping.doubtful = false;
                } else {
                    run.state = RunState::Running;
                    run.since = now;
                }
                self.counters.started += 1;
                self.target_heard(now, clock_ms);
            }
            StartReply::Refused { clock_ms, reason } => {
                self.target_heard(now, clock_ms);
                self.refused(now, &key.task, reason, stopping, out);
            }
            StartReply::Invalid | StartReply::Unhealthy if doubtful => {
                if !stopping {
                    self.stop_doubtful(now, &key.task, out);
                }
            }
            StartReply::Invalid => self.end(now, &key.task, TaskEnd::Failed, out),
            StartReply::Unhealthy => {
                if let Some(target) = &mut self.target {
                    report_health(target.health.failed(now, now), out);
                }
                self.end(now, &key.task, TaskEnd::NotRun(Refusal::Target), out);
            }
            StartReply::OtherInstance => self.target_gone(now, out),
            StartReply::NoAnswer => self.start_silent(now, &key.task, stopping, out),
        }
    }

    fn refused(
        &mut self,
        now: Time,
        task: &TaskId,
        reason: StartRefusal,
        stopping: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(task) else { return };
        let doubtful = run.unanswered > 0;
        if stopping && doubtful {
            return;
        }
        if stopping {
            return self.end(now, task, TaskEnd::NotRun(Refusal::Target), out);
        }
        if reason == StartRefusal::NoCapacity {
            self.counters.no_capacity += 1;
        }
        if doubtful && !matches!(reason, StartRefusal::StaleToken | StartRefusal::DeadlinePassed) {
            // An earlier start of this number may have run to its end, or may be carried out yet.
            return self.stop_doubtful(now, task, out);
        }
        let again = run.renumbered < RENUMBERINGS;
        run.renumbered += 1;
        match reason {
            // A run as high was there for another entry: counts on from far above it.
            StartRefusal::StaleRun if again => {
                run.run += 1 << run.renumbered;
                self.send_start(now, task, out);
            }
            StartRefusal::DeadlinePassed if again => self.send_start(now, task, out),
            StartRefusal::StaleToken if again => {
                if let Some(target) = &mut self.target {
                    target.raise_fence(now);
                }
                self.send_start(now, task, out);
            }
            StartRefusal::NoCapacity => self.end(now, task, TaskEnd::NotRun(Refusal::Room), out),
            _ if doubtful => self.stop_doubtful(now, task, out),
            _ => self.end(now, task, TaskEnd::NotRun(Refusal::Target), out),
        }
    }

    /// A start was not answered: it may run, or may be carried out later. The same start again does
    /// no harm, since the target takes each number once. Where that is not answered either, a stop
    /// of the same run is the proof that it does not run.
    fn start_silent(&mut self, now: Time, task: &TaskId, stopping: bool, out: &mut Vec<Action>) {
        self.counters.unanswered_starts += 1;
        if let Some(target) = &mut self.target {
            target.left_unanswered(now, &self.timing);
        }
        if stopping {
            return;
        }
        out.push(Action::Log(LogEvent::StartSilent(task.clone())));
        let Some(run) = self.runs.get_mut(task) else { return };
        run.unanswered += 1;
        if run.unanswered < UNANSWERED {
            self.send_start(now, task, out);
        } else {
            self.stop_doubtful(now, task, out);
        }
    }

    /// Stops a run of which nobody knows whether it ever ran.
    pub(crate) fn stop_doubtful(&mut self, now: Time, task: &TaskId, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(task) else { return };
        run.state = RunState::Stopping(Stopping::new(now, true));
        self.send_stop(task, out);
    }

    /// The target answered a stop.
    pub(crate) fn stop_answered(
        &mut self,
        now: Time,
        key: &RunKey,
        reply: StopReply,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.find(key) else { return };
        match (reply, &mut run.state) {
            (StopReply::Acknowledged, RunState::Stopping(stopping)) => {
                stopping.acknowledged.get_or_insert(now);
            }
            (StopReply::OtherInstance, _) => self.target_gone(now, out),
            _ => {}
        }
    }

    /// Sends stops again, and ends runs that surely do not run any more.
    pub(crate) fn repeat_stops(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(target) = &self.target else { return };
        let lapsed = target.has_lapsed(now);
        let stopped = self.timing.stop_time + LIST_SLACK;
        let mut again = Vec::new();
        let mut ended = Vec::new();
        for (task, run) in &mut self.runs {
            let RunState::Stopping(stopping) = &mut run.state else { continue };
            match stopping.acknowledged {
                Some(at) if now.since(at) > stopped => ended.push(task.clone()),
                None if lapsed => ended.push(task.clone()),
                None if now.since(stopping.sent) > STOP_AGAIN => {
                    stopping.sent = now;
                    again.push(task.clone());
                }
                _ => {}
            }
        }
        again.iter().for_each(|task| self.send_stop(task, out));
        ended.iter().for_each(|task| self.end(now, task, TaskEnd::Lost, out));
    }

    /// Stops runs that take far longer than they were thought to: the target may be stuck. One
    /// run alone may only have been thought too short, so it takes a second one that is overdue,
    /// or nothing ending there for a while; and a task that was stopped once is let run.
    ///
    /// What counts is what the target said last: while it leaves a hold unanswered, runs may have
    /// ended that it could not tell of.
    pub(crate) fn stop_stuck(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(target) = &self.target else { return };
        let heard = target.heard;
        let slow = (target.slowdown_percent / 100.0).clamp(1.0, SLOWEST);
        let still = heard.since(target.ended) > NOTHING_ENDS;
        let overdue = |run: &Run, times: u32| {
            let estimate = Duration::from_millis(u64::from(run.estimated_ms)).mul_f64(slow);
            let ran = heard.since(run.since);
            run.state == RunState::Running
                && run.run == FIRST_RUN
                && run.estimated_ms > 0
                && ran > estimate * times + OVERDUE_LEAST
        };
        let late: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| overdue(run, OVERDUE_TIMES))
            .map(|(task, _)| task.clone())
            .collect();
        let stuck = late.len() >= 2 || still;
        for task in late {
            let Some(run) = self.runs.get(&task) else { continue };
            let began = run.since;
            if !stuck && !overdue(run, FAR_OVERDUE_TIMES) {
                continue;
            }
            out.push(Action::Log(LogEvent::Stuck {
                task: task.clone(),
                ran_ms: now.since(run.since).as_millis() as u64,
                estimated_ms: run.estimated_ms,
            }));
            if let Some(target) = &mut self.target {
                report_health(target.health.failed(now, began), out);
            }
            self.mark_dirty();
            self.stop(now, &task, out);
        }
    }

    /// Gives up runs that waited too long for room.
    pub(crate) fn expire_waiting(&mut self, now: Time, out: &mut Vec<Action>) {
        let expired = |run: &Run| run.state == RunState::Waiting && run.expires <= now;
        let tasks: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| expired(run))
            .map(|(task, _)| task.clone())
            .collect();
        tasks.iter().for_each(|task| self.end(now, task, TaskEnd::NotRun(Refusal::Room), out));
    }

    /// Gives up all that waits.
    pub(crate) fn refuse_waiting(&mut self, now: Time, why: Refusal, out: &mut Vec<Action>) {
        let waits = |run: &Run| run.state == RunState::Waiting;
        let tasks: Vec<TaskId> =
            self.runs.iter().filter(|(_, run)| waits(run)).map(|(task, _)| task.clone()).collect();
        tasks.iter().for_each(|task| self.end(now, task, TaskEnd::NotRun(why), out));
    }
}
