//! Admitted jobs: waiting, placed, answered.

use std::time::Duration;

use execution::TaskOutcome;
use model::{Code, Failure, NodeName, SubmissionId, TaskKey, Time, Verdict};
use placement::TargetId;
use settings::KindSettings;
use telemetry::{Breach, MessageKind, Step};
use wire::{StartReply, StartRequest, StartResult};

use crate::gather::Sent;
use crate::job::Phase;
use crate::kinds::{Flight, Kinds};
use crate::table::Due;
use crate::{Action, Connection, Entry, LogEvent};

impl Entry {
    /// Lets an admitted job wait for slots and places what can be placed at once.
    pub(crate) fn enqueue(&mut self, now: Time, id: SubmissionId, out: &mut Vec<Action>) {
        if let Some(job) = self.table.get_mut(id) {
            job.waits_since = now;
        }
        self.wait(id);
        let Some(kind) = self.table.get(id).and_then(|job| job.kind.clone()) else { return };
        self.dispatch(now, &kind.service, out);
    }

    /// Adds a job with its waiting tasks to its queue.
    fn wait(&mut self, id: SubmissionId) {
        let (Some(catalog), Some(job)) = (&self.catalog, self.table.get(id)) else { return };
        let (Some(kind), Some(gather)) = (&job.kind, job.gather()) else { return };
        let weight = catalog.team(&job.team).weight;
        let service = self.services.entry(kind.service.clone()).or_default();
        let tasks = gather.waiting();
        service.queue.insert(&job.team, weight, job.deadline, job.arrival, tasks, id);
    }

    /// Takes a job out of its queue with the tasks that still wait.
    pub(crate) fn leave_queue(&mut self, id: SubmissionId) {
        let Some(job) = self.table.get(id) else { return };
        let (Some(kind), Some(gather)) = (&job.kind, job.gather()) else { return };
        if let Some(service) = self.services.get_mut(&kind.service) {
            service.queue.remove(&job.team, job.deadline, job.arrival, gather.waiting());
        }
    }

    /// Places waiting tasks while there are idle tokens, then asks for what is missing.
    pub(crate) fn dispatch(&mut self, now: Time, service: &str, out: &mut Vec<Action>) {
        while self.place_next(now, service, out) {}
        self.ask_for_tokens(now, service, out);
    }

    /// Places the next task of a service's queue; false when there is none or no token.
    fn place_next(&mut self, now: Time, name: &str, out: &mut Vec<Action>) -> bool {
        let Some(service) = self.services.get_mut(name) else { return false };
        let Some(id) = service.queue.head() else { return false };
        if self.is_hopeless(now, id) {
            self.give_up(id, out);
            return true;
        }
        let Some(service) = self.services.get_mut(name) else { return false };
        let Some(job) = self.table.get_mut(id) else { return false };
        let (team, deadline, arrival) = (job.team.clone(), job.deadline, job.arrival);
        let origin = if job.repeatable { self.setup.node.incarnation.0 } else { 0 };
        let patience = patience(&self.kinds, job.kind.as_deref());
        // Compared as moments, which are whole microseconds: a timer at `any_at` finds it reached.
        let any_at = job.waits_since + patience;
        let any = now >= any_at;
        let Phase::Active(gather) = &mut job.phase else { return false };
        let Some(target) = service.pool.spend(any, |rack| gather.on_rack(rack)) else {
            if !any && service.pool.idle() > 0 {
                self.table.at(any_at, id, Due::AnyTarget);
            }
            return false;
        };
        let at = self.targets.get(target);
        let sent = Sent { agent: at.node.incarnation };
        let Some((index, attempt, task)) = gather.send(sent, at.rack) else { return false };
        service.queue.take_task();
        if gather.waiting() == 0 {
            service.queue.remove(&team, deadline, arrival, 0);
        }
        service.busy += 1;
        let idle = service.pool.idle();
        let wanted = service.wanted_now(target);
        let request = StartRequest {
            key: TaskKey { submission: id, index, attempt, origin },
            owner: self.setup.node.clone(),
            agent: sent.agent,
            task,
            deadline,
            wanted,
        };
        self.send_start(target, request, idle, out);
        true
    }

    /// Whether a job that waits can't meet its deadline any more, even if slots came now.
    fn is_hopeless(&self, now: Time, id: SubmissionId) -> bool {
        let Some(job) = self.table.get(id) else { return false };
        if job.waits_since == now {
            // Admission has just looked at it.
            return false;
        }
        let (Some(kind), Some(gather)) = (&job.kind, job.gather()) else { return false };
        let Some(times) = self.kinds.times(kind) else { return false };
        now + times.slowest_of(gather.waiting()) > job.deadline
    }

