//! The document and the list of nodes, served by a single keeper.

mod support;

use std::time::Duration;

use keeper::{CallId, Event, Reply, initial_records};
use model::{Incarnation, NodeName};
use settings::Tree;
use support::{SingleKeeper, node};
use wire::{
    Document, NodeInfo, NodeList, NodeListDelta, NodeListUpdate, NodeRole, PartRequest, WatchReply,
    WatchRequest,
};

impl SingleKeeper {
    fn replace(&mut self, version: u64, body: &str) -> Option<Reply> {
        let document = Document::new(version, body);
        self.reply_to(|call| Event::ReplaceDocument(call, document))
    }

    fn read_document(&mut self) -> Option<Document> {
        let call = self.next_call_id();
        match self.handle(Event::ReadDocument(call)).pop() {
            Some((_, Reply::Document(document))) => document,
            other => panic!("unexpected reply: {other:?}"),
        }
    }

    /// Fetches a document that consists of one part, and returns its text.
    fn fetch_document(&mut self, version: u64) -> Option<String> {
        let call = self.next_call_id();
        let request = PartRequest { version, offset: 0 };
        match self.handle(Event::FetchPart(call, request)).pop() {
            Some((to, Reply::Part(part))) if to == call => part.map(|part| {
                let document = Document::from_compressed(version, part.bytes)
                    .expect("the document has one part");
                document.body.to_string()
            }),
            other => panic!("unexpected reply: {other:?}"),
        }
    }

    fn watch(&mut self, node: NodeInfo, document: u64, revision: u64) -> CallId {
        let call = self.next_call_id();
        let replies = self.handle(Event::Watch(
            call,
            WatchRequest { node, document, revision: Some(revision), halls: 0, keepers: 0 },
        ));
        assert!(replies.is_empty(), "{replies:?}");
        call
    }

    /// Registers a node and returns the reply, waiting for up to `within`.
    fn watch_and_wait(
        &mut self,
        node: NodeInfo,
        revision: u64,
        within: Duration,
    ) -> Option<WatchReply> {
        let call = self.next_call_id();
        let request =
            WatchRequest { node, document: 0, revision: Some(revision), halls: 0, keepers: 0 };
        let mut replies = self.handle(Event::Watch(call, request));
        if replies.is_empty() {
            replies = self.run_for(within);
        }
        watch_reply(replies, call)
    }

    /// Registers a node and ignores the reply.
    fn register(&mut self, node: NodeInfo, revision: u64) {
        let call = self.next_call_id();
        let request =
            WatchRequest { node, document: 0, revision: Some(revision), halls: 0, keepers: 0 };
        self.handle(Event::Watch(call, request));
    }
}

fn agent(number: u16, service: &str) -> NodeInfo {
    NodeInfo { role: NodeRole::Agent, service: service.into(), ..node(number) }
}

fn watch_reply(replies: Vec<(CallId, Reply)>, call: CallId) -> Option<WatchReply> {
    replies.into_iter().find_map(|(to, reply)| match reply {
        Reply::Watch(reply) if to == call => Some(reply),
        _ => None,
    })
}

/// The whole list from an update.
fn whole_list(update: Option<NodeListUpdate>) -> NodeList {
    match update {
        Some(NodeListUpdate::Snapshot(list)) => list,
        other => panic!("unexpected reply: {other:?}"),
    }
}

/// The changes from an update.
fn changes(update: Option<NodeListUpdate>) -> NodeListDelta {
    match update {
        Some(NodeListUpdate::Delta(change)) => change,
        other => panic!("unexpected reply: {other:?}"),
    }
}

/// Replaces the document while node 1 waits with the list at `revision`; returns the reply to
/// that node.
fn replace_while_watching(single: &mut SingleKeeper, revision: u64) -> WatchReply {
    let pending = single.watch(node(1), 0, revision);
    let call = single.next_call_id();
    let event = Event::ReplaceDocument(call, Document::new(7, "seven"));
    watch_reply(single.handle(event), pending).expect("notified with the commit")
}

