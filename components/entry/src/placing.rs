//! Queues and places the tasks of admitted jobs and processes their results.

use std::time::Duration;

use execution::TaskOutcome;
use model::{Code, Failure, NodeName, SubmissionId, TaskKey, Time, Verdict};
use placement::TargetId;
use settings::KindSettings;
use telemetry::{Breach, DecisionKind, MessageKind};
use wire::{StartReply, StartRequest, StartResult};

use crate::gather::Recipient;
use crate::job::Phase;
use crate::kinds::{InFlight, Kinds};
use crate::table::TimerKind;
use crate::{Action, Connection, Entry, LogEvent};

impl Entry {
    /// Queues the waiting tasks of an admitted job and places those that find a token.
    pub(crate) fn enqueue(&mut self, now: Time, id: SubmissionId, actions: &mut Vec<Action>) {
        if let Some(job) = self.table.get_mut(id) {
            job.waits_since = now;
        }
        self.add_to_queue(id);
        let Some(kind) = self.table.get(id).and_then(|job| job.kind.clone()) else { return };
        self.dispatch(now, &kind.service, actions);
    }

    /// Adds a job with its waiting tasks to the queue of its service.
    fn add_to_queue(&mut self, id: SubmissionId) {
        let (Some(catalog), Some(job)) = (&self.catalog, self.table.get(id)) else { return };
        let (Some(kind), Some(gather)) = (&job.kind, job.gather()) else { return };
        let weight = catalog.team(&job.team).weight;
        let service = self.services.entry(kind.service.clone()).or_default();
        let tasks = gather.waiting();
        service.queue.insert(&job.team, weight, job.deadline, job.arrival, tasks, id);
    }

    /// Removes a job with its waiting tasks from the queue of its service.
    pub(crate) fn remove_from_queue(&mut self, id: SubmissionId) {
        let Some(job) = self.table.get(id) else { return };
        let (Some(kind), Some(gather)) = (&job.kind, job.gather()) else { return };
        if let Some(service) = self.services.get_mut(&kind.service) {
            service.queue.remove(&job.team, job.deadline, job.arrival, gather.waiting());
        }
    }

    /// Places waiting tasks while idle tokens are available, then requests the missing tokens.
    pub(crate) fn dispatch(&mut self, now: Time, service: &str, actions: &mut Vec<Action>) {
        while self.place_next(now, service, actions) {}
        self.request_tokens(now, service, actions);
    }

    /// Places the next task of a service's queue; false when the queue is empty or has no token.
    fn place_next(&mut self, now: Time, name: &str, actions: &mut Vec<Action>) -> bool {
        let Some(service) = self.services.get_mut(name) else { return false };
        let Some(id) = service.queue.head() else { return false };
        if self.would_miss_deadline(now, id) {
            self.abandon(id, actions);
            return true;
        }
        let Some(service) = self.services.get_mut(name) else { return false };
        let Some(job) = self.table.get_mut(id) else { return false };
        let (team, deadline, arrival) = (job.team.clone(), job.deadline, job.arrival);
        let origin = if job.repeatable { self.setup.node.incarnation.0 } else { 0 };
        let wait = straggler_wait(&self.kinds, job.kind.as_deref());
        // Truncated to the resolution of `Time`, like the timer that is set for it, so that any
        // target is accepted when the timer fires.
        let any_target_at = job.waits_since + wait;
        let any_target = now >= any_target_at;
        let Phase::Admitted(gather) = &mut job.phase else { return false };
        let Some(target) = service.pool.spend_token(any_target, |rack| gather.on_rack(rack)) else {
            if !any_target && service.pool.idle_tokens() > 0 {
                self.table.set_timer(any_target_at, id, TimerKind::AnyTarget);
            }
            return false;
        };
        let state = self.targets.get(target);
        let recipient = Recipient { agent: state.node.incarnation };
        let Some((index, attempt, task)) = gather.send(recipient, state.rack) else { return false };
        service.queue.take_task();
        if gather.waiting() == 0 {
            service.queue.remove(&team, deadline, arrival, 0);
        }
        service.busy += 1;
        let idle = service.pool.idle_tokens();
        let wanted = service.update_wanted(target);
        let request = StartRequest {
            key: TaskKey { submission: id, index, attempt, origin },
            owner: self.setup.node.clone(),
            agent: recipient.agent,
            task,
            deadline,
            wanted,
        };
        self.send_start(target, request, idle, actions);
        true
    }

    /// Whether a queued job would miss its deadline even with all tasks placed now.
    fn would_miss_deadline(&self, now: Time, id: SubmissionId) -> bool {
        let Some(job) = self.table.get(id) else { return false };
        if job.waits_since == now {
            // Queued by this event: admission has just checked the deadline, and a requeued task is
            // placed at once if a token is idle.
            return false;
        }
        let (Some(kind), Some(gather)) = (&job.kind, job.gather()) else { return false };
        let Some(times) = self.kinds.times(kind) else { return false };
        now + times.slowest_of(gather.waiting()) > job.deadline
    }