    /// Ends a job that can't meet its deadline, so that its slots go to one that can.
    fn give_up(&mut self, id: SubmissionId, out: &mut Vec<Action>) {
        let Some(verdict) = self.table.get(id).and_then(|job| job.gather()).map(|g| g.verdict())
        else {
            return;
        };
        let message = "the deadline can't be met any more";
        let failure = Failure::new(Code::DeadlinePassed, verdict, message);
        self.finish(id, Err(failure), out);
    }

    /// A job has waited long enough for any target.
    pub(crate) fn any_target(&mut self, now: Time, id: SubmissionId, out: &mut Vec<Action>) {
        let Some(kind) = self.table.get(id).and_then(|job| job.kind.clone()) else { return };
        self.dispatch(now, &kind.service, out);
    }

    fn send_start(
        &mut self,
        target: TargetId,
        request: StartRequest,
        idle: u32,
        out: &mut Vec<Action>,
    ) {
        let at = self.targets.get(target);
        let agent = at.node.name.clone();
        let Some(connection) = at.connection() else { return };
        let key = request.key;
        self.counters.placed += 1;
        if let Some(kind) = self.table.get(key.submission).and_then(|job| job.kind.clone()) {
            self.flights.insert(key, Flight { kind, at: self.now });
        }
        self.sent(MessageKind::Start);
        out.push(Action::Start { agent: agent.clone(), connection, request });
        let step = Step::Place { index: key.index, target: agent, idle };
        self.decide(key.submission, step, Duration::ZERO, out);
    }

    /// Takes an agent's reply to a start: its token first, then the task's fate.
    pub(crate) fn started(
        &mut self,
        now: Time,
        agent: &NodeName,
        connection: Connection,
        key: TaskKey,
        reply: Option<StartReply>,
        out: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.id(agent) else { return };
        let service = self.targets.get(target).service.clone();
        let flight = self.flights.remove(&key);
        let answered = matches!(&reply, Some(StartReply { result: StartResult::Ended(end), .. })
            if matches!(end, TaskOutcome::Answer(_)));
        if let Some(flight) = flight.filter(|_| answered) {
            self.note_time(&flight, target, now, out);
        }
        if let Some(service) = self.services.get_mut(&service) {
            service.busy = service.busy.saturating_sub(1);
        }
        if let Some(target) = self.targets.on(agent, connection) {
            self.hear(target, now);
            let token = reply.as_ref().is_some_and(|reply| reply.token);
            self.add_tokens(target, u32::from(token));
        }
        match reply {
            Some(reply) => self.start_result(now, key, reply.result, out),
            None => self.fate_open(now, target, key, out),
        }
        self.dispatch(now, &service, out);
        self.keep_exchange(now, target, out);
    }

    fn start_result(
        &mut self,
        now: Time,
        key: TaskKey,
        result: StartResult,
        out: &mut Vec<Action>,
    ) {
        match result {
            StartResult::Ended(outcome) => self.ended(now, key, outcome, out),
            StartResult::NotRun(_) => {
                // The start and its refusal did no work.
                self.counters.messages.wasted(MessageKind::Start, 2);
                self.place_again(now, key, out);
            }
            StartResult::OutcomeDropped => self.outcome_dropped(key, out),
            StartResult::Unknown => self.task_lost(now, key, "its agent can't tell", out),
        }
    }

    /// Takes the end of a task.
    pub(crate) fn ended(
        &mut self,
        now: Time,
        key: TaskKey,
        outcome: TaskOutcome,
        out: &mut Vec<Action>,
    ) {
        let id = key.submission;
        let Some(gather) = self.table.get_mut(id).and_then(|job| job.gather_mut()) else {
            self.counters.late += 1;
            return;
        };
        if gather.sent(key.index, key.attempt).is_none() {
            self.counters.late += 1;
            return;
        }
        match outcome {
            TaskOutcome::Answer(text) => {
                gather.answer(key.index, key.attempt, text);
                let whole = gather.is_whole();
                if whole {
                    self.complete(id, out);
                }
            }
            TaskOutcome::Failed(reason) => {
                gather.fail(key.index, key.attempt);
                let verdict = gather.verdict();
                let message = format!("task {}: {reason}", key.index);
                self.finish(id, Err(Failure::new(Code::TargetFailed, verdict, message)), out);
            }
            TaskOutcome::Lost(reason) => self.task_lost(now, key, &reason, out),
            TaskOutcome::NeverSent(_) => self.place_again(now, key, out),
        }
    }

