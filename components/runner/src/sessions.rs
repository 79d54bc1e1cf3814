//! Sessions with entries: their messages, their timeouts and pending reports.

use std::time::Duration;

use model::{JobId, TaskId, Time};
use wire::{AgentProfile, Load, Refusal, StartTask, TaskEnd, TaskReport, ToAgent, ToEntry};

use crate::event::{Action, HallsSource, LogEvent, SessionId};
use crate::run::{Run, RunState};
use crate::runner::Runner;
use crate::start_rate::StartRate;

/// A session with an entry.
#[derive(Debug)]
pub(crate) struct Session {
    last_received: Time,
    /// Sequence number of the last start that was accepted or refused.
    pub last_sequence: u64,
    /// Whether the load may have changed since the last report.
    pub load_changed: bool,
    pub last_report: Time,
    /// The load in the last report.
    pub last_load: Load,
    /// Ended runs that are not reported yet.
    pub reports: Vec<TaskReport>,
    /// The rate at which the entry takes capacity.
    pub start_rate: StartRate,
    /// When the session was retired; its load reports then refuse further work.
    pub retired: Option<Time>,
    /// Whether the entry has announced that it reads [`ToEntry::CrashSuspected`].
    pub reads_suspicions: bool,
}

impl Session {
    /// Whether the entry has not received the current load or an ended run yet.
    pub fn has_updates(&self) -> bool {
        self.load_changed || !self.reports.is_empty()
    }
}

impl Runner {
    pub(crate) fn open_session(&mut self, now: Time, id: SessionId, actions: &mut Vec<Action>) {
        let session = Session {
            last_received: now,
            last_sequence: 0,
            load_changed: true,
            last_report: Time::default(),
            last_load: Load::default(),
            reports: vec![],
            start_rate: StartRate::default(),
            retired: None,
            reads_suspicions: false,
        };
        self.sessions.insert(id, session);
        actions.push(Action::Log(LogEvent::SessionOpened(id)));
        if self.target.is_some() {
            actions.push(Action::Send(id, self.hello()));
            self.notify_of_recent_crashes(id, actions);
        }
    }

    /// Sends this agent's profile to every entry.
    pub(crate) fn send_hello(&mut self, actions: &mut Vec<Action>) {
        for id in self.sessions.keys() {
            actions.push(Action::Send(*id, self.hello()));
        }
    }

    fn hello(&self) -> ToEntry {
        let report = self.target.as_ref().map(|target| &target.report);
        let profile = AgentProfile {
            node: self.node.clone(),
            service: self.service(),
            hall: report.map_or_else(|| "".into(), |report| report.hall.clone()),
            labels: report.map_or_else(Vec::new, |report| report.labels.clone()),
            capacity: report.map(|report| report.capacity).unwrap_or_default(),
        };
        ToEntry::Hello { profile, document: self.document_version(), halls: self.halls.clone() }
    }

    pub(crate) fn receive_from_entry(
        &mut self,
        now: Time,
        id: SessionId,
        message: ToAgent,
        actions: &mut Vec<Action>,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.last_received = now;
        match message {
            ToAgent::Heartbeat { .. } => {}
            ToAgent::Demand { waiting, .. } => self.record_demand(now, id, &waiting),
            ToAgent::Start { agent_clock, job, spec, tasks } => {
                let late = now.since(agent_clock) > self.timing.max_start_age;
                for task in tasks {
                    self.request_start(now, id, &job, &spec, task, late);
                }
            }
            ToAgent::Stop(tasks) => {
                for task in tasks {
                    if self.runs.get(&task).is_some_and(|run| run.session == Some(id)) {
                        self.stop_run(now, &task, actions);
                    }
                }
            }
            ToAgent::Cancel(job) => self.cancel_job(now, id, &job, actions),
            ToAgent::Halls(halls) => {
                self.update_halls(now, &halls, HallsSource::Entry(id), actions);
            }
            ToAgent::SendPart(request) => {
                let part = self.document.as_ref().and_then(|document| document.part(request));
                actions.push(Action::Send(id, ToEntry::DocumentPart(part)));
            }
        }
    }

