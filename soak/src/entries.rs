//! Starts of entries, delivery of their events, and execution of their actions.

use std::time::Duration;

use agent::{CallId, Reply, Request};
use entry::{Connection, Entry, Event, OwnerCall};
use model::{NodeRef, SubmissionId};
use rand::Rng;
use wire::{HelloRequest, RelayReply, RelayRequest};

use crate::network::{PendingCall, pending_call, reply_event, session};
use crate::nodes::Caller;
use crate::script::{Direction, Frame};
use crate::simulation::{CLOCK_SKEW, SimEvent, Simulation, TICK};

/// Longest time until a call to a crashed entry fails.
const MAX_PEER_FAILURE_DELAY: Duration = Duration::from_millis(200);

impl Simulation {
    /// Starts an entry with a new incarnation.
    pub fn start_entry(&mut self, number: usize) {
        let ahead = self.random_duration(CLOCK_SKEW);
        let version = self.catalogs.len() as u64;
        let entry = &mut self.entries[number];
        if entry.node.machine.is_some() {
            return;
        }
        entry.node.incarnation += 1;
        entry.node.clock_ahead = ahead;
        entry.node.stalled_until = self.now;
        let setup = entry::Setup { node: entry.node.reference(), hall: "h".to_owned() };
        entry.node.machine = Some(Entry::new(setup));
        entry.settings_version = version;
        let incarnation = entry.node.incarnation;
        let catalog = self.catalogs[version as usize - 1].clone();
        self.deliver_to_entry(number, incarnation, Event::Settings { catalog });
        let count = self.entries.len() as u32;
        self.deliver_to_entry(number, incarnation, Event::EntryCount { count });
        for agent in 0..self.agents.len() {
            let wait = self.random_duration(Duration::from_millis(20));
            self.schedule_after(wait, SimEvent::Dial(number, agent));
        }
    }

    /// Delivers an event to an entry, or schedules it for the end of a stall.
    pub fn deliver_to_entry(&mut self, number: usize, incarnation: u64, event: Event) {
        let entry = &mut self.entries[number];
        if entry.node.incarnation != incarnation || entry.node.machine.is_none() {
            return;
        }
        if entry.node.stalled_until > self.now {
            let until = entry.node.stalled_until;
            return self.schedule_at(until, SimEvent::ToEntry(number, incarnation, event));
        }
        let local_time = entry.node.local_time(self.now);
        let Some(machine) = &mut entry.node.machine else { return };
        let mut actions = Vec::new();
        machine.handle(local_time, event, &mut actions);
        for action in actions {
            self.apply_entry_action(number, action);
        }
        self.schedule_entry_tick(number);
    }

    fn schedule_entry_tick(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.entries[number].node;
        let Some(machine) = &node.machine else { return };
        let due =
            machine.next_timer().map_or(now + TICK, |local_time| local_time - node.clock_ahead);
        let due = due.max(now + Duration::from_micros(1)).min(now + TICK);
        if node.tick_at.is_none_or(|scheduled_at| due < scheduled_at) {
            node.tick_at = Some(due);
            self.schedule_at(due, SimEvent::EntryTick(number));
        }
    }

    fn apply_entry_action(&mut self, number: usize, action: entry::Action) {
        use entry::Action;
        self.trace_event("entry", number, &action);
        match action {
            Action::Respond { call, reply } => self.respond_to_caller(number, call, reply),
            Action::Claim { holder, request } => {
                self.call_agent(number, &holder, Request::Claim(request));
            }
            Action::Lookup { holder, submission } => {
                self.call_agent(number, &holder, Request::Lookup(submission));
            }
            Action::Settle { agent, request } => {
                self.call_agent(number, &agent, Request::Settle(request));
            }
            Action::Start { agent, connection, request } => {
                self.call_on_connection(number, &agent, connection, Request::Start(request));
            }
            Action::Sync { agent, connection, request } => {
                self.call_on_connection(number, &agent, connection, Request::Sync(request));
            }
            Action::Relay { call, owner, request } => {
                self.relay_request(number, call, &owner, request)
            }
            Action::Fetch { call, owner, submission } => {
                self.fetch_from_owner(number, call, &owner, submission);
            }
            Action::Log(entry::LogEvent::Breach(breach)) => {
                self.checks.violation(
                    self.now,
                    format!("entry {number} reports an invariant violation: {breach}"),
                );
            }
            Action::LogDecision(_) | Action::Log(_) => {}
        }
    }

