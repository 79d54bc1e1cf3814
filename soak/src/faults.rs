//! Random faults of entries, agents, targets and connections.

use std::time::Duration;

use entry::Event;
use rand::Rng;
use settings::Edit;

use crate::nodes::Caller;
use crate::simulation::{SimEvent, Simulation};

/// Longest stall of a process.
const MAX_STALL: Duration = Duration::from_secs(3);
/// Longest downtime of a process.
const MAX_DOWNTIME: Duration = Duration::from_secs(6);
/// Longest delay of the platform's list of leaving hosts.
const MAX_LIST_LAG: Duration = Duration::from_secs(4);

impl Simulation {
    /// Injects one or two faults and schedules the next ones.
    pub fn inject_faults(&mut self) {
        if self.now >= self.calm_start {
            return;
        }
        let wait = self.random_duration(Duration::from_millis(1_500));
        self.schedule_after(wait, SimEvent::Fault);
        let count = if self.rng.random_bool(0.25) { 2 } else { 1 };
        for _ in 0..count {
            self.checks.summary.faults += 1;
            self.inject_fault();
        }
    }

    fn inject_fault(&mut self) {
        let entry = self.rng.random_range(0..self.entries.len());
        let agent = self.rng.random_range(0..self.agents.len());
        match self.rng.random_range(0..12) {
            0 => self.kill_entry(entry),
            1 | 2 => self.kill_agent(agent),
            3 => self.stall_entry(entry),
            4 => self.stall_agent(agent),
            5 | 6 => self.break_connection(entry, agent),
            7 => self.disconnect_agent(agent),
            8 => self.drain_agent(agent),
            9 => self.make_target_unreachable(agent),
            10 => self.change_claim_view(),
            _ => self.kill_rack(agent),
        }
    }

    pub fn kill_entry(&mut self, number: usize) {
        if self.entries[number].node.machine.take().is_none() {
            return;
        }
        let callers = std::mem::take(&mut self.entries[number].callers);
        let mut pending: Vec<_> = callers.into_iter().collect();
        pending.sort_by_key(|(call_id, _)| *call_id);
        for (_, caller) in pending {
            match caller {
                Caller::Client { id, .. } => self.checks.request_lost(id),
                Caller::Peer { entry, incarnation, call, id } => {
                    let wait = self.random_duration(Duration::from_millis(50));
                    self.schedule_after(
                        wait,
                        SimEvent::PeerReply(entry, incarnation, call, id, None),
                    );
                }
            }
        }
        for link in self.network.open_links(|link| link.entry == number) {
            self.break_link(link);
        }
        let wait = self.random_duration(MAX_DOWNTIME);
        self.schedule_after(wait, SimEvent::StartEntry(number));
    }

    pub fn kill_agent(&mut self, number: usize) {
        if self.agents[number].node.machine.take().is_none() {
            return;
        }
        for link in self.network.open_links(|link| link.agent == number) {
            self.break_link(link);
        }
        let wait = self.random_duration(MAX_DOWNTIME);
        self.schedule_after(wait, SimEvent::StartAgent(number));
    }

    fn kill_rack(&mut self, agent: usize) {
        let rack = self.agents[agent].rack.clone();
        for number in 0..self.agents.len() {
            if self.agents[number].rack == rack {
                self.kill_agent(number);
            }
        }
    }

    fn stall_entry(&mut self, number: usize) {
        let stall = self.random_duration(MAX_STALL);
        self.entries[number].node.stalled_until = self.now + stall;
    }

    fn stall_agent(&mut self, number: usize) {
        let stall = self.random_duration(MAX_STALL);
        self.agents[number].node.stalled_until = self.now + stall;
    }

    pub fn break_connection(&mut self, entry: usize, agent: usize) {
        if let Some(link) = self.network.open_link(entry, agent) {
            self.break_link(link);
        }
    }

    fn disconnect_agent(&mut self, number: usize) {
        for link in self.network.open_links(|link| link.agent == number) {
            self.break_link(link);
        }
    }

    /// Drains a target: its agent is notified at once, the entries with the delay of the platform's
    /// list. The agent restarts later.
    fn drain_agent(&mut self, number: usize) {
        if self.agents[number].node.machine.is_none() {
            return;
        }
        let (incarnation, now) = (self.agents[number].node.incarnation, self.now);
        if self.agents[number].node.stalled_until <= now {
            self.agents[number].leaving_since.get_or_insert(now);
        }
        self.deliver_to_agent(number, incarnation, agent::Event::Leave);
        for entry in 0..self.entries.len() {
            let wait = self.random_duration(MAX_LIST_LAG);
            self.schedule_after(wait, SimEvent::HostListedLeaving(entry, number, incarnation));
        }
        let wait = Duration::from_secs(1) + self.random_duration(MAX_DOWNTIME);
        self.schedule_after(wait, SimEvent::AgentExit(number, incarnation));
    }

    /// Stops a draining agent once its target runs nothing; it restarts later.
    pub fn finish_draining(&mut self, number: usize, incarnation: u64) {
        let agent = &self.agents[number];
        if agent.node.incarnation != incarnation {
            return;
        }
        if agent.running_tasks > 0 {
            let wait = Duration::from_millis(200);
            return self.schedule_after(wait, SimEvent::AgentExit(number, incarnation));
        }
        self.kill_agent(number);
    }

    /// Notifies an entry that the platform lists an agent's host as leaving.
    pub fn list_agent_leaving(&mut self, entry: usize, agent: usize, incarnation: u64) {
        if self.agents[agent].node.incarnation != incarnation {
            return;
        }
        let name = self.agents[agent].node.name.clone();
        let entry_incarnation = self.entries[entry].node.incarnation;
        self.deliver_to_entry(entry, entry_incarnation, Event::AgentLeaving { agent: name });
    }

    fn make_target_unreachable(&mut self, number: usize) {
        let time = self.random_duration(Duration::from_secs(3));
        self.agents[number].target_down_until = self.now + time;
    }

    /// Removes one member from the claim view. As when a keeper changes the view, the previous view
    /// has to agree as well, for longer than the retention of claims.
    fn change_claim_view(&mut self) {
        let (section, members) = self.claim_view();
        if self.catalogs.len() > 1 || members.len() < 4 {
            return;
        }
        let mut next = members.clone();
        next.remove(self.rng.random_range(0..members.len()));
        let set = |key: &str, value: String| Edit::Set {
            section: section.clone(),
            key: key.to_owned(),
            value,
        };
        let until = self.now + Duration::from_secs(15 + 5);
        self.change_settings(vec![
            set("claim_view", next.join(" ")),
            set("previous_claim_view", members.join(" ")),
            set("previous_claim_view_until_ms", (until.as_micros() / 1_000).to_string()),
        ]);
    }
}
