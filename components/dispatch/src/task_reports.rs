//! Handles reports of ended tasks and the loss of agents.

use std::time::Duration;

use model::{TaskId, Time};
use wire::{TaskEnd, TaskReport};

use crate::dispatcher::{Dispatcher, queued_task};
use crate::event::{Action, LogEvent, Outcome, Reason, SessionId};
use crate::job::TaskState;
use crate::run_times::{record_completed_job, record_completed_run};

/// How long a task avoids an agent that refused it for lack of capacity.
const AVOID_AFTER_REFUSAL: Duration = Duration::from_millis(20);
/// How long a task avoids an agent where it failed, was lost or was refused for another reason.
const AVOID_AFTER_LOSS: Duration = Duration::from_secs(5);
/// Number of runs of a task without a result after which its job is answered.
const MAX_LOSSES: u32 = 5;

impl Dispatcher {
    /// Handles an agent's report of the end of a task. A report that does not match the task's
    /// current run is ignored.
    pub(crate) fn handle_task_report(
        &mut self,
        now: Time,
        id: SessionId,
        report: TaskReport,
        actions: &mut Vec<Action>,
    ) {
        let TaskReport { task: task_id, sequence, end, ran_ms } = report;
        let Some(job) = self.jobs.get_mut(&task_id.job) else { return };
        let Some(task) = job.tasks.get_mut(task_id.index as usize) else { return };
        if task.state != (TaskState::Placed { session: id, sequence }) {
            return;
        }
        if let Some(agent) = self.agents.get_mut(&id) {
            agent.placed_tasks = agent.placed_tasks.saturating_sub(1);
        }
        job.may_have_run |= !matches!(end, TaskEnd::NotRun(_));
        task.failures += u32::from(end == TaskEnd::Failed);
        task.losses +=
            u32::from(matches!(end, TaskEnd::Lost | TaskEnd::Stopped | TaskEnd::Crashed));
        let avoid_for = match end {
            TaskEnd::Done => None,
            TaskEnd::Failed | TaskEnd::Lost | TaskEnd::Stopped | TaskEnd::Crashed => {
                Some(AVOID_AFTER_LOSS)
            }
            TaskEnd::NotRun(wire::Refusal::Room) => Some(AVOID_AFTER_REFUSAL),
            TaskEnd::NotRun(_) => Some(AVOID_AFTER_LOSS),
        };
        let (failures, losses) = (task.failures, task.losses);
        if end == TaskEnd::Done {
            let ran = Duration::from_millis(u64::from(ran_ms));
            let run_times = self.policy.run_times.then_some(&mut self.run_times);
            let errors = &mut self.prediction_errors;
            record_completed_run(&job.request, task, ran, run_times, errors);
        }
        match avoid_for {
            Some(avoid) if job.outcome.is_none() => {
                task.state = TaskState::Waiting;
                task.avoid = Some((id, now + avoid));
                task.waiting_since = now;
            }
            _ => {
                task.state = TaskState::Ended;
                job.open_tasks -= 1;
            }
        }
        if end == TaskEnd::Done && job.open_tasks == 0 {
            record_completed_job(job, &mut self.run_times);
        }
        let queued = queued_task(job, task_id.index, self.policy);
        let (open, answered) = (job.open_tasks, job.outcome.is_some());
        if end == TaskEnd::NotRun(wire::Refusal::Cancelled) && !answered {
            // This entry missed the cancel. Without it, every agent that knows of the cancel would
            // refuse the task in a loop.
            self.record_task_end(id, &task_id, end, failures, actions);
            return self.cancel_local(now, &task_id.job, actions);
        }
        let attempts = job.request.max_attempts;
        self.record_crash_from_end(now, id, &task_id, end);
        self.record_task_end(id, &task_id, end, failures, actions);
        if answered {
            return;
        }
        if failures >= attempts.max(1) {
            return self.finish_job(
                now,
                &task_id.job,
                Outcome::Failed(Reason::AttemptsExhausted),
                actions,
            );
        }
        if self.end_crashing_job(now, &task_id.job, actions) {
            return;
        }
        if losses >= MAX_LOSSES {
            return self.finish_job(
                now,
                &task_id.job,
                Outcome::MayHaveRun(Reason::TooManyLosses),
                actions,
            );
        }
        if avoid_for.is_some() {
            self.queue.insert(queued);
        } else if open == 0 {
            self.finish_job(now, &task_id.job, Outcome::Completed, actions);
        }
    }

    fn record_task_end(
        &mut self,
        id: SessionId,
        task: &TaskId,
        end: TaskEnd,
        failures: u32,
        actions: &mut Vec<Action>,
    ) {
        match end {
            TaskEnd::Done => return,
            TaskEnd::Failed => self.counters.task_failures += 1,
            TaskEnd::Lost | TaskEnd::Stopped | TaskEnd::Crashed => self.counters.task_losses += 1,
            TaskEnd::NotRun(_) => self.counters.refused_starts += 1,
        }
        let Some(agent) = self.agents.get(&id).and_then(|agent| agent.name()) else { return };
        let agent = agent.clone();
        actions.push(Action::Log(LogEvent::TaskEnded { task: task.clone(), agent, end, failures }));
    }

    /// Closes the session of an agent. The agent stops this entry's tasks, or its target's lease
    /// ends. Jobs that can still end in time wait for that and start the lost tasks again; the
    /// others are answered now.
    pub(crate) fn remove_agent(
        &mut self,
        id: SessionId,
        reason: &'static str,
        actions: &mut Vec<Action>,
    ) {
        let Some(agent) = self.agents.remove(&id) else { return };
        let now = self.now();
        if agent.profile.is_some() {
            self.counters.agents_lost += 1;
            self.agents_changed = now;
        }
        actions.push(Action::Log(LogEvent::AgentLost {
            agent: agent.name().cloned(),
            reason,
            tasks: agent.placed_tasks,
        }));
        actions.push(Action::Close(id));
        let until = now + self.timing.lost_agent_lease;
        let mut not_rerun = Vec::new();
        for (job_id, job) in &mut self.jobs {
            let mut lost = 0;
            for task in &mut job.tasks {
                if matches!(task.state, TaskState::Placed { session, .. } if session == id) {
                    task.state = TaskState::Lost { until };
                    task.losses += 1;
                    lost += 1;
                }
            }
            if lost == 0 || job.outcome.is_some() {
                continue;
            }
            job.may_have_run = true;
            let estimate = Duration::from_millis(u64::from(job.request.shape.estimated_ms));
            let latest = job.submitted + job.request.objective * MAX_USEFUL_OBJECTIVES;
            if until + estimate > latest || !self.policy.rerun_lost {
                not_rerun.push(job_id.clone());
            }
        }
        self.counters.task_losses += not_rerun.len() as u64;
        for job in not_rerun {
            self.finish_job(now, &job, Outcome::MayHaveRun(Reason::AgentLost), actions);
        }
    }
}

/// Multiple of a job's objective after which its result is of no use to the client.
const MAX_USEFUL_OBJECTIVES: u32 = 3;