#[test]
fn the_highest_version_wins_and_every_version_is_acknowledged() {
    let mut single = SingleKeeper::new();
    assert_eq!(single.read_document(), None);
    assert_eq!(single.replace(7, "seven"), Some(Reply::Replaced));
    assert_eq!(single.replace(3, "three"), Some(Reply::Replaced));
    assert_eq!(single.replace(7, "other seven"), Some(Reply::Replaced));
    assert_eq!(
        single.replace(7, "seven"),
        Some(Reply::Replaced),
        "a repeated version is acknowledged"
    );
    let document = single.read_document().expect("there is a document");
    assert_eq!((document.version, &*document.body), (7, "seven"));
    assert_eq!(single.replace(9, "nine"), Some(Reply::Replaced));
    assert_eq!(single.read_document().expect("there is a document").version, 9);
}

#[test]
fn a_document_survives_a_restart() {
    let mut single = SingleKeeper::new();
    single.replace(7, "seven");
    let mut restarted = SingleKeeper::from_records(single.records.clone());
    restarted.run_for(Duration::from_secs(2));
    assert_eq!(restarted.read_document().expect("the document is stored").version, 7);
}

#[test]
fn a_keeper_that_is_not_the_confirmed_leader_refuses_operators() {
    let mut single = SingleKeeper::new();
    single.replace(7, "seven");
    single.handle(Event::Resign);
    let names = ["k1", "k2", "k3"].map(NodeName::new);
    let mut alone = SingleKeeper::from_records(initial_records(names.to_vec(), Tree::default()));
    alone.run_for(Duration::from_secs(5));
    assert_eq!(alone.replace(8, "eight"), Some(Reply::NotLeader(None)));
    let call = alone.next_call_id();
    assert_eq!(alone.handle(Event::ReadDocument(call)), [(call, Reply::NotLeader(None))]);
}

#[test]
fn a_watching_node_is_notified_of_a_document_at_once() {
    let mut single = SingleKeeper::new();
    let first = single.watch(node(1), 0, 0);
    let list = watch_reply(single.run_for(Duration::from_millis(100)), first).expect("a list");
    let revision = whole_list(list.nodes).revision;
    let received = replace_while_watching(&mut single, revision);
    assert_eq!(received.version, 7);
    assert_eq!(single.fetch_document(7), Some("seven".to_owned()));
    assert_eq!(received.nodes, None, "the list has not changed");
}

#[test]
fn a_watching_node_receives_list_changes_and_is_answered_within_a_second() {
    let mut single = SingleKeeper::new();
    let first = single.watch(node(1), 0, 0);
    let list = watch_reply(single.run_for(Duration::from_millis(100)), first).expect("a list");
    let mut list = whole_list(list.nodes);
    assert_eq!(list.nodes, [node(1)]);
    let pending = single.watch(node(1), 0, list.revision);
    single.watch(node(2), 0, 0);
    let received =
        watch_reply(single.run_for(Duration::from_millis(100)), pending).expect("a list");
    let changed = changes(received.nodes);
    assert_eq!((&changed.upserted[..], &changed.removed[..]), (&[node(2)][..], &[][..]));
    list.apply(changed);
    assert_eq!(list.nodes, [node(1), node(2)]);
    let pending = single.watch(node(1), 0, list.revision);
    let received =
        watch_reply(single.run_for(Duration::from_millis(1_100)), pending).expect("a reply");
    assert_eq!((received.nodes, received.version), (None, 0), "nothing has changed");
}

