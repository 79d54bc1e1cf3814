//! Start and stop commands: admission of runs, and the target's answers.

use std::time::Duration;

use model::{TaskId, Time};
use wire::{Refusal, TaskEnd};

use crate::event::{
    Action, EndEvidence, LogEvent, RunKey, StartCommand, StartRefusal, StartReply, StopCommand,
    StopReply,
};
use crate::run::{Run, RunState, Stopping};
use crate::runner::{Runner, log_health_change};

/// Interval at which an unanswered stop is sent again.
const STOP_RESEND_INTERVAL: Duration = Duration::from_millis(60);
/// Time, beyond `stop_duration`, until an answer to a hold lists the end of a stopped run.
const END_LISTING_DELAY: Duration = Duration::from_millis(30);
/// Unanswered starts with the same run number after which the run is stopped.
const MAX_UNANSWERED_STARTS: u32 = 3;
/// Refusals of a run after which its start is not sent again.
const MAX_START_REFUSALS: u32 = 6;
/// A run is overdue when it exceeds its estimate by this factor and `OVERDUE_MARGIN`.
const OVERDUE_FACTOR: u32 = 3;
/// A run is far overdue when it exceeds its estimate by this factor and `OVERDUE_MARGIN`.
const FAR_OVERDUE_FACTOR: u32 = 8;
/// Time beyond the multiple of the estimate before a run is overdue.
const OVERDUE_MARGIN: Duration = Duration::from_millis(120);
/// A target with an overdue run may be stuck if no run has ended on it for this long.
const STALLED_AFTER: Duration = Duration::from_millis(400);
/// Upper bound of the slowdown by which estimates are scaled.
const MAX_SLOWDOWN: f64 = 4.0;
/// The number of a task's first run.
const FIRST_RUN: u64 = 1;

impl Runner {
    /// Starts the waiting runs that fit into the free capacity, most urgent first.
    pub(crate) fn admit_waiting(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.is_open(now) {
            return;
        }
        let mut waiting: Vec<(u8, Time, TaskId)> = self
            .runs
            .iter()
            .filter(|(_, run)| run.state == RunState::Waiting)
            .map(|(task, run)| (run.priority, run.requested_at, task.clone()))
            .collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort();
        let mut free = self.free_capacity();
        for (_, _, task) in waiting {
            let on_trial = self.target.as_ref().is_some_and(|target| target.health.on_trial());
            if on_trial && self.runs.values().any(Run::holds_capacity) {
                return;
            }
            let Some(run) = self.runs.get_mut(&task) else { continue };
            if !run.resources.fits(&free) {
                continue;
            }
            free -= run.resources;
            run.state = RunState::Starting;
            run.started_at = now;
            self.send_start(now, &task, actions);
        }
    }

    fn send_start(&mut self, now: Time, task: &TaskId, actions: &mut Vec<Action>) {
        let (Some(target), Some(run)) = (&mut self.target, self.runs.get(task)) else { return };
        target.extend_lease(now, self.timing.start_validity);
        actions.push(Action::Start(StartCommand {
            key: RunKey { target: target.instance().clone(), task: task.clone(), run: run.run },
            spec: run.spec.clone(),
            deadline_ms: target.deadline_ms(now, self.timing.start_validity),
            fencing_token: target.fencing_token,
        }));
    }

    pub(crate) fn send_stop(&self, task: &TaskId, actions: &mut Vec<Action>) {
        let (Some(target), Some(run)) = (&self.target, self.runs.get(task)) else { return };
        actions.push(Action::Stop(StopCommand {
            key: RunKey { target: target.instance().clone(), task: task.clone(), run: run.run },
            fencing_token: target.fencing_token,
        }));
    }

    /// The run with this key, if it exists and the key may name the current instance.
    fn find_run(&mut self, key: &RunKey) -> Option<&mut Run> {
        let same_instance =
            self.target.as_ref().is_some_and(|target| target.instance().may_match(&key.target));
        self.runs.get_mut(&key.task).filter(|run| same_instance && run.run == key.run)
    }

