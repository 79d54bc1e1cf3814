//! The state of an agent, and the dispatch of its events.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::{CancelledJobs, JobId, NodeName, Resources, TaskId, Time};
use placement::{CapacityShares, OfferCounts};
use wire::{Document, EmptiedHalls, Refusal, TaskEnd, TaskReport};

use crate::crashed_tasks::{CrashVerdict, CrashedTasks};
use crate::event::{Action, EndEvidence, Event, HallsSource, LogEvent, SessionId, TargetInstance};
use crate::health::HealthChange;
use crate::instances::NextInstance;
use crate::load_reports::Sharing;
use crate::run::{Run, RunState, Stopping};
use crate::sessions::Session;
use crate::target::Target;
use crate::timing::Timing;

/// Counters since the start of the agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerCounters {
    /// Tasks that entries requested.
    pub requested: u64,
    /// Starts that the target accepted.
    pub started: u64,
    /// Tasks that completed.
    pub done: u64,
    /// Tasks that failed.
    pub failed: u64,
    /// Tasks that did not run.
    pub not_run: u64,
    /// Tasks that were stopped.
    pub stopped: u64,
    /// Tasks that ended without a known outcome.
    pub lost: u64,
    /// Tasks that ran when the target crashed.
    pub crashed: u64,
    /// Tasks that may have run when the target crashed; counted as lost too.
    pub suspected_crashes: u64,
    /// Starts that the target refused for lack of capacity.
    pub starts_without_capacity: u64,
    /// Starts that the target did not answer.
    pub unanswered_starts: u64,
    /// Offers of scarce capacity to a single session.
    pub offers: u64,
    /// Offers that the session used by sending a start in its turn.
    pub offers_used: u64,
    /// Reports of waiting work that entries sent.
    pub demands: u64,
    /// Sessions that were lost.
    pub sessions_lost: u64,
    /// Reports that arrived after newer ones of their instance, or after the end of the instance.
    pub late_target_reports: u64,
}

/// The state of an agent.
#[derive(Debug)]
pub struct Runner {
    pub(crate) node: NodeName,
    pub(crate) timing: Timing,
    pub(crate) target: Option<Target>,
    /// Target instances that have ended.
    pub(crate) ended_instances: Vec<TargetInstance>,
    /// Instances that reported while another one was in use, in order of their first report:
    /// successors, or earlier instances whose reports are late.
    pub(crate) candidates: Vec<Target>,
    pub(crate) sessions: BTreeMap<SessionId, Session>,
    pub(crate) runs: BTreeMap<TaskId, Run>,
    pub(crate) document: Option<Document>,
    /// Emptied halls, which get no new work.
    pub(crate) halls: EmptiedHalls,
    /// Runs that were lost before the target listed their ends.
    pub(crate) lost_runs: BTreeMap<TaskId, LostRun>,
    pub(crate) cancelled: CancelledJobs,
    pub(crate) crashed_tasks: CrashedTasks,
    pub(crate) shares: CapacityShares,
    /// The current period of scarce capacity.
    pub(crate) sharing: Option<Sharing>,
    pub(crate) draining: bool,
    /// When this agent process started.
    pub(crate) started_at: Time,
    pub(crate) last_event: Time,
    pub(crate) counters: RunnerCounters,
}

/// A run that was lost before the target listed its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostRun {
    /// The number of the run. A later run of the same task gets a higher one, so that a late end is
    /// not attributed to it.
    pub run: u64,
    pub lost_at: Time,
    /// Whether it is settled that the target has crashed under the run, or has not.
    pub is_settled: bool,
}

/// How long lost runs are remembered: longer than a target may delay the report of an end.
const LOST_RUN_RETENTION: Duration = Duration::from_secs(20);
/// Maximum time between ticks while runs or reports are pending.
const BUSY_TICK: Duration = Duration::from_millis(20);
const IDLE_TICK: Duration = Duration::from_millis(100);

impl Runner {
    /// An agent without a target.
    pub fn new(node: NodeName, timing: Timing, now: Time) -> Self {
        Self {
            shares: CapacityShares::new(seed_of(&node)),
            sharing: None,
            node,
            timing,
            target: None,
            ended_instances: Vec::new(),
            candidates: Vec::new(),
            sessions: BTreeMap::new(),
            runs: BTreeMap::new(),
            document: None,
            halls: EmptiedHalls::default(),
            lost_runs: BTreeMap::new(),
            cancelled: CancelledJobs::default(),
            crashed_tasks: CrashedTasks::default(),
            draining: false,
            started_at: now,
            last_event: now,
            counters: RunnerCounters::default(),
        }
    }

