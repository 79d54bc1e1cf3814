//! Sessions with entries: who is heard of, what each is told.

use std::time::Duration;

use model::{JobId, TaskId, Time};
use wire::{AgentProfile, Load, Refusal, StartTask, TaskEnd, TaskReport, ToAgent, ToEntry};

use crate::event::{Action, News, SessionId};
use crate::rate::StartRate;
use crate::run::{Run, RunState};
use crate::runner::Runner;
use crate::turns::Turns;

/// How long a cancelled job is remembered.
const CANCELLED_KEPT: Duration = Duration::from_secs(20);

/// One session.
#[derive(Debug)]
pub(crate) struct Session {
    heard: Time,
    /// The last start that was taken or refused.
    seen: u64,
    /// The entry has not been told the last change of the load.
    dirty: bool,
    told: Time,
    /// The load that it was told last.
    told_load: Load,
    /// When the entry sent a start last.
    last_start: Option<Time>,
    /// Ends to be told.
    reports: Vec<TaskReport>,
    /// How fast the entry takes room.
    rate: StartRate,
    /// Since when the entry is told that it gets no more work done here.
    retired: Option<Time>,
}

impl Session {
    /// Whether there is something to tell.
    pub fn is_dirty(&self) -> bool {
        self.dirty || !self.reports.is_empty()
    }

    /// The load as the entry is told it; `its_turn` says whether scarce room is told to it, if room is scarce.
    fn view(&self, now: Time, load: &Load, per_ms: f64, its_turn: Option<bool>) -> Load {
        let open = load.open && self.retired.is_none();
        let mut view = Load { seen: self.seen, open, ..*load };
        match its_turn {
            // Others are not told of it, and take none.
            Some(true) => view.taken_per_ms = 0,
            Some(false) if Turns::is_active(now, self.last_start) => view.free.cpu_milli = 0,
            _ => view.taken_per_ms = (per_ms - self.rate.per_ms(now)).max(0.0) as u32,
        }
        view
    }

