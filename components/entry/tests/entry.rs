//! Drives an entry with the replies of holders, owners and agents and checks its actions.

use std::sync::Arc;
use std::time::Duration;

use claims::{Claim, ClaimReply, LookupReply};
use entry::{Action, CallId, Connection, Entry, Event, OwnerCall, Setup};
use model::{Code, Digest, Failure, Incarnation, NodeName, NodeRef, SubmissionId, Time, Verdict};
use settings::{Catalog, Tree};
use wire::{AgentInfo, RelayReply, RelayRequest, SyncReply};

const NOW: Time = Time::from_millis(1_764_000_000_000);
const TREE: &str =
    "[booking]\n[booking/holds]\n[fleet]\nclaim_view = a1@r1 a2@r2 a3@r3\nclock_skew_ms = 10\n";

fn node(name: &str) -> NodeRef {
    NodeRef { name: NodeName::new(name), incarnation: Incarnation(1) }
}

fn id() -> SubmissionId {
    SubmissionId::from_parts(NOW, 5)
}

fn request() -> RelayRequest {
    RelayRequest {
        submission: id(),
        service: "booking".to_owned(),
        kind: "holds".to_owned(),
        tasks: vec!["seat 4A".into()],
        deadline_ms: Some(2_000),
        repeatable: false,
    }
}

fn digest() -> Digest {
    Digest::of("booking", "holds", false, ["seat 4A"].into_iter())
}

/// An entry with settings and sessions to three agents, each of which has lent it one token.
struct Fixture {
    entry: Entry,
    now: Time,
    calls: u64,
}

impl Fixture {
    fn new() -> Self {
        let setup = Setup { node: node("e1"), hall: "h1".to_owned() };
        let mut fixture = Self { entry: Entry::new(setup), now: NOW, calls: 0 };
        let tree = Tree::from_ini(TREE).unwrap();
        fixture.handle(Event::Settings { catalog: Arc::new(Catalog::new(1, &tree)) });
        for number in 1..=3u64 {
            let name = format!("a{number}");
            let info = AgentInfo {
                agent: node(&name),
                service: "booking".to_owned(),
                hall: "h1".to_owned(),
                rack: format!("r{number}"),
                slots: 2,
                votes_from: NOW - Duration::from_secs(5),
                leaving: false,
            };
            let connection = Connection(number);
            fixture.handle(Event::Connected { connection, info });
            let reply = Some(SyncReply { granted: 1, ..SyncReply::default() });
            fixture.handle(Event::SyncReplied { agent: NodeName::new(&name), connection, reply });
        }
        fixture
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.entry.handle(self.now, event, &mut actions);
        actions
    }

    fn submit(&mut self) -> Vec<Action> {
        self.calls += 1;
        let call = CallId(self.calls);
        self.handle(Event::Submit { call, request: request(), relayed: false })
    }

    fn claimed(&mut self, holder: &str, reply: ClaimReply) -> Vec<Action> {
        let holder = NodeName::new(holder);
        self.handle(Event::ClaimReplied { holder, submission: id(), reply: Some(reply) })
    }
}

fn starts(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Start { .. })).count()
}

fn outcome(actions: &[Action]) -> Option<RelayReply> {
    actions.iter().find_map(|action| match action {
        Action::Respond { reply, .. } => Some(reply.clone()),
        _ => None,
    })
}

fn failure(actions: &[Action]) -> Option<(Code, Verdict)> {
    outcome(actions)?.err().map(|failure| (failure.code, failure.verdict))
}

fn other_claim() -> ClaimReply {
    ClaimReply::Held(Claim { owner: node("e2"), digest: digest() })
}

#[test]
fn a_task_starts_only_after_a_majority_of_grants() {
    let mut fixture = Fixture::new();
    fixture.submit();
    assert_eq!(starts(&fixture.claimed("a1", ClaimReply::Granted)), 0);
    assert_eq!(starts(&fixture.claimed("a2", ClaimReply::Granted)), 1);
    assert_eq!(starts(&fixture.claimed("a3", ClaimReply::Granted)), 0);
}

