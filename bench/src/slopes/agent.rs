//! Memory of an agent's claims and start table, and the time of its decisions.

use std::sync::Arc;
use std::time::Duration;

use agent::{Action, Agent, CallId, Event, Request, Setup};
use claims::{Claim, ClaimRequest};
use execution::{Session, TaskOutcome};
use model::{Digest, Incarnation, NodeName, NodeRef, SubmissionId, TaskKey, Time};
use settings::{Catalog, Tree};
use wire::{HelloRequest, StartRequest};

use super::table::{measure_bytes, measure_seconds, print_header, slope};

const START: Time = Time::from_millis(1_764_000_000_000);
const SESSION: Session = Session(1);

fn node(name: &str) -> NodeRef {
    NodeRef { name: NodeName::new(name), incarnation: Incarnation(1) }
}

fn agent() -> Agent {
    let setup = Setup {
        node: node("a1"),
        service: "booking".to_owned(),
        hall: "h1".to_owned(),
        rack: "r1".to_owned(),
        slots: 8,
        started: START,
    };
    let fleet = Arc::new(Catalog::new(1, &Tree::default()).fleet().clone());
    let mut agent = Agent::new(setup, 1, fleet);
    let hello = Request::Hello(HelloRequest { entry: node("e1") });
    let call = Event::Call { session: SESSION, call: CallId(0), request: hello };
    agent.handle(START, call, &mut Vec::new());
    agent
}

fn submission(index: usize) -> SubmissionId {
    SubmissionId::from_parts(START + Duration::from_secs(2), (index as u128) << 64)
}

/// Measures the memory and time per claim held.
pub fn measure_claims() {
    print_header(
        "agent: claims held (all of one entry)",
        "    claims       bytes  bytes/claim   us/claim",
    );
    let mut points = Vec::new();
    for count in [10_000, 30_000, 100_000, 300_000] {
        let mut agent = agent();
        let owner = node("e1");
        let digest = Digest::of("booking", "holds", false, ["seat"].into_iter());
        let now = START + Duration::from_secs(3);
        let mut actions = Vec::with_capacity(4);
        let (bytes, seconds) = measure_bytes(|| {
            let claim_all = || {
                for index in 0..count {
                    let claim = Claim { owner: owner.clone(), digest };
                    let request = ClaimRequest { submission: submission(index), claim };
                    let request = Request::Claim(request);
                    let call = CallId(index as u64);
                    agent.handle(
                        now,
                        Event::Call { session: SESSION, call, request },
                        &mut actions,
                    );
                    actions.clear();
                }
            };
            measure_seconds(claim_all).0
        });
        points.push((count as f64, bytes as f64));
        let bytes_each = bytes as f64 / count as f64;
        println!(
            "{count:>10} {bytes:>11} {bytes_each:>12.1} {:>10.3}",
            seconds * 1e6 / count as f64
        );
        drop(agent);
    }
    println!("slope: {:.1} bytes a claim", slope(&points));
}

/// Measures the memory and time per task that is started, ended and kept in the start table.
pub fn measure_starts() {
    print_header(
        "agent: start table (each task started, ended, remembered with a 20-byte answer)",
        "     tasks       bytes   bytes/task    us/task",
    );
    let mut points = Vec::new();
    for count in [10_000, 30_000, 100_000] {
        let mut agent = agent();
        let mut actions: Vec<Action> = Vec::with_capacity(8);
        let (bytes, seconds) =
            measure_bytes(|| measure_seconds(|| run_tasks(&mut agent, count, &mut actions)).0);
        points.push((count as f64, bytes as f64));
        let bytes_each = bytes as f64 / count as f64;
        println!(
            "{count:>10} {bytes:>11} {bytes_each:>12.1} {:>10.3}",
            seconds * 1e6 / count as f64
        );
        drop(agent);
    }
    println!("slope: {:.1} bytes a task (outcomes are kept up to 4 MiB)", slope(&points));
}

fn run_tasks(agent: &mut Agent, count: usize, actions: &mut Vec<Action>) {
    let now = START + Duration::from_secs(3);
    let task: Arc<str> = Arc::from("hold seat 4A of coach 7");
    for index in 0..count {
        let submission = submission(index);
        let key = TaskKey { submission, index: 0, attempt: 0, origin: 0 };
        let request = Request::Start(StartRequest {
            key,
            owner: node("e1"),
            agent: Incarnation(1),
            task: task.clone(),
            deadline: now + Duration::from_secs(9),
            wanted: 0,
        });
        let call = CallId(index as u64);
        agent.handle(now, Event::Call { session: SESSION, call, request }, actions);
        let outcome = TaskOutcome::Answer("done: hold seat 4A..".into());
        agent.handle(now, Event::Ended { key, outcome }, actions);
        actions.clear();
    }
}
