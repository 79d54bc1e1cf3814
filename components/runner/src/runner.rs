//! One life of an agent: its state, and which part takes which event.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::{CancelledJobs, JobId, NodeName, Resources, TaskId, Time};
use wire::{Document, EmptiedHalls, Refusal, TaskEnd, TaskReport, ToEntry};

use crate::event::{Action, Event, HallsSource, LogEvent, SessionId, TargetInstance};
use crate::health::Change;
use crate::lives::NextLife;
use crate::run::{Run, RunState, Stopping};
use crate::sessions::Session;
use crate::target::Target;
use crate::turns::Turns;

/// The times of an agent.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a target's lease is. With `session_silence` it has to be shorter than the time
    /// after which clients send again: then nothing of a first try runs beside the second, even
    /// where an entry and an agent die one after the other.
    pub lease: Duration,
    /// The longest lease that a target grants, whatever an order asks for.
    pub max_lease: Duration,
    /// How long the target may take to answer a start or a stop: it stands beside the agent.
    pub command_timeout: Duration,
    /// How long a hold waits for an end. While a hold is lost nothing is known of the target.
    pub hold_wait: Duration,
    /// How much longer than it was asked to wait the target may take to answer a hold.
    pub hold_slack: Duration,
    /// How long a target that has left an order unanswered is thought to do so again.
    pub unanswered_retention: Duration,
    /// How long a hold waits for an end at such a target, at least: each hold costs the agent's processor time,
    pub short_hold_wait_least: Duration,
    /// and at most. What begins meanwhile may end sooner than the hold was thought to wait.
    pub short_hold_wait_most: Duration,
    /// How much longer than it was asked to wait such a target may take to answer. A hold that is given up too
    /// soon costs a connection.
    pub short_hold_slack: Duration,
    /// A target that has not answered a hold for so long gets no new work.
    pub hold_silence: Duration,
    /// How long a start may be on its way to the target.
    pub start_validity: Duration,
    /// How long the target takes to stop a run.
    pub stop_time: Duration,
    /// Silence of an entry for which something runs here after which its session is dead.
    pub session_timeout: Duration,
    /// Silence of an entry for which nothing runs here after which its session is dead: nothing has to
    /// be stopped then, so that its heartbeats may be rare. A connection that has gone silent for good is
    /// still replaced within 1.3 s, as soaks of real processes hold.
    pub quiet_silence: Duration,
    /// How long an entry is told that a session takes no more work before the session ends, at least:
    /// starts that cross the word on their way are still carried out.
    pub retire_notice: Duration,
    /// Age of what an entry heard after which its starts are refused.
    pub max_start_age: Duration,
    /// A gap between two events after which the process is taken to have stood still.
    pub longest_pause: Duration,
    /// From one report of the load to the next, at least: every entry reads each report,
    pub load_gap: Duration,
    /// and at most by how fast room is taken.
    pub load_gap_plenty: Duration,
    /// The load is reported once entries are thought to have taken this part of what was free: late
    /// enough to spare entries, early enough that little of what they count on is gone.
    pub load_change: f64,
    /// From one report of the load to the next, at most.
    pub load_interval: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(750),
            max_lease: Duration::from_secs(15),
            command_timeout: Duration::from_millis(40),
            hold_wait: Duration::from_millis(120),
            hold_slack: Duration::from_millis(50),
            unanswered_retention: Duration::from_secs(5),
            short_hold_wait_least: Duration::from_millis(20),
            short_hold_wait_most: Duration::from_millis(60),
            short_hold_slack: Duration::from_millis(20),
            hold_silence: Duration::from_millis(500),
            start_validity: Duration::from_millis(300),
            stop_time: Duration::from_millis(50),
            session_timeout: Duration::from_millis(450),
            quiet_silence: Duration::from_millis(900),
            retire_notice: Duration::from_millis(500),
            max_start_age: Duration::from_millis(400),
            longest_pause: Duration::from_millis(400),
            load_gap: Duration::from_millis(8),
            load_gap_plenty: Duration::from_millis(90),
            load_change: 0.5,
            load_interval: Duration::from_millis(100),
        }
    }
}

