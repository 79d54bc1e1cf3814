//! Which life of the target is the present one.
//!
//! A report may come late: after newer ones of its life, and after its sender has crashed and
//! another life has registered at the same address. Lives have no order: neither their ids, nor the
//! clocks and the sequence numbers of two of them, nor the moments of their starts, as the time of
//! day may be set back. But an address has one life at a time. So a life that nothing is known of is
//! asked while another is there: once it answers an order that was sent after its report came, it
//! is the present one, and the lives before it are over; where another life answers, it is over itself.
//!
//! An order names the id alone. Where a target keeps its id, its next life takes orders that were meant
//! for the one before, so that only an answer which tells the moment of the start shows whose it is.

use model::{TaskId, Time};
use wire::Refusal;

use crate::event::{Action, HoldReply, LogEvent, TargetInstance, TargetReport, TargetRun};
use crate::hold::START_SLACK;
use crate::run::{Run, RunState};
use crate::runner::Runner;
use crate::target::{Heard, Target};

/// Lives that are remembered as over. One that is forgotten costs an order when a report of it
/// comes, which the present life refuses.
const GONE_KEPT: usize = 16;
/// Newcomers that are asked at a time. More than one takes two crashes within an order's time.
const NEWCOMERS: usize = 4;

/// What the next life of a target may run of what was ordered of the one before.
pub(crate) enum NextLife<'a> {
    /// It has another id, or nothing is known of it.
    TakesNone,
    /// It has the same id, and runs this. What was on its way to the life before may reach it.
    TakesOrders(&'a [TargetRun]),
}

impl NextLife<'_> {
    /// Whether it may run what was ordered of the life before.
    pub fn may_run(&self, now: Time, task: &TaskId, run: &Run) -> bool {
        let Self::TakesOrders(running) = self else { return false };
        let is_listed = running.iter().any(|listed| listed.task == *task && listed.run == run.run);
        let is_on_its_way = match run.state {
            RunState::Starting => true,
            RunState::Stopping(stop) => stop.doubtful,
            // What was listed may be older than its start.
            RunState::Running => now.since(run.since) < START_SLACK,
            RunState::Waiting => false,
        };
        is_on_its_way || (is_listed && run.takes_room())
    }
}

impl Runner {
    /// The target reports of itself.
    pub(crate) fn target_reports(
        &mut self,
        now: Time,
        report: TargetReport,
        out: &mut Vec<Action>,
    ) {
        if self.gone.contains(&report.instance) {
            return self.report_is_late(&report.instance, report.sequence, out);
        }
        match &self.target {
            None => self.adopt(Target::new(report, now), out),
            Some(target) if target.may_report(&report.instance) => {
                self.hear_target(now, report, out)
            }
            Some(_) => self.hear_newcomer(now, report, out),
        }
    }

    /// A life reports while another is there: the next one, or an earlier one, late.
    fn hear_newcomer(&mut self, now: Time, report: TargetReport, out: &mut Vec<Action>) {
        let known = self.newcomers.iter_mut().find(|newcomer| *newcomer.id() == report.instance);
        if let Some(newcomer) = known {
            let (id, sequence) = (report.instance.clone(), report.sequence);
            if newcomer.hear(report).late {
                self.report_is_late(&id, sequence, out);
            }
            return;
        }
        if self.newcomers.len() == NEWCOMERS {
            self.newcomers.remove(0);
        }
        out.push(Action::Log(LogEvent::TargetAsked(report.instance.clone())));
        let mut newcomer = Target::new(report, now);
        if let Some(target) = &self.target {
            newcomer.follow(target);
        }
        self.newcomers.push(newcomer);
    }

    /// The present life of the target reports of itself.
    fn hear_target(&mut self, now: Time, report: TargetReport, out: &mut Vec<Action>) {
        let Some(target) = &mut self.target else { return };
        let (id, sequence) = (report.instance.clone(), report.sequence);
        let Heard { late, drains, moved } = target.hear(report);
        if late {
            self.report_is_late(&id, sequence, out);
        }
        if moved {
            self.say_hello(out);
        }
        if drains {
            out.push(Action::Log(LogEvent::TargetDrains(id)));
            self.refuse_waiting(now, Refusal::Closed, out);
        }
        self.mark_dirty();
    }