    /// Processes the answer to a start.
    pub(crate) fn start_answered(
        &mut self,
        now: Time,
        key: &RunKey,
        reply: StartReply,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.find_run(key) else { return };
        let stopping = matches!(run.state, RunState::Stopping(_));
        let unconfirmed = run.unanswered_starts > 0;
        match reply {
            StartReply::Accepted { clock_ms } => {
                if let RunState::Stopping(stopping) = &mut run.state {
                    // The run has started; the pending stop ends it.
                    stopping.unconfirmed = false;
                } else {
                    run.state = RunState::Running;
                    run.started_at = now;
                }
                self.counters.started += 1;
                self.sync_target_clock(now, clock_ms);
            }
            StartReply::Refused { clock_ms, reason } => {
                self.sync_target_clock(now, clock_ms);
                self.start_refused(now, &key.task, reason, stopping, actions);
            }
            StartReply::Invalid | StartReply::Unhealthy if unconfirmed => {
                if !stopping {
                    self.stop_unconfirmed(now, &key.task, actions);
                }
            }
            StartReply::Invalid => self.end_run(now, &key.task, TaskEnd::Failed, actions),
            StartReply::Unhealthy => {
                if let Some(target) = &mut self.target {
                    log_health_change(target.health.record_failure(now, now), actions);
                }
                self.end_run(now, &key.task, TaskEnd::NotRun(Refusal::Target), actions);
            }
            StartReply::OtherInstance => {
                self.target_gone(now, EndEvidence::OtherAnsweredStart, actions)
            }
            StartReply::NoAnswer => self.start_unanswered(now, &key.task, stopping, actions),
        }
    }

    fn start_refused(
        &mut self,
        now: Time,
        task: &TaskId,
        reason: StartRefusal,
        stopping: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(task) else { return };
        let unconfirmed = run.unanswered_starts > 0;
        if stopping && unconfirmed {
            return;
        }
        if stopping {
            return self.end_run(now, task, TaskEnd::NotRun(Refusal::Target), actions);
        }
        if reason == StartRefusal::NoCapacity {
            self.counters.starts_without_capacity += 1;
        }
        if unconfirmed && !matches!(reason, StartRefusal::StaleToken | StartRefusal::DeadlinePassed)
        {
            // An earlier start with this number may have run already or may run later.
            return self.stop_unconfirmed(now, task, actions);
        }
        let may_retry = run.refusals < MAX_START_REFUSALS;
        run.refusals += 1;
        match reason {
            // The target has seen an equal or higher run number of this task, requested by another
            // entry: skips ahead in doubling steps.
            StartRefusal::StaleRun if may_retry => {
                run.run += 1 << run.refusals;
                self.send_start(now, task, actions);
            }
            StartRefusal::DeadlinePassed if may_retry => self.send_start(now, task, actions),
            StartRefusal::StaleToken if may_retry => {
                if let Some(target) = &mut self.target {
                    target.raise_fencing_token(now);
                }
                self.send_start(now, task, actions);
            }
            StartRefusal::NoCapacity => {
                self.end_run(now, task, TaskEnd::NotRun(Refusal::Room), actions)
            }
            _ if unconfirmed => self.stop_unconfirmed(now, task, actions),
            _ => self.end_run(now, task, TaskEnd::NotRun(Refusal::Target), actions),
        }
    }

    /// Processes an unanswered start: the run may have started, or may start later.
    /// Sending the start again is safe, as the target accepts each number once. If all attempts
    /// stay unanswered, an acknowledged stop proves that the run is not active.
    fn start_unanswered(
        &mut self,
        now: Time,
        task: &TaskId,
        stopping: bool,
        actions: &mut Vec<Action>,
    ) {
        self.counters.unanswered_starts += 1;
        if let Some(target) = &mut self.target {
            target.record_unanswered(now, &self.timing);
        }
        if stopping {
            return;
        }
        actions.push(Action::Log(LogEvent::StartUnanswered(task.clone())));
        let Some(run) = self.runs.get_mut(task) else { return };
        run.unanswered_starts += 1;
        if run.unanswered_starts < MAX_UNANSWERED_STARTS {
            self.send_start(now, task, actions);
        } else {
            self.stop_unconfirmed(now, task, actions);
        }
    }

    /// Stops a run that may or may not have started.
    pub(crate) fn stop_unconfirmed(&mut self, now: Time, task: &TaskId, actions: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(task) else { return };
        run.state = RunState::Stopping(Stopping::new(now, true));
        self.send_stop(task, actions);
    }

