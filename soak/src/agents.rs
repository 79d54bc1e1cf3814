//! Starts of agents, delivery of their events, and execution of their actions.

use std::sync::Arc;
use std::time::Duration;

use agent::{Agent, CallId, Reply};
use execution::TaskOutcome;
use model::TaskKey;
use rand::Rng;

use crate::checks::expected_answer;
use crate::script::{Direction, Frame};
use crate::simulation::{CLOCK_SKEW, SimEvent, Simulation, TICK};

impl Simulation {
    /// Starts an agent with a new incarnation.
    pub fn start_agent(&mut self, number: usize) {
        let ahead = self.random_duration(CLOCK_SKEW);
        let version = self.catalogs.len() as u64;
        let fleet = Arc::new(self.catalogs[version as usize - 1].fleet().clone());
        let now = self.now;
        let agent = &mut self.agents[number];
        if agent.node.machine.is_some() {
            return;
        }
        agent.node.incarnation += 1;
        agent.node.clock_ahead = ahead;
        agent.node.stalled_until = now;
        agent.running_tasks = 0;
        agent.leaving_since = None;
        let setup = agent::Setup {
            node: agent.node.reference(),
            service: "booking".to_owned(),
            hall: "h".to_owned(),
            rack: agent.rack.clone(),
            slots: agent.slots,
            started: agent.node.local_time(now),
        };
        agent.node.machine = Some(Agent::new(setup, version, fleet));
        self.schedule_agent_tick(number);
    }

    /// Delivers an event to an agent, or schedules it for the end of a stall.
    pub fn deliver_to_agent(&mut self, number: usize, incarnation: u64, event: agent::Event) {
        let agent = &mut self.agents[number];
        if agent.node.incarnation != incarnation || agent.node.machine.is_none() {
            return;
        }
        if agent.node.stalled_until > self.now {
            let until = agent.node.stalled_until;
            return self.schedule_at(until, SimEvent::ToAgent(number, incarnation, event));
        }
        let local_time = agent.node.local_time(self.now);
        let Some(machine) = &mut agent.node.machine else { return };
        let mut actions = Vec::new();
        machine.handle(local_time, event, &mut actions);
        for action in actions {
            self.apply_agent_action(number, action);
        }
        self.schedule_agent_tick(number);
    }

    fn schedule_agent_tick(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.agents[number].node;
        let Some(machine) = &node.machine else { return };
        let due =
            machine.next_timer().map_or(now + TICK, |local_time| local_time - node.clock_ahead);
        let due = due.max(now + Duration::from_micros(1)).min(now + TICK);
        if node.tick_at.is_none_or(|scheduled_at| due < scheduled_at) {
            node.tick_at = Some(due);
            self.schedule_at(due, SimEvent::AgentTick(number));
        }
    }

    fn apply_agent_action(&mut self, number: usize, action: agent::Action) {
        self.trace_event("agent", number, &action);
        match action {
            agent::Action::Reply { call, reply } => self.send_reply(call, reply),
            agent::Action::Run { key, task, .. } => self.run_task(number, key, &task),
            agent::Action::Log(agent::LogEvent::Breach(breach)) => {
                self.checks.violation(
                    self.now,
                    format!("agent {number} reports an invariant violation: {breach}"),
                );
            }
            agent::Action::Log(_) => {}
        }
    }

    fn send_reply(&mut self, call: CallId, reply: Reply) {
        let Some(link) = self.network.link_of_call(call) else { return };
        let frame = match reply {
            Reply::Claim(_) => Some(Frame::Claim),
            Reply::Start(_) => Some(Frame::Start),
            Reply::Settle(_) => Some(Frame::Settle),
            _ => None,
        };
        let (entry, agent) = (self.network.link(link).entry, self.network.link(link).agent);
        if self.drops_frame(frame, Direction::ToEntry, entry, agent) {
            return;
        }
        let arrival_time =
            self.network.arrival_time(link, false, &self.conditions, &mut self.rng, self.now);
        if self.rng.random_bool(self.conditions.duplicate_rate) {
            let later = arrival_time + self.random_duration(Duration::from_secs(2));
            self.schedule_at(later, SimEvent::Reply { link, call, reply: reply.clone() });
        }
        self.schedule_at(arrival_time, SimEvent::Reply { link, call, reply });
    }

    /// Checks and runs a task at the target of an agent.
    fn run_task(&mut self, number: usize, key: TaskKey, task: &str) {
        let (now, incarnation) = (self.now, self.agents[number].node.incarnation);
        let agent = &mut self.agents[number];
        agent.running_tasks += 1;
        if agent.running_tasks > agent.slots {
            self.checks
                .violation(now, format!("target {number} runs more tasks than it has slots"));
        }
        if self.agents[number].leaving_since.is_some_and(|since| since < now) {
            self.checks.violation(now, format!("target {number} received a task while it drains"));
        }
        if self.agents[number].target_down_until > now {
            let outcome = TaskOutcome::NeverSent("refused".to_owned());
            let wait = Duration::from_millis(1);
            return self
                .schedule_after(wait, SimEvent::TaskEnds(number, incarnation, key, outcome));
        }
        self.checks.task_started(now, key.submission, key.index);
        if let Some(time) = self.replay.as_ref().map(|replay| replay.task_time) {
            let outcome = TaskOutcome::Answer(expected_answer(task).into());
            return self
                .schedule_after(time, SimEvent::TaskEnds(number, incarnation, key, outcome));
        }
        let outcome = match self.rng.random_range(0..200) {
            0 => TaskOutcome::Failed("status 500".to_owned()),
            1 => TaskOutcome::Lost("connection lost".to_owned()),
            _ => TaskOutcome::Answer(expected_answer(task).into()),
        };
        let straggles = self.rng.random_bool(0.01);
        let longest = if straggles { 5_000 } else { 500 };
        let time = Duration::from_millis(self.rng.random_range(20..longest));
        self.schedule_after(time, SimEvent::TaskEnds(number, incarnation, key, outcome));
    }

    pub fn task_ended(
        &mut self,
        number: usize,
        incarnation: u64,
        key: TaskKey,
        outcome: TaskOutcome,
    ) {
        if self.agents[number].node.incarnation == incarnation {
            self.agents[number].running_tasks -= 1;
        }
        self.deliver_to_agent(number, incarnation, agent::Event::Ended { key, outcome });
    }
}
