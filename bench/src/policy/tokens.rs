//! Simulation of slot tokens, with the entry and agent libraries that the daemon runs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agent::{Agent, CallId, Reply, Request};
use entry::{Connection, Entry, Event};
use execution::{Session, TaskOutcome};
use model::{Incarnation, NodeName, NodeRef, SubmissionId, TaskKey, Time, Verdict};
use settings::{Catalog, Tree};
use wire::{HelloRequest, RelayReply, RelayRequest};

use super::event_queue::EventQueue;
use super::report::Measurements;
use super::workload::{CLIENT_LINK, ENTRY_SHARES, Fault, SLOTS, START, TARGETS, Workload};

/// Longest interval between two timer events of a node.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Simulated time after the arrival of the last job.
const DRAIN_TIME: Duration = Duration::from_secs(12);

/// Kind of a pending call from an entry to an agent.
#[derive(Clone, Debug)]
enum CallKind {
    Hello,
    Claim(SubmissionId),
    Start(TaskKey),
    Settle(TaskKey),
    Sync,
}

#[derive(Debug)]
enum SimEvent {
    JobArrived(usize),
    CallArrived { entry: usize, agent: usize, call: CallId, request: Request },
    ReplyArrived { entry: usize, agent: usize, call: CallId, reply: Box<Reply> },
    TaskEnded { agent: usize, key: TaskKey },
    EntryTick(usize),
    AgentTick(usize),
    AgentKilled(usize),
}

struct Simulation<'a> {
    workload: &'a Workload,
    /// Whether jobs need a claim before their first start, as jobs that are not repeatable do.
    claims: bool,
    events: EventQueue<SimEvent>,
    entries: Vec<Entry>,
    agents: Vec<Option<Agent>>,
    /// Calls without a reply: the agent's index and the kind of call.
    pending_calls: HashMap<CallId, (usize, CallKind)>,
    next_call: u64,
    /// Index in the workload of each submission.
    job_indices: HashMap<SubmissionId, usize>,
    /// Submission id of each job of the workload.
    submission_ids: Vec<SubmissionId>,
    /// Virtual time at which the run ends.
    end: Time,
    measurements: Measurements,
}

fn entry_node(index: usize) -> NodeRef {
    let incarnation = Incarnation(index as u64 + 1);
    NodeRef { name: NodeName::new(&format!("e{index}")), incarnation }
}

fn agent_node(index: usize) -> NodeRef {
    let incarnation = Incarnation(index as u64 + 101);
    NodeRef { name: NodeName::new(&format!("a{index}")), incarnation }
}

fn catalog() -> Arc<Catalog> {
    let members: Vec<String> =
        (0..TARGETS).map(|index| format!("a{index}@r{}", index / 3)).collect();
    let text = format!(
        "[work]\nexpected_ms = 275\n[work/task]\n\
         [fleet]\nclaim_view = {}\nsettings_age_max_ms = 80000000\n",
        members.join(" ")
    );
    let tree = Tree::from_ini(&text).expect("the simulation's settings tree is valid");
    Arc::new(Catalog::new(1, &tree))
}

/// Simulates a workload and returns its measurements. With `claims` the jobs are not repeatable, so
/// that entries claim them before the first start.
pub fn run(workload: &Workload, seed: u64, claims: bool) -> Measurements {
    let last = workload.jobs.last().map_or(START, |job| job.submitted_at);
    let mut simulation = Simulation {
        workload,
        claims,
        events: EventQueue::new(START),
        entries: Vec::new(),
        agents: Vec::new(),
        pending_calls: HashMap::new(),
        next_call: 0,
        job_indices: HashMap::new(),
        submission_ids: Vec::new(),
        end: last + DRAIN_TIME,
        measurements: Measurements::default(),
    };
    simulation.set_up(seed);
    while let Some(event) = simulation.events.pop_next() {
        if simulation.events.now > simulation.end {
            break;
        }
        simulation.handle_event(event);
    }
    simulation.collect_counters();
    simulation.measurements
}