    /// Processes an entry's request to start a task.
    fn request_start(
        &mut self,
        now: Time,
        id: SessionId,
        job: &JobId,
        spec: &std::sync::Arc<str>,
        start: StartTask,
        late: bool,
    ) {
        self.counters.requested += 1;
        let task = TaskId { job: job.clone(), index: start.index };
        let reads_suspicions =
            self.sessions.get(&id).is_some_and(|session| session.reads_suspicions);
        let refusal = if late {
            Some(Refusal::Late)
        } else if self.cancelled.contains(job) {
            Some(Refusal::Cancelled)
        } else if !self.is_open(now) {
            Some(Refusal::Closed)
        } else if self.crashed_tasks.is_confirmed(&task) {
            Some(Refusal::CrashedTarget)
        } else if !reads_suspicions && self.crashed_tasks.is_suspected(&task) {
            // An entry of an old build does not count suspected crashes.
            Some(Refusal::Target)
        } else if self.runs.contains_key(&task) {
            // Another run of the task, for this or another entry, has not ended yet.
            Some(Refusal::Target)
        } else {
            None
        };
        if let Some(session) = self.sessions.get_mut(&id) {
            session.last_sequence = start.sequence;
            session.load_changed = true;
        }
        if let Some(refusal) = refusal {
            self.counters.not_run += 1;
            let end = TaskEnd::NotRun(refusal);
            let report = TaskReport { task, sequence: start.sequence, end, ran_ms: 0 };
            return self.queue_end_report(id, report);
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            session.start_rate.add(now, start.resources.cpu_milli);
        }
        self.shares.record_start(now, id.0, start.resources.cpu_milli);
        let run = Run {
            session: Some(id),
            sequence: start.sequence,
            run: self.lost_runs.get(&task).map_or(start.run, |lost| start.run.max(lost.run + 1)),
            spec: spec.clone(),
            resources: start.resources,
            estimated_ms: start.estimated_ms,
            priority: start.priority,
            requested_at: now,
            expires: now + Duration::from_millis(u64::from(start.longest_wait_ms)),
            started_at: now,
            state: RunState::Waiting,
            refusals: 0,
            unanswered_starts: 0,
            unlisted_holds: 0,
        };
        self.runs.insert(task, run);
    }

    /// Ends the runs of a job that was cancelled at an entry, and forwards the cancellation to the
    /// other entries, one of which may own the job.
    fn cancel_job(&mut self, now: Time, from: SessionId, job: &JobId, actions: &mut Vec<Action>) {
        self.cancelled.insert(now, job);
        for task in self.tasks_of(job) {
            self.stop_run(now, &task, actions);
        }
        for id in self.sessions.keys().filter(|id| **id != from) {
            actions.push(Action::Send(*id, ToEntry::Cancelled(job.clone())));
        }
    }

    pub(crate) fn lose_session(
        &mut self,
        id: SessionId,
        reason: &'static str,
        actions: &mut Vec<Action>,
    ) {
        if self.sessions.remove(&id).is_none() {
            return;
        }
        self.shares.remove_session(id.0);
        self.counters.sessions_lost += 1;
        let of_session = |(_, run): &(&TaskId, &Run)| run.session == Some(id);
        let tasks: Vec<TaskId> =
            self.runs.iter().filter(of_session).map(|(task, _)| task.clone()).collect();
        actions.push(Action::Log(LogEvent::SessionLost { session: id, reason, runs: tasks.len() }));
        actions.push(Action::Close(id));
        for task in tasks {
            if let Some(run) = self.runs.get_mut(&task) {
                run.session = None;
            }
            self.stop_run(self.last_event, &task, actions);
        }
    }

    pub(crate) fn lose_all_sessions(&mut self, reason: &'static str, actions: &mut Vec<Action>) {
        let ids: Vec<SessionId> = self.sessions.keys().copied().collect();
        ids.into_iter().for_each(|id| self.lose_session(id, reason, actions));
    }

    pub(crate) fn end_timed_out_sessions(&mut self, now: Time, actions: &mut Vec<Action>) {
        let timeout = |id: &SessionId| match self.has_runs(*id) {
            true => self.timing.session_timeout,
            false => self.timing.idle_session_timeout,
        };
        let timed_out = |(id, session): &(&SessionId, &Session)| {
            now.since(session.last_received) > self.timing.session_timeout
                && now.since(session.last_received) > timeout(id)
        };
        let ids: Vec<SessionId> =
            self.sessions.iter().filter(timed_out).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.lose_session(id, "silent", actions));
    }

    /// Whether a session has runs that are waiting or active.
    fn has_runs(&self, id: SessionId) -> bool {
        self.runs.values().any(|run| run.session == Some(id))
    }

    /// Marks a session as retired: its entry is to be served by other agents.
    pub(crate) fn retire_session(&mut self, now: Time, id: SessionId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.retired.get_or_insert(now);
            session.load_changed = true;
            self.shares.remove_session(id.0);
        }
    }

    /// Ends retired sessions that have no runs left.
    pub(crate) fn end_retired_sessions(&mut self, now: Time, actions: &mut Vec<Action>) {
        let notice = self.timing.retire_notice;
        let is_over = |(id, session): &(&SessionId, &Session)| {
            session.retired.is_some_and(|since| now.since(since) >= notice)
                && session.reports.is_empty()
                && !self.has_runs(**id)
        };
        let ids: Vec<SessionId> = self.sessions.iter().filter(is_over).map(|(id, _)| *id).collect();
        for id in ids {
            self.sessions.remove(&id);
            self.shares.remove_session(id.0);
            actions.push(Action::Log(LogEvent::SessionRetired(id)));
            actions.push(Action::Close(id));
        }
    }

    pub(crate) fn queue_end_report(&mut self, id: SessionId, report: TaskReport) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.reports.push(report);
        }
    }

    pub(crate) fn mark_load_changed(&mut self) {
        self.sessions.values_mut().for_each(|session| session.load_changed = true);
    }
}