    /// Processes the answer to a stop.
    pub(crate) fn stop_answered(
        &mut self,
        now: Time,
        key: &RunKey,
        reply: StopReply,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.find_run(key) else { return };
        match (reply, &mut run.state) {
            (StopReply::Acknowledged, RunState::Stopping(stopping)) => {
                stopping.acknowledged.get_or_insert(now);
            }
            (StopReply::OtherInstance, _) => {
                self.target_gone(now, EndEvidence::OtherAnsweredStop, actions)
            }
            _ => {}
        }
    }

    /// Sends unanswered stops again, and ends runs that cannot be active any more.
    pub(crate) fn resend_stops(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(target) = &self.target else { return };
        let lease_expired = target.is_lease_expired(now);
        let stop_wait = self.timing.stop_duration + END_LISTING_DELAY;
        let mut resend = Vec::new();
        let mut ended = Vec::new();
        for (task, run) in &mut self.runs {
            let RunState::Stopping(stopping) = &mut run.state else { continue };
            match stopping.acknowledged {
                Some(at) if now.since(at) > stop_wait => ended.push(task.clone()),
                None if lease_expired => ended.push(task.clone()),
                None if now.since(stopping.last_sent) > STOP_RESEND_INTERVAL => {
                    stopping.last_sent = now;
                    resend.push(task.clone());
                }
                _ => {}
            }
        }
        resend.iter().for_each(|task| self.send_stop(task, actions));
        self.end_lost_runs(now, &ended, actions);
    }

    /// Stops runs that take much longer than estimated, as the target may be stuck. The estimate of
    /// a single run may be too low, so this takes a second overdue run, a target on which no run
    /// has ended for a while, or a far overdue run. Only the first run of a task is stopped.
    ///
    /// Durations are taken at the last answer to a hold, since runs may have ended while a hold is
    /// unanswered.
    pub(crate) fn stop_overdue(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(target) = &self.target else { return };
        let last_answer = target.last_hold_answer;
        let slowdown = target.speed.slowdown().clamp(1.0, MAX_SLOWDOWN);
        let stalled = last_answer.since(target.last_end) > STALLED_AFTER;
        let is_overdue = |run: &Run, factor: u32| {
            let estimate = run.estimate().mul_f64(slowdown);
            let ran = last_answer.since(run.started_at);
            run.state == RunState::Running
                && run.run == FIRST_RUN
                && run.estimated_ms > 0
                && ran > estimate * factor + OVERDUE_MARGIN
        };
        let overdue: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| is_overdue(run, OVERDUE_FACTOR))
            .map(|(task, _)| task.clone())
            .collect();
        let stuck = overdue.len() >= 2 || stalled;
        for task in overdue {
            let Some(run) = self.runs.get(&task) else { continue };
            let started_at = run.started_at;
            if !stuck && !is_overdue(run, FAR_OVERDUE_FACTOR) {
                continue;
            }
            actions.push(Action::Log(LogEvent::Stuck {
                task: task.clone(),
                ran_ms: now.since(run.started_at).as_millis() as u64,
                estimated_ms: run.estimated_ms,
            }));
            if let Some(target) = &mut self.target {
                log_health_change(target.health.record_failure(now, started_at), actions);
            }
            self.mark_load_changed();
            self.stop_run(now, &task, actions);
        }
    }

    /// Refuses waiting runs whose wait for capacity has expired.
    pub(crate) fn expire_waiting(&mut self, now: Time, actions: &mut Vec<Action>) {
        let expired = |run: &Run| run.state == RunState::Waiting && run.expires <= now;
        let tasks: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| expired(run))
            .map(|(task, _)| task.clone())
            .collect();
        tasks
            .iter()
            .for_each(|task| self.end_run(now, task, TaskEnd::NotRun(Refusal::Room), actions));
    }

    /// Refuses all waiting runs.
    pub(crate) fn refuse_waiting(&mut self, now: Time, reason: Refusal, actions: &mut Vec<Action>) {
        let waits = |run: &Run| run.state == RunState::Waiting;
        let tasks: Vec<TaskId> =
            self.runs.iter().filter(|(_, run)| waits(run)).map(|(task, _)| task.clone()).collect();
        tasks.iter().for_each(|task| self.end_run(now, task, TaskEnd::NotRun(reason), actions));
    }
}
