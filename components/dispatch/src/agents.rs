//! Connected agents and the free capacity of their targets, as this entry knows it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use model::{NodeName, Resources, Time};
use wire::{AgentProfile, EmptiedHalls, Load, ToAgent};

use crate::demand::WaitingSummary;
use crate::dispatcher::Dispatcher;
use crate::event::{Action, LogEvent, SessionId};
use crate::timing::Timing;

/// Minimum interval between scans of all agents for timeouts and due heartbeats. A scan on every
/// event would cost time quadratic in the number of agents, as each agent reports about ten loads a
/// second.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A connected agent and the last load that it reported.
#[derive(Debug)]
pub(crate) struct Agent {
    /// `None` until the agent has sent its profile.
    pub profile: Option<AgentProfile>,
    pub load: Load,
    pub last_contact: Time,
    last_heartbeat: Time,
    /// Whether the agent has announced that it reads reports of waiting work.
    pub reads_demand: bool,
    /// When the agent was last sent such a report.
    last_demand: Time,
    /// Whether the last report said that work waits.
    reported_waiting: bool,
    next_sequence: u64,
    /// Sequence number and resources of the starts that the last reported load does not include
    /// yet.
    unacknowledged: VecDeque<(u64, Resources)>,
    /// Tasks of this entry placed at this agent.
    pub placed_tasks: usize,
    /// Whether the target is in a hall that operators have emptied.
    pub hall_is_emptied: bool,
}

impl Agent {
    pub fn new(now: Time) -> Self {
        Self {
            profile: None,
            load: Load::default(),
            last_contact: now,
            last_heartbeat: Time::default(),
            reads_demand: false,
            last_demand: Time::default(),
            reported_waiting: false,
            next_sequence: 1,
            unacknowledged: VecDeque::new(),
            placed_tasks: 0,
            hall_is_emptied: false,
        }
    }

    pub fn name(&self) -> Option<&NodeName> {
        self.profile.as_ref().map(|profile| &profile.node)
    }

    /// Estimates the free capacity of the target: the last reported load, less this entry's starts
    /// since then and the expected starts of other entries.
    pub fn free(&self, now: Time) -> Resources {
        let age_ms = now.since(self.last_contact).as_secs_f64() * 1e3;
        let taken_by_others = (age_ms * f64::from(self.load.taken_per_ms)) as u64;
        let mut free = self
            .load
            .free
            .saturating_sub(&Resources { cpu_milli: taken_by_others, ..Resources::default() });
        self.unacknowledged.iter().for_each(|(_, taken)| free -= *taken);
        free
    }

    /// Records a start that is about to be sent and returns its sequence number.
    pub fn record_start(&mut self, resources: Resources) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.unacknowledged.push_back((sequence, resources));
        self.placed_tasks += 1;
        sequence
    }

    pub fn update_load(&mut self, now: Time, load: Load) {
        self.last_contact = now;
        self.load = load;
        while self
            .unacknowledged
            .front()
            .is_some_and(|(sequence, _)| *sequence <= load.last_start_sequence)
        {
            self.unacknowledged.pop_front();
        }
    }

    fn heartbeat_interval(&self, timing: &Timing) -> Duration {
        if self.placed_tasks > 0 {
            timing.heartbeat_interval
        } else {
            timing.idle_heartbeat_interval
        }
    }

    /// Returns the heartbeat for this agent if it is due. In place of heartbeats, an agent that
    /// reads them is sent reports of the waiting work. No report is sent early when work begins to
    /// wait: that takes 4 of 100 more messages per job at usual load, where jobs wait for moments,
    /// and does not improve the shares of entries in simulated bursts.
    fn due_heartbeat(
        &mut self,
        now: Time,
        timing: &Timing,
        summary: &WaitingSummary,
    ) -> Option<ToAgent> {
        let since_heartbeat = now.since(self.last_heartbeat);
        let is_due = since_heartbeat >= self.heartbeat_interval(timing);
        let agent_clock = self.load.at;
        if !self.reads_demand {
            self.last_heartbeat = if is_due { now } else { self.last_heartbeat };
            return is_due.then_some(ToAgent::Heartbeat { agent_clock });
        }
        let waits = summary.concerns(self);
        // Starts take the place of heartbeats but don't renew the report.
        let is_outdated = (self.reported_waiting || waits)
            && now.since(self.last_demand) >= timing.idle_heartbeat_interval;
        if !is_due && !is_outdated {
            return None;
        }
        let waiting = summary.for_agent(now, self);
        self.last_heartbeat = now;
        self.last_demand = now;
        self.reported_waiting = waits;
        Some(ToAgent::Demand { agent_clock, waiting })
    }

    /// Whether the agent accepts new work and its last load is recent enough to be trusted.
    pub fn takes_work(&self, now: Time, max_load_age: Duration) -> bool {
        self.load.open && !self.hall_is_emptied && now.since(self.last_contact) < max_load_age
    }

    /// Whether the agent belongs to a service and accepts new work.
    pub fn serves(&self, service: &str, now: Time, max_load_age: Duration) -> bool {
        self.takes_work(now, max_load_age)
            && self.profile.as_ref().is_some_and(|profile| *profile.service == *service)
    }

    /// Whether the agent's target is in one of these halls.
    pub fn is_in(&self, halls: &EmptiedHalls) -> bool {
        self.profile.as_ref().is_some_and(|profile| halls.contains(&profile.hall))
    }

    pub fn has_label(&self, label: &Arc<str>) -> bool {
        self.profile.as_ref().is_some_and(|profile| profile.labels.contains(label))
    }

    pub fn capacity(&self) -> Resources {
        self.profile.as_ref().map(|profile| profile.capacity).unwrap_or_default()
    }
}

