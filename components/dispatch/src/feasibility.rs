//! Whether any target could ever run a job.

use std::time::Duration;

use model::Time;

use crate::agents::Agent;
use crate::dispatcher::Dispatcher;
use crate::event::JobRequest;

/// For so long no agent has come or gone: those that are known are taken for all there are. An agent
/// that restarts is back within a second, an entry that starts knows its agents within half of one.
const SETTLED: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Whether the agents that are known are all there are.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        now.since(self.agents_changed) >= SETTLED
    }

    /// Whether it is known that no target can run a job, however long it waits: none of its service is
    /// there, or each lacks a label that its tasks need, or is smaller than one of its tasks.
    pub(crate) fn is_unservable(&self, now: Time, request: &JobRequest) -> bool {
        self.is_settled(now) && !self.agents.values().any(|agent| could_run(agent, request))
    }
}

/// Whether an agent's target could run a job; whoever has not said what it is may.
pub(crate) fn could_run(agent: &Agent, request: &JobRequest) -> bool {
    let Some(profile) = &agent.profile else { return true };
    let shape = &request.shape;
    profile.service == request.service
        && shape.resources.fits(&profile.capacity)
        && shape.requirement.as_ref().is_none_or(|label| agent.has_label(label))
}
