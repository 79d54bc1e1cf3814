//! Sessions with entries: who is heard of, what each is told.

use std::time::Duration;

use model::{JobId, TaskId, Time};
use wire::{AgentProfile, Load, Refusal, StartTask, TaskEnd, TaskReport, ToAgent, ToEntry};

use crate::event::{Action, HallsSource, LogEvent, SessionId};
use crate::rate::StartRate;
use crate::run::{Run, RunState};
use crate::runner::Runner;

/// One session.
#[derive(Debug)]
pub(crate) struct Session {
    heard: Time,
    /// The last start that was taken or refused.
    pub seen: u64,
    /// The entry has not been told the last change of the load.
    pub dirty: bool,
    pub told: Time,
    /// The load that it was told last.
    pub told_load: Load,
    /// When the entry sent a start last.
    pub last_start: Option<Time>,
    /// Ends to be told.
    pub reports: Vec<TaskReport>,
    /// How fast the entry takes room.
    pub rate: StartRate,
    /// Since when the entry is told that it gets no more work done here.
    pub retired: Option<Time>,
}

impl Session {
    /// Whether there is something to tell.
    pub fn is_dirty(&self) -> bool {
        self.dirty || !self.reports.is_empty()
    }
}

impl Runner {
    pub(crate) fn open_session(&mut self, now: Time, id: SessionId, out: &mut Vec<Action>) {
        let session = Session {
            heard: now,
            seen: 0,
            dirty: true,
            told: Time::default(),
            told_load: Load::default(),
            last_start: None,
            reports: vec![],
            rate: StartRate::default(),
            retired: None,
        };
        self.sessions.insert(id, session);
        out.push(Action::Log(LogEvent::SessionOpened(id)));
        if self.target.is_some() {
            out.push(Action::Send(id, self.hello()));
        }
    }

