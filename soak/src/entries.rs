//! Entries: their lives, what reaches them and what they do.

use std::time::Duration;

use agent::{CallId, Reply, Request};
use entry::{Connection, Entry, Event, OwnerCall};
use model::{NodeRef, SubmissionId};
use rand::Rng;
use wire::{HelloRequest, RelayReply, RelayRequest};

use crate::network::{Called, called, event, session};
use crate::nodes::Caller;
use crate::script::{Frame, Way};
use crate::world::{CLOCK_SKEW, Happening, TICK, World};

/// Longest time that a call to a dead entry takes to fail.
const PEER_FAILURE: Duration = Duration::from_millis(200);

impl World {
    /// Starts an entry's next life.
    pub fn start_entry(&mut self, number: usize) {
        let ahead = self.within(CLOCK_SKEW);
        let version = self.catalogs.len() as u64;
        let entry = &mut self.entries[number];
        if entry.node.machine.is_some() {
            return;
        }
        entry.node.life += 1;
        entry.node.clock_ahead = ahead;
        entry.node.stalled_until = self.now;
        let setup = entry::Setup { node: entry.node.reference(), hall: "h".to_owned() };
        entry.node.machine = Some(Entry::new(setup));
        entry.settings = version;
        let life = entry.node.life;
        let catalog = self.catalogs[version as usize - 1].clone();
        self.deliver_to_entry(number, life, Event::Settings { catalog });
        let count = self.entries.len() as u32;
        self.deliver_to_entry(number, life, Event::EntryCount { count });
        for agent in 0..self.agents.len() {
            let wait = self.within(Duration::from_millis(20));
            self.after(wait, Happening::Dial(number, agent));
        }
    }

    /// Hands an event to an entry, now or once it stands still no more.
    pub fn deliver_to_entry(&mut self, number: usize, life: u64, event: Event) {
        let entry = &mut self.entries[number];
        if entry.node.life != life || entry.node.machine.is_none() {
            return;
        }
        if entry.node.stalled_until > self.now {
            let until = entry.node.stalled_until;
            return self.at(until, Happening::ToEntry(number, life, event));
        }
        let local = entry.node.local(self.now);
        let Some(machine) = &mut entry.node.machine else { return };
        let mut actions = Vec::new();
        machine.handle(local, event, &mut actions);
        for action in actions {
            self.entry_acts(number, action);
        }
        self.plan_entry_tick(number);
    }

    fn plan_entry_tick(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.entries[number].node;
        let Some(machine) = &node.machine else { return };
        let due = machine.next_timer().map_or(now + TICK, |local| local - node.clock_ahead);
        let due = due.max(now + Duration::from_micros(1)).min(now + TICK);
        if node.tick_at.is_none_or(|planned| due < planned) {
            node.tick_at = Some(due);
            self.at(due, Happening::EntryTick(number));
        }
    }

    fn entry_acts(&mut self, number: usize, action: entry::Action) {
        use entry::Action;
        self.trace("entry", number, &action);
        match action {
            Action::Respond { call, reply } => self.respond(number, call, reply),
            Action::Claim { holder, request } => {
                self.call_by_name(number, &holder, Request::Claim(request));
            }
            Action::Lookup { holder, submission } => {
                self.call_by_name(number, &holder, Request::Lookup(submission));
            }
            Action::Settle { agent, request } => {
                self.call_by_name(number, &agent, Request::Settle(request));
            }
            Action::Start { agent, connection, request } => {
                self.call_on(number, &agent, connection, Request::Start(request));
            }
            Action::Sync { agent, connection, request } => {
                self.call_on(number, &agent, connection, Request::Sync(request));
            }
            Action::Relay { call, owner, request } => self.relay(number, call, &owner, request),
            Action::Fetch { call, owner, submission } => {
                self.fetch_at(number, call, &owner, submission);
            }
            Action::Log(entry::LogEvent::Breach(breach)) => {
                self.checks.violation(self.now, format!("breach at an entry: {breach}"));
            }
            Action::LogDecision(_) | Action::Log(_) => {}
        }
    }

    fn agent_number(&self, name: &model::NodeName) -> usize {
        let number = self.agents.iter().position(|agent| agent.node.name == *name);
        number.expect("entries know only agents of the run")
    }

    fn call_by_name(&mut self, entry: usize, agent: &model::NodeName, request: Request) {
        let agent = self.agent_number(agent);
        match self.network.between(entry, agent) {
            Some(link) => self.call(link, request),
            None => self.call_fails(entry, agent, 0, called(&request)),
        }
    }

    fn call_on(
        &mut self,
        entry: usize,
        agent: &model::NodeName,
        connection: Connection,
        request: Request,
    ) {
        let agent = self.agent_number(agent);
        if self.network.link(connection.0).open {
            self.call(connection.0, request);
        } else {
            self.call_fails(entry, agent, connection.0, called(&request));
        }
    }

    /// Sends a call; now and then twice.
    fn call(&mut self, link: u64, request: Request) {
        let call = self.network.call(link, called(&request));
        let frame = match request {
            Request::Claim(_) => Some(Frame::Claim),
            Request::Start(_) => Some(Frame::Start),
            Request::Settle(_) => Some(Frame::Settle),
            _ => None,
        };
        let ends = (self.network.link(link).entry, self.network.link(link).agent);
        if self.is_lost(frame, Way::ToAgent, ends.0, ends.1) {
            return;
        }
        let (agent, life) = {
            let link = self.network.link(link);
            (link.agent, link.agent_life)
        };
        let to_agent = |request| {
            let session = session(link);
            agent::Event::Call { session, call, request }
        };
        let arrival = self.network.arrival(link, true, &self.behaviour, &mut self.rng, self.now);
        if self.rng.random_bool(self.behaviour.doubled) {
            let later = arrival + self.within(Duration::from_secs(2));
            let copy = to_agent(request.clone());
            self.at(later, Happening::ToAgent(agent, life, copy));
        }
        self.at(arrival, Happening::ToAgent(agent, life, to_agent(request)));
    }

