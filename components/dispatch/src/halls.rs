//! Data halls that operators have emptied: no task is placed there.
//!
//! Agents in such a hall refuse starts themselves. An entry that knows of the hall avoids those
//! refusals, and forwards the set to agents that may be cut off from all keepers.

use model::{JobId, Time};
use wire::{EmptiedHalls, ToAgent};

use crate::admission::not_run;
use crate::dispatcher::Dispatcher;
use crate::event::{Action, HallsSource, JobRequest, LogEvent, Outcome, Reason, SessionId};
use crate::feasibility::could_run;
use crate::job::Job;

impl Dispatcher {
    /// Applies a newer set of emptied halls, forwards it to the agents and refuses the waiting jobs
    /// that only targets in emptied halls could run.
    pub(crate) fn take_halls(
        &mut self,
        now: Time,
        halls: &EmptiedHalls,
        source: HallsSource,
        out: &mut Vec<Action>,
    ) {
        if !self.halls.update(halls) {
            return;
        }
        out.push(Action::Log(LogEvent::Halls { halls: halls.clone(), source }));
        for (id, agent) in &mut self.agents {
            agent.hall_is_emptied = agent.stands_in(halls);
            if agent.profile.is_some() && source != HallsSource::Agent(*id) {
                out.push(Action::Send(*id, ToAgent::Halls(halls.clone())));
            }
        }
        let stranded = self.jobs.values().filter(|job| {
            let waits = job.outcome.is_none() && job.is_untouched();
            waits && self.only_emptied_could_run(now, &job.request)
        });
        let refusal = |job: &Job| not_run(Reason::HallsEmptied, &job.request);
        let stranded = stranded.map(|job| (job.request.id.clone(), refusal(job)));
        let stranded: Vec<(JobId, Outcome)> = stranded.collect();
        for (id, outcome) in stranded {
            self.finish(now, &id, outcome, out);
        }
    }

    /// Compares the agent's set of emptied halls with this entry's. The side with the older
    /// revision receives the newer set.
    pub(crate) fn compare_halls(
        &mut self,
        now: Time,
        id: SessionId,
        halls: &EmptiedHalls,
        out: &mut Vec<Action>,
    ) {
        if let Some(agent) = self.agents.get_mut(&id) {
            agent.hall_is_emptied = agent.stands_in(&self.halls);
        }
        if halls.revision < self.halls.revision {
            out.push(Action::Send(id, ToAgent::Halls(self.halls.clone())));
        }
        self.take_halls(now, halls, HallsSource::Agent(id), out);
    }

    /// Whether at least one target could run the job and every such target is in an emptied hall.
    pub(crate) fn only_emptied_could_run(&self, now: Time, request: &JobRequest) -> bool {
        if self.halls.halls.is_empty() || !self.is_settled(now) {
            return false;
        }
        let mut able = self.agents.values().filter(|agent| could_run(agent, request)).peekable();
        able.peek().is_some() && able.all(|agent| agent.hall_is_emptied)
    }
}
