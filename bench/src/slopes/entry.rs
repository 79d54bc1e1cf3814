//! Memory of an entry, and the CPU time of its decisions.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use claims::ClaimReply;
use entry::{Action, CallId, Connection, Entry, Event, Setup};
use execution::TaskOutcome;
use model::{Incarnation, NodeName, NodeRef, SubmissionId, Time};
use settings::{Catalog, Tree};
use wire::{AgentInfo, RelayRequest, StartReply, StartResult, SyncReply};

use super::table::{measure_bytes, measure_seconds, print_header, slope};

const START: Time = Time::from_millis(1_764_000_000_000);

/// An entry connected to simulated agents that reply without delay.
struct Driver {
    entry: Entry,
    now: Time,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    /// Number of jobs submitted so far.
    submissions: u64,
    /// Number of jobs answered so far.
    answered: u64,
    /// Number of tasks started so far.
    started: u64,
}

fn node(name: &str) -> NodeRef {
    NodeRef { name: NodeName::new(name), incarnation: Incarnation(1) }
}

fn settings_tree(targets: usize, teams: usize) -> Tree {
    let members: Vec<String> =
        (0..targets).map(|index| format!("agent-{index:03}@rack-{:03}", index / 3)).collect();
    let mut text = format!("[booking]\n[fleet]\nclaim_view = {}\n", members.join(" "));
    for team in 0..teams {
        text.push_str(&format!("[booking/kind-{team}]\nteam = team-{team}\n"));
        text.push_str(&format!("[teams/team-{team}]\nweight = {}\n", team % 7 + 1));
    }
    Tree::from_ini(&text).expect("the benchmark's settings tree is valid")
}

impl Driver {
    fn new(targets: usize, slots: u32, teams: usize) -> Self {
        let setup = Setup { node: node("e1"), hall: "h1".to_owned() };
        let mut driver = Self {
            entry: Entry::new(setup),
            now: START,
            events: VecDeque::new(),
            actions: Vec::new(),
            submissions: 0,
            answered: 0,
            started: 0,
        };
        let catalog = Arc::new(Catalog::new(1, &settings_tree(targets, teams)));
        driver.events.push_back(Event::Settings { catalog });
        for index in 0..targets {
            let name = format!("agent-{index:03}");
            let info = AgentInfo {
                agent: node(&name),
                service: "booking".to_owned(),
                hall: format!("h{}", index % 7),
                rack: format!("rack-{:03}", index / 3),
                slots,
                votes_from: START - Duration::from_secs(5),
                leaving: false,
            };
            let connection = Connection(index as u64);
            driver.events.push_back(Event::Connected { connection, info });
            let reply = Some(SyncReply { granted: slots, ..SyncReply::default() });
            let agent = NodeName::new(&name);
            driver.events.push_back(Event::SyncReplied { agent, connection, reply });
        }
        driver.run(false);
        driver
    }

    fn submit(&mut self, teams: usize, tasks: usize) {
        self.submissions += 1;
        let team = self.submissions as usize % teams;
        let request = RelayRequest {
            submission: SubmissionId::from_parts(self.now, u128::from(self.submissions) << 64),
            service: "booking".to_owned(),
            kind: format!("kind-{team}"),
            tasks: (0..tasks).map(|_| Arc::from("hold seat 4A of coach 7")).collect(),
            deadline_ms: Some(60_000),
            repeatable: false,
        };
        let call = CallId(self.submissions);
        self.events.push_back(Event::Submit { call, request, relayed: false });
    }

    /// Handles queued events until none is left. With `answer` the agents also answer each task.
    fn run(&mut self, answer: bool) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.entry.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(action, answer);
            }
            self.actions = actions;
        }
    }

    fn apply_action(&mut self, action: Action, answer: bool) {
        match action {
            Action::Claim { holder, request } => {
                let (submission, reply) = (request.submission, Some(ClaimReply::Granted));
                self.events.push_back(Event::ClaimReplied { holder, submission, reply });
            }
            Action::Start { agent, connection, request } => {
                self.started += 1;
                let outcome = TaskOutcome::Answer("done".into());
                let reply = Some(StartReply { result: StartResult::Ended(outcome), token: true });
                let key = request.key;
                if answer {
                    self.events.push_back(Event::StartReplied { agent, connection, key, reply });
                }
            }
            Action::Respond { .. } => self.answered += 1,
            _ => {}
        }
    }
}

/// Measures the CPU time of all decisions from submission to answer, per task and per job.
pub fn measure_placement() {
    print_header(
        "entry: CPU time of all decisions, from submission to answer (agents answer at once)",
        "   targets    slots    teams  tasks/job   us/task   us/job",
    );
    for (targets, slots, teams, tasks, jobs) in [
        (10, 8, 2, 1, 40_000),
        (10, 8, 2, 50, 2_000),
        (100, 16, 60, 50, 2_000),
        (750, 16, 360, 1, 40_000),
        (750, 16, 360, 50, 2_000),
        (750, 16, 360, 690, 200),
    ] {
        let mut driver = Driver::new(targets, slots, teams);
        let (seconds, ()) = measure_seconds(|| {
            for _ in 0..jobs {
                driver.now = driver.now + Duration::from_micros(100);
                driver.submit(teams, tasks);
                driver.run(true);
            }
        });
        assert_eq!(driver.answered, jobs as u64, "the number of answered jobs");
        let (per_task, per_job) =
            (seconds * 1e6 / (jobs * tasks) as f64, seconds * 1e6 / jobs as f64);
        let slots_total = targets as u32 * slots;
        println!(
            "{targets:>10} {slots_total:>8} {teams:>8} {tasks:>10} {per_task:>9.3} {per_job:>8.1}"
        );
    }
}

/// Measures an entry's memory per known agent and per stored outcome.
pub fn measure_memory() {
    print_header(
        "entry: memory by agents known (360 teams)",
        "   targets       bytes  bytes/target",
    );
    let mut points = Vec::new();
    for targets in [10, 100, 300, 750] {
        let (bytes, driver) = measure_bytes(|| Driver::new(targets, 16, 360));
        points.push((targets as f64, bytes as f64));
        println!("{targets:>10} {bytes:>11} {:>13.0}", bytes as f64 / targets as f64);
        drop(driver);
    }
    println!("slope: {:.0} bytes an agent", slope(&points));
    print_header(
        "entry: memory by outcomes kept (one task, 4-byte answer)",
        "  outcomes       bytes  bytes/outcome",
    );
    let mut points = Vec::new();
    for count in [10_000, 30_000, 60_000] {
        let mut driver = Driver::new(10, 8, 2);
        let (bytes, ()) = measure_bytes(|| {
            for _ in 0..count {
                driver.submit(2, 1);
                driver.run(true);
            }
        });
        points.push((f64::from(count), bytes as f64));
        println!("{count:>10} {bytes:>11} {:>14.0}", bytes as f64 / f64::from(count));
        drop(driver);
    }
    println!("slope: {:.0} bytes an outcome (bounded by [fleet] answer_bytes_max)", slope(&points));
}