    /// The target says that it ends now: whatever else comes from this life is late.
    pub(crate) fn target_left(&mut self, now: Time, id: &TargetInstance, out: &mut Vec<Action>) {
        if let Some(target) = self.target.as_mut().filter(|target| target.id() == id) {
            target.report.draining = true;
            return self.target_gone(now, out);
        }
        if let Some(target) = &mut self.target
            && target.id().may_be(id)
        {
            // It may be a late word of an earlier life. A life that has ended answers nothing more,
            // and its lease runs out.
            target.leave_doubted = Some(now);
            self.refuse_waiting(now, Refusal::Closed, out);
            return self.mark_dirty();
        }
        self.newcomers.retain(|newcomer| newcomer.id() != id);
        self.remember_gone(id.clone());
    }

    /// No process of the target is there to take an order.
    pub(crate) fn nothing_listens(&mut self, now: Time, id: &TargetInstance) {
        if let Some(target) = self.target.as_mut().filter(|target| target.id().may_be(id)) {
            target.no_listener.get_or_insert(now);
            target.stopped_answering(now, &self.timing);
        }
    }

    /// Asks newcomers for a sign of life, again where there was no answer.
    pub(crate) fn ask_newcomers(&mut self, now: Time, out: &mut Vec<Action>) {
        let timing = self.timing;
        let asked = self.newcomers.iter_mut().filter_map(|newcomer| newcomer.ask(now, &timing));
        out.extend(asked.map(Action::Hold));
    }

    /// Where a hold for the target was answered by a life with another start, the target's life is over, and
    /// the other one is taken on. Returns whether that is so.
    pub(crate) fn another_life_answered(
        &mut self,
        now: Time,
        reply: &HoldReply,
        out: &mut Vec<Action>,
    ) -> bool {
        let HoldReply::Runs { started_ms: Some(started), clock_ms, running, .. } = reply else {
            return false;
        };
        let Some(target) = &mut self.target else { return false };
        match target.id().started_ms {
            Some(own) if own == *started => return false,
            None => {
                target.learn_start(now, *started);
                return false;
            }
            Some(_) => {}
        }
        let present = TargetInstance { id: target.id().id.clone(), started_ms: Some(*started) };
        let known = self.newcomers.iter().position(|newcomer| *newcomer.id() == present);
        let next = match known {
            Some(at) => self.newcomers.remove(at),
            None => target.before_its_report(now, present, *clock_ms),
        };
        self.replace_life(now, next, running, out);
        true
    }

    /// A life answered a hold. Returns whether that was the answer of a newcomer which stays one,
    /// or is over; a newcomer that is alive becomes the target, and its answer is the target's.
    pub(crate) fn newcomer_answered(
        &mut self,
        now: Time,
        id: &TargetInstance,
        reply: &HoldReply,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(at) = self.newcomers.iter().position(|newcomer| newcomer.id() == id) else {
            return false;
        };
        let answered_by = match reply {
            HoldReply::Runs { started_ms, .. } => *started_ms,
            _ => None,
        };
        match reply {
            HoldReply::OtherInstance => {
                self.newcomer_is_over(at, out);
                true
            }
            // The present life answered: it has the same id.
            HoldReply::Runs { .. } if self.is_other_start(at, answered_by) => {
                self.newcomer_is_over(at, out);
                true
            }
            // It does not tell whose answer it is: it may be that of the present life, which has the same id.
            HoldReply::StaleToken { .. } if self.shares_id(at) => {
                self.newcomers[at].unanswered(now);
                self.newcomers[at].raise_fence(now);
                true
            }
            HoldReply::NoAnswer => {
                self.newcomers[at].unanswered(now);
                true
            }
            // It may have been given before the present life was there.
            _ if self.newcomers[at].is_overtaken => {
                self.newcomers[at].unanswered(now);
                true
            }
            HoldReply::Runs { running, .. } => {
                let newcomer = self.newcomers.remove(at);
                self.replace_life(now, newcomer, running, out);
                false
            }
            HoldReply::StaleToken { .. } => {
                let newcomer = self.newcomers.remove(at);
                self.replace_life(now, newcomer, &[], out);
                false
            }
        }
    }