    /// Fails a job that would miss its deadline, so that its slots serve other jobs.
    fn abandon(&mut self, id: SubmissionId, actions: &mut Vec<Action>) {
        let Some(verdict) =
            self.table.get(id).and_then(|job| job.gather()).map(|gather| gather.verdict())
        else {
            return;
        };
        let message = "the deadline can't be met any more";
        let failure = Failure::new(Code::DeadlinePassed, verdict, message);
        self.finish(id, Err(failure), actions);
    }

    /// Dispatches again after a job has waited long enough to accept straggling targets.
    pub(crate) fn accept_any_target(
        &mut self,
        now: Time,
        id: SubmissionId,
        actions: &mut Vec<Action>,
    ) {
        let Some(kind) = self.table.get(id).and_then(|job| job.kind.clone()) else { return };
        self.dispatch(now, &kind.service, actions);
    }

    /// Sends the start of a placed task and logs the decision.
    fn send_start(
        &mut self,
        target: TargetId,
        request: StartRequest,
        idle: u32,
        actions: &mut Vec<Action>,
    ) {
        let state = self.targets.get(target);
        let agent = state.node.name.clone();
        let Some(connection) = state.connection() else { return };
        let key = request.key;
        self.counters.placed += 1;
        if let Some(kind) = self.table.get(key.submission).and_then(|job| job.kind.clone()) {
            self.in_flight.insert(key, InFlight { kind, sent_at: self.now });
        }
        self.count_sent(MessageKind::Start);
        actions.push(Action::Start { agent: agent.clone(), connection, request });
        let step = DecisionKind::Place { index: key.index, target: agent, idle };
        self.log_decision(key.submission, step, Duration::ZERO, actions);
    }

    /// Processes an agent's reply to a start: adds the returned token, then applies the result.
    pub(crate) fn start_replied(
        &mut self,
        now: Time,
        agent: &NodeName,
        connection: Connection,
        key: TaskKey,
        reply: Option<StartReply>,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.id(agent) else { return };
        let service = self.targets.get(target).service.clone();
        let in_flight = self.in_flight.remove(&key);
        let answered = matches!(&reply, Some(StartReply { result: StartResult::Ended(end), .. })
            if matches!(end, TaskOutcome::Answer(_)));
        if let Some(in_flight) = in_flight.filter(|_| answered) {
            self.record_time(&in_flight, target, now, actions);
        }
        if let Some(service) = self.services.get_mut(&service) {
            service.busy = service.busy.saturating_sub(1);
        }
        if let Some(target) = self.targets.on_connection(agent, connection) {
            self.record_contact(target, now);
            let token = reply.as_ref().is_some_and(|reply| reply.token);
            self.add_tokens(target, u32::from(token));
        }
        match reply {
            Some(reply) => self.apply_start_result(now, key, reply.result, actions),
            None => self.add_unsettled(now, target, key, actions),
        }
        self.dispatch(now, &service, actions);
        self.keep_sync_open(now, target, actions);
    }

    /// Applies the result of a start to its task.
    fn apply_start_result(
        &mut self,
        now: Time,
        key: TaskKey,
        result: StartResult,
        actions: &mut Vec<Action>,
    ) {
        match result {
            StartResult::Ended(outcome) => self.task_ended(now, key, outcome, actions),
            StartResult::NotRun(_) => {
                // Neither the start nor its refusal made progress.
                self.counters.messages.wasted(MessageKind::Start, 2);
                self.place_again(now, key, actions);
            }
            StartResult::OutcomeDropped => self.outcome_dropped(key, actions),
            StartResult::Unknown => self.task_lost(now, key, "its agent can't tell", actions),
        }
    }

    /// Applies the outcome of a task that ended.
    pub(crate) fn task_ended(
        &mut self,
        now: Time,
        key: TaskKey,
        outcome: TaskOutcome,
        actions: &mut Vec<Action>,
    ) {
        let id = key.submission;
        let Some(gather) = self.table.get_mut(id).and_then(|job| job.gather_mut()) else {
            self.counters.late += 1;
            return;
        };
        if gather.recipient(key.index, key.attempt).is_none() {
            self.counters.late += 1;
            return;
        }
        match outcome {
            TaskOutcome::Answer(text) => {
                gather.answer(key.index, key.attempt, text);
                let complete = gather.is_complete();
                if complete {
                    self.complete_job(id, actions);
                }
            }
            TaskOutcome::Failed(reason) => {
                gather.fail(key.index, key.attempt);
                let verdict = gather.verdict();
                let message = format!("task {}: {reason}", key.index);
                self.finish(id, Err(Failure::new(Code::TargetFailed, verdict, message)), actions);
            }
            TaskOutcome::Lost(reason) => self.task_lost(now, key, &reason, actions),
            TaskOutcome::NeverSent(_) => self.place_again(now, key, actions),
        }
    }

