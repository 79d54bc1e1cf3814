//! One life of an entry: its state, and which part takes which event.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{JobId, Time};
use wire::{Document, TaskEnd, ToAgent, ToEntry};

use crate::agents::Agent;
use crate::event::{Action, Event, JobRequest, News, Outcome, Reason, SessionId, Ticket};
use crate::job::{Job, TaskState};
use crate::place::ChangedRoom;
use crate::policy::Policy;
use crate::returns::Returns;

/// The times of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// From one sign of life to the next.
    pub heartbeat: Duration,
    /// Silence of an agent after which it is given no new work.
    pub agent_silence: Duration,
    /// Silence of an agent after which its session is dead.
    pub session_silence: Duration,
    /// A gap between two events after which the process is taken to have stood still: agents have
    /// given up on it.
    pub longest_pause: Duration,
    /// After the loss of an agent, nothing of what it ran runs any more.
    pub lost_lease: Duration,
    /// How long a task waits at an agent for room.
    pub longest_wait: Duration,
    /// What part of its objective a job waits at least for its first room before it is refused.
    pub refuse_part: f64,
    /// What part of its objective it waits at most, where it can still end in time. Far from all of
    /// its slack: the tasks after the first wait as well, and estimates are off by two fifths. Both
    /// parts are from round 8 of docs/design/policy.md, where 0.12 to 0.30 measured about the same.
    pub refuse_part_most: f64,
    /// What starting and answering take besides the work.
    pub overhead: Duration,
    /// Left of the client's time when a job is given up, for the answer to arrive.
    pub answer_margin: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            agent_silence: Duration::from_millis(350),
            session_silence: Duration::from_millis(700),
            longest_pause: Duration::from_millis(450),
            lost_lease: Duration::from_millis(1_250),
            longest_wait: Duration::from_millis(30),
            refuse_part: 0.08,
            refuse_part_most: 0.20,
            overhead: Duration::from_millis(15),
            answer_margin: Duration::from_millis(20),
        }
    }
}

/// What an entry counts since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherCounters {
    /// Jobs handed in.
    pub submitted: u64,
    /// Jobs completed.
    pub completed: u64,
    /// Jobs that failed.
    pub failed: u64,
    /// Jobs that did not run.
    pub not_run: u64,
    /// Jobs that may have run.
    pub may_have_run: u64,
    /// Jobs cancelled or left by their client.
    pub cancelled: u64,
    /// Starts sent.
    pub starts: u64,
    /// Starts that were refused without having run.
    pub refused_starts: u64,
    /// Tasks that failed.
    pub failures: u64,
    /// Tasks that were lost.
    pub losses: u64,
    /// Agents that were lost.
    pub agents_lost: u64,
    /// Promises that were about to be broken: bugs.
    pub breaches: u64,
}

/// Where a task stands in the queue for room: what is left of jobs that have begun first, then by
/// priority, then by when its job is to end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    /// No task of the job has been placed yet.
    pub fresh: bool,
    pub priority: u8,
    pub due: Time,
    pub job: JobId,
    pub index: u32,
    /// What the task takes, in thousandths of a core.
    pub cpu_milli: u64,
}

/// One life of an entry.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) timing: Timing,
    pub(crate) policy: Policy,
    pub(crate) agents: BTreeMap<SessionId, Agent>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) tickets: BTreeMap<Ticket, JobId>,
    pub(crate) queue: BTreeSet<QueueEntry>,
    /// Starts that go out at the end of the event, by agent and job.
    pub(crate) outbox: BTreeMap<(SessionId, JobId), Vec<wire::StartTask>>,
    pub(crate) last_event: Time,
    waits_ended: Time,
    /// What is read before may have lain unread through a pause of the process.
    stale_until: Time,
    document: Option<Document>,
    /// When an agent came or went last.
    pub(crate) agents_changed: Time,
    /// When rejected clients come back.
    pub(crate) returns: Returns,
    /// Set once the entry stops: what does not surely end by then is not taken.
    stops_at: Option<Time>,
    pub(crate) counters: DispatcherCounters,
}

/// From one tick to the next.
const TICK: Duration = Duration::from_millis(10);
/// What is read so soon after a pause of the process may be old.
const STALE: Duration = Duration::from_millis(100);
/// How often jobs are looked at for what has waited too long.
const WAITS_EVERY: Duration = Duration::from_millis(5);
const IDLE_TICK: Duration = Duration::from_millis(50);
/// When to come back to another entry: at once would do, but where all of them stop, clients would send
/// again and again. A second is the least that a client can be told besides.
const ELSEWHERE_PAUSE: Duration = Duration::from_secs(1);
/// When to come back where no target can run the job: one has to start first, which takes seconds.
const NO_TARGET_PAUSE: Duration = Duration::from_secs(3);

