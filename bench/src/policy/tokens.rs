//! Slot tokens, through the libraries of entry and agent as they run in the daemon.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agent::{Agent, CallId, Reply, Request};
use entry::{Connection, Entry, Event};
use execution::{Session, TaskOutcome};
use model::{Incarnation, NodeName, NodeRef, SubmissionId, TaskKey, Time, Verdict};
use settings::{Catalog, Tree};
use wire::{HelloRequest, RelayReply, RelayRequest};

use super::clock::Clock;
use super::report::Measured;
use super::workload::{CLIENT_LINK, Mishap, SHARES, SLOTS, START, TARGETS, Workload};

/// Longest time between two ticks of a node.
const TICK: Duration = Duration::from_millis(250);
/// How long the run goes on after its last job.
const TAIL: Duration = Duration::from_secs(12);

/// What an entry called for.
#[derive(Clone, Debug)]
enum Called {
    Hello,
    Claim(SubmissionId),
    Start(TaskKey),
    Settle(TaskKey),
    Sync,
}

#[derive(Debug)]
enum Happening {
    Arrives(usize),
    Call { entry: usize, agent: usize, call: CallId, request: Request },
    Reply { entry: usize, agent: usize, call: CallId, reply: Box<Reply> },
    Ends { agent: usize, key: TaskKey },
    EntryTick(usize),
    AgentTick(usize),
    Killed(usize),
}

struct Run<'a> {
    workload: &'a Workload,
    claims: bool,
    clock: Clock<Happening>,
    entries: Vec<Entry>,
    agents: Vec<Option<Agent>>,
    /// Calls without a reply: to which agent, and for what.
    calls: HashMap<CallId, (usize, Called)>,
    next_call: u64,
    jobs: HashMap<SubmissionId, usize>,
    ids: Vec<SubmissionId>,
    end: Time,
    measured: Measured,
}

fn entry_node(number: usize) -> NodeRef {
    let incarnation = Incarnation(number as u64 + 1);
    NodeRef { name: NodeName::new(&format!("e{number}")), incarnation }
}

fn agent_node(number: usize) -> NodeRef {
    let incarnation = Incarnation(number as u64 + 101);
    NodeRef { name: NodeName::new(&format!("a{number}")), incarnation }
}

fn catalog() -> Arc<Catalog> {
    let members: Vec<String> =
        (0..TARGETS).map(|number| format!("a{number}@r{}", number / 3)).collect();
    let text = format!(
        "[work]\nexpected_ms = 275\n[work/task]\n\
         [fleet]\nclaim_view = {}\nsettings_age_max_ms = 80000000\n",
        members.join(" ")
    );
    let tree = Tree::from_ini(&text).expect("the experiment's tree is valid");
    Arc::new(Catalog::new(1, &tree))
}

/// Runs a workload; `claims` as requests that are not repeatable.
pub fn run(workload: &Workload, seed: u64, claims: bool) -> Measured {
    let last = workload.jobs.last().map_or(START, |job| job.at);
    let mut run = Run {
        workload,
        claims,
        clock: Clock::new(START),
        entries: Vec::new(),
        agents: Vec::new(),
        calls: HashMap::new(),
        next_call: 0,
        jobs: HashMap::new(),
        ids: Vec::new(),
        end: last + TAIL,
        measured: Measured::default(),
    };
    run.start(seed);
    while let Some(happening) = run.clock.next() {
        if run.clock.now > run.end {
            break;
        }
        run.happen(happening);
    }
    run.sum_up();
    run.measured
}

