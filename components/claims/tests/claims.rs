//! Tests of registers, views and rounds: at most one entry owns a submission, whatever messages
//! are lost and whichever holders restart.

use std::collections::HashMap;
use std::time::Duration;

use claims::{
    AbstainReason, Claim, ClaimReply, ClaimRequest, LookupReply, Member, Register, Round,
    RoundState, View, Views, Vote, Window,
};
use model::{Digest, Incarnation, NodeName, NodeRef, SubmissionId, Time};
use proptest::prelude::*;

const START: Time = Time::from_millis(1_000_000);
const WINDOW: Window =
    Window { retention: Duration::from_secs(600), clock_skew: Duration::from_millis(250) };

fn submission(random: u128) -> SubmissionId {
    SubmissionId::from_parts(START + Duration::from_secs(5), random)
}

fn claim(entry: u64) -> Claim {
    let owner = NodeRef { name: NodeName::new(&format!("e{entry}")), incarnation: Incarnation(1) };
    Claim { owner, digest: Digest::of("booking", "holds", false, ["seat"].into_iter()) }
}

fn members(count: usize, racks: usize) -> Vec<Member> {
    (0..count).map(|n| format!("a{n}@r{}", n % racks).parse().unwrap()).collect()
}

#[test]
fn holders_are_in_different_racks() {
    let all = members(30, 10);
    let rack_of: HashMap<_, _> = all.iter().map(|m| (m.name.clone(), m.rack.clone())).collect();
    let view = View::new(&all);
    for random in 0..200 {
        let holders = view.holders(submission(random << 64));
        let mut racks: Vec<_> = holders.iter().map(|name| &rack_of[name]).collect();
        racks.sort();
        racks.dedup();
        assert_eq!((holders.len(), racks.len()), (3, 3));
    }
}

#[test]
fn two_racks_still_give_three_holders() {
    let holders = View::new(&members(4, 2)).holders(submission(9));
    assert_eq!(holders.len(), 3);
}

#[test]
fn an_added_member_moves_few_claims() {
    let before = View::new(&members(30, 10));
    let after = View::new(&members(31, 10));
    let moved = |random: &u128| {
        before.holders(submission(random << 64)) != after.holders(submission(random << 64))
    };
    let count = (0..1_000u128).filter(moved).count();
    assert!(count < 150, "{count} of 1000 moved");
}

#[test]
fn a_restarted_holder_does_not_vote_on_older_ids() {
    let request = ClaimRequest { submission: submission(1), claim: claim(1) };
    let now = START + Duration::from_secs(6);
    let mut before_restart = Register::new(START);
    assert_eq!(before_restart.claim(&request, &WINDOW, now), ClaimReply::Granted);
    let mut after_restart = Register::new(now);
    let reply = after_restart.claim(&request, &WINDOW, now + Duration::from_secs(1));
    assert_eq!(reply, ClaimReply::Silent(AbstainReason::BeforeStart));
}

#[test]
fn claims_are_removed_only_after_their_retention() {
    let request = ClaimRequest { submission: submission(1), claim: claim(1) };
    let mut register = Register::new(START);
    register.claim(&request, &WINDOW, START + Duration::from_secs(5));
    register.expire(&WINDOW, WINDOW.kept_until(request.submission));
    assert_eq!(register.len(), 1);
    let later = WINDOW.kept_until(request.submission) + Duration::from_secs(2);
    register.expire(&WINDOW, later);
    assert!(register.is_empty());
    let reply = register.claim(&request, &WINDOW, later);
    assert_eq!(reply, ClaimReply::Silent(AbstainReason::OutsideWindow));
}

