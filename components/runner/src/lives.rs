//! Which life of the target is the present one.
//!
//! A report may come late: after newer ones of its life, and after its sender has crashed and
//! another life has registered at the same address. Ids of lives have no order, and neither have
//! the clocks and the sequence numbers of two lives. But an address has one life at a time, and an
//! order names the life that it is for. So a life that nothing is known of is asked while another
//! is there: once it answers an order that was sent after its report came, it is the present one,
//! and the lives before it are over; where another life answers, it is over itself.

use model::Time;
use wire::Refusal;

use crate::event::{Action, HoldReply, News, TargetId, TargetReport};
use crate::runner::Runner;
use crate::target::{Heard, Target};

/// Lives that are remembered as over. One that is forgotten costs an order when a report of it
/// comes, which the present life refuses.
const GONE_KEPT: usize = 16;
/// Newcomers that are asked at a time. More than one takes two crashes within an order's time.
const NEWCOMERS: usize = 4;

impl Runner {
    /// The target reports of itself.
    pub(crate) fn target_reports(
        &mut self,
        now: Time,
        report: TargetReport,
        out: &mut Vec<Action>,
    ) {
        if self.gone.contains(&report.id) {
            return self.report_is_late(&report.id, report.sequence, out);
        }
        match &self.target {
            None => self.adopt(Target::new(report, now), out),
            Some(target) if *target.id() == report.id => self.hear_target(now, report, out),
            Some(_) => self.hear_newcomer(now, report, out),
        }
    }

    /// A life reports while another is there: the next one, or an earlier one, late.
    fn hear_newcomer(&mut self, now: Time, report: TargetReport, out: &mut Vec<Action>) {
        let known = self.newcomers.iter_mut().find(|newcomer| *newcomer.id() == report.id);
        if let Some(newcomer) = known {
            let (id, sequence) = (report.id.clone(), report.sequence);
            if newcomer.hear(report).late {
                self.report_is_late(&id, sequence, out);
            }
            return;
        }
        if self.newcomers.len() == NEWCOMERS {
            self.newcomers.remove(0);
        }
        out.push(Action::News(News::TargetAsked(report.id.clone())));
        self.newcomers.push(Target::new(report, now));
    }

    /// The present life of the target reports of itself.
    fn hear_target(&mut self, now: Time, report: TargetReport, out: &mut Vec<Action>) {
        let Some(target) = &mut self.target else { return };
        let (id, sequence) = (report.id.clone(), report.sequence);
        let Heard { late, drains, moved } = target.hear(report);
        if late {
            self.report_is_late(&id, sequence, out);
        }
        if moved {
            self.say_hello(out);
        }
        if drains {
            out.push(Action::News(News::TargetDrains(id)));
            self.refuse_waiting(now, Refusal::Closed, out);
        }
        self.mark_dirty();
    }

    /// The target says that it ends now: whatever else comes from this life is late.
    pub(crate) fn target_left(&mut self, now: Time, id: &TargetId, out: &mut Vec<Action>) {
        if self.target.as_ref().is_some_and(|target| target.id() == id) {
            return self.target_gone(now, out);
        }
        self.newcomers.retain(|newcomer| newcomer.id() != id);
        self.remember_gone(id.clone());
    }

    /// Asks newcomers for a sign of life, again where there was no answer.
    pub(crate) fn ask_newcomers(&mut self, now: Time, out: &mut Vec<Action>) {
        let timing = self.timing;
        let asked = self.newcomers.iter_mut().filter_map(|newcomer| newcomer.ask(now, &timing));
        out.extend(asked.map(Action::Hold));
    }

    /// A life answered a hold. Returns whether that was the answer of a newcomer which stays one,
    /// or is over; a newcomer that is alive becomes the target, and its answer is the target's.
    pub(crate) fn newcomer_answered(
        &mut self,
        now: Time,
        id: &TargetId,
        reply: &HoldReply,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(at) = self.newcomers.iter().position(|newcomer| newcomer.id() == id) else {
            return false;
        };
        match reply {
            HoldReply::OtherLife => {
                let newcomer = self.newcomers.remove(at);
                self.remember_gone(id.clone());
                self.report_is_late(id, newcomer.report.sequence, out);
                true
            }
            HoldReply::Silent => {
                self.newcomers[at].unanswered(now);
                true
            }
            // It may have been given before the present life was there.
            _ if self.newcomers[at].is_overtaken => {
                self.newcomers[at].unanswered(now);
                true
            }
            HoldReply::Lists { .. } | HoldReply::Fence { .. } => {
                let newcomer = self.newcomers.remove(at);
                self.end_life(now, out);
                self.adopt(newcomer, out);
                false
            }
        }
    }

    /// A life of the target is over. A newcomer is taken on as any life is while there is none.
    pub(crate) fn target_gone(&mut self, now: Time, out: &mut Vec<Action>) {
        self.end_life(now, out);
        if let Some(newcomer) = self.newcomers.pop() {
            self.adopt(newcomer, out);
        }
    }

    /// Takes on a life of the target. Nothing starts there before it has answered a hold.
    fn adopt(&mut self, target: Target, out: &mut Vec<Action>) {
        out.push(Action::News(News::TargetFound {
            id: target.id().clone(),
            fencing_token: target.fencing_token,
        }));
        self.newcomers.iter_mut().for_each(Target::overtake);
        self.target = Some(target);
        self.say_hello(out);
        self.mark_dirty();
    }

    /// Remembers a life as over.
    pub(crate) fn remember_gone(&mut self, id: TargetId) {
        if self.gone.contains(&id) {
            return;
        }
        self.gone.push(id);
        if self.gone.len() > GONE_KEPT {
            self.gone.remove(0);
        }
    }

    fn report_is_late(&mut self, id: &TargetId, sequence: u64, out: &mut Vec<Action>) {
        self.counters.late_reports += 1;
        let present = self.target.as_ref().map(|target| &target.report);
        out.push(Action::News(News::TargetReportLate {
            id: id.clone(),
            sequence,
            present: present.map(|report| report.id.clone()),
            present_sequence: present.map_or(0, |report| report.sequence),
        }));
    }
}