impl Dispatcher {
    pub(crate) fn add_agent(&mut self, now: Time, id: SessionId) {
        self.agents.insert(id, Agent::new(now));
    }

    pub(crate) fn register_agent(
        &mut self,
        id: SessionId,
        profile: AgentProfile,
        actions: &mut Vec<Action>,
    ) {
        // The agent may have reconnected before its old session was closed.
        let duplicate = |(other, agent): (&SessionId, &Agent)| {
            (*other != id && agent.name() == Some(&profile.node)).then_some(*other)
        };
        let duplicates: Vec<SessionId> = self.agents.iter().filter_map(duplicate).collect();
        if duplicates.iter().any(|other| *other > id) {
            // An agent reconnects only after it has closed its previous connection, so this profile
            // was delayed on the older one.
            return self.remove_agent(id, "connected again", actions);
        }
        for duplicate in duplicates {
            self.remove_agent(duplicate, "connected again", actions);
        }
        let Some(agent) = self.agents.get_mut(&id) else { return };
        actions.push(Action::Log(LogEvent::AgentKnown {
            agent: profile.node.clone(),
            service: profile.service.clone(),
            capacity: profile.capacity,
        }));
        agent.profile = Some(profile);
        self.agents_changed = self.now();
    }

    pub(crate) fn update_agent_load(
        &mut self,
        now: Time,
        id: SessionId,
        load: Load,
        actions: &mut Vec<Action>,
    ) {
        let Some(agent) = self.agents.get_mut(&id) else { return };
        let was_open = agent.load.open;
        agent.update_load(now, load);
        if was_open != load.open
            && let Some(name) = agent.name()
        {
            actions.push(Action::Log(LogEvent::AgentOpen { agent: name.clone(), open: load.open }));
        }
    }

    /// Sends the heartbeats that are due and removes agents that have timed out.
    pub(crate) fn check_agents(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.agents_checked) < CHECK_INTERVAL {
            return;
        }
        self.agents_checked = now;
        self.update_waiting_summary(now);
        let mut silent = Vec::new();
        for (id, agent) in &mut self.agents {
            if now.since(agent.last_contact) > self.timing.session_timeout {
                silent.push(*id);
            } else if let Some(message) =
                agent.due_heartbeat(now, &self.timing, &self.waiting_summary)
            {
                actions.push(Action::Send(*id, message));
            }
        }
        silent.into_iter().for_each(|id| self.remove_agent(id, "silent", actions));
    }

    /// Records that a message was just sent which the agent counts as a heartbeat.
    pub(crate) fn record_heartbeat_sent(&mut self, now: Time, id: SessionId) {
        if let Some(agent) = self.agents.get_mut(&id) {
            agent.last_heartbeat = now;
        }
    }
}
