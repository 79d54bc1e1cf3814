//! Holds: at most one is outstanding at a time. It renews the target's lease and returns the ended
//! runs.

use std::collections::BTreeSet;
use std::time::Duration;

use model::{TaskId, Time};
use wire::TaskEnd;

use crate::crashed_tasks::CrashVerdict;
use crate::event::{
    Action, EndEvidence, EndReason, HoldCommand, HoldReply, LogEvent, RunKey, StopCommand,
    TargetEnd, TargetInstance, TargetRun,
};
use crate::run::{Run, RunState};
use crate::runner::Runner;
use crate::target::Target;

/// If the last answer to a hold is older than this plus the wait of a hold, the lease is not
/// renewed.
const RENEWAL_CUTOFF: Duration = Duration::from_millis(450);
/// A stop that stays unanswered for this long may not have been carried out.
const STOP_ANSWER_TIMEOUT: Duration = Duration::from_millis(75);
/// Delay before the next hold after a failed one.
pub(crate) const HOLD_RETRY_DELAY: Duration = Duration::from_millis(15);
/// A run that this many consecutive holds list neither as active nor as ended is lost.
const MAX_UNLISTED_HOLDS: u32 = 3;
/// A hold that was sent within this time after a start may not list the run yet.
pub(crate) const LISTING_DELAY: Duration = Duration::from_millis(100);

impl Runner {
    /// Sends the next hold if none is outstanding, and detects a target that does not answer.
    pub(crate) fn check_target(&mut self, now: Time, actions: &mut Vec<Action>) {
        let timing = self.timing;
        let is_due = |target: &Target| target.hold_sent.is_none() && target.next_hold_at <= now;
        if self.target.as_ref().is_some_and(is_due) {
            self.send_hold(now, actions);
        }
        let Some(target) = &mut self.target else { return };
        let silent = now.since(target.last_hold_answer) > timing.hold_wait + timing.target_timeout;
        if silent && !target.silent {
            target.silent = true;
            actions.push(Action::Log(LogEvent::TargetUnresponsive(target.instance().clone())));
            self.mark_load_changed();
        }
        self.end_runs_of_expired_lease(now, actions);
    }

    fn send_hold(&mut self, now: Time, actions: &mut Vec<Action>) {
        let timing = self.timing;
        let unanswered_stop = self.has_unanswered_stop(now);
        let hold_timing = self.hold_timing(now);
        let Some(target) = &mut self.target else { return };
        target.hold_sent = Some(now);
        // Without renewal, the lease of a target that does not answer is sure to expire.
        let renewable = now.since(target.last_hold_answer) <= timing.hold_wait + RENEWAL_CUTOFF;
        let orphans_only = target.has_orphans && self.runs.is_empty();
        let renews = renewable && !orphans_only && !unanswered_stop && target.leave.is_none();
        if renews {
            target.extend_lease(now, timing.lease);
        }
        actions.push(Action::Hold(HoldCommand {
            target: target.instance().clone(),
            deadline_ms: renews.then(|| target.deadline_ms(now, timing.lease)),
            fencing_token: target.fencing_token,
            last_seen: target.last_seen,
            wait: hold_timing.wait,
            answer_within: hold_timing.answer_within,
        }));
    }

    /// Whether a stop has stayed unanswered, so that only the end of the lease is sure to stop its
    /// run.
    fn has_unanswered_stop(&self, now: Time) -> bool {
        let unanswered_stop = |run: &Run| match run.state {
            RunState::Stopping(stop) => {
                stop.acknowledged.is_none() && now.since(stop.first_sent) > STOP_ANSWER_TIMEOUT
            }
            _ => false,
        };
        self.runs.values().any(unanswered_stop)
    }

    /// Ends all runs on a target whose lease has expired.
    fn end_runs_of_expired_lease(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(target) = &self.target else { return };
        if !target.is_lease_expired(now) {
            return;
        }
        let started = self.runs.iter().filter(|(_, run)| run.holds_capacity());
        let tasks: Vec<TaskId> = started.map(|(task, _)| task.clone()).collect();
        self.end_lost_runs(now, &tasks, actions);
    }

    /// Ends runs of which nothing more can be learned. The target has crashed if its address refuses
    /// connections, also under the runs that were lost since its last answer. One that accepts
    /// connections but does not answer may be healthy, and its tasks too.
    pub(crate) fn end_lost_runs(&mut self, now: Time, tasks: &[TaskId], actions: &mut Vec<Action>) {
        let has_crashed =
            |target: &&Target| target.unreachable_since.is_some() && !target.report.draining;
        let runs = self.runs.iter().filter(|(task, _)| tasks.contains(task));
        match self.target.as_ref().filter(has_crashed) {
            Some(target) => {
                let evidence = target.crash_evidence(now, &self.timing);
                let crash = CrashVerdict::new(&evidence, runs);
                self.end_crashed_runs(now, crash, actions);
            }
            None => tasks.iter().for_each(|task| self.end_run(now, task, TaskEnd::Lost, actions)),
        }
    }

