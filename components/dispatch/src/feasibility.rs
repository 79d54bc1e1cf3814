//! Checks whether any known target could run a job.

use std::time::Duration;

use model::Time;

use crate::agents::Agent;
use crate::dispatcher::Dispatcher;
use crate::event::JobRequest;

/// Time without an agent joining or leaving after which the known agents are taken to be complete.
/// Longer than agents take to reconnect after they or this entry restart.
const SETTLE_TIME: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Whether the set of known agents is taken to be complete.
    pub(crate) fn agents_are_settled(&self, now: Time) -> bool {
        now.since(self.agents_changed) >= SETTLE_TIME
    }

    /// Whether no target can run the job however long it waits: each is of another service, lacks
    /// the required label or is too small for one task.
    pub(crate) fn is_unservable(&self, now: Time, request: &JobRequest) -> bool {
        self.agents_are_settled(now) && !self.agents.values().any(|agent| can_run(agent, request))
    }
}

/// Whether an agent's target could run the job when idle. An agent that has not sent its profile
/// counts as capable.
pub(crate) fn can_run(agent: &Agent, request: &JobRequest) -> bool {
    let Some(profile) = &agent.profile else { return true };
    let shape = &request.shape;
    profile.service == request.service
        && shape.resources.fits(&profile.capacity)
        && shape.requirement.as_ref().is_none_or(|label| agent.has_label(label))
}
