//! Tracks which instance of the target is the current one.
//!
//! Reports may arrive late, and instances cannot be ordered by id, clock, sequence number or start
//! time. But only one instance listens at an address at a time. So an unknown instance that reports
//! while another one is in use becomes a candidate and is probed with a hold: if it answers a hold
//! that was sent after its report arrived, it is current and all earlier instances have ended.

use model::{TaskId, Time};
use wire::Refusal;

use crate::event::{
    Action, EndEvidence, HoldReply, LogEvent, TargetInstance, TargetReport, TargetRun,
};
use crate::hold::LISTING_DELAY;
use crate::run::{Run, RunState};
use crate::runner::Runner;
use crate::target::{ReportChange, Target};

/// Number of ended instances that are remembered. A late report of a forgotten one costs a probe,
/// which the current instance refuses.
const MAX_ENDED_INSTANCES: usize = 16;
/// Number of candidates that are probed at a time. More than one is needed only if a target crashes
/// twice within the duration of a command.
const MAX_CANDIDATES: usize = 4;

/// The successor of an ended instance, with the runs that it may have taken over.
pub(crate) enum NextInstance<'a> {
    /// The next instance has another id, or is unknown.
    Unrelated,
    /// The next instance has the same id and lists these runs. Commands in flight to the ended
    /// instance may reach it.
    SameId(&'a [TargetRun]),
}

impl NextInstance<'_> {
    /// Whether the next instance may run this run of the ended instance.
    pub fn may_run(&self, now: Time, task: &TaskId, run: &Run) -> bool {
        let Self::SameId(running) = self else { return false };
        let is_listed = running.iter().any(|listed| listed.task == *task && listed.run == run.run);
        let may_be_unlisted = match run.state {
            RunState::Starting => true,
            RunState::Stopping(stop) => stop.unconfirmed,
            // The list may be older than the start of the run.
            RunState::Running => now.since(run.started_at) < LISTING_DELAY,
            RunState::Waiting => false,
        };
        may_be_unlisted || (is_listed && run.holds_capacity())
    }
}

impl Runner {
    /// Processes a report of the target.
    pub(crate) fn target_reported(
        &mut self,
        now: Time,
        report: TargetReport,
        actions: &mut Vec<Action>,
    ) {
        if self.ended_instances.contains(&report.instance) {
            return self.record_late_report(&report.instance, report.sequence, actions);
        }
        match &self.target {
            None => self.adopt_instance(Target::new(report, now), actions),
            Some(target) if target.accepts_report_of(&report.instance) => {
                self.receive_target_report(now, report, actions)
            }
            Some(_) => self.receive_candidate_report(now, report, actions),
        }
    }

    /// Processes a report of an instance other than the current one: its successor, or an earlier
    /// one whose report is late.
    fn receive_candidate_report(
        &mut self,
        now: Time,
        report: TargetReport,
        actions: &mut Vec<Action>,
    ) {
        let known =
            self.candidates.iter_mut().find(|candidate| *candidate.instance() == report.instance);
        if let Some(candidate) = known {
            let (instance, sequence) = (report.instance.clone(), report.sequence);
            if candidate.apply_report(report).is_late {
                self.record_late_report(&instance, sequence, actions);
            }
            return;
        }
        if self.candidates.len() == MAX_CANDIDATES {
            self.candidates.remove(0);
        }
        actions.push(Action::Log(LogEvent::CandidateProbed(report.instance.clone())));
        let mut candidate = Target::new(report, now);
        if let Some(target) = &self.target {
            candidate.inherit_fencing_token(target);
        }
        self.candidates.push(candidate);
    }

    /// Processes a report of the current instance.
    fn receive_target_report(
        &mut self,
        now: Time,
        report: TargetReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = &mut self.target else { return };
        let (instance, sequence) = (report.instance.clone(), report.sequence);
        let ReportChange { is_late, starts_draining, profile_changed } =
            target.apply_report(report);
        if is_late {
            self.record_late_report(&instance, sequence, actions);
        }
        if profile_changed {
            self.send_hello(actions);
        }
        if starts_draining {
            actions.push(Action::Log(LogEvent::TargetDraining(instance)));
            self.refuse_waiting(now, Refusal::Closed, actions);
        }
        self.mark_load_changed();
    }

