//! An agent's answers to frames that must not start anything.

use std::sync::Arc;
use std::time::Duration;

use agent::{Action, Agent, CallId, Event, LogEvent, Reply, Request, Setup};
use execution::{Session, TaskOutcome};
use model::{Incarnation, NodeName, NodeRef, SubmissionId, TaskKey, Time};
use settings::{Catalog, Tree};
use wire::{
    HelloRequest, SettleReply, SettleRequest, StartRefusal, StartReply, StartRequest, StartResult,
    SyncReply, SyncRequest,
};

const START: Time = Time::from_millis(1_764_000_000_000);
const SESSION: Session = Session(1);

/// An agent of the second incarnation with a session open, driven call by call.
struct Bench {
    agent: Agent,
    now: Time,
    calls: u64,
}

fn node(name: &str, incarnation: u64) -> NodeRef {
    NodeRef { name: NodeName::new(name), incarnation: Incarnation(incarnation) }
}

fn key(index: u32) -> TaskKey {
    let submission = SubmissionId::from_parts(START + Duration::from_secs(5), 1);
    TaskKey { submission, index, attempt: 0, origin: 0 }
}

fn start(index: u32, agent: u64) -> Request {
    Request::Start(StartRequest {
        key: key(index),
        owner: node("e1", 7),
        agent: Incarnation(agent),
        task: "hold seat 4A".into(),
        deadline: START + Duration::from_secs(60),
        wanted: 0,
    })
}

impl Bench {
    fn new(slots: u32) -> Self {
        let tree = Tree::from_ini("[fleet]\nretention_ms = 20000\n").unwrap();
        let setup = Setup {
            node: node("a1", 2),
            service: "booking".to_owned(),
            hall: "h1".to_owned(),
            rack: "r1".to_owned(),
            slots,
            started: START,
        };
        let fleet = Arc::new(Catalog::new(1, &tree).fleet().clone());
        let now = START + Duration::from_secs(6);
        let mut bench = Self { agent: Agent::new(setup, 1, fleet), now, calls: 0 };
        bench.call(SESSION, Request::Hello(HelloRequest { entry: node("e1", 7) }));
        bench
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.agent.handle(self.now, event, &mut actions);
        actions
    }

    fn call(&mut self, session: Session, request: Request) -> Vec<Action> {
        self.calls += 1;
        self.handle(Event::Call { session, call: CallId(self.calls), request })
    }
}

fn runs(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Run { .. })).count()
}

fn start_reply(actions: &[Action]) -> Option<StartReply> {
    actions.iter().find_map(|action| match action {
        Action::Reply { reply: Reply::Start(reply), .. } => Some(reply.clone()),
        _ => None,
    })
}

#[test]
fn a_start_meant_for_an_earlier_life_starts_nothing() {
    let mut bench = Bench::new(2);
    let actions = bench.call(SESSION, start(0, 1));
    assert_eq!(runs(&actions), 0);
    assert_eq!(start_reply(&actions).map(|reply| reply.result), Some(StartResult::Unknown));
}

#[test]
fn a_settle_of_an_earlier_lifes_start_proves_nothing() {
    let mut bench = Bench::new(2);
    let request = SettleRequest { key: key(0), owner: node("e1", 7), agent: Incarnation(1) };
    let actions = bench.call(SESSION, Request::Settle(request));
    let unknown = |action: &Action| {
        matches!(action, Action::Reply { reply: Reply::Settle(SettleReply::Unknown), .. })
    };
    assert!(actions.iter().any(unknown), "{actions:?}");
}

#[test]
fn frames_of_a_closed_connection_start_nothing() {
    let mut bench = Bench::new(2);
    bench.handle(Event::Closed { session: SESSION });
    assert_eq!(runs(&bench.call(SESSION, start(0, 2))), 0);
    bench.call(SESSION, Request::Hello(HelloRequest { entry: node("e1", 7) }));
    assert_eq!(runs(&bench.call(SESSION, start(0, 2))), 0);
}