    /// Records a task's service time for estimates and straggler detection.
    ///
    /// Tasks whose job already has an outcome count too; leaving them out would bias the estimates
    /// towards short tasks.
    fn record_time(
        &mut self,
        in_flight: &InFlight,
        target: TargetId,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let time = now.since(in_flight.sent_at);
        let times = &mut self.kinds.get_mut(&in_flight.kind).times;
        let relative_time = time.as_secs_f64() / times.mean().as_secs_f64().max(0.001);
        times.record(time);
        let state = self.targets.get_mut(target);
        if let Some(straggling) = state.record_time(relative_time) {
            let name = state.node.name.clone();
            actions.push(Action::Log(LogEvent::Straggling(name, straggling)));
            self.update_profile(target);
        }
    }

    /// Finishes a job of which every task has its answer.
    fn complete_job(&mut self, id: SubmissionId, actions: &mut Vec<Action>) {
        let answers =
            self.table.get(id).and_then(|job| job.gather()).and_then(|gather| gather.answers());
        match answers {
            Some(answers) => self.finish(id, Ok(answers), actions),
            None => self.report_breach(Breach::PartialAnswer(id), actions),
        }
    }

    /// Requeues a task that is proven not to have run.
    pub(crate) fn place_again(&mut self, now: Time, key: TaskKey, actions: &mut Vec<Action>) {
        if self.requeue(key, true, actions) {
            self.counters.placed_again += 1;
            let step = DecisionKind::PlaceAgain { index: key.index, attempt: key.attempt + 1 };
            self.log_decision(key.submission, step, Duration::ZERO, actions);
            self.enqueue(now, key.submission, actions);
        }
    }

    /// Returns a sent task to the waiting tasks of its job; false when the outcome of its attempt
    /// is already known. On success the caller queues the job again.
    ///
    /// Without proof that it did not run, only a task of a repeatable request is requeued.
    fn requeue(&mut self, key: TaskKey, proven_not_run: bool, actions: &mut Vec<Action>) -> bool {
        let id = key.submission;
        self.remove_from_queue(id);
        let Some(job) = self.table.get_mut(id) else { return false };
        if !proven_not_run && !job.repeatable {
            self.report_breach(Breach::StartWithoutProof(key), actions);
            return false;
        }
        let Some(gather) = job.gather_mut() else { return false };
        let requeued = gather.requeue(key.index, key.attempt, proven_not_run);
        let waiting = gather.waiting() > 0;
        if !requeued && waiting {
            self.add_to_queue(id);
        }
        requeued
    }

    /// Handles a task whose outcome can't be determined: retries it if the request is repeatable
    /// and the retry budget allows, otherwise fails the job.
    pub(crate) fn task_lost(
        &mut self,
        now: Time,
        key: TaskKey,
        reason: &str,
        actions: &mut Vec<Action>,
    ) {
        let id = key.submission;
        let Some(job) = self.table.get_mut(id) else { return };
        let (repeatable, kind) = (job.repeatable, job.kind.clone());
        let Some(gather) = job.gather_mut() else { return };
        if gather.recipient(key.index, key.attempt).is_none() {
            return;
        }
        let verdict = gather.verdict();
        if repeatable && kind.is_some_and(|kind| self.kinds.get_mut(&kind).take_retry()) {
            self.counters.retried += 1;
            self.requeue(key, false, actions);
            return self.enqueue(now, id, actions);
        }
        let message = format!("task {}: {reason}", key.index);
        self.finish(id, Err(Failure::new(Code::TargetLost, verdict, message)), actions);
    }

    /// Fails the job of a task that ran but whose outcome its agent no longer holds.
    pub(crate) fn outcome_dropped(&mut self, key: TaskKey, actions: &mut Vec<Action>) {
        let id = key.submission;
        let Some(gather) = self.table.get_mut(id).and_then(|job| job.gather_mut()) else { return };
        gather.fail(key.index, key.attempt);
        let verdict = gather.verdict();
        let message = format!("task {} ran, and its answer is no longer held", key.index);
        self.finish(id, Err(Failure::new(Code::AnswerDropped, verdict, message)), actions);
    }

    /// Fails a submission whose deadline passed before it had an outcome.
    pub(crate) fn deadline_passed(&mut self, id: SubmissionId, actions: &mut Vec<Action>) {
        let Some(job) = self.table.get(id) else { return };
        let failure =
            |verdict| Err(Failure::new(Code::DeadlinePassed, verdict, "the deadline passed"));
        match &job.phase {
            Phase::Admitted(gather) => {
                let reply = failure(gather.verdict());
                self.finish(id, reply, actions);
            }
            Phase::Claiming { .. } => self.finish(id, failure(Verdict::MayHaveRun), actions),
            Phase::Refusing { .. } | Phase::Relaying { .. } => {
                self.answer_and_remove(id, &failure(Verdict::MayHaveRun), actions);
            }
            Phase::Undecided | Phase::Refused { .. } | Phase::Done(_) => {}
        }
    }
}

/// How long a job waits for a better target before it accepts a straggling one: the mean service
/// time, which is about the time that it would lose there.
fn straggler_wait(kinds: &Kinds, kind: Option<&KindSettings>) -> Duration {
    let Some(kind) = kind else { return Duration::ZERO };
    kinds.times(kind).map_or(kind.expected_duration, |times| times.mean())
}
