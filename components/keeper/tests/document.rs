//! The document and the list of nodes, served by a single keeper.

mod support;

use std::time::Duration;

use keeper::{CallId, Event, Reply, initial_records};
use model::{Incarnation, NodeName};
use settings::Tree;
use support::{One, node};
use wire::{
    Document, ListChange, ListNews, NodeInfo, NodeList, NodeRole, PartRequest, WatchReply,
    WatchRequest,
};

impl One {
    fn replace(&mut self, version: u64, body: &str) -> Option<Reply> {
        let document = Document::new(version, body);
        self.reply_to(|call| Event::ReplaceDocument(call, document))
    }

    fn fetch(&mut self) -> Option<Document> {
        let call = self.call();
        match self.handle(Event::ReadDocument(call)).pop() {
            Some((_, Reply::Document(document))) => document,
            other => panic!("{other:?}"),
        }
    }

    /// Fetches a document that consists of one part, and returns its text.
    fn part(&mut self, version: u64) -> Option<String> {
        let call = self.call();
        let request = PartRequest { version, offset: 0 };
        match self.handle(Event::FetchPart(call, request)).pop() {
            Some((to, Reply::Part(part))) if to == call => part.map(|part| {
                let document = Document::unpack(version, part.bytes).expect("it is whole");
                document.body.to_string()
            }),
            other => panic!("{other:?}"),
        }
    }

    fn watch(&mut self, node: NodeInfo, document: u64, revision: u64) -> CallId {
        let call = self.call();
        let replies = self.handle(Event::Watch(
            call,
            WatchRequest { node, document, revision: Some(revision), halls: 0, keepers: 0 },
        ));
        assert!(replies.is_empty(), "{replies:?}");
        call
    }