impl Dispatcher {
    /// An entry that knows no agent yet.
    pub fn new(timing: Timing, now: Time) -> Self {
        Self {
            timing,
            policy: Policy::default(),
            agents: BTreeMap::new(),
            jobs: BTreeMap::new(),
            tickets: BTreeMap::new(),
            queue: BTreeSet::new(),
            outbox: BTreeMap::new(),
            last_event: now,
            waits_ended: now,
            stale_until: now,
            document: None,
            agents_changed: now,
            returns: Returns::default(),
            stops_at: None,
            counters: DispatcherCounters::default(),
        }
    }

    /// With parts of the policy switched off, for experiments.
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Takes an event and adds the actions that follow.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let gap = now.since(self.last_event);
        self.last_event = now;
        if gap > self.timing.longest_pause {
            self.has_paused(gap, out);
        }
        let changed = changed_room(&event);
        match event {
            Event::AgentOpened(id) => self.open_agent(now, id),
            Event::AgentClosed(id) => self.lose_agent(id, "closed", out),
            Event::FromAgent(id, message) => self.hear_agent(now, id, message, out),
            Event::Submit(ticket, request) => self.submit(now, ticket, request, out),
            Event::Abandon(ticket) => self.abandon(now, ticket, out),
            Event::Cancel(job) => self.cancel(now, &job, out),
            Event::TakeOnlyWhatEndsBy(end) => self.stops_at = Some(end),
            Event::AnswerAll => self.answer_all(now, out),
            Event::Tick => {}
        }
        self.watch_agents(now, out);
        // Room that has just come is used before anyone is refused for want of it, and starts are
        // sent before the stops of jobs that end.
        self.place(now, changed, out);
        self.send_starts(now, out);
        self.end_waits(now, out);
    }

    /// When the next tick is due.
    pub fn next_timer(&self, now: Time) -> Time {
        now + if self.queue.is_empty() { IDLE_TICK } else { TICK }
    }

    /// The newest document that an agent knew, taken out.
    pub fn take_document(&mut self) -> Option<Document> {
        self.document.take()
    }

    /// Jobs whose client waits.
    pub fn active(&self) -> usize {
        self.jobs.values().filter(|job| job.outcome.is_none()).count()
    }

    /// Whether a job is active here.
    pub fn has_job(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|job| job.outcome.is_none())
    }

    /// Jobs of a queue of which no task has left this entry.
    pub fn waiting(&self, queue: &str) -> usize {
        let waits = |job: &&Job| {
            job.outcome.is_none() && *job.request.queue == *queue && job.is_untouched()
        };
        self.jobs.values().filter(waits).count()
    }

    /// Agents that take new work.
    pub fn open_agents(&self) -> usize {
        self.agents.values().filter(|agent| agent.load.open).count()
    }

    /// Agents that have a session.
    pub fn known_agents(&self) -> usize {
        self.agents.values().filter(|agent| agent.profile.is_some()).count()
    }

    /// Tasks that wait for room.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// What it counted.
    pub fn counters(&self) -> DispatcherCounters {
        self.counters
    }

    fn hear_agent(&mut self, now: Time, id: SessionId, message: ToEntry, out: &mut Vec<Action>) {
        match message {
            ToEntry::Hello { profile, document } => {
                self.agent_says_hello(id, profile, out);
                let newest = self.document.as_ref().map_or(0, |document| document.version);
                if document.as_ref().is_some_and(|document| document.version > newest) {
                    self.document = document;
                }
            }
            ToEntry::Load(load) => self.agent_load(now, id, load, out),
            ToEntry::Ended { reports, load } => {
                self.agent_load(now, id, load, out);
                for report in reports {
                    self.task_ended(now, id, report, out);
                }
            }
            ToEntry::Cancelled(job) => self.cancel_own(now, &job, out),
        }
    }

    /// Agents have stopped what they ran for this entry, and clients have sent their jobs again
    /// elsewhere: nothing may go on.
    fn has_paused(&mut self, gap: Duration, out: &mut Vec<Action>) {
        out.push(Action::News(News::Paused { gap_ms: gap.as_millis() as u64 }));
        self.end_all(Reason::Paused, |_| Outcome::MayHaveRun(Reason::Paused), out);
        self.stale_until = self.last_event + STALE;
        let agents: Vec<SessionId> = self.agents.keys().copied().collect();
        agents.into_iter().for_each(|id| self.lose_agent(id, "stood still", out));
    }

    /// The process ends in a moment. A connection that ends without an answer tells a client
    /// nothing; now it knows what has not run and may be sent again at once, and tasks of what may have
    /// run are stopped before it is sent again.
    fn answer_all(&mut self, now: Time, out: &mut Vec<Action>) {
        self.stops_at = Some(now);
        let outcome = |job: &Job| match job.is_untouched() {
            true => not_run(Reason::Draining, &job.request),
            false => Outcome::MayHaveRun(Reason::Draining),
        };
        self.end_all(Reason::Draining, outcome, out);
    }

    /// Ends every job, and answers those that wait for the end of their first try.
    fn end_all(
        &mut self,
        reason: Reason,
        outcome: impl Fn(&Job) -> Outcome,
        out: &mut Vec<Action>,
    ) {
        let jobs = self.jobs.iter().map(|(id, job)| (id.clone(), outcome(job)));
        let ends: Vec<(JobId, Outcome)> = jobs.collect();
        for (id, outcome) in ends {
            self.finish(self.last_event, &id, outcome, out);
            let again = self.jobs.get_mut(&id).and_then(|job| job.again.take());
            if let Some((ticket, _)) = again {
                self.tickets.remove(&ticket);
                // Its first try may have run.
                out.push(Action::Answer(ticket, Outcome::MayHaveRun(reason)));
            }
        }
    }

    fn submit(&mut self, now: Time, ticket: Ticket, request: JobRequest, out: &mut Vec<Action>) {
        self.counters.submitted += 1;
        if self.jobs.contains_key(&request.id) {
            return self.submit_again(now, ticket, request, out);
        }
        if now < self.stale_until {
            // Its client may have sent it again elsewhere long ago.
            return self.refuse(ticket, &request, Reason::Paused, out);
        }
        let ends_first = |end: Time| !request.is_over_within(end.since(now));
        if self.stops_at.is_some_and(ends_first) {
            return self.refuse(ticket, &request, Reason::Draining, out);
        }
        if self.is_unservable(now, &request) {
            return self.refuse(ticket, &request, Reason::NoTarget, out);
        }
        let id = request.id.clone();
        out.push(Action::News(News::Admitted {
            job: id.clone(),
            queue: request.queue.clone(),
            tasks: request.shape.count,
            objective_ms: request.objective.as_millis() as u64,
            waiting: self.queue.len(),
        }));
        let job = Job::new(now, ticket, request);
        for index in 0..job.request.shape.count {
            self.queue.insert(queue_entry(&job, index, self.policy));
        }
        self.tickets.insert(ticket, id.clone());
        self.jobs.insert(id, job);
    }

    /// A job comes of which this entry has an earlier try: its client has lost the connection.
    fn submit_again(
        &mut self,
        now: Time,
        ticket: Ticket,
        request: JobRequest,
        out: &mut Vec<Action>,
    ) {
        let id = request.id.clone();
        let no_second_try = self.no_second_try(now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.outcome.is_none() {
            job.tickets.push(ticket);
            self.tickets.insert(ticket, id);
            return;
        }
        if let Some(reason) = no_second_try {
            // The first try may have run, so "not run" would not be true.
            out.push(Action::Answer(ticket, Outcome::MayHaveRun(reason)));
            return;
        }
        // Tasks of the first try are being stopped: the second begins after that.
        let earlier = job.again.replace((ticket, request));
        self.tickets.insert(ticket, id);
        if let Some((earlier, _)) = earlier {
            // Its client has sent the job once more since.
            self.tickets.remove(&earlier);
            out.push(Action::Answer(earlier, Outcome::MayHaveRun(Reason::ClientGone)));
        }
    }

    /// Why a job is not begun a second time, if so: the entry stops, or the client may have sent the job
    /// elsewhere long ago.
    fn no_second_try(&self, now: Time) -> Option<Reason> {
        if self.stops_at.is_some() {
            return Some(Reason::Draining);
        }
        (now < self.stale_until).then_some(Reason::Paused)
    }

    /// Answers a job that is not taken.
    fn refuse(
        &mut self,
        ticket: Ticket,
        request: &JobRequest,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let outcome = not_run(reason, request);
        self.counters.not_run += 1;
        out.push(Action::News(News::Refused { job: request.id.clone(), reason }));
        out.push(Action::Answer(ticket, outcome));
    }

    fn abandon(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Action>) {
        let Some(id) = self.tickets.remove(&ticket) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.tickets.retain(|other| *other != ticket);
        if job.again.as_ref().is_some_and(|(again, _)| *again == ticket) {
            job.again = None;
        }
        if job.tickets.is_empty() && job.outcome.is_none() {
            self.finish(now, &id, Outcome::Failed(Reason::ClientGone), out);
        }
    }

    /// A client cancels a job: every agent is told, and tells the entry that has it.
    fn cancel(&mut self, now: Time, id: &JobId, out: &mut Vec<Action>) {
        for agent in self.agents.keys() {
            out.push(Action::Send(*agent, ToAgent::Cancel(id.clone())));
        }
        self.cancel_own(now, id, out);
    }

    fn cancel_own(&mut self, now: Time, id: &JobId, out: &mut Vec<Action>) {
        if self.has_job(id) {
            self.finish(now, id, Outcome::Cancelled, out);
        }
    }

    /// Ends what has waited for too long.
    fn end_waits(&mut self, now: Time, out: &mut Vec<Action>) {
        if now.since(self.waits_ended) < WAITS_EVERY {
            return;
        }
        self.waits_ended = now;
        let mut over = Vec::new();
        let mut gone = Vec::new();
        let mut returned = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.outcome.is_some() {
                if job.is_gone(now) {
                    gone.push(id.clone());
                }
                continue;
            }
            for (index, task) in job.tasks.iter_mut().enumerate() {
                if matches!(task.state, TaskState::Lost { until } if until <= now) {
                    task.state = TaskState::Waiting;
                    task.waits_since = now;
                    returned.push(index as u32);
                }
            }
            for index in returned.drain(..) {
                self.queue.insert(queue_entry(job, index, self.policy));
            }
            let service = &job.request.service;
            let silence = self.timing.agent_silence;
            let room_is_known = || {
                self.policy.early_refusal
                    && self.agents.values().any(|agent| agent.serves(service, now, silence))
            };
            if let Some(outcome) = overdue(job, now, &self.timing, room_is_known) {
                over.push((id.clone(), outcome));
            }
        }
        for (id, outcome) in over {
            self.finish(now, &id, outcome, out);
        }
        for id in gone {
            let Some((ticket, request)) = self.jobs.remove(&id).and_then(|job| job.again) else {
                continue;
            };
            match self.no_second_try(now) {
                Some(reason) => {
                    self.tickets.remove(&ticket);
                    out.push(Action::Answer(ticket, Outcome::MayHaveRun(reason)));
                }
                None => self.submit(now, ticket, request, out),
            }
        }
    }
}