    /// Notes how long a task took, for estimates and to tell stragglers. Those whose job has its
    /// outcome already count too: without them long tasks would seem rarer than they are.
    fn note_time(&mut self, flight: &Flight, target: TargetId, now: Time, out: &mut Vec<Action>) {
        let time = now.since(flight.at);
        let times = &mut self.kinds.get_mut(&flight.kind).times;
        let over_mean = time.as_secs_f64() / times.mean().as_secs_f64().max(0.001);
        times.record(time);
        let at = self.targets.get_mut(target);
        if let Some(straggling) = at.note_time(over_mean) {
            let name = at.node.name.clone();
            out.push(Action::Log(LogEvent::Straggling(name, straggling)));
            self.set_profile(target);
        }
    }

    fn complete(&mut self, id: SubmissionId, out: &mut Vec<Action>) {
        let answers = self.table.get(id).and_then(|job| job.gather()).and_then(|g| g.answers());
        match answers {
            Some(answers) => self.finish(id, Ok(answers), out),
            None => self.breach(Breach::PartialAnswer(id), out),
        }
    }

    /// Places a task again that is proven not to have run.
    pub(crate) fn place_again(&mut self, now: Time, key: TaskKey, out: &mut Vec<Action>) {
        if self.put_back(key, true, out) {
            self.counters.placed_again += 1;
            let step = Step::PlaceAgain { index: key.index, attempt: key.attempt + 1 };
            self.decide(key.submission, step, Duration::ZERO, out);
            self.enqueue(now, key.submission, out);
        }
    }

    /// Puts an open task back to wait; false where it is not open any more.
    fn put_back(&mut self, key: TaskKey, proven_not_run: bool, out: &mut Vec<Action>) -> bool {
        let id = key.submission;
        self.leave_queue(id);
        let Some(job) = self.table.get_mut(id) else { return false };
        if !proven_not_run && !job.repeatable {
            self.breach(Breach::StartWithoutProof(key), out);
            return false;
        }
        let Some(gather) = job.gather_mut() else { return false };
        let open = gather.put_back(key.index, key.attempt, proven_not_run);
        let waiting = gather.waiting() > 0;
        if !open && waiting {
            self.wait(id);
        }
        open
    }

    /// Takes a task whose fate nobody will tell. Only a repeatable request may be sent again.
    pub(crate) fn task_lost(
        &mut self,
        now: Time,
        key: TaskKey,
        reason: &str,
        out: &mut Vec<Action>,
    ) {
        let id = key.submission;
        let Some(job) = self.table.get_mut(id) else { return };
        let (repeatable, kind) = (job.repeatable, job.kind.clone());
        let Some(gather) = job.gather_mut() else { return };
        if gather.sent(key.index, key.attempt).is_none() {
            return;
        }
        let verdict = gather.verdict();
        if repeatable && kind.is_some_and(|kind| self.kinds.get_mut(&kind).pay()) {
            self.counters.retried += 1;
            self.put_back(key, false, out);
            return self.enqueue(now, id, out);
        }
        let message = format!("task {}: {reason}", key.index);
        self.finish(id, Err(Failure::new(Code::TargetLost, verdict, message)), out);
    }

    /// Takes a task that ended, but whose outcome its agent no longer holds.
    pub(crate) fn outcome_dropped(&mut self, key: TaskKey, out: &mut Vec<Action>) {
        let id = key.submission;
        let Some(gather) = self.table.get_mut(id).and_then(|job| job.gather_mut()) else { return };
        gather.fail(key.index, key.attempt);
        let verdict = gather.verdict();
        let message = format!("task {} ran, and its answer is no longer held", key.index);
        self.finish(id, Err(Failure::new(Code::AnswerDropped, verdict, message)), out);
    }

    /// The deadline of a submission without an outcome has passed.
    pub(crate) fn deadline_passed(&mut self, id: SubmissionId, out: &mut Vec<Action>) {
        let Some(job) = self.table.get(id) else { return };
        let failure =
            |verdict| Err(Failure::new(Code::DeadlinePassed, verdict, "the deadline passed"));
        match &job.phase {
            Phase::Active(gather) => {
                let reply = failure(gather.verdict());
                self.finish(id, reply, out);
            }
            Phase::Claiming { .. } => self.finish(id, failure(Verdict::MayHaveRun), out),
            Phase::Refusing { .. } | Phase::Relaying { .. } => {
                self.dismiss(id, &failure(Verdict::MayHaveRun), out);
            }
            Phase::Undecided | Phase::Refused { .. } | Phase::Done(_) => {}
        }
    }
}

/// How long a task waits for a better target before it takes one that straggles: about as long
/// as it would lose there.
fn patience(kinds: &Kinds, kind: Option<&KindSettings>) -> Duration {
    let Some(kind) = kind else { return Duration::ZERO };
    kinds.times(kind).map_or(kind.expected, |times| times.mean())
}