    /// Processes an event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if now.since(self.last_event) > self.timing.pause_threshold {
            // Queued events may be outdated, and entries have given up on this agent.
            self.lose_all_sessions("stood still", actions);
        }
        self.last_event = now;
        match event {
            Event::SessionOpened(session) => self.open_session(now, session, actions),
            Event::SessionClosed(session) => self.lose_session(session, "closed", actions),
            Event::SessionRetired(session) => self.retire_session(now, session),
            Event::EntryReadsSuspicions(session) => self.enable_suspicions(session, actions),
            Event::FromEntry(session, message) => {
                self.receive_from_entry(now, session, message, actions)
            }
            Event::TargetReported(report) => self.target_reported(now, report, actions),
            Event::TargetLeft(instance) => self.target_left(now, &instance, actions),
            Event::NoListener(instance) => self.target_unreachable(now, &instance, actions),
            Event::StartAnswered(key, reply) => self.start_answered(now, &key, reply, actions),
            Event::StopAnswered(key, reply) => self.stop_answered(now, &key, reply, actions),
            Event::HoldAnswered(instance, reply) => {
                self.hold_answered(now, &instance, reply, actions)
            }
            Event::Document(document) => self.update_document(document),
            Event::Halls(halls) => self.update_halls(now, &halls, HallsSource::Keeper, actions),
            Event::Drain => self.drain(now, actions),
            Event::Tick => {}
        }
        self.tick(now, actions);
    }

    /// The timeouts and intervals in use.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }

    /// When the next [`Event::Tick`] is due.
    pub fn next_timer(&self, now: Time) -> Time {
        let is_unsettled = |run: &Run| run.state != RunState::Running;
        let busy = self.runs.values().any(is_unsettled)
            || self.sessions.values().any(Session::has_updates)
            || !self.candidates.is_empty();
        if let Some(at) = self.next_offer_at(now) {
            return at;
        }
        now + if busy { BUSY_TICK } else { IDLE_TICK }
    }

    /// Whether there are no runs, waiting or active.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Counters since the start of the agent.
    pub fn counters(&self) -> RunnerCounters {
        let OfferCounts { turns, used, .. } = self.shares.total_counts();
        RunnerCounters { offers: turns, offers_used: used, ..self.counters }
    }

    /// Number of waiting runs, and number of runs on the target.
    pub fn run_counts(&self) -> (usize, usize) {
        let waiting = self.runs.values().filter(|run| !run.holds_capacity()).count();
        (waiting, self.runs.len() - waiting)
    }

    /// Run time of tasks at the target relative to their estimates, in percent; `None` without a
    /// target.
    pub fn target_slowdown_percent(&self) -> Option<u32> {
        self.target.as_ref().map(|target| target.speed.slowdown_percent())
    }

    /// Version of the newest configuration document; 0 without one.
    pub fn document_version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// The emptied halls with the highest known revision.
    pub fn halls(&self) -> &EmptiedHalls {
        &self.halls
    }

    /// Free capacity of the target, not counting waiting runs.
    pub(crate) fn free_capacity(&self) -> Resources {
        let Some(target) = &self.target else { return Resources::default() };
        let mut free = target.capacity();
        self.runs.values().filter(|run| run.holds_capacity()).for_each(|run| free -= run.resources);
        free
    }

    /// Whether the target accepts new work.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        let closed = |target: &Target| {
            let orphans_only = target.has_orphans && self.runs.is_empty();
            target.report.draining
                || target.silent
                || target.health.is_excluded(now)
                || orphans_only
                || target.is_report_outdated(self.started_at)
                || target.leave.is_some()
                || target.awaits_report
                || target.unreachable_since.is_some()
        };
        !self.draining
            && !self.is_hall_emptied()
            && self.target.as_ref().is_some_and(|target| !closed(target))
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.end_timed_out_sessions(now, actions);
        self.end_retired_sessions(now, actions);
        self.cancelled.remove_expired(now);
        self.lost_runs.retain(|_, run| now.since(run.lost_at) < LOST_RUN_RETENTION);
        self.crashed_tasks.expire(now);
        self.check_target(now, actions);
        self.probe_candidates(now, actions);
        self.stop_overdue(now, actions);
        self.expire_waiting(now, actions);
        self.resend_stops(now, actions);
        self.end_left_instance(now, actions);
        self.admit_waiting(now, actions);
        self.report_loads(now, actions);
    }

    fn drain(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.draining = true;
        self.refuse_waiting(now, Refusal::Closed, actions);
        self.mark_load_changed();
    }

    pub(crate) fn update_document(&mut self, document: Document) {
        if document.version > self.document_version() {
            self.document = Some(document);
        }
    }

    /// Ends the current instance with its runs, except those that its successor may run.
    pub(crate) fn end_instance(
        &mut self,
        now: Time,
        next: NextInstance,
        evidence: EndEvidence,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.target.take() else { return };
        self.remember_ended_instance(target.instance().clone());
        let is_carried_over = |task: &TaskId, run: &Run| next.may_run(now, task, run);
        let ended = self.runs.iter().filter(|(task, run)| !is_carried_over(task, run));
        let (waiting, started): (Vec<_>, Vec<_>) =
            ended.partition(|(_, run)| run.state == RunState::Waiting);
        let waiting: Vec<TaskId> = waiting.into_iter().map(|(task, _)| task.clone()).collect();
        let lost: Vec<TaskId> = started.iter().map(|(task, _)| (*task).clone()).collect();
        let crash = (!target.report.draining).then(|| {
            let evidence = target.crash_evidence(now, &self.timing);
            CrashVerdict::new(&evidence, started.into_iter())
        });
        actions.push(Action::Log(LogEvent::InstanceEnded {
            instance: target.instance().clone(),
            lost: waiting.len() + lost.len(),
            evidence,
        }));
        for task in waiting {
            self.end_run(now, &task, TaskEnd::NotRun(Refusal::Closed), actions);
        }
        match crash {
            Some(crash) => self.end_crashed_runs(now, crash, actions),
            None => lost.iter().for_each(|task| self.end_run(now, task, TaskEnd::Lost, actions)),
        }
        self.mark_load_changed();
    }

    /// Ends a run: reports it to its entry and frees its capacity.
    pub(crate) fn end_run(
        &mut self,
        now: Time,
        task: &TaskId,
        end: TaskEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.remove(task) else { return };
        let ran = if run.holds_capacity() { now.since(run.started_at) } else { Duration::ZERO };
        if matches!(end, TaskEnd::Lost | TaskEnd::Crashed) {
            let lost = LostRun { run: run.run, lost_at: now, is_settled: false };
            self.lost_runs.insert(task.clone(), lost);
        }
        self.count_end(end);
        self.update_target_stats(now, &run, end, ran, actions);
        actions.push(Action::Log(LogEvent::Run {
            task: task.clone(),
            run: run.run,
            end,
            waited_ms: run.started_at.since(run.requested_at).as_millis() as u64,
            ran_ms: ran.as_millis() as u64,
            free: self.free_capacity(),
        }));
        self.mark_load_changed();
        let Some(session) = run.session else { return };
        let report = TaskReport {
            task: task.clone(),
            sequence: run.sequence,
            end,
            ran_ms: ran.as_millis() as u32,
        };
        self.queue_end_report(session, report);
    }

    /// Updates the speed and the health of the target from the end of a run.
    fn update_target_stats(
        &mut self,
        now: Time,
        run: &Run,
        end: TaskEnd,
        ran: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = &mut self.target else { return };
        if !matches!(end, TaskEnd::NotRun(_)) {
            target.last_end = now;
        }
        let change = match end {
            TaskEnd::Done => {
                target.speed.record(run.estimate(), ran);
                target.health.record_success(run.started_at)
            }
            TaskEnd::Failed => target.health.record_failure(now, run.started_at),
            _ => HealthChange::None,
        };
        log_health_change(change, actions);
    }

    fn count_end(&mut self, end: TaskEnd) {
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

    /// Stops a run in any state.
    pub(crate) fn stop_run(&mut self, now: Time, task: &TaskId, actions: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(task) else { return };
        match run.state {
            RunState::Waiting => {
                self.end_run(now, task, TaskEnd::NotRun(Refusal::Cancelled), actions);
            }
            RunState::Starting | RunState::Running => {
                let unconfirmed = run.state == RunState::Starting;
                run.state = RunState::Stopping(Stopping::new(now, unconfirmed));
                self.send_stop(task, actions);
            }
            RunState::Stopping(_) => {}
        }
    }

    /// The tasks of a job that have a run here.
    pub(crate) fn tasks_of(&self, job: &JobId) -> Vec<TaskId> {
        self.runs.keys().filter(|task| task.job == *job).cloned().collect()
    }

    /// The service of the target; empty without a target.
    pub(crate) fn service(&self) -> Arc<str> {
        self.target.as_ref().map_or_else(|| Arc::from(""), |target| target.report.service.clone())
    }
}

/// A number that differs between agents and persists over restarts.
fn seed_of(node: &NodeName) -> u64 {
    node.as_str()
        .bytes()
        .fold(0, |seed: u64, byte| seed.wrapping_mul(31).wrapping_add(u64::from(byte)))
}

pub(crate) fn log_health_change(change: HealthChange, actions: &mut Vec<Action>) {
    match change {
        HealthChange::None => {}
        HealthChange::Excluded { failures, exclusion } => {
            let for_ms = exclusion.as_millis() as u64;
            actions.push(Action::Log(LogEvent::TargetExcluded { failures, for_ms }));
        }
        HealthChange::Restored => actions.push(Action::Log(LogEvent::TargetRestored)),
    }
}