/// Where waiting tasks may find room that they did not find before an event. A load changes what one
/// agent has; any other event may bring tasks that were not looked at yet.
fn changed_room(event: &Event) -> ChangedRoom {
    match event {
        Event::FromAgent(id, ToEntry::Load(_)) => ChangedRoom::At(*id),
        Event::FromAgent(id, ToEntry::Ended { reports, .. })
            if reports.iter().all(|report| report.end == TaskEnd::Done) =>
        {
            ChangedRoom::At(*id)
        }
        _ => ChangedRoom::Anywhere,
    }
}

/// How a job ends that has waited for too long, if it has. While nobody knows of room, as after a
/// start, room is not known to be short either: a job waits for as long as it can be in time.
fn overdue(
    job: &Job,
    now: Time,
    timing: &Timing,
    room_is_known: impl FnOnce() -> bool,
) -> Option<Outcome> {
    let age = now.since(job.submitted);
    let untouched = job.is_untouched();
    if untouched
        && age >= refuse_after(&job.request, timing)
        && (age >= slack_of(&job.request, timing) || room_is_known())
    {
        return Some(not_run(Reason::NoRoom, &job.request));
    }
    if age + timing.answer_margin >= job.request.deadline {
        return Some(match untouched {
            true => not_run(Reason::Deadline, &job.request),
            false => Outcome::MayHaveRun(Reason::Deadline),
        });
    }
    None
}