    fn call_fails(&mut self, entry: usize, agent: usize, link: u64, call: Called) {
        let life = self.entries[entry].node.life;
        let name = self.agents[agent].node.name.clone();
        if let Some(event) = event(&name, link, call, None) {
            self.after(Duration::from_micros(100), Happening::ToEntry(entry, life, event));
        }
    }

    pub fn reply_arrives(&mut self, link: u64, call: CallId, reply: Reply) {
        let Some(called) = self.network.answered(link, call) else { return };
        let (entry, life, agent) = {
            let link = self.network.link(link);
            (link.entry, link.entry_life, link.agent)
        };
        let name = self.agents[agent].node.name.clone();
        if let Some(event) = event(&name, link, called, Some(reply)) {
            self.deliver_to_entry(entry, life, event);
        }
    }

    /// An entry connects to an agent, or finds its process dead.
    pub fn dial(&mut self, entry: usize, agent: usize) {
        let node = &self.entries[entry].node;
        if node.machine.is_none() || self.network.between(entry, agent).is_some() {
            return;
        }
        let (life, reference) = (node.life, node.reference());
        if self.agents[agent].node.machine.is_none() {
            let agent_name = self.agents[agent].node.name.clone();
            self.deliver_to_entry(entry, life, Event::AgentDead { agent: agent_name });
            let wait = Duration::from_millis(200);
            return self.after(wait, Happening::Dial(entry, agent));
        }
        let agent_life = self.agents[agent].node.life;
        let link = self.network.open((entry, life), (agent, agent_life), self.now);
        self.call(link, Request::Hello(HelloRequest { entry: reference }));
    }

    /// A connection breaks: calls on it fail, and each side learns of it.
    pub fn break_link(&mut self, id: u64) {
        let link = self.network.link(id).clone();
        let agent_name = self.agents[link.agent].node.name.clone();
        for call in self.network.close(id) {
            if let Some(event) = event(&agent_name, id, call, None) {
                let wait = self.within(Duration::from_millis(5));
                self.after(wait, Happening::ToEntry(link.entry, link.entry_life, event));
            }
        }
        let down = Event::Disconnected { agent: agent_name, connection: Connection(id) };
        let wait = self.within(Duration::from_millis(5));
        self.after(wait, Happening::ToEntry(link.entry, link.entry_life, down));
        // Frames on their way may reach the agent before it learns of the break, or not at all.
        let late = self.rng.random_bool(self.behaviour.late_after_break);
        let learns = if late { Duration::from_secs(3) } else { Duration::ZERO };
        let wait = self.within(learns);
        let closed = agent::Event::Closed { session: session(id) };
        self.after(wait, Happening::ToAgent(link.agent, link.agent_life, closed));
        let wait = Duration::from_millis(50) + self.within(Duration::from_millis(300));
        self.after(wait, Happening::Dial(link.entry, link.agent));
    }

    /// Submits or asks at an entry.
    pub fn ask(&mut self, entry: usize, caller: Caller, ask: impl FnOnce(entry::CallId) -> Event) {
        self.next_ticket += 1;
        let call = entry::CallId(self.next_ticket);
        let node = &mut self.entries[entry];
        let life = node.node.life;
        node.callers.insert(call, caller);
        let wait = self.within(self.behaviour.delay);
        self.after(wait, Happening::ToEntry(entry, life, ask(call)));
    }

    fn respond(&mut self, entry: usize, call: entry::CallId, reply: RelayReply) {
        match self.entries[entry].callers.remove(&call) {
            Some(Caller::Client { id, asked, deadline }) => {
                self.client_answered(id, asked, deadline, &reply);
            }
            Some(Caller::Peer { entry, life, call, id }) => {
                let wait = self.within(self.behaviour.delay);
                self.after(wait, Happening::PeerReply(entry, life, call, id, Some(reply)));
            }
            None => self.checks.violation(self.now, "an outcome was given twice".to_owned()),
        }
    }

    fn relay(&mut self, from: usize, call: OwnerCall, owner: &NodeRef, request: RelayRequest) {
        let id = request.submission;
        self.ask_peer(from, call, owner, id, |call| Event::Submit { call, request, relayed: true });
    }

    fn fetch_at(
        &mut self,
        from: usize,
        call: OwnerCall,
        owner: &NodeRef,
        submission: SubmissionId,
    ) {
        self.ask_peer(from, call, owner, submission, |call| Event::Fetch {
            call,
            submission,
            relayed: true,
        });
    }

    fn ask_peer(
        &mut self,
        from: usize,
        call: OwnerCall,
        owner: &NodeRef,
        id: SubmissionId,
        ask: impl FnOnce(entry::CallId) -> Event,
    ) {
        let life = self.entries[from].node.life;
        let to = self.entries.iter().position(|entry| entry.node.name == owner.name);
        match to.filter(|to| self.entries[*to].node.machine.is_some()) {
            Some(to) => self.ask(to, Caller::Peer { entry: from, life, call, id }, ask),
            None => {
                let wait = self.within(PEER_FAILURE);
                self.after(wait, Happening::PeerReply(from, life, call, id, None));
            }
        }
    }
}
