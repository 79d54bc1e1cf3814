//! The nodes that a keeper stores across restarts and notifies after a start.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use keeper::{Roster, RosterWork, StoredNode};
use model::{Incarnation, NodeName, Time};
use wire::{NodeInfo, NodeRole};

const START: Time = Time::from_millis(1_000_000);

fn host(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

fn stored_node(number: u8) -> StoredNode {
    StoredNode { name: NodeName::new(&format!("n{number}")), host: host(number) }
}

fn node(number: u8) -> NodeInfo {
    NodeInfo {
        name: NodeName::new(&format!("n{number}")),
        role: NodeRole::Agent,
        address: SocketAddr::new(host(number), 7_400),
        incarnation: Incarnation(1),
        service: Arc::from("work"),
    }
}

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// Advances the time in steps of 10 ms; returns the work that was due, with its time in ms.
fn run(roster: &mut Roster, from: u64, to: u64) -> Vec<(u64, RosterWork)> {
    let due = |millis| (millis, roster.tick(after(millis)));
    let all = (from..to).step_by(10).map(due);
    all.filter(|(_, work)| *work != RosterWork::default()).collect()
}

/// After a power loss of the fleet, a keeper that no settings name must become known to the nodes.
#[test]
fn a_starting_keeper_notifies_stored_nodes_until_they_register() {
    let mut roster = Roster::new(START, vec![stored_node(1), stored_node(2)]);
    let due = run(&mut roster, 0, 60);
    let notify = vec![host(1), host(2)];
    assert_eq!(due, [(0, RosterWork { notify, store: None })], "the first notice is immediate");
    roster.record_contact(after(60), &node(1));
    let due = run(&mut roster, 60, 200);
    assert!(due.len() >= 2, "notices are repeated");
    assert!(due.iter().all(|(_, work)| work.notify == [host(2)]), "{due:?}");
    roster.record_contact(after(200), &node(2));
    assert_eq!(run(&mut roster, 200, 1_900), [], "all nodes have registered");
    assert_eq!(roster.next_timer(), None);
}

#[test]
fn a_node_that_never_registers_is_notified_for_a_limited_time() {
    let mut roster = Roster::new(START, vec![stored_node(1)]);
    let due = run(&mut roster, 0, 20_000);
    let (last, _) = due.last().expect("the node was notified");
    assert!((4_500..5_000).contains(last), "{last}");
    assert_eq!(roster.next_timer(), None);
}

#[test]
fn nodes_are_stored_after_all_have_registered() {
    let mut roster = Roster::new(START, Vec::new());
    assert_eq!(roster.next_timer(), None);
    roster.record_contact(after(100), &node(1));
    roster.record_contact(after(900), &node(2));
    let stored = Some(vec![stored_node(1), stored_node(2)]);
    let due = run(&mut roster, 900, 10_000);
    assert_eq!(
        due,
        [(2_000, RosterWork { notify: Vec::new(), store: stored })],
        "all nodes are stored together"
    );
    roster.record_contact(after(10_000), &node(2));
    assert_eq!(run(&mut roster, 10_000, 12_000), [], "an unchanged list is not stored again");
}

/// A keeper that stops again soon after its start must not lose the nodes that it had stored.
#[test]
fn nodes_that_have_not_registered_again_stay_stored() {
    let mut roster = Roster::new(START, vec![stored_node(1)]);
    roster.record_contact(after(50), &node(2));
    let due = run(&mut roster, 1_990, 2_100);
    let stored = due.iter().find_map(|(_, work)| work.store.clone());
    assert_eq!(stored, Some(vec![stored_node(1), stored_node(2)]));
}

#[test]
fn a_moved_node_is_stored_with_its_new_host_and_a_silent_one_removed() {
    let mut roster = Roster::new(START, Vec::new());
    roster.record_contact(after(0), &node(1));
    roster.record_contact(after(0), &node(2));
    run(&mut roster, 0, 3_000);
    let moved = NodeInfo { address: SocketAddr::new(host(9), 7_400), ..node(1) };
    roster.record_contact(after(70_000), &moved);
    let due = run(&mut roster, 70_000, 71_000);
    let stored = vec![StoredNode { host: host(9), ..stored_node(1) }];
    assert_eq!(due, [(70_000, RosterWork { notify: Vec::new(), store: Some(stored) })]);
}