/// How long a job waits for its first room while targets take work: as long as it can still end in
/// time, within bounds.
fn refuse_after(request: &JobRequest, timing: &Timing) -> Duration {
    let most = request.objective.mul_f64(timing.refuse_part_most);
    slack_of(request, timing).min(most)
}

/// How long a job may wait and still end in time, at least a part of its objective.
fn slack_of(request: &JobRequest, timing: &Timing) -> Duration {
    let work = Duration::from_millis(u64::from(request.shape.estimated_ms));
    let slack = request.objective.saturating_sub(work + timing.overhead);
    slack.max(request.objective.mul_f64(timing.refuse_part))
}

fn not_run(reason: Reason, request: &JobRequest) -> Outcome {
    let retry_after = match reason {
        Reason::Draining => ELSEWHERE_PAUSE,
        Reason::NoTarget => NO_TARGET_PAUSE,
        _ => request.objective,
    };
    Outcome::NotRun { reason, retry_after }
}

/// Where a task of a job stands in the queue.
pub(crate) fn queue_entry(job: &Job, index: u32, policy: Policy) -> QueueEntry {
    QueueEntry {
        fresh: policy.begun_first && job.starts == 0,
        priority: job.request.priority,
        due: job.submitted + job.request.objective,
        job: job.request.id.clone(),
        index,
        cpu_milli: job.request.shape.resources.cpu_milli,
    }
}