    /// Updates the known clock of the target from an answer.
    pub(crate) fn sync_target_clock(&mut self, now: Time, clock_ms: u64) {
        if let Some(target) = &mut self.target {
            target.sync_clock(now, clock_ms);
        }
    }

    /// Processes the answer to a hold.
    pub(crate) fn hold_answered(
        &mut self,
        now: Time,
        instance: &TargetInstance,
        reply: HoldReply,
        actions: &mut Vec<Action>,
    ) {
        if self.candidate_answered(now, instance, &reply, actions) {
            return;
        }
        if !self.target.as_ref().is_some_and(|target| target.instance().may_match(instance)) {
            return;
        }
        if self.other_instance_answered(now, &reply, actions) {
            return;
        }
        let Some(target) = &mut self.target else { return };
        let sent = target.hold_sent.take().unwrap_or(now);
        match reply {
            HoldReply::Runs { clock_ms, running, ended, .. } => {
                target.sync_clock(now, clock_ms);
                target.record_hold_answer(now);
                let leave_withdrawn = target.withdraw_disproved_leave(sent);
                let was_silent = std::mem::take(&mut target.silent);
                if was_silent {
                    actions.push(Action::Log(LogEvent::TargetAnsweredAgain(instance.clone())));
                }
                if was_silent || leave_withdrawn {
                    self.mark_load_changed();
                }
                self.apply_ends(now, ended, actions);
                self.reconcile_runs(now, sent, &running, actions);
            }
            HoldReply::StaleToken { clock_ms } => {
                target.sync_clock(now, clock_ms);
                target.next_hold_at = now + HOLD_RETRY_DELAY;
                target.raise_fencing_token(now);
            }
            HoldReply::OtherInstance => {
                self.target_gone(now, EndEvidence::OtherAnsweredHold, actions)
            }
            HoldReply::NoAnswer => {
                target.record_unanswered(now, &self.timing);
                target.next_hold_at = sent + HOLD_RETRY_DELAY;
            }
        }
    }

    fn apply_ends(&mut self, now: Time, ended: Vec<TargetEnd>, actions: &mut Vec<Action>) {
        for end in ended {
            let Some(target) = &mut self.target else { return };
            if end.number <= target.last_seen {
                continue;
            }
            target.last_seen = end.number;
            let Some(TargetRun { task, run }) = end.run else { continue };
            let Some(known) = self.runs.get(&task).filter(|known| known.run == run) else {
                continue;
            };
            let stopping = match known.state {
                RunState::Stopping(stopping) => Some(stopping),
                _ => None,
            };
            let outcome = match end.reason {
                EndReason::Done => TaskEnd::Done,
                EndReason::Failed => TaskEnd::Failed,
                EndReason::Stopped if stopping.is_some_and(|stop| !stop.unconfirmed) => {
                    TaskEnd::Stopped
                }
                EndReason::Stopped | EndReason::LeaseExpired | EndReason::Other => TaskEnd::Lost,
            };
            self.end_run(now, &task, outcome, actions);
        }
    }

    /// Compares the runs that the target lists with the known ones: stops unknown runs, such as
    /// those of an earlier agent process, and ends known runs that the target no longer lists.
    fn reconcile_runs(
        &mut self,
        now: Time,
        sent: Time,
        running: &[TargetRun],
        actions: &mut Vec<Action>,
    ) {
        let listed: BTreeSet<(&TaskId, u64)> =
            running.iter().map(|run| (&run.task, run.run)).collect();
        let mut lost = Vec::new();
        for (task, run) in &mut self.runs {
            if listed.contains(&(task, run.run)) {
                run.unlisted_holds = 0;
            } else if run.state == RunState::Running && run.started_at + LISTING_DELAY < sent {
                run.unlisted_holds += 1;
                if run.unlisted_holds >= MAX_UNLISTED_HOLDS {
                    lost.push(task.clone());
                }
            }
        }
        lost.iter().for_each(|task| self.end_run(now, task, TaskEnd::Lost, actions));
        let Some(target) = &mut self.target else { return };
        let had_orphans = std::mem::take(&mut target.has_orphans);
        for run in running {
            if self.runs.get(&run.task).is_some_and(|known| known.run == run.run) {
                continue;
            }
            target.has_orphans = true;
            actions.push(Action::Log(LogEvent::Orphan(run.task.clone())));
            let key =
                RunKey { target: target.instance().clone(), task: run.task.clone(), run: run.run };
            actions.push(Action::Stop(StopCommand { key, fencing_token: target.fencing_token }));
        }
        if had_orphans != target.has_orphans {
            self.mark_load_changed();
        }
    }
}
