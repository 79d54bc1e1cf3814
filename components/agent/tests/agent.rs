//! Drives an agent with repeated, late and misdirected frames and checks that no task starts twice.

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

/// An agent of incarnation 2 with one open session.
struct Fixture {
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

impl Fixture {
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
        let mut fixture = Self { agent: Agent::new(setup, 1, fleet), now, calls: 0 };
        fixture.call(SESSION, Request::Hello(HelloRequest { entry: node("e1", 7) }));
        fixture
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
fn a_start_for_an_earlier_incarnation_starts_nothing() {
    let mut fixture = Fixture::new(2);
    let actions = fixture.call(SESSION, start(0, 1));
    assert_eq!(runs(&actions), 0);
    assert_eq!(start_reply(&actions).map(|reply| reply.result), Some(StartResult::Unknown));
}

#[test]
fn a_settle_for_an_earlier_incarnation_proves_nothing() {
    let mut fixture = Fixture::new(2);
    let request = SettleRequest { key: key(0), owner: node("e1", 7), agent: Incarnation(1) };
    let actions = fixture.call(SESSION, Request::Settle(request));
    let unknown = |action: &Action| {
        matches!(action, Action::Reply { reply: Reply::Settle(SettleReply::Unknown), .. })
    };
    assert!(actions.iter().any(unknown), "{actions:?}");
}

#[test]
fn frames_of_a_closed_connection_start_nothing() {
    let mut fixture = Fixture::new(2);
    fixture.handle(Event::Closed { session: SESSION });
    assert_eq!(runs(&fixture.call(SESSION, start(0, 2))), 0);
    fixture.call(SESSION, Request::Hello(HelloRequest { entry: node("e1", 7) }));
    assert_eq!(runs(&fixture.call(SESSION, start(0, 2))), 0);
}

#[test]
fn a_duplicate_start_runs_once_and_both_calls_are_answered() {
    let mut fixture = Fixture::new(2);
    assert_eq!(runs(&fixture.call(SESSION, start(0, 2))), 1);
    assert_eq!(runs(&fixture.call(SESSION, start(0, 2))), 0);
    let outcome = TaskOutcome::Answer("4A".into());
    let actions = fixture.handle(Event::Ended { key: key(0), outcome: outcome.clone() });
    let replies: Vec<&Action> =
        actions.iter().filter(|action| matches!(action, Action::Reply { .. })).collect();
    assert_eq!(replies.len(), 2);
    let again = start_reply(&fixture.call(SESSION, start(0, 2))).unwrap();
    // The first reply returned the token; the repeated start does not spend it and returns it too.
    assert_eq!(again, StartReply { result: StartResult::Ended(outcome), token: true });
}

#[test]
fn a_start_after_its_deadline_returns_its_token() {
    let mut fixture = Fixture::new(1);
    fixture.call(SESSION, Request::Sync(SyncRequest { wanted: 1, returned: 0 }));
    fixture.now = START + Duration::from_secs(61);
    let late = start_reply(&fixture.call(SESSION, start(0, 2))).unwrap();
    let result = StartResult::NotRun(StartRefusal::TooLate);
    assert_eq!(late, StartReply { result, token: true });
}

#[test]
fn a_refused_start_stays_barred() {
    let mut fixture = Fixture::new(1);
    assert_eq!(runs(&fixture.call(SESSION, start(0, 2))), 1);
    let refused = start_reply(&fixture.call(SESSION, start(1, 2))).unwrap().result;
    assert_eq!(refused, StartResult::NotRun(StartRefusal::NoSlot));
    fixture.handle(Event::Ended { key: key(0), outcome: TaskOutcome::Answer("4A".into()) });
    let copy = fixture.call(SESSION, start(1, 2));
    assert_eq!(runs(&copy), 0, "a copy of a refused frame started");
    let refused = start_reply(&copy).unwrap().result;
    assert_eq!(refused, StartResult::NotRun(StartRefusal::Barred));
}

#[test]
fn a_start_after_the_retention_is_unknown_and_starts_nothing() {
    let mut fixture = Fixture::new(1);
    assert_eq!(runs(&fixture.call(SESSION, start(0, 2))), 1);
    fixture.handle(Event::Ended { key: key(0), outcome: TaskOutcome::Answer("4A".into()) });
    fixture.now = START + Duration::from_secs(30);
    fixture.handle(Event::Tick);
    let late = fixture.call(SESSION, start(0, 2));
    assert_eq!(runs(&late), 0);
    assert_eq!(start_reply(&late).unwrap().result, StartResult::Unknown);
}

#[test]
fn a_leaving_target_refuses_starts_with_proof_and_finishes_running_tasks() {
    let mut fixture = Fixture::new(2);
    fixture.call(SESSION, start(0, 2));
    fixture.handle(Event::Leave);
    let refused = start_reply(&fixture.call(SESSION, start(1, 2))).unwrap().result;
    assert_eq!(refused, StartResult::NotRun(StartRefusal::Leaving));
    let ended = Event::Ended { key: key(0), outcome: TaskOutcome::Answer("4A".into()) };
    let actions = fixture.handle(ended);
    assert!(start_reply(&actions).is_some_and(|reply| !reply.token));
    let drained = |action: &Action| matches!(action, Action::Log(LogEvent::Drained));
    assert!(actions.iter().any(drained));
}

#[test]
fn an_unreachable_target_voids_tokens_and_lends_them_again_later() {
    let mut fixture = Fixture::new(2);
    let sync = Request::Sync(SyncRequest { wanted: 2, returned: 0 });
    fixture.call(SESSION, sync.clone());
    fixture.call(SESSION, start(0, 2));
    fixture.call(SESSION, sync);
    let never = TaskOutcome::NeverSent("refused".to_owned());
    let actions = fixture.handle(Event::Ended { key: key(0), outcome: never });
    let sync_reply = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Reply { reply: Reply::Sync(reply), .. } => Some(*reply),
            _ => None,
        })
    };
    assert!(sync_reply(&actions).is_some_and(|reply| reply.void));
    let waiting = fixture.call(SESSION, Request::Sync(SyncRequest { wanted: 2, returned: 0 }));
    assert_eq!(sync_reply(&waiting), None);
    fixture.now = fixture.now + Duration::from_secs(1);
    let granted = sync_reply(&fixture.handle(Event::Tick));
    assert_eq!(granted.map(|reply: SyncReply| reply.granted), Some(2));
}