impl Simulation<'_> {
    fn set_up(&mut self, seed: u64) {
        let catalog = catalog();
        for index in 0..TARGETS {
            let setup = agent::Setup {
                node: agent_node(index),
                service: "work".to_owned(),
                hall: "h1".to_owned(),
                rack: format!("r{}", index / 3),
                slots: SLOTS,
                started: START - Duration::from_secs(10),
            };
            self.agents.push(Some(Agent::new(setup, 1, Arc::new(catalog.fleet().clone()))));
            self.events.schedule_after(TICK_INTERVAL, SimEvent::AgentTick(index));
        }
        for index in 0..ENTRY_SHARES.len() {
            let setup = entry::Setup { node: entry_node(index), hall: "h1".to_owned() };
            self.entries.push(Entry::new(setup));
            let catalog = catalog.clone();
            self.deliver_to_entry(index, Event::Settings { catalog });
            self.deliver_to_entry(index, Event::EntryCount { count: ENTRY_SHARES.len() as u32 });
            self.events.schedule_after(TICK_INTERVAL, SimEvent::EntryTick(index));
            for agent in 0..TARGETS {
                let request = Request::Hello(HelloRequest { entry: entry_node(index) });
                self.send_call(index, agent, request, CallKind::Hello);
            }
        }
        for (index, job) in self.workload.jobs.iter().enumerate() {
            self.events.schedule_at(job.submitted_at + CLIENT_LINK, SimEvent::JobArrived(index));
            self.measurements.tasks += job.tasks.len() as u64;
            let random = (u128::from(seed) << 64 | index as u128) << 56;
            let id = SubmissionId::from_parts(job.submitted_at, random);
            self.job_indices.insert(id, index);
            self.submission_ids.push(id);
        }
        if self.workload.scenario.fault == Fault::Killed {
            self.events.schedule_at(self.workload.fault_at, SimEvent::AgentKilled(0));
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::JobArrived(job) => self.job_arrived(job),
            SimEvent::CallArrived { entry, agent, call, request } => {
                let session = Session(entry as u64);
                self.deliver_to_agent(agent, agent::Event::Call { session, call, request });
            }
            SimEvent::ReplyArrived { entry, agent, call, reply } => {
                self.reply_arrived(entry, agent, call, *reply);
            }
            SimEvent::TaskEnded { agent, key } => {
                let outcome = TaskOutcome::Answer("done".into());
                self.deliver_to_agent(agent, agent::Event::Ended { key, outcome });
            }
            SimEvent::EntryTick(entry) => {
                self.deliver_to_entry(entry, Event::Tick);
                let due = self.entries[entry].next_timer();
                let next =
                    due.map_or(TICK_INTERVAL, |due| due.since(self.events.now)).min(TICK_INTERVAL);
                let next = next.max(Duration::from_millis(1));
                self.events.schedule_after(next, SimEvent::EntryTick(entry));
            }
            SimEvent::AgentTick(agent) => {
                self.deliver_to_agent(agent, agent::Event::Tick);
                self.events.schedule_after(TICK_INTERVAL, SimEvent::AgentTick(agent));
            }
            SimEvent::AgentKilled(agent) => self.kill_agent(agent),
        }
    }

    fn job_arrived(&mut self, index: usize) {
        let job = &self.workload.jobs[index];
        let (entry, deadline) = (job.entry, job.deadline);
        let submission = self.submission_ids[index];
        let tasks = (0..job.tasks.len()).map(|task| Arc::from(task.to_string())).collect();
        let request = RelayRequest {
            submission,
            service: "work".to_owned(),
            kind: "task".to_owned(),
            tasks,
            deadline_ms: Some(deadline.as_millis() as u64),
            repeatable: !self.claims,
        };
        let call = entry::CallId(index as u64);
        self.deliver_to_entry(entry, Event::Submit { call, request, relayed: false });
    }

    fn deliver_to_entry(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.entries[index].handle(self.events.now, event, &mut actions);
        for action in actions {
            self.apply_entry_action(index, action);
        }
    }

    fn apply_entry_action(&mut self, entry: usize, action: entry::Action) {
        use entry::Action;
        let node_index = |name: &NodeName| name.as_str()[1..].parse().unwrap_or(0);
        match action {
            Action::Respond { call, reply } => self.respond(call, &reply),
            Action::Claim { holder, request } => {
                let call_kind = CallKind::Claim(request.submission);
                self.send_call(entry, node_index(&holder), Request::Claim(request), call_kind);
            }
            Action::Start { agent, request, .. } => {
                let call_kind = CallKind::Start(request.key);
                self.send_call(entry, node_index(&agent), Request::Start(request), call_kind);
            }
            Action::Settle { agent, request } => {
                let call_kind = CallKind::Settle(request.key);
                self.send_call(entry, node_index(&agent), Request::Settle(request), call_kind);
            }
            Action::Sync { agent, request, .. } => {
                self.send_call(entry, node_index(&agent), Request::Sync(request), CallKind::Sync);
            }
            _ => {}
        }
    }

    fn send_call(&mut self, entry: usize, agent: usize, request: Request, call_kind: CallKind) {
        self.next_call += 1;
        // The low byte holds the index of the entry, which receives the reply.
        let call = CallId(self.next_call << 8 | entry as u64);
        self.pending_calls.insert(call, (agent, call_kind));
        self.events.schedule_after(
            self.workload.link,
            SimEvent::CallArrived { entry, agent, call, request },
        );
    }

    fn deliver_to_agent(&mut self, index: usize, event: agent::Event) {
        let Some(agent) = &mut self.agents[index] else { return };
        let mut actions = Vec::new();
        agent.handle(self.events.now, event, &mut actions);
        for action in actions {
            match action {
                agent::Action::Reply { call, reply } => {
                    let entry = (call.0 & 0xff) as usize;
                    let reply = Box::new(reply);
                    let event = SimEvent::ReplyArrived { entry, agent: index, call, reply };
                    self.events.schedule_after(self.workload.link, event);
                }
                agent::Action::Run { key, .. } => self.run_task(index, key),
                agent::Action::Log(_) => {}
            }
        }
    }

    fn run_task(&mut self, agent: usize, key: TaskKey) {
        let job = &self.workload.jobs[self.job_indices[&key.submission]];
        let service_time = self.workload.service_time_at(agent, job.tasks[key.index as usize]);
        self.events.schedule_after(service_time, SimEvent::TaskEnded { agent, key });
    }

    fn reply_arrived(&mut self, entry: usize, agent: usize, call: CallId, reply: Reply) {
        let Some((_, call_kind)) = self.pending_calls.remove(&call) else { return };
        let connection = Connection(agent as u64);
        let name = agent_node(agent).name;
        let event = match (call_kind, reply) {
            (CallKind::Hello, Reply::Hello(info)) => Event::Connected { connection, info },
            (CallKind::Claim(submission), Reply::Claim(reply)) => {
                Event::ClaimReplied { holder: name, submission, reply: Some(reply) }
            }
            (CallKind::Start(key), Reply::Start(reply)) => {
                Event::StartReplied { agent: name, connection, key, reply: Some(reply) }
            }
            (CallKind::Settle(key), Reply::Settle(reply)) => {
                Event::SettleReplied { agent: name, key, reply: Some(reply) }
            }
            (CallKind::Sync, Reply::Sync(reply)) => {
                Event::SyncReplied { agent: name, connection, reply: Some(reply) }
            }
            _ => return,
        };
        self.deliver_to_entry(entry, event);
    }

    /// Kills a worker with its agent: connections break, pending calls fail, and new ones get no
    /// reply.
    fn kill_agent(&mut self, index: usize) {
        self.agents[index] = None;
        let name = agent_node(index).name;
        for entry in 0..self.entries.len() {
            let connection = Connection(index as u64);
            self.deliver_to_entry(entry, Event::Disconnected { agent: name.clone(), connection });
            self.deliver_to_entry(entry, Event::AgentDead { agent: name.clone() });
        }
        let is_lost = |(_, (agent, _)): &(&CallId, &(usize, CallKind))| *agent == index;
        let mut pending_calls: Vec<CallId> =
            self.pending_calls.iter().filter(is_lost).map(|(id, _)| *id).collect();
        pending_calls.sort();
        for call in pending_calls {
            let entry = (call.0 & 0xff) as usize;
            let connection = Connection(index as u64);
            let Some((_, call_kind)) = self.pending_calls.remove(&call) else { continue };
            let agent = name.clone();
            let event = match call_kind {
                CallKind::Claim(submission) => {
                    Event::ClaimReplied { holder: agent, submission, reply: None }
                }
                CallKind::Start(key) => Event::StartReplied { agent, connection, key, reply: None },
                CallKind::Settle(key) => Event::SettleReplied { agent, key, reply: None },
                CallKind::Hello | CallKind::Sync => continue,
            };
            self.deliver_to_entry(entry, event);
        }
    }

    fn respond(&mut self, call: entry::CallId, reply: &RelayReply) {
        let job = &self.workload.jobs[call.0 as usize];
        match reply {
            Ok(_) => {
                let response = (self.events.now + CLIENT_LINK).since(job.submitted_at);
                self.measurements.record_answer(response, job.ideal());
                self.measurements.useful_share += self.workload.capacity_share(job);
            }
            Err(failure) if failure.verdict == Verdict::NotRun => self.measurements.refused += 1,
            Err(_) => self.measurements.failed += 1,
        }
    }

    fn collect_counters(&mut self) {
        let agents = self.agents.iter().flatten().map(|agent| agent.counters().messages);
        let entries = self.entries.iter().map(|entry| entry.counters().messages);
        for counts in agents.chain(entries) {
            self.measurements.messages += counts.total_sent();
            self.measurements.wasted += counts.total_wasted();
        }
        let answered =
            self.measurements.complete + self.measurements.failed + self.measurements.refused;
        self.measurements.failed += (self.workload.jobs.len() as u64).saturating_sub(answered);
    }
}
