//! Emptying and refilling halls, at a single keeper.

mod support;

use std::time::Duration;

use consensus::Record;
use keeper::{CallId, Event, LogCommand, Reply, State, initial_records};
use model::NodeName;
use settings::Tree;
use wire::{EmptiedHalls, WatchReply, WatchRequest};

use support::{SingleKeeper, hall_command, node};

impl SingleKeeper {
    /// Sends a hall command, confirms it if asked to, and returns the emptied halls after it.
    fn command(&mut self, hall: &str, takes_work: bool) -> EmptiedHalls {
        self.send_acknowledged(&hall_command(hall, takes_work)).0
    }

    fn empty(&mut self, hall: &str) -> EmptiedHalls {
        self.command(hall, false)
    }

    fn refill(&mut self, hall: &str) -> EmptiedHalls {
        self.command(hall, true)
    }

    fn read(&mut self) -> EmptiedHalls {
        match self.reply_to(Event::ReadHalls) {
            Some(Reply::Halls(halls)) => halls,
            other => panic!("unexpected reply: {other:?}"),
        }
    }

    fn watch(&mut self, halls: u64) -> (CallId, Vec<(CallId, Reply)>) {
        let call = self.next_call_id();
        let revision = match self.list_revision() {
            0 => panic!("the list has no revision"),
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
            Some(Reply::Watch(WatchReply { nodes: Some(update), .. })) => update.revision(),
            other => panic!("unexpected reply: {other:?}"),
        }
    }
}

fn names(halls: &EmptiedHalls) -> Vec<&str> {
    halls.halls.iter().map(wire::HallName::as_str).collect()
}

#[test]
fn the_last_command_for_each_hall_wins() {
    let mut single = SingleKeeper::new();
    assert_eq!(single.read(), EmptiedHalls::default());
    assert_eq!(names(&single.empty("north")), ["north"]);
    assert_eq!(names(&single.empty("south")), ["north", "south"]);
    assert_eq!(names(&single.refill("north")), ["south"]);
    assert_eq!(names(&single.read()), ["south"]);
}

#[test]
fn a_repeated_command_is_acknowledged_and_changes_nothing() {
    let mut single = SingleKeeper::new();
    let first = single.empty("north");
    assert_eq!(single.empty("north"), first, "a repeated command must not change the revision");
    let refilled = single.refill("north");
    assert!(refilled.revision > first.revision);
    assert_eq!(single.refill("north"), refilled);
    assert_eq!(
        single.refill("never-emptied"),
        refilled,
        "a hall that was never emptied takes work"
    );
}

/// Of commands that arrive together, some may be late copies. The first one for a hall is carried
/// out, the same ones are acknowledged with it, and the senders of the opposite ones have to confirm.
#[test]
fn opposite_commands_that_arrive_together_are_not_carried_out_without_a_confirmation() {
    for mask in 0..16u32 {
        let mut single = SingleKeeper::new();
        let commands: Vec<bool> = (0..4).map(|bit| mask & (1 << bit) != 0).collect();
        let mut replies = Vec::new();
        for takes_work in &commands {
            let call = single.next_call_id();
            let command = hall_command("north", *takes_work);
            replies.extend(single.handle(Event::HallCommand(call, command, None)));
        }
        replies.extend(single.run_for(Duration::from_secs(1)));
        let emptied = single.read().contains("north");
        assert_eq!(emptied, !commands[0], "{commands:?}");
        replies.sort_by_key(|(call, _)| *call);
        let acknowledged: Vec<bool> =
            replies.iter().map(|(_, reply)| matches!(reply, Reply::Halls(_))).collect();
        let same: Vec<bool> = commands.iter().map(|command| *command == commands[0]).collect();
        assert_eq!(acknowledged, same, "{commands:?}");
        let unconfirmed = replies.iter().filter(|(_, r)| matches!(r, Reply::ConfirmHall(_)));
        assert_eq!(unconfirmed.count(), same.iter().filter(|same| !**same).count());
    }
}

#[test]
fn emptied_halls_survive_a_restart_and_a_snapshot() {
    let mut single = SingleKeeper::new();
    single.empty("north");
    assert_eq!(names(&single.restart().read()), ["north"]);
    for _ in 0..600 {
        single.refill("south");
        single.empty("south");
    }
    let snapshots = single.records.iter().filter(|record| matches!(record, Record::Snapshot(_)));
    assert!(snapshots.count() > 0, "the log was not compacted");
    let (before, mut restarted) = (single.read(), single.restart());
    assert_eq!(restarted.read(), before);
    assert!(restarted.refill("north").revision > before.revision, "revisions must not restart");
}

#[test]
fn a_snapshot_of_the_previous_release_has_no_emptied_halls() {
    let mut state =
        serde_json::to_value(State::new(Tree::default())).expect("the state can be serialized");
    let fields = state.as_object_mut().expect("a state has fields");
    assert!(fields.remove("halls").is_some(), "the state has a field for halls");
    let state: State = serde_json::from_value(state).expect("the snapshot can be read");
    assert_eq!(*state.halls(), EmptiedHalls::default());
    assert_eq!(state.version(), 1);
}

#[test]
fn a_keeper_that_is_not_the_confirmed_leader_refuses_hall_commands() {
    let names = ["k1", "k2", "k3"].map(NodeName::new);
    let mut alone = SingleKeeper::from_records(initial_records(names.to_vec(), Tree::default()));
    alone.run_for(Duration::from_secs(5));
    let reply = alone.send_hall_command(&hall_command("north", false), None);
    assert_eq!(reply, Some(Reply::NotLeader(None)));
    assert_eq!(alone.reply_to(Event::ReadHalls), Some(Reply::NotLeader(None)));
}

#[test]
fn a_watching_node_is_notified_at_once_and_only_of_changes() {
    let mut single = SingleKeeper::new();
    let (waiting, immediate) = single.watch(0);
    assert_eq!(immediate, [], "no hall has been emptied yet");
    let call = single.next_call_id();
    let mut replies = single.handle(Event::HallCommand(call, hall_command("north", false), None));
    replies.extend(single.run_for(Duration::from_millis(10)));
    let received = received_halls(&replies, waiting).expect("notified with the acknowledgement");
    assert_eq!(names(&received), ["north"]);
    let (_, immediate) = single.watch(received.revision);
    assert_eq!(immediate, [], "the node is up to date");
    let (outdated, immediate) = single.watch(0);
    assert_eq!(
        self::received_halls(&immediate, outdated),
        Some(received),
        "an outdated node is answered at once"
    );
}

fn received_halls(replies: &[(CallId, Reply)], to: CallId) -> Option<EmptiedHalls> {
    replies.iter().find_map(|(call, reply)| match reply {
        Reply::Watch(reply) if *call == to => reply.halls.clone(),
        _ => None,
    })
}

#[test]
fn log_entries_of_the_previous_release_can_be_read() {
    let document = r#"{"version":7,"body":"seven"}"#;
    let read: LogCommand = serde_json::from_str(document).expect("the entry can be read");
    assert!(matches!(read, LogCommand::Replace(document) if document.version == 7));
    let change = r#"{"request":{"change":"c","base_version":1,"edits":[]},"taken":5}"#;
    let read: LogCommand = serde_json::from_str(change).expect("the entry can be read");
    assert!(matches!(read, LogCommand::Change(command) if command.request.change == "c"));
    let command =
        serde_json::to_string(&LogCommand::Hall(hall_command("north", false))).expect("JSON");
    let read: LogCommand = serde_json::from_str(&command).expect("the entry can be read");
    assert_eq!(read, LogCommand::Hall(self::hall_command("north", false)));
}