    /// Processes a leave. The instance may still work on its runs, so each of them is stopped and
    /// ends by what shows that it is over: its listed end, an acknowledged stop, the end of the
    /// lease or another instance at the address.
    pub(crate) fn target_left(
        &mut self,
        now: Time,
        instance: &TargetInstance,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) =
            self.target.as_mut().filter(|target| target.instance().may_match(instance))
        else {
            self.candidates.retain(|candidate| candidate.instance() != instance);
            return self.remember_ended_instance(instance.clone());
        };
        let is_certain = target.instance() == instance;
        if target.record_leave(now, is_certain) {
            self.log_leave(actions);
            self.refuse_waiting(now, Refusal::Closed, actions);
            self.mark_load_changed();
        }
        if is_certain {
            let tasks: Vec<TaskId> = self.runs.keys().cloned().collect();
            tasks.iter().for_each(|task| self.stop_run(now, task, actions));
        }
    }

    /// Ends an instance that has left once none of its runs can be active.
    pub(crate) fn end_left_instance(&mut self, now: Time, actions: &mut Vec<Action>) {
        let has_left = self.target.as_ref().is_some_and(Target::has_left);
        if has_left && !self.runs.values().any(Run::holds_capacity) {
            self.target_gone(now, EndEvidence::Left, actions);
        }
    }

    fn log_leave(&self, actions: &mut Vec<Action>) {
        let Some(target) = &self.target else { return };
        let (waiting, active) = self.run_counts();
        let instance = target.instance().clone();
        actions.push(Action::Log(LogEvent::TargetLeft { instance, active, waiting }));
    }

    /// Records that the target's address refused a connection.
    pub(crate) fn target_unreachable(
        &mut self,
        now: Time,
        instance: &TargetInstance,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) =
            self.target.as_mut().filter(|target| target.instance().may_match(instance))
        else {
            return;
        };
        if target.unreachable_since.is_none() {
            actions.push(Action::Log(LogEvent::TargetUnreachable(target.instance().clone())));
        }
        target.record_refused_connection(now, &self.timing);
    }

    /// Sends a hold to each candidate that has none outstanding.
    pub(crate) fn probe_candidates(&mut self, now: Time, actions: &mut Vec<Action>) {
        let timing = self.timing;
        let probes =
            self.candidates.iter_mut().filter_map(|candidate| candidate.probe(now, &timing));
        actions.extend(probes.map(Action::Hold));
    }

    /// Checks whether a hold sent to the current instance was answered by an instance with another
    /// start time. If so, replaces the current instance by that one and returns true. A command
    /// carries only the id, so an instance also accepts commands meant for an earlier one with the
    /// same id; only the start time in the answer distinguishes them.
    pub(crate) fn other_instance_answered(
        &mut self,
        now: Time,
        reply: &HoldReply,
        actions: &mut Vec<Action>,
    ) -> bool {
        let HoldReply::Runs { started_ms: Some(started), clock_ms, running, .. } = reply else {
            return false;
        };
        let Some(target) = &mut self.target else { return false };
        match target.instance().started_ms {
            Some(own) if own == *started => return false,
            None => {
                target.set_start_time(now, *started);
                return false;
            }
            Some(_) => {}
        }
        let answering =
            TargetInstance { id: target.instance().id.clone(), started_ms: Some(*started) };
        let known = self.candidates.iter().position(|candidate| *candidate.instance() == answering);
        let next = match known {
            Some(index) => self.candidates.remove(index),
            None => target.successor(now, answering, *clock_ms),
        };
        self.replace_instance(now, next, running, actions);
        true
    }

    /// Processes an answer to a candidate's hold. If another instance answered, the candidate has
    /// ended. Returns true if nothing more follows from the answer: the candidate remains one or
    /// has ended. Returns false if the candidate has become the current instance, so that the
    /// answer is processed as the target's, or if there is no such candidate.
    pub(crate) fn candidate_answered(
        &mut self,
        now: Time,
        instance: &TargetInstance,
        reply: &HoldReply,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(index) =
            self.candidates.iter().position(|candidate| candidate.instance() == instance)
        else {
            return false;
        };
        let answered_by = match reply {
            HoldReply::Runs { started_ms, .. } => *started_ms,
            _ => None,
        };
        match reply {
            HoldReply::OtherInstance => {
                self.drop_candidate(index, actions);
                true
            }
            // The current instance, which has the same id, has answered.
            HoldReply::Runs { .. } if self.differs_in_start(index, answered_by) => {
                self.drop_candidate(index, actions);
                true
            }
            // The answer does not identify its instance, and the current instance has the same id.
            HoldReply::StaleToken { .. } if self.shares_id(index) => {
                self.candidates[index].probe_failed(now);
                self.candidates[index].raise_fencing_token(now);
                true
            }
            HoldReply::NoAnswer => {
                self.candidates[index].probe_failed(now);
                true
            }
            // The answer may have been sent before the current instance started.
            _ if self.candidates[index].is_overtaken => {
                self.candidates[index].probe_failed(now);
                true
            }
            HoldReply::Runs { running, .. } => {
                let candidate = self.candidates.remove(index);
                self.replace_instance(now, candidate, running, actions);
                false
            }
            HoldReply::StaleToken { .. } => {
                let candidate = self.candidates.remove(index);
                self.replace_instance(now, candidate, &[], actions);
                false
            }
        }
    }

    /// Whether the answer to a candidate's hold came from an instance with another start time. If
    /// the candidate has not reported one, the answer is compared with the current instance.
    fn differs_in_start(&self, candidate: usize, answered_by: Option<u64>) -> bool {
        let Some(started) = answered_by else { return false };
        let instance = self.candidates[candidate].instance();
        match instance.started_ms {
            Some(own) => own != started,
            None => {
                let answering =
                    TargetInstance { id: instance.id.clone(), started_ms: Some(started) };
                self.target.as_ref().is_some_and(|target| *target.instance() == answering)
            }
        }
    }

    /// Whether a candidate has the id of the current instance.
    fn shares_id(&self, candidate: usize) -> bool {
        let id = &self.candidates[candidate].instance().id;
        self.target.as_ref().is_some_and(|target| target.instance().id == *id)
    }

    fn drop_candidate(&mut self, index: usize, actions: &mut Vec<Action>) {
        let candidate = self.candidates.remove(index);
        self.remember_ended_instance(candidate.instance().clone());
        self.record_late_report(candidate.instance(), candidate.report.sequence, actions);
    }

    /// Replaces the current instance by its successor, which lists these runs. With the same id,
    /// the successor may also have accepted starts meant for the ended instance; such runs are
    /// stopped before they count as lost.
    fn replace_instance(
        &mut self,
        now: Time,
        mut next: Target,
        running: &[TargetRun],
        actions: &mut Vec<Action>,
    ) {
        let shares_id =
            self.target.as_ref().is_some_and(|target| target.instance().id == next.instance().id);
        if shares_id {
            // The successor may have accepted a command with a lease that ends by the previous
            // clock.
            next.extend_lease(now, self.timing.max_lease);
        }
        let next_instance =
            if shares_id { NextInstance::SameId(running) } else { NextInstance::Unrelated };
        self.end_instance(now, next_instance, EndEvidence::NextAnswered, actions);
        self.adopt_instance(next, actions);
        let remaining: Vec<TaskId> = self.runs.keys().cloned().collect();
        for task in remaining {
            self.stop_unconfirmed(now, &task, actions);
        }
    }

    /// Ends the current instance, and adopts the newest candidate if there is one.
    pub(crate) fn target_gone(
        &mut self,
        now: Time,
        evidence: EndEvidence,
        actions: &mut Vec<Action>,
    ) {
        self.end_instance(now, NextInstance::Unrelated, evidence, actions);
        if let Some(candidate) = self.candidates.pop() {
            self.adopt_instance(candidate, actions);
        }
    }

    /// Makes an instance the current one. Nothing starts on it before it has answered a hold.
    fn adopt_instance(&mut self, target: Target, actions: &mut Vec<Action>) {
        actions.push(Action::Log(LogEvent::InstanceAdopted {
            instance: target.instance().clone(),
            fencing_token: target.fencing_token,
        }));
        self.candidates.iter_mut().for_each(Target::mark_overtaken);
        self.target = Some(target);
        self.send_hello(actions);
        self.mark_load_changed();
    }

    /// Remembers that an instance has ended.
    pub(crate) fn remember_ended_instance(&mut self, instance: TargetInstance) {
        if self.ended_instances.contains(&instance) {
            return;
        }
        self.ended_instances.push(instance);
        if self.ended_instances.len() > MAX_ENDED_INSTANCES {
            self.ended_instances.remove(0);
        }
    }

    fn record_late_report(
        &mut self,
        instance: &TargetInstance,
        sequence: u64,
        actions: &mut Vec<Action>,
    ) {
        self.counters.late_target_reports += 1;
        let present = self.target.as_ref().map(|target| &target.report);
        actions.push(Action::Log(LogEvent::TargetReportLate {
            instance: instance.clone(),
            sequence,
            present: present.map(|report| report.instance.clone()),
            present_sequence: present.map_or(0, |report| report.sequence),
        }));
    }
}
