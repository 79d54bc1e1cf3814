//! Emptying and refilling halls, at a single keeper.

mod support;

use std::time::Duration;

use consensus::Record;
use keeper::{CallId, Event, LogCommand, Reply, State, initial_records};
use model::NodeName;
use settings::Tree;
use wire::{EmptiedHalls, HallOrder, WatchReply, WatchRequest};

use support::{One, node};

impl One {
    /// Sends a hall command and returns the emptied halls after it.
    fn order(&mut self, hall: &str, takes_work: bool) -> EmptiedHalls {
        match self.reply_to(|call| Event::HallCommand(call, order(hall, takes_work))) {
            Some(Reply::Halls(halls)) => halls,
            other => panic!("{other:?}"),
        }
    }

    fn empty(&mut self, hall: &str) -> EmptiedHalls {
        self.order(hall, false)
    }

    fn refill(&mut self, hall: &str) -> EmptiedHalls {
        self.order(hall, true)
    }

    fn read(&mut self) -> EmptiedHalls {
        match self.reply_to(Event::ReadHalls) {
            Some(Reply::Halls(halls)) => halls,
            other => panic!("{other:?}"),
        }
    }

    fn watch(&mut self, halls: u64) -> (CallId, Vec<(CallId, Reply)>) {
        let call = self.call();
        let revision = match self.list_revision() {
            0 => panic!("a keeper has a list"),
            revision => revision,
        };
        let request = WatchRequest {
            node: node(1),
            document: 0,
            revision: Some(revision),
            halls,
            keepers: 0,
        };
        let replies = self.handle(Event::Watch(call, request));
        (call, replies)
    }

    /// The revision of the list of nodes after the node has registered.
    fn list_revision(&mut self) -> u64 {
        let request = WatchRequest {
            node: node(1),
            document: 0,
            revision: Some(0),
            halls: u64::MAX,
            keepers: 0,
        };
        match self.reply_to(|call| Event::Watch(call, request)) {
            Some(Reply::Watch(WatchReply { nodes: Some(news), .. })) => news.revision(),
            other => panic!("{other:?}"),
        }
    }
}

fn order(hall: &str, takes_work: bool) -> HallOrder {
    HallOrder { hall: hall.parse().expect("a name"), takes_work }
}

fn names(halls: &EmptiedHalls) -> Vec<&str> {
    halls.halls.iter().map(wire::HallName::as_str).collect()
}

#[test]
fn the_last_order_of_each_hall_holds() {
    let mut one = One::new();
    assert_eq!(one.read(), EmptiedHalls::default());
    assert_eq!(names(&one.empty("north")), ["north"]);
    assert_eq!(names(&one.empty("south")), ["north", "south"]);
    assert_eq!(names(&one.refill("north")), ["south"]);
    assert_eq!(names(&one.read()), ["south"]);
}

#[test]
fn an_order_sent_again_is_acknowledged_and_changes_nothing() {
    let mut one = One::new();
    let first = one.empty("north");
    assert_eq!(one.empty("north"), first, "the same revision, so that no node is told again");
    let refilled = one.refill("north");
    assert!(refilled.revision > first.revision);
    assert_eq!(one.refill("north"), refilled);
    assert_eq!(one.refill("never-emptied"), refilled, "a hall that nobody emptied takes work");
}

/// Commands that wait for the same commit must be applied in the order of their arrival, so that
/// the last one takes effect even after retries.
#[test]
fn copies_that_wait_together_are_carried_out_in_the_order_in_which_they_came() {
    for kinds in 0..16u32 {
        let mut one = One::new();
        let orders: Vec<bool> = (0..4).map(|bit| kinds & (1 << bit) != 0).collect();
        for takes_work in &orders {
            let call = one.call();
            one.handle(Event::HallCommand(call, order("north", *takes_work)));
        }
        one.run_for(Duration::from_millis(50));
        let emptied = one.read().contains("north");
        assert_eq!(emptied, !orders[3], "{orders:?}");
    }
}

#[test]
fn orders_outlive_a_restart_and_a_snapshot() {
    let mut one = One::new();
    one.empty("north");
    assert_eq!(names(&one.restart().read()), ["north"]);
    for _ in 0..600 {
        one.refill("south");
        one.empty("south");
    }
    let snapshots = one.records.iter().filter(|record| matches!(record, Record::Snapshot(_)));
    assert!(snapshots.count() > 0, "the log was replaced by a snapshot");
    let (before, mut again) = (one.read(), one.restart());
    assert_eq!(again.read(), before);
    assert!(again.refill("north").revision > before.revision, "revisions never begin anew");
}

#[test]
fn a_snapshot_of_the_version_before_opens_with_no_hall_emptied() {
    let mut state = serde_json::to_value(State::new(Tree::default())).expect("it is JSON");
    let fields = state.as_object_mut().expect("a state has fields");
    assert!(fields.remove("halls").is_some(), "the version before had no such field");
    let state: State = serde_json::from_value(state).expect("it opens");
    assert_eq!(*state.halls(), EmptiedHalls::default());
    assert_eq!(state.version(), 1);
}

#[test]
fn a_keeper_that_is_not_sure_to_lead_takes_no_order_and_tells_nothing() {
    let names = ["k1", "k2", "k3"].map(NodeName::new);
    let mut alone = One::from_records(initial_records(names.to_vec(), Tree::default()));
    alone.run_for(Duration::from_secs(5));
    let ordered = alone.reply_to(|call| Event::HallCommand(call, order("north", false)));
    assert_eq!(ordered, Some(Reply::NotLeader(None)));
    assert_eq!(alone.reply_to(Event::ReadHalls), Some(Reply::NotLeader(None)));
}

#[test]
fn a_watching_node_is_told_at_once_and_only_what_is_new() {
    let mut one = One::new();
    let (waiting, at_once) = one.watch(0);
    assert_eq!(at_once, [], "there is no order yet");
    let call = one.call();
    let mut replies = one.handle(Event::HallCommand(call, order("north", false)));
    replies.extend(one.run_for(Duration::from_millis(10)));
    let told = told(&replies, waiting).expect("it is told with the order's acknowledgement");
    assert_eq!(names(&told), ["north"]);
    let (_, at_once) = one.watch(told.revision);
    assert_eq!(at_once, [], "it has that already");
    let (behind, at_once) = one.watch(0);
    assert_eq!(self::told(&at_once, behind), Some(told), "a node that has just started");
}

fn told(replies: &[(CallId, Reply)], to: CallId) -> Option<EmptiedHalls> {
    replies.iter().find_map(|(call, reply)| match reply {
        Reply::Watch(reply) if *call == to => reply.halls.clone(),
        _ => None,
    })
}

#[test]
fn entries_of_the_version_before_are_read_as_before() {
    let document = r#"{"version":7,"body":"seven"}"#;
    let read: LogCommand = serde_json::from_str(document).expect("it is read");
    assert!(matches!(read, LogCommand::Replace(document) if document.version == 7));
    let change = r#"{"request":{"change":"c","base_version":1,"edits":[]},"taken":5}"#;
    let read: LogCommand = serde_json::from_str(change).expect("it is read");
    assert!(matches!(read, LogCommand::Change(command) if command.request.change == "c"));
    let order = serde_json::to_string(&LogCommand::Hall(order("north", false))).expect("JSON");
    let read: LogCommand = serde_json::from_str(&order).expect("it is read");
    assert_eq!(read, LogCommand::Hall(self::order("north", false)));
}