/// A node takes the list from a few keepers only; the others must not send it, but still count the
/// node.
#[test]
fn a_node_with_lists_from_other_keepers_receives_no_list() {
    let mut single = SingleKeeper::new();
    single.watch(node(1), 0, 0);
    let call = single.next_call_id();
    let request =
        WatchRequest { node: agent(2, "work"), document: 0, revision: None, halls: 0, keepers: 0 };
    assert!(single.handle(Event::Watch(call, request)).is_empty());
    single.watch(node(3), 0, 0);
    let early_replies = single.run_for(Duration::from_millis(500));
    assert_eq!(watch_reply(early_replies, call), None, "a new entry must not wake the node");
    let reply = watch_reply(single.run_for(Duration::from_millis(700)), call).expect("a reply");
    assert_eq!((reply.nodes, reply.peers), (None, 1));
}

/// After a restart of every entry a node must receive the changes, not the whole list.
#[test]
fn a_node_receives_changes_after_every_entry_restarted() {
    const ENTRIES: u16 = 800;
    let mut single = SingleKeeper::new();
    (1..=ENTRIES).for_each(|number| single.register(node(number), 0));
    single.run_for(Duration::from_millis(100));
    let list = whole_list(
        single.watch_and_wait(node(1), 0, Duration::from_millis(100)).expect("a list").nodes,
    );
    for number in 2..=ENTRIES {
        single.register(NodeInfo { incarnation: Incarnation(2), ..node(number) }, 0);
    }
    let received = single
        .watch_and_wait(node(1), list.revision, Duration::from_millis(100))
        .expect("an update");
    assert_eq!(changes(received.nodes).upserted.len(), usize::from(ENTRIES) - 1);
}

#[test]
fn a_silent_node_is_removed_from_the_list() {
    let mut single = SingleKeeper::new();
    single.watch(node(2), 0, 0);
    let mut list = NodeList { revision: 0, nodes: Vec::new() };
    for _ in 0..8 {
        let call = single.watch(node(1), 0, list.revision);
        let reply = watch_reply(single.run_for(Duration::from_millis(1_100)), call);
        match reply.and_then(|reply| reply.nodes) {
            Some(NodeListUpdate::Snapshot(received)) => list = received,
            Some(NodeListUpdate::Delta(change)) => list.apply(change),
            None => {}
        }
    }
    assert_eq!(list.nodes, [node(1)]);
}

#[test]
fn a_restarted_keeper_serves_the_document_of_its_snapshot() {
    let mut single = SingleKeeper::new();
    single.replace(7, "seven");
    for number in 0..1_001_u64 {
        // Exceeds the compaction limit, so that a snapshot is written.
        single.replace(8 + number, "later");
    }
    let mut restarted = SingleKeeper::from_records(single.records.clone());
    let call = restarted.next_call_id();
    let request =
        WatchRequest { node: node(1), document: 0, revision: Some(0), halls: 0, keepers: 0 };
    let replies = restarted.handle(Event::Watch(call, request));
    let received = watch_reply(replies, call).expect("an immediate reply");
    assert!(received.version >= 1_000);
    assert_eq!(restarted.fetch_document(received.version), Some("later".to_owned()));
}

#[test]
fn a_restarted_keeper_serves_its_document_to_nodes_before_an_election() {
    let mut single = SingleKeeper::new();
    assert_eq!(single.replace(7, "seven"), Some(Reply::Replaced));
    assert_eq!(single.replace(9, "nine"), Some(Reply::Replaced));
    let mut restarted = SingleKeeper::from_records(single.records.clone());
    let call = restarted.next_call_id();
    let request =
        WatchRequest { node: node(1), document: 0, revision: Some(0), halls: 0, keepers: 0 };
    let replies = restarted.handle(Event::Watch(call, request));
    let reply = watch_reply(replies, call).expect("an immediate reply");
    // The commit record of the last entry may not be stored yet; that of the one before is.
    assert!(reply.version >= 7, "{}", reply.version);
    assert!(restarted.fetch_document(reply.version).is_some());
    let call = restarted.next_call_id();
    let refused = restarted.handle(Event::ReadDocument(call));
    assert_eq!(
        refused,
        [(call, Reply::NotLeader(None))],
        "operators are not served before an election"
    );
}