#[test]
fn a_doubled_start_runs_once_and_both_calls_are_answered() {
    let mut bench = Bench::new(2);
    assert_eq!(runs(&bench.call(SESSION, start(0, 2))), 1);
    assert_eq!(runs(&bench.call(SESSION, start(0, 2))), 0);
    let outcome = TaskOutcome::Answer("4A".into());
    let actions = bench.handle(Event::Ended { key: key(0), outcome: outcome.clone() });
    let replies: Vec<&Action> =
        actions.iter().filter(|action| matches!(action, Action::Reply { .. })).collect();
    assert_eq!(replies.len(), 2);
    let again = start_reply(&bench.call(SESSION, start(0, 2))).unwrap();
    // The first call gave the token back; the copy did not spend it again, and says so.
    assert_eq!(again, StartReply { result: StartResult::Ended(outcome), token: true });
}

#[test]
fn a_start_that_comes_too_late_gives_its_token_back() {
    let mut bench = Bench::new(1);
    bench.call(SESSION, Request::Sync(SyncRequest { wanted: 1, returned: 0 }));
    bench.now = START + Duration::from_secs(61);
    let late = start_reply(&bench.call(SESSION, start(0, 2))).unwrap();
    let result = StartResult::NotRun(StartRefusal::TooLate);
    assert_eq!(late, StartReply { result, token: true });
}

#[test]
fn a_refused_start_stays_refused() {
    let mut bench = Bench::new(1);
    assert_eq!(runs(&bench.call(SESSION, start(0, 2))), 1);
    let refused = start_reply(&bench.call(SESSION, start(1, 2))).unwrap().result;
    assert_eq!(refused, StartResult::NotRun(StartRefusal::NoSlot));
    bench.handle(Event::Ended { key: key(0), outcome: TaskOutcome::Answer("4A".into()) });
    let copy = bench.call(SESSION, start(1, 2));
    assert_eq!(runs(&copy), 0, "a copy of a refused frame started");
    let refused = start_reply(&copy).unwrap().result;
    assert_eq!(refused, StartResult::NotRun(StartRefusal::Barred));
}

#[test]
fn a_start_after_its_retention_is_unknown_and_starts_nothing() {
    let mut bench = Bench::new(1);
    assert_eq!(runs(&bench.call(SESSION, start(0, 2))), 1);
    bench.handle(Event::Ended { key: key(0), outcome: TaskOutcome::Answer("4A".into()) });
    bench.now = START + Duration::from_secs(30);
    bench.handle(Event::Tick);
    let late = bench.call(SESSION, start(0, 2));
    assert_eq!(runs(&late), 0);
    assert_eq!(start_reply(&late).unwrap().result, StartResult::Unknown);
}

#[test]
fn a_leaving_target_refuses_with_proof_and_finishes_what_runs() {
    let mut bench = Bench::new(2);
    bench.call(SESSION, start(0, 2));
    bench.handle(Event::Leave);
    let refused = start_reply(&bench.call(SESSION, start(1, 2))).unwrap().result;
    assert_eq!(refused, StartResult::NotRun(StartRefusal::Leaving));
    let ended = Event::Ended { key: key(0), outcome: TaskOutcome::Answer("4A".into()) };
    let actions = bench.handle(ended);
    assert!(start_reply(&actions).is_some_and(|reply| !reply.token));
    let drained = |action: &Action| matches!(action, Action::Log(LogEvent::Drained));
    assert!(actions.iter().any(drained));
}

#[test]
fn an_unreachable_target_voids_tokens_and_lends_them_again_later() {
    let mut bench = Bench::new(2);
    let sync = Request::Sync(SyncRequest { wanted: 2, returned: 0 });
    bench.call(SESSION, sync.clone());
    bench.call(SESSION, start(0, 2));
    bench.call(SESSION, sync);
    let never = TaskOutcome::NeverSent("refused".to_owned());
    let actions = bench.handle(Event::Ended { key: key(0), outcome: never });
    let news = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Reply { reply: Reply::Sync(news), .. } => Some(*news),
            _ => None,
        })
    };
    assert!(news(&actions).is_some_and(|news| news.void));
    let waits = bench.call(SESSION, Request::Sync(SyncRequest { wanted: 2, returned: 0 }));
    assert_eq!(news(&waits), None);
    bench.now = bench.now + Duration::from_secs(1);
    let granted = news(&bench.handle(Event::Tick));
    assert_eq!(granted.map(|news: SyncReply| news.granted), Some(2));
}