/// What an agent counts since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerCounters {
    /// Tasks asked for.
    pub requested: u64,
    /// Starts that the target took.
    pub started: u64,
    /// Tasks done.
    pub done: u64,
    /// Tasks failed.
    pub failed: u64,
    /// Tasks that did not run.
    pub not_run: u64,
    /// Tasks stopped.
    pub stopped: u64,
    /// Tasks that are gone without an outcome.
    pub lost: u64,
    /// Tasks that ran when the target crashed.
    pub crashed: u64,
    /// Starts that the target refused for want of room.
    pub no_capacity: u64,
    /// Starts that the target did not answer.
    pub unanswered_starts: u64,
    /// Sessions that died.
    pub sessions_lost: u64,
    /// Reports that came late: after newer ones of the same life, or after that life was over.
    pub late_reports: u64,
}

/// One life of an agent.
#[derive(Debug)]
pub struct Runner {
    pub(crate) node: NodeName,
    pub(crate) timing: Timing,
    pub(crate) target: Option<Target>,
    /// Lives of the target that are over.
    pub(crate) gone: Vec<TargetInstance>,
    /// Lives that reported while another was there, in the order in which they were heard of: the
    /// next ones, or late reports of earlier ones.
    pub(crate) newcomers: Vec<Target>,
    pub(crate) sessions: BTreeMap<SessionId, Session>,
    pub(crate) runs: BTreeMap<TaskId, Run>,
    pub(crate) document: Option<Document>,
    /// The halls that get no new work.
    pub(crate) halls: EmptiedHalls,
    /// Runs that were lost before the target listed their ends, and when that is forgotten: a later
    /// run of the same task gets a higher number, so that a late end is not taken for its own.
    pub(crate) lost: BTreeMap<TaskId, (u64, Time)>,
    pub(crate) cancelled: CancelledJobs,
    /// Tasks that ran when the target crashed, and when that is forgotten.
    pub(crate) crashed: BTreeMap<TaskId, Time>,
    pub(crate) turns: Turns,
    pub(crate) draining: bool,
    /// When this life of the agent began.
    pub(crate) began: Time,
    pub(crate) last_event: Time,
    pub(crate) counters: RunnerCounters,
}

/// How long lost runs are remembered: longer than a target holds back ends.
const LOST_KEPT: Duration = Duration::from_secs(20);
/// How long the tasks that ran at a crash are remembered: many times as long as it takes a client to send a job again.
const CRASHED_KEPT: Duration = Duration::from_secs(20);
/// From one tick to the next, at most.
const TICK: Duration = Duration::from_millis(20);
const IDLE_TICK: Duration = Duration::from_millis(100);

impl Runner {
    /// An agent that has not heard of its target yet.
    pub fn new(node: NodeName, timing: Timing, now: Time) -> Self {
        Self {
            node,
            timing,
            target: None,
            gone: Vec::new(),
            newcomers: Vec::new(),
            sessions: BTreeMap::new(),
            runs: BTreeMap::new(),
            document: None,
            halls: EmptiedHalls::default(),
            lost: BTreeMap::new(),
            cancelled: CancelledJobs::default(),
            crashed: BTreeMap::new(),
            turns: Turns::default(),
            draining: false,
            began: now,
            last_event: now,
            counters: RunnerCounters::default(),
        }
    }