/// A delayed registration of an earlier instance replaces the running one, as instances of a node
/// have no order. The running instance must be listed again after its next registration.
#[test]
fn a_delayed_registration_of_an_earlier_instance_is_replaced_by_the_next_one() {
    let mut single = SingleKeeper::new();
    let present = NodeInfo { incarnation: Incarnation(2), ..node(2) };
    let earlier = NodeInfo { name: present.name.clone(), ..node(3) };
    single.watch(present.clone(), 0, 0);
    single.run_for(Duration::from_millis(100));
    single.watch(earlier.clone(), 0, 0);
    let listed_nodes = |single: &mut SingleKeeper| {
        let call = single.watch(node(1), 0, 0);
        let reply = watch_reply(single.run_for(Duration::from_millis(100)), call);
        whole_list(reply.and_then(|reply| reply.nodes)).nodes
    };
    assert_eq!(listed_nodes(&mut single), [node(1), earlier]);
    let pending = single.watch(present.clone(), 0, 0);
    let received =
        watch_reply(single.run_for(Duration::from_millis(100)), pending).expect("a reply");
    assert_eq!(whole_list(received.nodes).nodes, [node(1), present]);
}

/// Agents are counted by service but not listed, and a new agent must not wake the watchers.
#[test]
fn agents_are_counted_by_service_and_not_listed() {
    let mut single = SingleKeeper::new();
    single.register(node(1), 0);
    for number in 2..5 {
        single.register(agent(number, "booking"), 0);
    }
    single.register(agent(5, "another"), 0);
    single.run_for(Duration::from_millis(100));
    let received = single.watch_and_wait(agent(2, "booking"), 0, Duration::ZERO).expect("a list");
    assert_eq!(received.peers, 3);
    let list = whole_list(received.nodes);
    assert_eq!(list.nodes, [node(1)]);

    let pending = single.watch(agent(3, "booking"), 0, list.revision);
    single.watch(agent(6, "booking"), 0, list.revision);
    let early_replies = single.run_for(Duration::from_millis(500));
    assert_eq!(watch_reply(early_replies, pending), None, "a new agent must not wake watchers");
    let received = watch_reply(single.run_for(Duration::from_millis(600)), pending)
        .expect("a reply within a second");
    assert_eq!((received.nodes, received.peers), (None, 4));

    // All nodes but one entry and one agent stay silent until they expire.
    for _ in 0..5 {
        single.watch(node(1), 0, list.revision);
        single.watch(agent(3, "booking"), 0, list.revision);
        single.run_for(Duration::from_millis(1_000));
    }
    let received =
        single.watch_and_wait(agent(3, "booking"), list.revision, Duration::from_millis(1_100));
    let received = received.expect("a reply within a second");
    assert_eq!((received.nodes, received.peers), (None, 1), "the list of entries has not changed");
}

/// A node that restarts with another role or service must not be counted twice.
#[test]
fn a_node_that_changes_its_service_is_counted_once() {
    let mut single = SingleKeeper::new();
    single.register(agent(2, "booking"), 0);
    single.register(NodeInfo { incarnation: Incarnation(2), ..agent(2, "booking") }, 0);
    single.register(agent(3, "booking"), 0);
    single.register(agent(3, "another"), 0);
    single.run_for(Duration::from_millis(100));
    let received = single.watch_and_wait(agent(2, "booking"), 0, Duration::ZERO).expect("a list");
    assert_eq!(received.peers, 1);
}