impl Run<'_> {
    fn start(&mut self, seed: u64) {
        let catalog = catalog();
        for number in 0..TARGETS {
            let setup = agent::Setup {
                node: agent_node(number),
                service: "work".to_owned(),
                hall: "h1".to_owned(),
                rack: format!("r{}", number / 3),
                slots: SLOTS,
                started: START - Duration::from_secs(10),
            };
            self.agents.push(Some(Agent::new(setup, 1, Arc::new(catalog.fleet().clone()))));
            self.clock.after(TICK, Happening::AgentTick(number));
        }
        for number in 0..SHARES.len() {
            let setup = entry::Setup { node: entry_node(number), hall: "h1".to_owned() };
            self.entries.push(Entry::new(setup));
            let catalog = catalog.clone();
            self.deliver_to_entry(number, Event::Settings { catalog });
            self.deliver_to_entry(number, Event::EntryCount { count: SHARES.len() as u32 });
            self.clock.after(TICK, Happening::EntryTick(number));
            for agent in 0..TARGETS {
                let request = Request::Hello(HelloRequest { entry: entry_node(number) });
                self.call(number, agent, request, Called::Hello);
            }
        }
        for (number, job) in self.workload.jobs.iter().enumerate() {
            self.clock.at(job.at + CLIENT_LINK, Happening::Arrives(number));
            self.measured.tasks += job.tasks.len() as u64;
            let random = (u128::from(seed) << 64 | number as u128) << 56;
            let id = SubmissionId::from_parts(job.at, random);
            self.jobs.insert(id, number);
            self.ids.push(id);
        }
        if self.workload.scenario.mishap == Mishap::Killed {
            self.clock.at(self.workload.mishap_at, Happening::Killed(0));
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrives(job) => self.arrives(job),
            Happening::Call { entry, agent, call, request } => {
                let session = Session(entry as u64);
                self.deliver_to_agent(agent, agent::Event::Call { session, call, request });
            }
            Happening::Reply { entry, agent, call, reply } => {
                self.reply_arrives(entry, agent, call, *reply);
            }
            Happening::Ends { agent, key } => {
                let outcome = TaskOutcome::Answer("done".into());
                self.deliver_to_agent(agent, agent::Event::Ended { key, outcome });
            }
            Happening::EntryTick(entry) => {
                self.deliver_to_entry(entry, Event::Tick);
                let due = self.entries[entry].next_timer();
                let next = due.map_or(TICK, |due| due.since(self.clock.now)).min(TICK);
                let next = next.max(Duration::from_millis(1));
                self.clock.after(next, Happening::EntryTick(entry));
            }
            Happening::AgentTick(agent) => {
                self.deliver_to_agent(agent, agent::Event::Tick);
                self.clock.after(TICK, Happening::AgentTick(agent));
            }
            Happening::Killed(agent) => self.killed(agent),
        }
    }

    fn arrives(&mut self, number: usize) {
        let job = &self.workload.jobs[number];
        let (entry, deadline) = (job.entry, job.deadline);
        let submission = self.ids[number];
        let tasks = (0..job.tasks.len()).map(|task| Arc::from(task.to_string())).collect();
        let request = RelayRequest {
            submission,
            service: "work".to_owned(),
            kind: "task".to_owned(),
            tasks,
            deadline_ms: Some(deadline.as_millis() as u64),
            repeatable: !self.claims,
        };
        let call = entry::CallId(number as u64);
        self.deliver_to_entry(entry, Event::Submit { call, request, relayed: false });
    }

    fn deliver_to_entry(&mut self, number: usize, event: Event) {
        let mut actions = Vec::new();
        self.entries[number].handle(self.clock.now, event, &mut actions);
        for action in actions {
            self.entry_acts(number, action);
        }
    }

    fn entry_acts(&mut self, entry: usize, action: entry::Action) {
        use entry::Action;
        let number = |name: &NodeName| name.as_str()[1..].parse().unwrap_or(0);
        match action {
            Action::Respond { call, reply } => self.respond(call, &reply),
            Action::Claim { holder, request } => {
                let called = Called::Claim(request.submission);
                self.call(entry, number(&holder), Request::Claim(request), called);
            }
            Action::Start { agent, request, .. } => {
                let called = Called::Start(request.key);
                self.call(entry, number(&agent), Request::Start(request), called);
            }
            Action::Settle { agent, request } => {
                let called = Called::Settle(request.key);
                self.call(entry, number(&agent), Request::Settle(request), called);
            }
            Action::Sync { agent, request, .. } => {
                self.call(entry, number(&agent), Request::Sync(request), Called::Sync);
            }
            _ => {}
        }
    }

    fn call(&mut self, entry: usize, agent: usize, request: Request, called: Called) {
        self.next_call += 1;
        let call = CallId(self.next_call << 8 | entry as u64);
        self.calls.insert(call, (agent, called));
        self.clock.after(self.workload.link, Happening::Call { entry, agent, call, request });
    }

    fn deliver_to_agent(&mut self, number: usize, event: agent::Event) {
        let Some(agent) = &mut self.agents[number] else { return };
        let mut actions = Vec::new();
        agent.handle(self.clock.now, event, &mut actions);
        for action in actions {
            match action {
                agent::Action::Reply { call, reply } => {
                    let entry = (call.0 & 0xff) as usize;
                    let reply = Box::new(reply);
                    let happening = Happening::Reply { entry, agent: number, call, reply };
                    self.clock.after(self.workload.link, happening);
                }
                agent::Action::Run { key, .. } => self.run_task(number, key),
                agent::Action::Log(_) => {}
            }
        }
    }

    fn run_task(&mut self, agent: usize, key: TaskKey) {
        let job = &self.workload.jobs[self.jobs[&key.submission]];
        let time = self.workload.time_at(agent, job.tasks[key.index as usize]);
        self.clock.after(time, Happening::Ends { agent, key });
    }

    fn reply_arrives(&mut self, entry: usize, agent: usize, call: CallId, reply: Reply) {
        let Some((_, called)) = self.calls.remove(&call) else { return };
        let connection = Connection(agent as u64);
        let name = agent_node(agent).name;
        let event = match (called, reply) {
            (Called::Hello, Reply::Hello(info)) => Event::Connected { connection, info },
            (Called::Claim(submission), Reply::Claim(reply)) => {
                Event::ClaimReplied { holder: name, submission, reply: Some(reply) }
            }
            (Called::Start(key), Reply::Start(reply)) => {
                Event::StartReplied { agent: name, connection, key, reply: Some(reply) }
            }
            (Called::Settle(key), Reply::Settle(reply)) => {
                Event::SettleReplied { agent: name, key, reply: Some(reply) }
            }
            (Called::Sync, Reply::Sync(reply)) => {
                Event::SyncReplied { agent: name, connection, reply: Some(reply) }
            }
            _ => return,
        };
        self.deliver_to_entry(entry, event);
    }

    /// A worker dies: its connections break, and it refuses new ones.
    fn killed(&mut self, number: usize) {
        self.agents[number] = None;
        let name = agent_node(number).name;
        for entry in 0..self.entries.len() {
            let connection = Connection(number as u64);
            self.deliver_to_entry(entry, Event::Disconnected { agent: name.clone(), connection });
            self.deliver_to_entry(entry, Event::AgentDead { agent: name.clone() });
        }
        let lost = |(_, (agent, _)): &(&CallId, &(usize, Called))| *agent == number;
        let mut calls: Vec<CallId> = self.calls.iter().filter(lost).map(|(id, _)| *id).collect();
        calls.sort();
        for call in calls {
            let entry = (call.0 & 0xff) as usize;
            let connection = Connection(number as u64);
            let Some((_, called)) = self.calls.remove(&call) else { continue };
            let agent = name.clone();
            let event = match called {
                Called::Claim(submission) => {
                    Event::ClaimReplied { holder: agent, submission, reply: None }
                }
                Called::Start(key) => Event::StartReplied { agent, connection, key, reply: None },
                Called::Settle(key) => Event::SettleReplied { agent, key, reply: None },
                Called::Hello | Called::Sync => continue,
            };
            self.deliver_to_entry(entry, event);
        }
    }

    fn respond(&mut self, call: entry::CallId, reply: &RelayReply) {
        let job = &self.workload.jobs[call.0 as usize];
        match reply {
            Ok(_) => {
                let response = (self.clock.now + CLIENT_LINK).since(job.at);
                self.measured.answered(response, job.ideal());
                self.measured.useful += self.workload.share_of(job);
            }
            Err(failure) if failure.verdict == Verdict::NotRun => self.measured.refused += 1,
            Err(_) => self.measured.failed += 1,
        }
    }

    fn sum_up(&mut self) {
        let agents = self.agents.iter().flatten().map(|agent| agent.counters().messages);
        let entries = self.entries.iter().map(|entry| entry.counters().messages);
        for counts in agents.chain(entries) {
            self.measured.messages += counts.total_sent();
            self.measured.wasted += counts.total_wasted();
        }
        let answered = self.measured.whole + self.measured.failed + self.measured.refused;
        self.measured.failed += (self.workload.jobs.len() as u64).saturating_sub(answered);
    }
}
