//! Inheritance, validation and INI round trips of the settings tree.

use std::time::Duration;

use proptest::prelude::*;
use settings::{Catalog, Edit, SERVICE_KEYS, SectionPath, ServiceState, Tree};

const BOOKING: &str = "
[/]
deadline_ms = 900

[booking]
team = kyushu

[booking/holds]
deadline_ms = 400

[booking/lookups]

[teams/kyushu]
weight = 7
";

fn set(section: &str, key: &str, value: &str) -> Edit {
    let section = section.parse().unwrap();
    Edit::Set { section, key: key.to_owned(), value: value.to_owned() }
}

#[test]
fn sections_inherit_values_that_they_do_not_set() {
    let tree = Tree::from_ini(BOOKING).unwrap();
    let catalog = Catalog::new(3, &tree);
    let holds = catalog.kind("booking", "holds").unwrap();
    let lookups = catalog.kind("booking", "lookups").unwrap();
    assert_eq!(holds.deadline, Duration::from_millis(400));
    assert_eq!(lookups.deadline, Duration::from_millis(900));
    assert_eq!((holds.team.as_str(), lookups.team.as_str()), ("kyushu", "kyushu"));
    assert_eq!(catalog.team("kyushu").weight, 7);
    assert_eq!(catalog.team("unwritten").weight, 1);
    assert!(catalog.kind("booking", "refunds").is_none());
}

#[test]
fn kinds_inherit_the_state_of_a_stopped_service() {
    let tree = Tree::from_ini(BOOKING).unwrap();
    let stopped = tree.with_edits(&[set("booking", "state", "stopped")]).unwrap();
    let catalog = Catalog::new(4, &stopped);
    assert_eq!(catalog.kind("booking", "holds").unwrap().state, ServiceState::Stopped);
}

#[test]
fn errors_name_section_key_and_reason() {
    let cases = [
        ("[booking]\nspeed = 3\n", "[booking] speed: unknown key"),
        ("[booking]\ndeadline_ms = 0\n", "[booking] deadline_ms: 0 is out of range"),
        ("[booking]\ndeadline_ms = 2s\n", "[booking] deadline_ms: '2s' is not a whole number"),
        ("[booking]\nstate = paused\n", "[booking] state: 'paused' is none of"),
        ("[booking/holds]\n", "[booking/holds] -: its parent [booking] is missing"),
        ("[Booking]\n", "[Booking] -: a path is words"),
        ("[booking]\n[booking]\n", "[booking] -: the section occurs twice"),
        ("[booking]\nteam = a\nteam = b\n", "[booking] team: the key occurs twice"),
        ("deadline_ms = 3\n", "[-] deadline_ms: the key is outside any section"),
        ("[fleet]\nclaim_view = a1@r1 a2\n", "[fleet] claim_view: 'a2' is not NAME@RACK"),
        ("[fleet]\nclaim_view = a1@r1 a1@r2\n", "[fleet] claim_view: 'a1' stands twice"),
        ("[teams/a/b]\n", "[teams/a/b] -: a team's section"),
        ("[booking", "not valid INI"),
    ];
    for (text, expected) in cases {
        let error = Tree::from_ini(text).unwrap_err().to_string();
        assert!(error.contains(expected), "{text:?} gave {error:?}");
    }
}

#[test]
fn a_rejected_edit_leaves_the_tree_unchanged() {
    let tree = Tree::from_ini(BOOKING).unwrap();
    let edits = [set("booking", "team", "other"), set("booking", "deadline_ms", "none")];
    assert!(tree.with_edits(&edits).is_err());
    assert_eq!(tree, Tree::from_ini(BOOKING).unwrap());
}

#[test]
fn removing_a_section_removes_its_descendants() {
    let tree = Tree::from_ini(BOOKING).unwrap();
    let section: SectionPath = "booking".parse().unwrap();
    let updated = tree.with_edits(&[Edit::Remove { section }]).unwrap();
    let remaining: Vec<_> = updated.paths().map(SectionPath::as_str).collect();
    assert_eq!(remaining, ["/", "teams/kyushu"]);
}

proptest! {
    #[test]
    fn ini_text_round_trips(
        values in proptest::collection::vec((0..SERVICE_KEYS.len(), "[a-z]{1,6}", 1u64..400), 0..12),
    ) {
        let mut tree = Tree::default();
        for (key, service, number) in values {
            let key = &SERVICE_KEYS[key];
            let value = match key.name {
                "state" => "stopped".to_owned(),
                "team" => format!("team{number}"),
                "retry_percent" => (number % 101).to_string(),
                _ => number.to_string(),
            };
            if let Ok(updated) = tree.with_edits(&[set(&service, key.name, &value)]) {
                tree = updated;
            }
        }
        prop_assert_eq!(Tree::from_ini(&tree.to_ini()).unwrap(), tree);
    }

    #[test]
    fn edits_to_produces_the_target_tree(
        from in proptest::collection::vec(("[a-c]", "[x-z]", 1u64..400), 0..6),
        to in proptest::collection::vec(("[a-c]", "[x-z]", 1u64..400), 0..6),
    ) {
        let build = |sections: &[(String, String, u64)]| {
            let mut tree = Tree::default();
            for (service, kind, number) in sections {
                let child = format!("{service}/{kind}");
                let edits = [
                    Edit::Add { section: service.parse().unwrap() },
                    set(&child, "deadline_ms", &number.to_string()),
                ];
                tree = tree.with_edits(&edits).unwrap();
            }
            tree
        };
        let (from, to) = (build(&from), build(&to));
        let edits = from.edits_to(&to);
        prop_assert_eq!(from.with_edits(&edits).unwrap(), to);
    }

    #[test]
    fn arbitrary_text_is_rejected_or_round_trips(text in "[\\[\\]a-z/=\\n ;#\"]{0,80}") {
        if let Ok(tree) = Tree::from_ini(&text) {
            prop_assert_eq!(Tree::from_ini(&tree.to_ini()).unwrap(), tree);
        }
    }
}