    fn agent_index(&self, name: &model::NodeName) -> usize {
        let number = self.agents.iter().position(|agent| agent.node.name == *name);
        number.expect("entries only address agents of the run")
    }

    fn call_agent(&mut self, entry: usize, agent: &model::NodeName, request: Request) {
        let agent = self.agent_index(agent);
        match self.network.open_link(entry, agent) {
            Some(link) => self.send_call(link, request),
            None => self.fail_call(entry, agent, 0, pending_call(&request)),
        }
    }

    fn call_on_connection(
        &mut self,
        entry: usize,
        agent: &model::NodeName,
        connection: Connection,
        request: Request,
    ) {
        let agent = self.agent_index(agent);
        if self.network.link(connection.0).open {
            self.send_call(connection.0, request);
        } else {
            self.fail_call(entry, agent, connection.0, pending_call(&request));
        }
    }

    /// Sends a call on a connection; its frame may be dropped or duplicated.
    fn send_call(&mut self, link: u64, request: Request) {
        let call = self.network.register_call(link, pending_call(&request));
        let frame = match request {
            Request::Claim(_) => Some(Frame::Claim),
            Request::Start(_) => Some(Frame::Start),
            Request::Settle(_) => Some(Frame::Settle),
            _ => None,
        };
        let endpoints = (self.network.link(link).entry, self.network.link(link).agent);
        if self.drops_frame(frame, Direction::ToAgent, endpoints.0, endpoints.1) {
            return;
        }
        let (agent, incarnation) = {
            let link = self.network.link(link);
            (link.agent, link.agent_incarnation)
        };
        let to_agent = |request| {
            let session = session(link);
            agent::Event::Call { session, call, request }
        };
        let arrival_time =
            self.network.arrival_time(link, true, &self.conditions, &mut self.rng, self.now);
        if self.rng.random_bool(self.conditions.duplicate_rate) {
            let later = arrival_time + self.random_duration(Duration::from_secs(2));
            let copy = to_agent(request.clone());
            self.schedule_at(later, SimEvent::ToAgent(agent, incarnation, copy));
        }
        self.schedule_at(arrival_time, SimEvent::ToAgent(agent, incarnation, to_agent(request)));
    }

    fn fail_call(&mut self, entry: usize, agent: usize, link: u64, call: PendingCall) {
        let incarnation = self.entries[entry].node.incarnation;
        let name = self.agents[agent].node.name.clone();
        if let Some(event) = reply_event(&name, link, call, None) {
            self.schedule_after(
                Duration::from_micros(100),
                SimEvent::ToEntry(entry, incarnation, event),
            );
        }
    }

    pub fn deliver_reply(&mut self, link: u64, call: CallId, reply: Reply) {
        let Some(pending_call) = self.network.take_call(link, call) else { return };
        let (entry, incarnation, agent) = {
            let link = self.network.link(link);
            (link.entry, link.entry_incarnation, link.agent)
        };
        let name = self.agents[agent].node.name.clone();
        if let Some(event) = reply_event(&name, link, pending_call, Some(reply)) {
            self.deliver_to_entry(entry, incarnation, event);
        }
    }

    /// Connects an entry to an agent; if the agent is down, the entry is notified and retries
    /// later.
    pub fn dial(&mut self, entry: usize, agent: usize) {
        let node = &self.entries[entry].node;
        if node.machine.is_none() || self.network.open_link(entry, agent).is_some() {
            return;
        }
        let (incarnation, reference) = (node.incarnation, node.reference());
        if self.agents[agent].node.machine.is_none() {
            let agent_name = self.agents[agent].node.name.clone();
            self.deliver_to_entry(entry, incarnation, Event::AgentDead { agent: agent_name });
            let wait = Duration::from_millis(200);
            return self.schedule_after(wait, SimEvent::Dial(entry, agent));
        }
        let agent_incarnation = self.agents[agent].node.incarnation;
        let link = self.network.open((entry, incarnation), (agent, agent_incarnation), self.now);
        self.send_call(link, Request::Hello(HelloRequest { entry: reference }));
    }