    /// Whether an answer to a newcomer's hold tells another start than the newcomer did. Where the newcomer told
    /// none, the target is the one that has this id and start.
    fn is_other_start(&self, newcomer: usize, answered_by: Option<u64>) -> bool {
        let Some(started) = answered_by else { return false };
        let id = self.newcomers[newcomer].id();
        match id.started_ms {
            Some(own) => own != started,
            None => {
                let answering = TargetInstance { id: id.id.clone(), started_ms: Some(started) };
                self.target.as_ref().is_some_and(|target| *target.id() == answering)
            }
        }
    }

    /// Whether a newcomer has the id of the target.
    fn shares_id(&self, newcomer: usize) -> bool {
        let id = &self.newcomers[newcomer].id().id;
        self.target.as_ref().is_some_and(|target| target.id().id == *id)
    }

    fn newcomer_is_over(&mut self, at: usize, out: &mut Vec<Action>) {
        let newcomer = self.newcomers.remove(at);
        self.remember_gone(newcomer.id().clone());
        self.report_is_late(newcomer.id(), newcomer.report.sequence, out);
    }

    /// The next life of the target is there, and runs this. A start that was meant for the life before may
    /// have reached it where both have one id: such a run is stopped before it counts as lost.
    fn replace_life(
        &mut self,
        now: Time,
        mut next: Target,
        running: &[TargetRun],
        out: &mut Vec<Action>,
    ) {
        let shares_id = self.target.as_ref().is_some_and(|target| target.id().id == next.id().id);
        if shares_id {
            // It may have taken an order for the life before, with a lease that ends by that one's clock.
            next.renew(now, self.timing.max_lease);
        }
        let takes = if shares_id { NextLife::TakesOrders(running) } else { NextLife::TakesNone };
        self.end_life(now, takes, out);
        self.adopt(next, out);
        let kept: Vec<TaskId> = self.runs.keys().cloned().collect();
        for task in kept {
            self.stop_doubtful(now, &task, out);
        }
    }

    /// A life of the target is over. A newcomer is taken on as any life is while there is none.
    pub(crate) fn target_gone(&mut self, now: Time, out: &mut Vec<Action>) {
        self.end_life(now, NextLife::TakesNone, out);
        if let Some(newcomer) = self.newcomers.pop() {
            self.adopt(newcomer, out);
        }
    }

    /// Takes on a life of the target. Nothing starts there before it has answered a hold.
    fn adopt(&mut self, target: Target, out: &mut Vec<Action>) {
        out.push(Action::Log(LogEvent::TargetFound {
            instance: target.id().clone(),
            fencing_token: target.fencing_token,
        }));
        self.newcomers.iter_mut().for_each(Target::overtake);
        self.target = Some(target);
        self.say_hello(out);
        self.mark_dirty();
    }

    /// Remembers a life as over.
    pub(crate) fn remember_gone(&mut self, id: TargetInstance) {
        if self.gone.contains(&id) {
            return;
        }
        self.gone.push(id);
        if self.gone.len() > GONE_KEPT {
            self.gone.remove(0);
        }
    }

    fn report_is_late(&mut self, id: &TargetInstance, sequence: u64, out: &mut Vec<Action>) {
        self.counters.late_reports += 1;
        let present = self.target.as_ref().map(|target| &target.report);
        out.push(Action::Log(LogEvent::TargetReportLate {
            instance: id.clone(),
            sequence,
            present: present.map(|report| report.instance.clone()),
            present_sequence: present.map_or(0, |report| report.sequence),
        }));
    }
}
