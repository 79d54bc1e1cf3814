//! Data halls that operators have emptied: no task is placed there.
//!
//! Agents in such a hall refuse starts themselves. An entry that knows of the hall avoids those
//! refusals, and forwards the set of emptied halls to agents that may be cut off from all keepers.

use model::{JobId, Time};
use wire::{EmptiedHalls, ToAgent};

use crate::admission::not_run_outcome;
use crate::dispatcher::Dispatcher;
use crate::event::{Action, HallsSource, JobRequest, LogEvent, Outcome, Reason, SessionId};
use crate::feasibility::can_run;
use crate::job::Job;

impl Dispatcher {
    /// Applies a newer set of emptied halls, forwards it to the agents and refuses the waiting jobs
    /// that only targets in emptied halls could run.
    pub(crate) fn update_emptied_halls(
        &mut self,
        now: Time,
        halls: &EmptiedHalls,
        source: HallsSource,
        actions: &mut Vec<Action>,
    ) {
        if !self.emptied_halls.update(halls) {
            return;
        }
        actions.push(Action::Log(LogEvent::Halls { halls: halls.clone(), source }));
        for (id, agent) in &mut self.agents {
            agent.hall_is_emptied = agent.is_in(halls);
            if agent.profile.is_some() && source != HallsSource::Agent(*id) {
                actions.push(Action::Send(*id, ToAgent::Halls(halls.clone())));
            }
        }
        let blocked = self.jobs.values().filter(|job| {
            let is_waiting = job.outcome.is_none() && job.is_provably_not_run();
            is_waiting && self.only_emptied_halls_fit(now, &job.request)
        });
        let refusal = |job: &Job| not_run_outcome(Reason::HallsEmptied, &job.request);
        let blocked = blocked.map(|job| (job.request.id.clone(), refusal(job)));
        let blocked: Vec<(JobId, Outcome)> = blocked.collect();
        for (id, outcome) in blocked {
            self.finish_job(now, &id, outcome, actions);
        }
    }

    /// Compares the agent's set of emptied halls with this entry's. The side with the older
    /// revision receives the newer set.
    pub(crate) fn sync_emptied_halls(
        &mut self,
        now: Time,
        id: SessionId,
        halls: &EmptiedHalls,
        actions: &mut Vec<Action>,
    ) {
        if let Some(agent) = self.agents.get_mut(&id) {
            agent.hall_is_emptied = agent.is_in(&self.emptied_halls);
        }
        if halls.revision < self.emptied_halls.revision {
            actions.push(Action::Send(id, ToAgent::Halls(self.emptied_halls.clone())));
        }
        self.update_emptied_halls(now, halls, HallsSource::Agent(id), actions);
    }

    /// Whether at least one target could run the job and every such target is in an emptied hall.
    pub(crate) fn only_emptied_halls_fit(&self, now: Time, request: &JobRequest) -> bool {
        if self.emptied_halls.halls.is_empty() || !self.agents_are_settled(now) {
            return false;
        }
        let mut capable = self.agents.values().filter(|agent| can_run(agent, request)).peekable();
        capable.peek().is_some() && capable.all(|agent| agent.hall_is_emptied)
    }
}
