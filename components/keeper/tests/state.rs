//! Changes of the settings tree: conflicts, retries, deltas and claim views.

use keeper::{SettingsChange, State};
use model::Time;
use settings::{Catalog, Edit, SectionPath, Tree};
use wire::{ChangeRequest, ChangeResult, PullReply};

const TREE: &str = "[booking]\n[booking/holds]\n[fleet]\nclaim_view = a1@r1 a2@r2 a3@r3\n";

fn state() -> State {
    State::new(Tree::from_ini(TREE).unwrap())
}

fn set(section: &str, key: &str, value: &str) -> Edit {
    Edit::Set { section: section.parse().unwrap(), key: key.to_owned(), value: value.to_owned() }
}

fn change_request(change: &str, base_version: u64, edits: Vec<Edit>) -> SettingsChange {
    let request = ChangeRequest { change: change.to_owned(), base_version, edits };
    SettingsChange { request, accepted_at: Time::from_millis(1_000_000) }
}

#[test]
fn concurrent_changes_conflict_only_in_the_same_section() {
    let mut state = state();
    let first = change_request("c1", 1, vec![set("booking", "team", "kyushu")]);
    let same = change_request("c2", 1, vec![set("booking", "deadline_ms", "900")]);
    let other = change_request("c3", 1, vec![set("booking/holds", "deadline_ms", "400")]);
    assert_eq!(state.apply_change(&first), ChangeResult::Accepted { version: 2 });
    let conflict = ChangeResult::Conflict { version: 2, sections: vec!["booking".to_owned()] };
    assert_eq!(state.apply_change(&same), conflict);
    assert_eq!(state.apply_change(&other), ChangeResult::Accepted { version: 3 });
}

#[test]
fn a_repeated_change_returns_its_first_result() {
    let mut state = state();
    let change = change_request("c1", 1, vec![set("booking", "team", "kyushu")]);
    assert_eq!(state.apply_change(&change), ChangeResult::Accepted { version: 2 });
    state.apply_change(&change_request("c2", 2, vec![set("booking", "team", "other")]));
    assert_eq!(state.apply_change(&change), ChangeResult::Accepted { version: 2 });
    assert_eq!(state.version(), 3);
    let booking: SectionPath = "booking".parse().unwrap();
    assert_eq!(state.tree().explicit_text(&booking, "team"), Some("other"));
}

#[test]
fn an_invalid_change_is_refused_with_its_reason() {
    let mut state = state();
    let result =
        state.apply_change(&change_request("c1", 1, vec![set("booking", "deadline_ms", "soon")]));
    let ChangeResult::Invalid { reason } = result else { panic!("{result:?}") };
    assert!(reason.contains("[booking] deadline_ms"), "{reason}");
    assert_eq!(state.version(), 1);
}

#[test]
fn applying_deltas_gives_the_current_tree() {
    let mut state = state();
    for number in 0..500u64 {
        let edit = set("booking", "deadline_ms", &(number + 1).to_string());
        state.apply_change(&change_request(&format!("c{number}"), number + 1, vec![edit]));
    }
    assert_eq!(state.update_since(Some(501)), PullReply::Current);
    let PullReply::Snapshot { version: 501, tree } = state.update_since(Some(1)) else {
        panic!("500 edits are longer than the tree")
    };
    assert_eq!(&tree, state.tree());
    let PullReply::Delta { version: 501, edits } = state.update_since(Some(498)) else { panic!() };
    let mut lagging = tree.with_edits(&[set("booking", "deadline_ms", "498")]).unwrap();
    for edits in edits {
        lagging = lagging.with_edits(&edits).unwrap();
    }
    assert_eq!(&lagging, state.tree());
}

#[test]
fn a_changed_claim_view_keeps_the_previous_one_for_a_time() {
    let mut state = state();
    let view = |names: &str| vec![set("fleet", "claim_view", names)];
    let accepted = state.apply_change(&change_request("c1", 1, view("b1@r1 b2@r2 b3@r3")));
    assert_eq!(accepted, ChangeResult::Accepted { version: 2 });
    let catalog = Catalog::new(2, state.tree());
    assert_eq!(catalog.fleet().previous_claim_view, ["a1@r1", "a2@r2", "a3@r3"]);
    assert!(catalog.fleet().previous_claim_view_until > Time::from_millis(1_600_000));
    let soon = state.apply_change(&change_request("c2", 2, view("d1@r1 d2@r2 d3@r3")));
    assert!(matches!(soon, ChangeResult::Invalid { .. }), "{soon:?}");
    let forged = change_request("c3", 2, vec![set("fleet", "previous_claim_view", "")]);
    assert!(matches!(state.apply_change(&forged), ChangeResult::Invalid { .. }));
}