    /// Breaks a connection: its calls fail, and both sides are notified.
    pub fn break_link(&mut self, id: u64) {
        let link = self.network.link(id).clone();
        let agent_name = self.agents[link.agent].node.name.clone();
        for call in self.network.close(id) {
            if let Some(event) = reply_event(&agent_name, id, call, None) {
                let wait = self.random_duration(Duration::from_millis(5));
                self.schedule_after(
                    wait,
                    SimEvent::ToEntry(link.entry, link.entry_incarnation, event),
                );
            }
        }
        let disconnected = Event::Disconnected { agent: agent_name, connection: Connection(id) };
        let wait = self.random_duration(Duration::from_millis(5));
        self.schedule_after(
            wait,
            SimEvent::ToEntry(link.entry, link.entry_incarnation, disconnected),
        );
        // Messages in flight may reach the agent before the notice of the close.
        let late = self.rng.random_bool(self.conditions.late_delivery_rate);
        let max_close_delay = if late { Duration::from_secs(3) } else { Duration::ZERO };
        let wait = self.random_duration(max_close_delay);
        let closed = agent::Event::Closed { session: session(id) };
        self.schedule_after(wait, SimEvent::ToAgent(link.agent, link.agent_incarnation, closed));
        let wait = Duration::from_millis(50) + self.random_duration(Duration::from_millis(300));
        self.schedule_after(wait, SimEvent::Dial(link.entry, link.agent));
    }

    /// Sends a request to an entry.
    pub fn send_request(
        &mut self,
        entry: usize,
        caller: Caller,
        event: impl FnOnce(entry::CallId) -> Event,
    ) {
        self.last_call_id += 1;
        let call = entry::CallId(self.last_call_id);
        let node = &mut self.entries[entry];
        let incarnation = node.node.incarnation;
        node.callers.insert(call, caller);
        let wait = self.random_duration(self.conditions.max_delay);
        self.schedule_after(wait, SimEvent::ToEntry(entry, incarnation, event(call)));
    }

    fn respond_to_caller(&mut self, entry: usize, call: entry::CallId, reply: RelayReply) {
        match self.entries[entry].callers.remove(&call) {
            Some(Caller::Client { id, requested_at, deadline }) => {
                self.client_answered(id, requested_at, deadline, &reply);
            }
            Some(Caller::Peer { entry, incarnation, call, id }) => {
                let wait = self.random_duration(self.conditions.max_delay);
                self.schedule_after(
                    wait,
                    SimEvent::PeerReply(entry, incarnation, call, id, Some(reply)),
                );
            }
            None => self
                .checks
                .violation(self.now, format!("entry {entry} answered request {} twice", call.0)),
        }
    }

    fn relay_request(
        &mut self,
        from: usize,
        call: OwnerCall,
        owner: &NodeRef,
        request: RelayRequest,
    ) {
        let id = request.submission;
        self.send_to_peer(from, call, owner, id, |call| Event::Submit {
            call,
            request,
            relayed: true,
        });
    }

    fn fetch_from_owner(
        &mut self,
        from: usize,
        call: OwnerCall,
        owner: &NodeRef,
        submission: SubmissionId,
    ) {
        self.send_to_peer(from, call, owner, submission, |call| Event::Fetch {
            call,
            submission,
            relayed: true,
        });
    }

    fn send_to_peer(
        &mut self,
        from: usize,
        call: OwnerCall,
        owner: &NodeRef,
        id: SubmissionId,
        event: impl FnOnce(entry::CallId) -> Event,
    ) {
        let incarnation = self.entries[from].node.incarnation;
        let to = self.entries.iter().position(|entry| entry.node.name == owner.name);
        match to.filter(|to| self.entries[*to].node.machine.is_some()) {
            Some(to) => {
                self.send_request(to, Caller::Peer { entry: from, incarnation, call, id }, event)
            }
            None => {
                let wait = self.random_duration(MAX_PEER_FAILURE_DELAY);
                self.schedule_after(wait, SimEvent::PeerReply(from, incarnation, call, id, None));
            }
        }
    }
}