#[test]
fn a_raised_retention_keeps_held_claims_and_gives_no_vote_on_removed_ones() {
    let long = Window { retention: Duration::from_secs(1_200), ..WINDOW };
    let request = ClaimRequest { submission: submission(1), claim: claim(1) };
    let mut register = Register::new(START);
    register.claim(&request, &WINDOW, START + Duration::from_secs(5));
    register.expire(&WINDOW, START + Duration::from_secs(100));
    let later = WINDOW.kept_until(request.submission) + Duration::from_secs(2);
    register.expire(&long, later);
    assert!(matches!(register.lookup(request.submission, &long, later), LookupReply::Held(_)));
    let forgotten = START + Duration::from_secs(1_300);
    register.expire(&WINDOW, forgotten);
    let reply = register.claim(&request, &long, forgotten - Duration::from_secs(200));
    assert_eq!(reply, ClaimReply::Silent(AbstainReason::OutsideWindow));
}

#[test]
fn a_repeated_claim_is_renewed_and_can_be_looked_up() {
    let request = ClaimRequest { submission: submission(1), claim: claim(1) };
    let now = START + Duration::from_secs(6);
    let mut register = Register::new(START);
    let lookup = |register: &Register| register.lookup(request.submission, &WINDOW, now);
    assert_eq!(lookup(&register), LookupReply::Free);
    assert_eq!(register.claim(&request, &WINDOW, now), ClaimReply::Granted);
    assert_eq!(register.claim(&request, &WINDOW, now), ClaimReply::Renewed);
    assert_eq!(lookup(&register), LookupReply::Held(claim(1)));
    let restarted = Register::new(now);
    assert_eq!(lookup(&restarted), LookupReply::Silent(AbstainReason::BeforeStart));
}

#[test]
fn an_empty_view_has_no_quorum() {
    let round = Round::new(Views::default().holders(submission(1), START));
    assert_eq!(round.state(), RoundState::NoQuorum);
}

#[test]
fn both_views_must_agree_after_a_change() {
    let views = Views::new(
        View::new(&members(3, 3)),
        Some((View::new(&["b0@r0", "b1@r1", "b2@r2"].map(|m| m.parse().unwrap())), START)),
    );
    let mut round = Round::new(views.holders(submission(1), START));
    for name in ["a0", "a1", "a2", "b0"] {
        round.record(&NodeName::new(name), Vote::Granted);
        assert_eq!(round.state(), RoundState::Open);
    }
    round.record(&NodeName::new("b1"), Vote::Granted);
    assert_eq!(round.state(), RoundState::Won);
    let later = views.holders(submission(1), START + Duration::from_secs(1));
    assert_eq!(later.len(), 1);
}

/// A step of concurrent claim rounds: a request reaches a holder, or a holder restarts.
#[derive(Clone, Debug)]
enum Step {
    Deliver { entry: usize, holder: usize, reply_lost: bool },
    Restart { holder: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let deliver = (0..4usize, 0..3usize, any::<bool>())
        .prop_map(|(entry, holder, reply_lost)| Step::Deliver { entry, holder, reply_lost });
    let restart = (0..3usize).prop_map(|holder| Step::Restart { holder });
    proptest::collection::vec(prop_oneof![6 => deliver, 1 => restart], 0..40)
}

proptest! {
    #[test]
    fn at_most_one_entry_owns_a_submission(steps in steps()) {
        let now = START + Duration::from_secs(6);
        let names: Vec<NodeName> = (0..3).map(|n| NodeName::new(&format!("a{n}"))).collect();
        let mut registers: Vec<Register> = (0..3).map(|_| Register::new(START)).collect();
        let mut rounds: Vec<Round> = (0..4).map(|_| Round::new(vec![names.clone()])).collect();
        for step in steps {
            match step {
                Step::Restart { holder } => registers[holder] = Register::new(now),
                Step::Deliver { entry, holder, reply_lost } => {
                    let request =
                        ClaimRequest { submission: submission(1), claim: claim(entry as u64) };
                    let reply = registers[holder].claim(&request, &WINDOW, now);
                    let vote = if reply_lost { Vote::Absent } else { Vote::from(&reply) };
                    rounds[entry].record(&names[holder], vote);
                }
            }
        }
        let won = rounds.iter().filter(|round| round.state() == RoundState::Won).count();
        prop_assert!(won <= 1, "{won} owners");
    }
}
