//! The target's lease: one standing hold renews it and brings ends.

use std::collections::BTreeSet;
use std::time::Duration;

use model::{TaskId, Time};
use wire::TaskEnd;

use crate::event::{
    Action, EndReason, HoldCommand, HoldReply, LogEvent, RunKey, StopCommand, TargetEnd,
    TargetInstance, TargetRun,
};
use crate::run::{Run, RunState};
use crate::runner::Runner;
use crate::target::Target;

/// Silence, besides the wait of a hold, after which the lease is not renewed any more.
const RENEW_SILENCE: Duration = Duration::from_millis(450);
/// A stop that is not answered for so long may go unheeded.
const STOP_ANSWER: Duration = Duration::from_millis(75);
/// From one hold that failed to the next.
pub(crate) const RETRY: Duration = Duration::from_millis(15);
/// A run that this many holds in a row did not list, nor its end, is gone.
const UNLISTED: u32 = 3;
/// A hold that was sent this soon after a start may not list its run yet.
pub(crate) const START_SLACK: Duration = Duration::from_millis(100);

impl Runner {
    /// Sends the next hold where none is under way, and takes note of a silent target.
    pub(crate) fn watch_target(&mut self, now: Time, out: &mut Vec<Action>) {
        let timing = self.timing;
        let is_due = |target: &Target| target.holding.is_none() && target.hold_from <= now;
        if self.target.as_ref().is_some_and(is_due) {
            self.send_hold(now, out);
        }
        let Some(target) = &mut self.target else { return };
        let silent = now.since(target.heard) > timing.hold_wait + timing.hold_silence;
        if silent && !target.silent {
            target.silent = true;
            out.push(Action::Log(LogEvent::TargetSilent(target.id().clone())));
            self.mark_dirty();
        }
        self.end_lapsed(now, out);
    }

    fn send_hold(&mut self, now: Time, out: &mut Vec<Action>) {
        let timing = self.timing;
        let unheeded = self.has_unheeded_stop(now);
        let times = self.hold_times(now);
        let Some(target) = &mut self.target else { return };
        target.holding = Some(now);
        // A target that does not answer is no longer renewed, so that its lease surely ends.
        let heard = now.since(target.heard) <= timing.hold_wait + RENEW_SILENCE;
        let orphans_only = target.has_orphans && self.runs.is_empty();
        let renews = heard && !orphans_only && !unheeded;
        if renews {
            target.renew(now, timing.lease);
        }
        out.push(Action::Hold(HoldCommand {
            target: target.id().clone(),
            deadline_ms: renews.then(|| target.deadline_ms(now, timing.lease)),
            fencing_token: target.fencing_token,
            last_seen: target.last_seen,
            wait: times.wait,
            answer_within: times.answer,
        }));
    }

    /// Whether a stop was not answered, so that only the end of the lease surely stops its run.
    fn has_unheeded_stop(&self, now: Time) -> bool {
        let unheeded = |run: &Run| match run.state {
            RunState::Stopping(stop) => {
                stop.acknowledged.is_none() && now.since(stop.first_sent) > STOP_ANSWER
            }
            _ => false,
        };
        self.runs.values().any(unheeded)
    }

    /// What a target ran that has not answered since its lease ran out is gone.
    fn end_lapsed(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(target) = &self.target else { return };
        if !target.has_lapsed(now) {
            return;
        }
        // One that only leaves orders unanswered may be well, and its tasks with it.
        let has_crashed = target.no_listener.is_some();
        let end_of = |run: &Run| match has_crashed && target.crashed_under(now, run) {
            true => TaskEnd::Crashed,
            false => TaskEnd::Lost,
        };
        let gone = self.runs.iter().filter(|(_, run)| run.takes_room());
        let ends = gone.map(|(task, run)| (task.clone(), end_of(run))).collect();
        self.end_with_target(now, ends, out);
    }

    /// The target answered something.
    pub(crate) fn target_heard(&mut self, now: Time, clock_ms: u64) {
        if let Some(target) = &mut self.target {
            target.clock_is(now, clock_ms);
        }
    }

    /// The target answered a hold.
    pub(crate) fn held(
        &mut self,
        now: Time,
        id: &TargetInstance,
        reply: HoldReply,
        out: &mut Vec<Action>,
    ) {
        if self.newcomer_answered(now, id, &reply, out) {
            return;
        }
        if !self.target.as_ref().is_some_and(|target| target.id().may_be(id)) {
            return;
        }
        if self.another_life_answered(now, &reply, out) {
            return;
        }
        let Some(target) = &mut self.target else { return };
        let sent = target.holding.take().unwrap_or(now);
        match reply {
            HoldReply::Runs { clock_ms, running, ended, .. } => {
                target.clock_is(now, clock_ms);
                target.heard_now(now);
                // A leave that was told before the hold was sent was that of an earlier life.
                let was_doubted = target.leave_doubted.take_if(|left| *left < sent).is_some();
                let was_silent = std::mem::take(&mut target.silent);
                if was_silent {
                    out.push(Action::Log(LogEvent::TargetHeard(id.clone())));
                }
                if was_silent || was_doubted {
                    self.mark_dirty();
                }
                self.take_ends(now, ended, out);
                self.compare(now, sent, &running, out);
            }
            HoldReply::StaleToken { clock_ms } => {
                target.clock_is(now, clock_ms);
                target.hold_from = now + RETRY;
                target.raise_fence(now);
            }
            HoldReply::OtherInstance => self.target_gone(now, out),
            HoldReply::NoAnswer => {
                target.left_unanswered(now, &self.timing);
                target.hold_from = sent + RETRY;
            }
        }
    }

    fn take_ends(&mut self, now: Time, ended: Vec<TargetEnd>, out: &mut Vec<Action>) {
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
                EndReason::Stopped if stopping.is_some_and(|stop| !stop.doubtful) => {
                    TaskEnd::Stopped
                }
                EndReason::Stopped | EndReason::LeaseExpired | EndReason::Other => TaskEnd::Lost,
            };
            self.end(now, &task, outcome, out);
        }
    }

    /// Compares what the target lists with what is known: it may run what an earlier life of the
    /// agent started, and may have lost what this one did.
    fn compare(&mut self, now: Time, sent: Time, running: &[TargetRun], out: &mut Vec<Action>) {
        let listed: BTreeSet<(&TaskId, u64)> =
            running.iter().map(|run| (&run.task, run.run)).collect();
        let mut gone = Vec::new();
        for (task, run) in &mut self.runs {
            if listed.contains(&(task, run.run)) {
                run.unlisted = 0;
            } else if run.state == RunState::Running && run.since + START_SLACK < sent {
                run.unlisted += 1;
                if run.unlisted >= UNLISTED {
                    gone.push(task.clone());
                }
            }
        }
        gone.iter().for_each(|task| self.end(now, task, TaskEnd::Lost, out));
        let Some(target) = &mut self.target else { return };
        let had_orphans = std::mem::take(&mut target.has_orphans);
        for run in running {
            if self.runs.get(&run.task).is_some_and(|known| known.run == run.run) {
                continue;
            }
            target.has_orphans = true;
            out.push(Action::Log(LogEvent::Orphan(run.task.clone())));
            let key = RunKey { target: target.id().clone(), task: run.task.clone(), run: run.run };
            out.push(Action::Stop(StopCommand { key, fencing_token: target.fencing_token }));
        }
        if had_orphans != target.has_orphans {
            self.mark_dirty();
        }
    }
}