#[test]
fn a_renewed_claim_of_a_forgotten_submission_starts_nothing() {
    let mut fixture = Fixture::new();
    fixture.submit();
    fixture.claimed("a1", ClaimReply::Granted);
    let actions = fixture.claimed("a2", ClaimReply::Renewed);
    assert_eq!(starts(&actions), 0);
    assert_eq!(failure(&actions), Some((Code::AnswerDropped, Verdict::MayHaveRun)));
}

#[test]
fn a_lookup_reply_does_not_count_as_a_claim_vote() {
    let mut fixture = Fixture::new();
    let call = CallId(99);
    fixture.handle(Event::Fetch { call, submission: id(), relayed: false });
    fixture.submit();
    for holder in ["a1", "a2", "a3"] {
        let reply = Some(LookupReply::Free);
        let holder = NodeName::new(holder);
        let actions = fixture.handle(Event::LookupReplied { holder, submission: id(), reply });
        assert_eq!(starts(&actions), 0);
    }
}

#[test]
fn a_late_relay_reply_does_not_answer_the_next_call() {
    let mut fixture = Fixture::new();
    fixture.submit();
    fixture.claimed("a1", other_claim());
    fixture.claimed("a2", other_claim());
    fixture.now = NOW + Duration::from_secs(3);
    let timed_out = fixture.handle(Event::Tick);
    assert_eq!(failure(&timed_out), Some((Code::DeadlinePassed, Verdict::MayHaveRun)));
    fixture.submit();
    fixture.claimed("a1", other_claim());
    fixture.claimed("a2", other_claim());
    let refusal = Failure::new(Code::Overloaded, Verdict::NotRun, "full");
    let owner_replied =
        |call| Event::OwnerReplied { call, submission: id(), reply: Some(Err(refusal.clone())) };
    assert_eq!(outcome(&fixture.handle(owner_replied(OwnerCall(1)))), None);
    let current = fixture.handle(owner_replied(OwnerCall(2)));
    assert_eq!(failure(&current), Some((Code::Overloaded, Verdict::NotRun)));
}

#[test]
fn an_old_not_run_reply_is_passed_on_as_may_have_run() {
    let mut fixture = Fixture::new();
    fixture.submit();
    fixture.claimed("a1", other_claim());
    fixture.claimed("a2", other_claim());
    fixture.now = NOW + Duration::from_millis(501);
    let refusal = Failure::new(Code::Overloaded, Verdict::NotRun, "full");
    let reply = Some(Err(refusal));
    let actions =
        fixture.handle(Event::OwnerReplied { call: OwnerCall(1), submission: id(), reply });
    assert_eq!(failure(&actions), Some((Code::Overloaded, Verdict::MayHaveRun)));
}

#[test]
fn settings_of_a_lower_version_are_rejected() {
    let mut fixture = Fixture::new();
    let tree = Tree::from_ini(TREE).unwrap();
    fixture.handle(Event::Settings { catalog: Arc::new(Catalog::new(4, &tree)) });
    fixture.handle(Event::Settings { catalog: Arc::new(Catalog::new(3, &tree)) });
    assert_eq!(fixture.entry.settings_version(), Some(4));
    assert_eq!(fixture.entry.counters().breaches, 1);
}

#[test]
fn unconfirmed_settings_stop_admission_until_they_are_confirmed() {
    let mut fixture = Fixture::new();
    fixture.now = NOW + Duration::from_secs(9);
    fixture.submit();
    fixture.claimed("a1", ClaimReply::Granted);
    let refused = fixture.claimed("a2", ClaimReply::Granted);
    assert_eq!(failure(&refused), Some((Code::NotReady, Verdict::NotRun)));
    fixture.now = fixture.now + Duration::from_secs(2);
    let at = fixture.now;
    fixture.handle(Event::SettingsConfirmed { at });
    fixture.submit();
    assert_eq!(fixture.entry.counters().active, 1);
}