    /// Whether a load tells the entry more than the last one did. That there is still no room does not.
    fn has_news(&self, load: &Load) -> bool {
        let told = &self.told_load;
        let still_full = told.free.cpu_milli == 0 && load.free.cpu_milli == 0;
        self.dirty && !(still_full && told.open == load.open && told.seen == load.seen)
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
        out.push(Action::News(News::SessionOpened(id)));
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
        ToEntry::Hello { profile, document: self.document.clone() }
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
                let late = now.since(heard) > self.timing.start_age;
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
        self.counters.asked += 1;
        let task = TaskId { job: job.clone(), index: start.index };
        let refusal = if late {
            Some(Refusal::Late)
        } else if self.cancelled.contains_key(job) {
            Some(Refusal::Cancelled)
        } else if !self.is_open(now) {
            Some(Refusal::Closed)
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
        self.cancelled.insert(job.clone(), now + CANCELLED_KEPT);
        for task in self.tasks_of(job) {
            self.stop(now, &task, out);
        }
        for id in self.sessions.keys().filter(|id| **id != from) {
            out.push(Action::Send(*id, ToEntry::Cancelled(job.clone())));
        }
    }

    pub(crate) fn lose_session(&mut self, id: SessionId, why: &'static str, out: &mut Vec<Action>) {
        if self.sessions.remove(&id).is_none() {
            return;
        }
        self.counters.sessions_lost += 1;
        let of_session = |(_, run): &(&TaskId, &Run)| run.session == Some(id);
        let tasks: Vec<TaskId> =
            self.runs.iter().filter(of_session).map(|(task, _)| task.clone()).collect();
        out.push(Action::News(News::SessionLost { session: id, why, runs: tasks.len() }));
        out.push(Action::Close(id));
        for task in tasks {
            if let Some(run) = self.runs.get_mut(&task) {
                run.session = None;
            }
            self.stop(self.last_event, &task, out);
        }
    }

    pub(crate) fn lose_all_sessions(&mut self, why: &'static str, out: &mut Vec<Action>) {
        let ids: Vec<SessionId> = self.sessions.keys().copied().collect();
        ids.into_iter().for_each(|id| self.lose_session(id, why, out));
    }

    pub(crate) fn end_silent_sessions(&mut self, now: Time, out: &mut Vec<Action>) {
        let silence = |id: &SessionId| match self.has_runs(*id) {
            true => self.timing.session_silence,
            false => self.timing.quiet_silence,
        };
        let silent = |(id, session): &(&SessionId, &Session)| {
            now.since(session.heard) > self.timing.session_silence
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
            out.push(Action::News(News::SessionRetired(id)));
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

    /// Tells each entry of ends at once, and of the load now and then.
    pub(crate) fn report_loads(&mut self, now: Time, out: &mut Vec<Action>) {
        let load = self.load(now);
        let turn = self.turn(now, &load);
        let interval = self.timing.load_interval;
        let may_tell =
            |session: &Session| session.is_dirty() || now.since(session.told) >= interval;
        if !self.sessions.values().any(may_tell) {
            return;
        }
        let per_ms: f64 = self.sessions.values().map(|session| session.rate.per_ms(now)).sum();
        let gap = self.load_gap(&load, per_ms);
        for (id, session) in &mut self.sessions {
            if !may_tell(session) {
                continue;
            }
            let its_turn = turn.map(|turn| turn == *id);
            let load = session.view(now, &load, per_ms, its_turn);
            let age = now.since(session.told);
            let gap = match its_turn {
                // A turn is too short to wait.
                Some(true) => Duration::ZERO,
                // That the target takes work again is never held back.
                _ if session.told_load.open != load.open => self.timing.load_gap,
                _ => gap,
            };
            if !session.reports.is_empty() {
                let reports = std::mem::take(&mut session.reports);
                out.push(Action::Send(*id, ToEntry::Ended { reports, load }));
            } else if age >= interval || (session.has_news(&load) && age >= gap) {
                out.push(Action::Send(*id, ToEntry::Load(load)));
            } else {
                continue;
            }
            session.dirty = false;
            session.told = now;
            session.told_load = load;
        }
    }

    /// Whose turn it is to be told of scarce room; none while room is not scarce.
    fn turn(&mut self, now: Time, load: &Load) -> Option<SessionId> {
        if !load.open || !self.turns.is_scarce(load.free.cpu_milli) {
            return None;
        }
        let active = self.active_sessions(now);
        let holder = self.turns.holder(now, &active)?;
        if let Some(session) = self.sessions.get_mut(&holder)
            && session.told_load.free.cpu_milli != load.free.cpu_milli
        {
            session.dirty = true;
        }
        Some(holder)
    }

    /// Whether entries are told of room in turns.
    pub(crate) fn takes_turns(&self, now: Time) -> bool {
        self.turns.is_scarce(self.load(now).free.cpu_milli) && self.active_sessions(now).len() > 1
    }

    fn active_sessions(&self, now: Time) -> Vec<SessionId> {
        let is_active = |session: &Session| Turns::is_active(now, session.last_start);
        let active = self.sessions.iter().filter(|(_, session)| is_active(session));
        active.map(|(id, _)| *id).collect()
    }

    /// From one report of a load like this to the next, at least: what is free changes the more in
    /// that time, the faster it is taken.
    fn load_gap(&self, load: &Load, per_ms: f64) -> Duration {
        let timing = &self.timing;
        if !load.open || load.on_trial {
            return timing.load_gap;
        }
        let until_taken = load.free.cpu_milli as f64 * timing.load_change / per_ms.max(1.0) / 1e3;
        Duration::from_secs_f64(until_taken).clamp(timing.load_gap, timing.load_gap_plenty)
    }

    fn load(&self, now: Time) -> Load {
        let mut free = self.free();
        let waiting = self.runs.values().filter(|run| !run.takes_room());
        waiting.for_each(|run| free -= run.resources);
        let on_trial = self.target.as_ref().is_some_and(|target| target.health.on_trial());
        let slowdown = self.target.as_ref().map_or(0.0, |target| target.slowdown_percent);
        Load {
            at: now,
            free,
            taken_per_ms: 0,
            seen: 0,
            open: self.is_open(now) && (!on_trial || self.runs.is_empty()),
            on_trial,
            slowdown_percent: slowdown as u32,
        }
    }
}
