//! Agents and their targets: their lives, what reaches them and what they do.

use std::sync::Arc;
use std::time::Duration;

use agent::{Agent, CallId, Reply};
use execution::TaskOutcome;
use model::TaskKey;
use rand::Rng;

use crate::checks::answer_to;
use crate::script::{Frame, Way};
use crate::world::{CLOCK_SKEW, Happening, TICK, World};

impl World {
    /// Starts an agent's next life.
    pub fn start_agent(&mut self, number: usize) {
        let ahead = self.within(CLOCK_SKEW);
        let version = self.catalogs.len() as u64;
        let fleet = Arc::new(self.catalogs[version as usize - 1].fleet().clone());
        let now = self.now;
        let agent = &mut self.agents[number];
        if agent.node.machine.is_some() {
            return;
        }
        agent.node.life += 1;
        agent.node.clock_ahead = ahead;
        agent.node.stalled_until = now;
        agent.at_target = 0;
        agent.leaving_since = None;
        let setup = agent::Setup {
            node: agent.node.reference(),
            service: "booking".to_owned(),
            hall: "h".to_owned(),
            rack: agent.rack.clone(),
            slots: agent.slots,
            started: agent.node.local(now),
        };
        agent.node.machine = Some(Agent::new(setup, version, fleet));
        self.plan_agent_tick(number);
    }

    /// Hands an event to an agent, now or once it stands still no more.
    pub fn deliver_to_agent(&mut self, number: usize, life: u64, event: agent::Event) {
        let agent = &mut self.agents[number];
        if agent.node.life != life || agent.node.machine.is_none() {
            return;
        }
        if agent.node.stalled_until > self.now {
            let until = agent.node.stalled_until;
            return self.at(until, Happening::ToAgent(number, life, event));
        }
        let local = agent.node.local(self.now);
        let Some(machine) = &mut agent.node.machine else { return };
        let mut actions = Vec::new();
        machine.handle(local, event, &mut actions);
        for action in actions {
            self.agent_acts(number, action);
        }
        self.plan_agent_tick(number);
    }

    fn plan_agent_tick(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.agents[number].node;
        let Some(machine) = &node.machine else { return };
        let due = machine.next_timer().map_or(now + TICK, |local| local - node.clock_ahead);
        let due = due.max(now + Duration::from_micros(1)).min(now + TICK);
        if node.tick_at.is_none_or(|planned| due < planned) {
            node.tick_at = Some(due);
            self.at(due, Happening::AgentTick(number));
        }
    }

    fn agent_acts(&mut self, number: usize, action: agent::Action) {
        self.trace("agent", number, &action);
        match action {
            agent::Action::Reply { call, reply } => self.agent_replies(call, reply),
            agent::Action::Run { key, task, .. } => self.target_takes(number, key, &task),
            agent::Action::Log(agent::LogEvent::Breach(breach)) => {
                self.checks.violation(self.now, format!("breach at an agent: {breach}"));
            }
            agent::Action::Log(_) => {}
        }
    }

    fn agent_replies(&mut self, call: CallId, reply: Reply) {
        let Some(link) = self.network.owner(call) else { return };
        let frame = match reply {
            Reply::Claim(_) => Some(Frame::Claim),
            Reply::Start(_) => Some(Frame::Start),
            Reply::Settle(_) => Some(Frame::Settle),
            _ => None,
        };
        let (entry, agent) = (self.network.link(link).entry, self.network.link(link).agent);
        if self.is_lost(frame, Way::ToEntry, entry, agent) {
            return;
        }
        let arrival = self.network.arrival(link, false, &self.behaviour, &mut self.rng, self.now);
        if self.rng.random_bool(self.behaviour.doubled) {
            let later = arrival + self.within(Duration::from_secs(2));
            self.at(later, Happening::Reply { link, call, reply: reply.clone() });
        }
        self.at(arrival, Happening::Reply { link, call, reply });
    }

    /// A target gets a task.
    fn target_takes(&mut self, number: usize, key: TaskKey, task: &str) {
        let (now, life) = (self.now, self.agents[number].node.life);
        let agent = &mut self.agents[number];
        agent.at_target += 1;
        if agent.at_target > agent.slots {
            self.checks.violation(now, format!("target {number} has more tasks than slots"));
        }
        if self.agents[number].leaving_since.is_some_and(|since| since < now) {
            self.checks.violation(now, format!("leaving target {number} got new work"));
        }
        if self.agents[number].target_down_until > now {
            let outcome = TaskOutcome::NeverSent("refused".to_owned());
            let wait = Duration::from_millis(1);
            return self.after(wait, Happening::TargetEnds(number, life, key, outcome));
        }
        self.checks.started(now, key.submission, key.index);
        if let Some(time) = self.replay.as_ref().map(|replay| replay.task_time) {
            let outcome = TaskOutcome::Answer(answer_to(task).into());
            return self.after(time, Happening::TargetEnds(number, life, key, outcome));
        }
        let outcome = match self.rng.random_range(0..200) {
            0 => TaskOutcome::Failed("status 500".to_owned()),
            1 => TaskOutcome::Lost("broke off".to_owned()),
            _ => TaskOutcome::Answer(answer_to(task).into()),
        };
        let straggles = self.rng.random_bool(0.01);
        let longest = if straggles { 5_000 } else { 500 };
        let time = Duration::from_millis(self.rng.random_range(20..longest));
        self.after(time, Happening::TargetEnds(number, life, key, outcome));
    }

    pub fn target_ends(&mut self, number: usize, life: u64, key: TaskKey, outcome: TaskOutcome) {
        if self.agents[number].node.life == life {
            self.agents[number].at_target -= 1;
        }
        self.deliver_to_agent(number, life, agent::Event::Ended { key, outcome });
    }
}