/// Applying the changes to an earlier list must give the current list.
#[test]
fn a_node_receives_the_changes_since_its_list() {
    let mut single = SingleKeeper::new();
    (1..52).for_each(|number| single.register(node(number), 0));
    single.run_for(Duration::from_millis(100));
    let received = single.watch_and_wait(agent(100, "booking"), 0, Duration::ZERO).expect("a list");
    let mut list = whole_list(received.nodes);
    assert_eq!(list.nodes.len(), 51);

    let restarted = NodeInfo { incarnation: Incarnation(2), ..node(7) };
    single.register(restarted.clone(), 0);
    single.register(agent(8, "booking"), 0);
    single.register(node(60), 0);
    let received =
        single.watch_and_wait(agent(100, "booking"), list.revision, Duration::from_millis(100));
    let changed = changes(received.expect("an update").nodes);
    assert_eq!(changed.upserted, [node(60), restarted], "sorted by name");
    assert_eq!(changed.removed, [node(8).name], "the node is an agent now");
    list.apply(changed);
    let received = single
        .watch_and_wait(agent(101, "booking"), 0, Duration::from_millis(100))
        .expect("a list");
    assert_eq!(list, whole_list(received.nodes));
}

/// A node whose revision is older than the kept changes, or from an earlier start of the keeper,
/// must receive the whole list.
#[test]
fn a_node_with_an_outdated_revision_receives_the_whole_list() {
    let mut single = SingleKeeper::new();
    single.register(node(1), 0);
    single.run_for(Duration::from_millis(100));
    let received = single.watch_and_wait(agent(2, "booking"), 0, Duration::ZERO).expect("a list");
    let old = whole_list(received.nodes).revision;
    for instance in 2..260 {
        single.register(NodeInfo { incarnation: Incarnation(instance), ..node(1) }, 0);
    }
    for revision in [old, old - 1, u64::MAX, 1] {
        let received =
            single.watch_and_wait(agent(2, "booking"), revision, Duration::from_millis(100));
        assert_eq!(whole_list(received.expect("a list").nodes).nodes.len(), 1, "{revision}");
    }
}

/// A watching node receives only the version of a new document, and the text on request.
#[test]
fn a_document_is_sent_on_request_only() {
    let mut single = SingleKeeper::new();
    single.register(node(1), 0);
    single.run_for(Duration::from_millis(100));
    let received = single.watch_and_wait(node(1), 0, Duration::ZERO).expect("a list");
    let revision = whole_list(received.nodes).revision;
    let received = replace_while_watching(&mut single, revision);
    assert_eq!(received.version, 7);
    assert_eq!(single.fetch_document(7), Some("seven".to_owned()));
    assert_eq!(single.fetch_document(8), None);
    single.watch(node(1), 7, revision);
}

/// Recently replaced versions stay available, so that a node can finish a transfer that it has
/// started.
#[test]
fn recently_replaced_versions_stay_available() {
    let mut single = SingleKeeper::new();
    for version in 1..=6 {
        single.replace(version, &format!("version {version}"));
    }
    assert_eq!(single.fetch_document(2), None);
    for version in 3..=6 {
        assert_eq!(single.fetch_document(version), Some(format!("version {version}")));
    }
}

/// Large documents must trigger compaction by size; a limit on the number of entries alone let the
/// journal fill the disk.
#[test]
fn the_journal_is_compacted_by_size() {
    let mut single = SingleKeeper::new();
    let body = "a".repeat(400_000);
    let mut largest = 0;
    for version in 1..=60 {
        assert_eq!(single.replace(version, &body), Some(Reply::Replaced));
        largest = largest.max(stored_bytes(&single.records));
    }
    assert!(largest < 10_000_000, "{largest} bytes stored");
    let restarted = SingleKeeper::from_records(single.records.clone());
    assert_eq!(restarted.keeper.state().document_version(), 60);
}

/// The size of all commands and of the snapshot.
fn stored_bytes(records: &[consensus::Record]) -> usize {
    let bytes = |record: &consensus::Record| match record {
        consensus::Record::Append(entries) => entries.iter().map(command_bytes).sum(),
        consensus::Record::Snapshot(snapshot) => snapshot.state.len(),
        _ => 0,
    };
    records.iter().map(bytes).sum()
}

fn command_bytes(entry: &consensus::Entry) -> usize {
    match &entry.payload {
        consensus::Payload::Command(command) => command.len(),
        _ => 0,
    }
}