    /// Takes an event and adds the actions that follow.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if now.since(self.last_event) > self.timing.longest_pause {
            // What waited meanwhile may be far too old: entries have given up on this agent.
            self.lose_all_sessions("stood still", out);
        }
        self.last_event = now;
        match event {
            Event::SessionOpened(session) => self.open_session(now, session, out),
            Event::SessionClosed(session) => self.lose_session(session, "closed", out),
            Event::SessionRetired(session) => self.retire_session(now, session),
            Event::FromEntry(session, message) => self.hear_entry(now, session, message, out),
            Event::TargetReported(report) => self.target_reports(now, report, out),
            Event::TargetLeft(id) => self.target_left(now, &id, out),
            Event::NoListener(id) => self.nothing_listens(now, &id),
            Event::StartAnswered(key, reply) => self.started(now, &key, reply, out),
            Event::StopAnswered(key, reply) => self.stop_answered(now, &key, reply, out),
            Event::HoldAnswered(id, reply) => self.held(now, &id, reply, out),
            Event::Document(document) => self.take_document(document),
            Event::Halls(halls) => self.take_halls(now, &halls, HallsSource::Keeper, out),
            Event::Drain => self.drain(now, out),
            Event::Tick => {}
        }
        self.tick(now, out);
    }

    /// Its times.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }

    /// When the next tick is due.
    pub fn next_timer(&self, now: Time) -> Time {
        let waits = |run: &Run| run.state != RunState::Running;
        let busy = self.runs.values().any(waits)
            || self.sessions.values().any(Session::is_dirty)
            || !self.newcomers.is_empty();
        if self.takes_turns(now) {
            return Turns::end(now);
        }
        now + if busy { TICK } else { IDLE_TICK }
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// What it counted.
    pub fn counters(&self) -> RunnerCounters {
        self.counters
    }

    /// Tasks that wait, and tasks at the target.
    pub fn run_counts(&self) -> (usize, usize) {
        let waiting = self.runs.values().filter(|run| !run.takes_room()).count();
        (waiting, self.runs.len() - waiting)
    }

    /// The newest document that it knows.
    pub fn document_version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// The halls that it knows to be emptied.
    pub fn halls(&self) -> &EmptiedHalls {
        &self.halls
    }

    /// What no run takes, waiting ones aside.
    pub(crate) fn free(&self) -> Resources {
        let Some(target) = &self.target else { return Resources::default() };
        let mut free = target.capacity();
        self.runs.values().filter(|run| run.takes_room()).for_each(|run| free -= run.resources);
        free
    }

    /// Whether the target takes new work.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        let closed = |target: &Target| {
            let orphans_only = target.has_orphans && self.runs.is_empty();
            target.report.draining
                || target.silent
                || target.health.is_out(now)
                || orphans_only
                || target.is_report_dated(self.began)
                || target.leave_doubted.is_some()
                || target.is_unreported
                || target.no_listener.is_some()
        };
        !self.draining
            && !self.is_hall_emptied()
            && self.target.as_ref().is_some_and(|target| !closed(target))
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.end_silent_sessions(now, out);
        self.end_retired_sessions(now, out);
        self.cancelled.forget(now);
        self.lost.retain(|_, (_, until)| *until > now);
        self.crashed.retain(|_, until| *until > now);
        if let Some(target) = &mut self.target {
            target.forget(now);
        }
        self.watch_target(now, out);
        self.ask_newcomers(now, out);
        self.stop_stuck(now, out);
        self.expire_waiting(now, out);
        self.repeat_stops(now, out);
        self.admit(now, out);
        self.report_loads(now, out);
    }

    fn drain(&mut self, now: Time, out: &mut Vec<Action>) {
        self.draining = true;
        self.refuse_waiting(now, Refusal::Closed, out);
        self.mark_dirty();
    }

    pub(crate) fn take_document(&mut self, document: Document) {
        if document.version > self.document_version() {
            self.document = Some(document);
        }
    }

    /// A life of the target is over, and with it all that ran there but what its next life may run: that is kept.
    pub(crate) fn end_life(&mut self, now: Time, next: NextLife, out: &mut Vec<Action>) {
        let Some(target) = self.target.take() else { return };
        self.remember_gone(target.id().clone());
        let is_kept = |task: &TaskId, run: &Run| next.may_run(now, task, run);
        let end_of = |run: &Run| match run.state {
            RunState::Waiting => TaskEnd::NotRun(Refusal::Closed),
            _ if target.crashed_under(now, run) => TaskEnd::Crashed,
            _ => TaskEnd::Lost,
        };
        let over = self.runs.iter().filter(|(task, run)| !is_kept(task, run));
        let ends: Vec<(TaskId, TaskEnd)> =
            over.map(|(task, run)| (task.clone(), end_of(run))).collect();
        out.push(Action::Log(LogEvent::TargetGone {
            instance: target.id().clone(),
            lost: ends.len(),
        }));
        self.end_with_target(now, ends, out);
        self.mark_dirty();
    }

    /// Runs are over with their target. Every entry is told under which of them it has crashed.
    pub(crate) fn end_with_target(
        &mut self,
        now: Time,
        ends: Vec<(TaskId, TaskEnd)>,
        out: &mut Vec<Action>,
    ) {
        let crashed = ends.iter().filter(|(_, end)| *end == TaskEnd::Crashed);
        let crashed: Vec<TaskId> = crashed.map(|(task, _)| task.clone()).collect();
        if !crashed.is_empty() {
            let told = || ToEntry::TargetCrashed(crashed.clone());
            out.extend(self.sessions.keys().map(|id| Action::Send(*id, told())));
        }
        ends.into_iter().for_each(|(task, end)| self.end(now, &task, end, out));
    }

    /// A run is over: tells its entry, and frees its room.
    pub(crate) fn end(&mut self, now: Time, task: &TaskId, end: TaskEnd, out: &mut Vec<Action>) {
        let Some(run) = self.runs.remove(task) else { return };
        let ran = if run.takes_room() { now.since(run.since) } else { Duration::ZERO };
        if matches!(end, TaskEnd::Lost | TaskEnd::Crashed) {
            self.lost.insert(task.clone(), (run.run, now + LOST_KEPT));
        }
        if end == TaskEnd::Crashed {
            self.crashed.insert(task.clone(), now + CRASHED_KEPT);
        }
        self.count(end);
        self.learn(now, &run, end, ran, out);
        out.push(Action::Log(LogEvent::Run {
            task: task.clone(),
            run: run.run,
            end,
            waited_ms: run.since.since(run.asked).as_millis() as u64,
            ran_ms: ran.as_millis() as u64,
            free: self.free(),
        }));
        self.mark_dirty();
        let Some(session) = run.session else { return };
        let report = TaskReport {
            task: task.clone(),
            sequence: run.sequence,
            end,
            ran_ms: ran.as_millis() as u32,
        };
        self.report_end(session, report);
    }

    /// What an end says of the target.
    fn learn(&mut self, now: Time, run: &Run, end: TaskEnd, ran: Duration, out: &mut Vec<Action>) {
        let Some(target) = &mut self.target else { return };
        if !matches!(end, TaskEnd::NotRun(_)) {
            target.ended = now;
        }
        let change = match end {
            TaskEnd::Done => {
                target.ran(now, ran, run.estimated_ms);
                target.health.succeeded(run.since)
            }
            TaskEnd::Failed => target.health.failed(now, run.since),
            _ => Change::None,
        };
        report_health(change, out);
    }

    fn count(&mut self, end: TaskEnd) {
        let counter = match end {
            TaskEnd::Done => &mut self.counters.done,
            TaskEnd::Failed => &mut self.counters.failed,
            TaskEnd::Stopped => &mut self.counters.stopped,
            TaskEnd::NotRun(_) => &mut self.counters.not_run,
            TaskEnd::Lost => &mut self.counters.lost,
            TaskEnd::Crashed => &mut self.counters.crashed,
        };
        *counter += 1;
    }

    /// Stops a run, whatever state it is in.
    pub(crate) fn stop(&mut self, now: Time, task: &TaskId, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(task) else { return };
        match run.state {
            RunState::Waiting => {
                self.end(now, task, TaskEnd::NotRun(Refusal::Cancelled), out);
            }
            RunState::Starting | RunState::Running => {
                let doubtful = run.state == RunState::Starting;
                run.state = RunState::Stopping(Stopping::new(now, doubtful));
                self.send_stop(task, out);
            }
            RunState::Stopping(_) => {}
        }
    }

    /// The tasks of a job that are here.
    pub(crate) fn tasks_of(&self, job: &JobId) -> Vec<TaskId> {
        self.runs.keys().filter(|task| task.job == *job).cloned().collect()
    }

    /// The name of the service, for the profile.
    pub(crate) fn service(&self) -> Arc<str> {
        self.target.as_ref().map_or_else(|| Arc::from(""), |target| target.report.service.clone())
    }
}

pub(crate) fn report_health(change: Change, out: &mut Vec<Action>) {
    match change {
        Change::None => {}
        Change::LeftOut { failures, pause } => {
            let for_ms = pause.as_millis() as u64;
            out.push(Action::Log(LogEvent::TargetLeftOut { failures, for_ms }));
        }
        Change::TakenBack => out.push(Action::Log(LogEvent::TargetTakenBack)),
    }
}