    /// Registers a node and returns its reply, waiting for up to `within`.
    fn ask(&mut self, node: NodeInfo, revision: u64, within: Duration) -> Option<WatchReply> {
        let call = self.call();
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
        let call = self.call();
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
fn whole(news: Option<ListNews>) -> NodeList {
    match news {
        Some(ListNews::Whole(list)) => list,
        other => panic!("{other:?}"),
    }
}

/// The changes from an update.
fn change(news: Option<ListNews>) -> ListChange {
    match news {
        Some(ListNews::Change(change)) => change,
        other => panic!("{other:?}"),
    }
}

/// Replaces the document while node 1 waits with the list at `revision`; returns its reply.
fn replaced_while_it_waits(one: &mut One, revision: u64) -> WatchReply {
    let waits = one.watch(node(1), 0, revision);
    let call = one.call();
    let event = Event::ReplaceDocument(call, Document::new(7, "seven"));
    watch_reply(one.handle(event), waits).expect("told with the commit")
}

#[test]
fn the_highest_version_holds_and_every_valid_one_is_acknowledged() {
    let mut one = One::new();
    assert_eq!(one.fetch(), None);
    assert_eq!(one.replace(7, "seven"), Some(Reply::Replaced));
    assert_eq!(one.replace(3, "three"), Some(Reply::Replaced));
    assert_eq!(one.replace(7, "other seven"), Some(Reply::Replaced));
    assert_eq!(one.replace(7, "seven"), Some(Reply::Replaced), "sent again");
    let document = one.fetch().expect("there is one");
    assert_eq!((document.version, &*document.body), (7, "seven"));
    assert_eq!(one.replace(9, "nine"), Some(Reply::Replaced));
    assert_eq!(one.fetch().expect("there is one").version, 9);
}

#[test]
fn a_document_outlives_a_restart() {
    let mut one = One::new();
    one.replace(7, "seven");
    let mut again = One::from_records(one.records.clone());
    again.run_for(Duration::from_secs(2));
    assert_eq!(again.fetch().expect("it is kept").version, 7);
}

#[test]
fn a_keeper_that_is_not_sure_to_lead_tells_nothing() {
    let mut one = One::new();
    one.replace(7, "seven");
    one.handle(Event::Resign);
    let names = ["k1", "k2", "k3"].map(NodeName::new);
    let mut alone = One::from_records(initial_records(names.to_vec(), Tree::default()));
    alone.run_for(Duration::from_secs(5));
    assert_eq!(alone.replace(8, "eight"), Some(Reply::NotLeader(None)));
    let call = alone.call();
    assert_eq!(alone.handle(Event::ReadDocument(call)), [(call, Reply::NotLeader(None))]);
}

#[test]
fn a_watching_node_is_told_of_a_document_at_once() {
    let mut one = One::new();
    let first = one.watch(node(1), 0, 0);
    let list = watch_reply(one.run_for(Duration::from_millis(100)), first).expect("a list");
    let revision = whole(list.nodes).revision;
    let told = replaced_while_it_waits(&mut one, revision);
    assert_eq!(told.version, 7);
    assert_eq!(one.part(7), Some("seven".to_owned()));
    assert_eq!(told.nodes, None, "the list is the same");
}

#[test]
fn a_watching_node_is_told_of_other_nodes_and_answered_within_a_second() {
    let mut one = One::new();
    let first = one.watch(node(1), 0, 0);
    let list = watch_reply(one.run_for(Duration::from_millis(100)), first).expect("a list");
    let mut list = whole(list.nodes);
    assert_eq!(list.nodes, [node(1)]);
    let waits = one.watch(node(1), 0, list.revision);
    one.watch(node(2), 0, 0);
    let told = watch_reply(one.run_for(Duration::from_millis(100)), waits).expect("a list");
    let changed = change(told.nodes);
    assert_eq!((&changed.put[..], &changed.gone[..]), (&[node(2)][..], &[][..]));
    list.apply(changed);
    assert_eq!(list.nodes, [node(1), node(2)]);
    let waits = one.watch(node(1), 0, list.revision);
    let told = watch_reply(one.run_for(Duration::from_millis(1_100)), waits).expect("an answer");
    assert_eq!((told.nodes, told.version), (None, 0), "no news");
}

/// A node takes the list from a few keepers only; the others must not send it, but still count the
/// node.
#[test]
fn a_node_that_takes_the_list_of_other_keepers_is_told_none() {
    let mut one = One::new();
    one.watch(node(1), 0, 0);
    let call = one.call();
    let request =
        WatchRequest { node: agent(2, "work"), document: 0, revision: None, halls: 0, keepers: 0 };
    assert!(one.handle(Event::Watch(call, request)).is_empty());
    one.watch(node(3), 0, 0);
    let early = one.run_for(Duration::from_millis(500));
    assert_eq!(watch_reply(early, call), None, "an entry that has come is no news to it");
    let reply = watch_reply(one.run_for(Duration::from_millis(700)), call).expect("an answer");
    assert_eq!((reply.nodes, reply.peers), (None, 1));
}

/// After a restart of every entry a node must receive the changes, not the whole list.
#[test]
fn a_node_that_missed_the_restart_of_every_entry_is_told_what_has_changed() {
    const ENTRIES: u16 = 800;
    let mut one = One::new();
    (1..=ENTRIES).for_each(|number| one.register(node(number), 0));
    one.run_for(Duration::from_millis(100));
    let list = whole(one.ask(node(1), 0, Duration::from_millis(100)).expect("a list").nodes);
    for number in 2..=ENTRIES {
        one.register(NodeInfo { incarnation: Incarnation(2), ..node(number) }, 0);
    }
    let told = one.ask(node(1), list.revision, Duration::from_millis(100)).expect("a change");
    assert_eq!(change(told.nodes).put.len(), usize::from(ENTRIES) - 1);
}

#[test]
fn a_node_that_asks_no_more_is_no_longer_listed() {
    let mut one = One::new();
    one.watch(node(2), 0, 0);
    let mut list = NodeList { revision: 0, nodes: Vec::new() };
    for _ in 0..8 {
        let call = one.watch(node(1), 0, list.revision);
        let reply = watch_reply(one.run_for(Duration::from_millis(1_100)), call);
        match reply.and_then(|reply| reply.nodes) {
            Some(ListNews::Whole(told)) => list = told,
            Some(ListNews::Change(change)) => list.apply(change),
            None => {}
        }
    }
    assert_eq!(list.nodes, [node(1)]);
}

#[test]
fn a_keeper_that_restarts_tells_what_it_has_kept() {
    let mut one = One::new();
    one.replace(7, "seven");
    for number in 0..1_001_u64 {
        // Exceeds the compaction limit, so that a snapshot is written.
        one.replace(8 + number, "later");
    }
    let mut again = One::from_records(one.records.clone());
    let call = again.call();
    let request =
        WatchRequest { node: node(1), document: 0, revision: Some(0), halls: 0, keepers: 0 };
    let replies = again.handle(Event::Watch(call, request));
    let told = watch_reply(replies, call).expect("told at once");
    assert!(told.version >= 1_000);
    assert_eq!(again.part(told.version), Some("later".to_owned()));
}

#[test]
fn a_keeper_that_restarts_tells_nodes_of_its_document_before_anyone_leads() {
    let mut one = One::new();
    assert_eq!(one.replace(7, "seven"), Some(Reply::Replaced));
    assert_eq!(one.replace(9, "nine"), Some(Reply::Replaced));
    let mut again = One::from_records(one.records.clone());
    let call = again.call();
    let request =
        WatchRequest { node: node(1), document: 0, revision: Some(0), halls: 0, keepers: 0 };
    let replies = again.handle(Event::Watch(call, request));
    let reply = watch_reply(replies, call).expect("it is answered at once");
    // The commit record of the last entry may not be stored yet; that of the one before is.
    assert!(reply.version >= 7, "{}", reply.version);
    assert!(again.part(reply.version).is_some());
    let call = again.call();
    let unsure = again.handle(Event::ReadDocument(call));
    assert_eq!(unsure, [(call, Reply::NotLeader(None))], "operators are not told before it leads");
}

/// A delayed registration of an earlier instance replaces the running one, as instances of a node
/// have no order. The running instance must be listed again after its next registration.
#[test]
fn a_late_call_of_an_earlier_life_hides_the_present_one_only_until_it_asks_again() {
    let mut one = One::new();
    let present = NodeInfo { incarnation: Incarnation(2), ..node(2) };
    let earlier = NodeInfo { name: present.name.clone(), ..node(3) };
    one.watch(present.clone(), 0, 0);
    one.run_for(Duration::from_millis(100));
    one.watch(earlier.clone(), 0, 0);
    let lists = |one: &mut One| {
        let call = one.watch(node(1), 0, 0);
        let reply = watch_reply(one.run_for(Duration::from_millis(100)), call);
        whole(reply.and_then(|reply| reply.nodes)).nodes
    };
    assert_eq!(lists(&mut one), [node(1), earlier]);
    let asks = one.watch(present.clone(), 0, 0);
    let told = watch_reply(one.run_for(Duration::from_millis(100)), asks).expect("an answer");
    assert_eq!(whole(told.nodes).nodes, [node(1), present]);
}

/// Agents are counted by service but not listed, and a new agent must not wake the watchers.
#[test]
fn agents_are_counted_by_service_and_not_listed() {
    let mut one = One::new();
    one.register(node(1), 0);
    for number in 2..5 {
        one.register(agent(number, "booking"), 0);
    }
    one.register(agent(5, "another"), 0);
    one.run_for(Duration::from_millis(100));
    let told = one.ask(agent(2, "booking"), 0, Duration::ZERO).expect("a list");
    assert_eq!(told.peers, 3);
    let list = whole(told.nodes);
    assert_eq!(list.nodes, [node(1)]);

    let asks = one.watch(agent(3, "booking"), 0, list.revision);
    one.watch(agent(6, "booking"), 0, list.revision);
    let early = one.run_for(Duration::from_millis(500));
    assert_eq!(watch_reply(early, asks), None, "another agent wakes nobody");
    let told = watch_reply(one.run_for(Duration::from_millis(600)), asks).expect("in a second");
    assert_eq!((told.nodes, told.peers), (None, 4));

    // All nodes but one entry and one agent stay silent until they expire.
    for _ in 0..5 {
        one.watch(node(1), 0, list.revision);
        one.watch(agent(3, "booking"), 0, list.revision);
        one.run_for(Duration::from_millis(1_000));
    }
    let told = one.ask(agent(3, "booking"), list.revision, Duration::from_millis(1_100));
    let told = told.expect("in a second");
    assert_eq!((told.nodes, told.peers), (None, 1), "the list of entries is the same");
}

/// A node that restarts with another role or service must not be counted twice.
#[test]
fn a_node_counts_once() {
    let mut one = One::new();
    one.register(agent(2, "booking"), 0);
    one.register(NodeInfo { incarnation: Incarnation(2), ..agent(2, "booking") }, 0);
    one.register(agent(3, "booking"), 0);
    one.register(agent(3, "another"), 0);
    one.run_for(Duration::from_millis(100));
    let told = one.ask(agent(2, "booking"), 0, Duration::ZERO).expect("a list");
    assert_eq!(told.peers, 1);
}

/// Applying the changes to an earlier list must give the current list.
#[test]
fn a_node_is_told_what_has_changed_since_the_list_that_it_has() {
    let mut one = One::new();
    (1..52).for_each(|number| one.register(node(number), 0));
    one.run_for(Duration::from_millis(100));
    let told = one.ask(agent(100, "booking"), 0, Duration::ZERO).expect("a list");
    let mut list = whole(told.nodes);
    assert_eq!(list.nodes.len(), 51);

    let restarted = NodeInfo { incarnation: Incarnation(2), ..node(7) };
    one.register(restarted.clone(), 0);
    one.register(agent(8, "booking"), 0);
    one.register(node(60), 0);
    let asked = one.ask(agent(100, "booking"), list.revision, Duration::from_millis(100));
    let changed = change(asked.expect("a change").nodes);
    assert_eq!(changed.put, [node(60), restarted], "by name");
    assert_eq!(changed.gone, [node(8).name], "it is an agent now");
    list.apply(changed);
    let told = one.ask(agent(101, "booking"), 0, Duration::from_millis(100)).expect("a list");
    assert_eq!(list, whole(told.nodes));
}

/// A node whose revision is older than the kept changes, or from an earlier start of the keeper,
/// must receive the whole list.
#[test]
fn a_list_that_is_too_old_is_told_whole() {
    let mut one = One::new();
    one.register(node(1), 0);
    one.run_for(Duration::from_millis(100));
    let told = one.ask(agent(2, "booking"), 0, Duration::ZERO).expect("a list");
    let old = whole(told.nodes).revision;
    for life in 2..260 {
        one.register(NodeInfo { incarnation: Incarnation(life), ..node(1) }, 0);
    }
    for revision in [old, old - 1, u64::MAX, 1] {
        let told = one.ask(agent(2, "booking"), revision, Duration::from_millis(100));
        assert_eq!(whole(told.expect("a list").nodes).nodes.len(), 1, "{revision}");
    }
}

/// A watching node receives only the version of a new document, and the text on request.
#[test]
fn a_document_is_sent_to_a_node_that_asks_for_it() {
    let mut one = One::new();
    one.register(node(1), 0);
    one.run_for(Duration::from_millis(100));
    let told = one.ask(node(1), 0, Duration::ZERO).expect("a list");
    let revision = whole(told.nodes).revision;
    let told = replaced_while_it_waits(&mut one, revision);
    assert_eq!(told.version, 7);
    assert_eq!(one.part(7), Some("seven".to_owned()));
    assert_eq!(one.part(8), None);
    one.watch(node(1), 7, revision);
}

/// Recently replaced versions stay available, so that a node can finish a transfer that it has
/// started.
#[test]
fn the_last_versions_are_sent_on_after_they_are_replaced() {
    let mut one = One::new();
    for version in 1..=6 {
        one.replace(version, &format!("version {version}"));
    }
    assert_eq!(one.part(2), None);
    for version in 3..=6 {
        assert_eq!(one.part(version), Some(format!("version {version}")));
    }
}

/// Large documents must trigger compaction by size; a limit on the number of entries alone let the
/// journal fill the disk.
#[test]
fn a_journal_stays_small_however_large_configurations_are() {
    let mut one = One::new();
    let body = "a".repeat(400_000);
    let mut most = 0;
    for version in 1..=60 {
        assert_eq!(one.replace(version, &body), Some(Reply::Replaced));
        most = most.max(stored_bytes(&one.records));
    }
    assert!(most < 10_000_000, "{most} bytes stored");
    let again = One::from_records(one.records.clone());
    assert_eq!(again.keeper.state().document_version(), 60);
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