    /// Tells every entry who this agent is.
    pub(crate) fn say_hello(&mut self, out: &mut Vec<Action>) {
        for id in self.sessions.keys() {
            out.push(Action::Send(*id, self.hello()));
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

    pub(crate) fn hear_entry(
        &mut self,
        now: Time,
        id: SessionId,
        message: ToAgent,
        out: &mut Vec<Action>,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.heard = now;
        match message {
            ToAgent::Heartbeat { .. } => {}
            ToAgent::Start { heard, job, spec, tasks } => {
                let late = now.since(heard) > self.timing.max_start_age;
                for task in tasks {
                    self.ask(now, id, &job, &spec, task, late);
                }
            }
            ToAgent::Stop(tasks) => {
                for task in tasks {
                    if self.runs.get(&task).is_some_and(|run| run.session == Some(id)) {
                        self.stop(now, &task, out);
                    }
                }
            }
            ToAgent::Cancel(job) => self.cancel(now, id, &job, out),
            ToAgent::Halls(halls) => {
                self.take_halls(now, &halls, HallsSource::Entry(id), out);
            }
            ToAgent::SendPart(request) => {
                let part = self.document.as_ref().and_then(|document| document.part(request));
                out.push(Action::Send(id, ToEntry::DocumentPart(part)));
            }
        }
    }

    /// An entry asks for a task.
    fn ask(
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
        let refusal = if late {
            Some(Refusal::Late)
        } else if self.cancelled.contains(job) {
            Some(Refusal::Cancelled)
        } else if !self.is_open(now) {
            Some(Refusal::Closed)
        } else if self.crashed.contains_key(&task) {
            Some(Refusal::CrashedTarget)
        } else if self.runs.contains_key(&task) {
            // A run of it for another entry, or an earlier one, has not come to its end yet.
            Some(Refusal::Target)
        } else {
            None
        };
        if let Some(session) = self.sessions.get_mut(&id) {
            session.seen = start.sequence;
            session.dirty = true;
        }
        if let Some(refusal) = refusal {
            self.counters.not_run += 1;
            let end = TaskEnd::NotRun(refusal);
            let report = TaskReport { task, sequence: start.sequence, end, ran_ms: 0 };
            return self.report_end(id, report);
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            session.rate.add(now, start.resources.cpu_milli);
            session.last_start = Some(now);
        }
        self.turns.asked(start.resources.cpu_milli);
        let run = Run {
            session: Some(id),
            sequence: start.sequence,
            run: self.lost.get(&task).map_or(start.run, |(run, _)| start.run.max(run + 1)),
            spec: spec.clone(),
            resources: start.resources,
            estimated_ms: start.estimated_ms,
            priority: start.priority,
            asked: now,
            expires: now + Duration::from_millis(u64::from(start.longest_wait_ms)),
            since: now,
            state: RunState::Waiting,
            renumbered: 0,
            unanswered: 0,
            unlisted: 0,
        };
        self.runs.insert(task, run);
    }

    /// A job is cancelled at an entry: its tasks end here, and the entry that owns it is told.
    fn cancel(&mut self, now: Time, from: SessionId, job: &JobId, out: &mut Vec<Action>) {
        self.cancelled.add(now, job);
        for task in self.tasks_of(job) {
            self.stop(now, &task, out);
        }
        for id in self.sessions.keys().filter(|id| **id != from) {
            out.push(Action::Send(*id, ToEntry::Cancelled(job.clone())));
        }
    }

    pub(crate) fn lose_session(
        &mut self,
        id: SessionId,
        reason: &'static str,
        out: &mut Vec<Action>,
    ) {
        if self.sessions.remove(&id).is_none() {
            return;
        }
        self.counters.sessions_lost += 1;
        let of_session = |(_, run): &(&TaskId, &Run)| run.session == Some(id);
        let tasks: Vec<TaskId> =
            self.runs.iter().filter(of_session).map(|(task, _)| task.clone()).collect();
        out.push(Action::Log(LogEvent::SessionLost { session: id, reason, runs: tasks.len() }));
        out.push(Action::Close(id));
        for task in tasks {
            if let Some(run) = self.runs.get_mut(&task) {
                run.session = None;
            }
            self.stop(self.last_event, &task, out);
        }
    }

    pub(crate) fn lose_all_sessions(&mut self, reason: &'static str, out: &mut Vec<Action>) {
        let ids: Vec<SessionId> = self.sessions.keys().copied().collect();
        ids.into_iter().for_each(|id| self.lose_session(id, reason, out));
    }

    pub(crate) fn end_silent_sessions(&mut self, now: Time, out: &mut Vec<Action>) {
        let silence = |id: &SessionId| match self.has_runs(*id) {
            true => self.timing.session_timeout,
            false => self.timing.quiet_silence,
        };
        let silent = |(id, session): &(&SessionId, &Session)| {
            now.since(session.heard) > self.timing.session_timeout
                && now.since(session.heard) > silence(id)
        };
        let ids: Vec<SessionId> = self.sessions.iter().filter(silent).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.lose_session(id, "silent", out));
    }

    /// Whether anything runs or waits here for the entry of a session.
    fn has_runs(&self, id: SessionId) -> bool {
        self.runs.values().any(|run| run.session == Some(id))
    }

    /// The entry of a session is to be served by other agents.
    pub(crate) fn retire_session(&mut self, now: Time, id: SessionId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.retired.get_or_insert(now);
            session.dirty = true;
        }
    }

    /// Ends sessions that were retired, once nothing runs for them.
    pub(crate) fn end_retired_sessions(&mut self, now: Time, out: &mut Vec<Action>) {
        let notice = self.timing.retire_notice;
        let is_over = |(id, session): &(&SessionId, &Session)| {
            session.retired.is_some_and(|since| now.since(since) >= notice)
                && session.reports.is_empty()
                && !self.has_runs(**id)
        };
        let ids: Vec<SessionId> = self.sessions.iter().filter(is_over).map(|(id, _)| *id).collect();
        for id in ids {
            self.sessions.remove(&id);
            out.push(Action::Log(LogEvent::SessionRetired(id)));
            out.push(Action::Close(id));
        }
    }

    pub(crate) fn report_end(&mut self, id: SessionId, report: TaskReport) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.reports.push(report);
        }
    }

    pub(crate) fn mark_dirty(&mut self) {
        self.sessions.values_mut().for_each(|session| session.dirty = true);
    }
}
