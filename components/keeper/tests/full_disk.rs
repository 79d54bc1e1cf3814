//! Three keepers in virtual time, one of which has a full disk.

use std::collections::VecDeque;
use std::time::Duration;

use consensus::{Message, Timing};
use keeper::{Action, CallId, Event, Keeper, Reply, initial_records};
use model::{Incarnation, NodeName, Time};
use settings::Tree;
use wire::{Document, NodeInfo, NodeRole, PartRequest, WatchRequest};

const START: Time = Time::from_millis(1_000_000);
const STEP: Duration = Duration::from_millis(1);

/// Three keepers that deliver their messages in the next step.
struct ThreeKeepers {
    keepers: Vec<Keeper>,
    now: Time,
    messages: VecDeque<(NodeName, NodeName, Message)>,
    replies: Vec<(CallId, Reply)>,
    /// The keeper whose disk rejects every record, and the number of rejected stores.
    full: Option<(usize, u32)>,
}

impl ThreeKeepers {
    fn new() -> Self {
        let names: Vec<NodeName> = (0..3).map(|n| NodeName::new(&format!("k{n}"))).collect();
        let keeper = |(seed, name): (u64, &NodeName)| {
            let records = initial_records(names.clone(), Tree::default());
            Keeper::recover(name.clone(), records, Timing::default(), seed, START)
                .expect("the records are valid")
        };
        let keepers = (1..).zip(&names).map(keeper).collect();
        let mut cluster = Self {
            keepers,
            now: START,
            messages: VecDeque::new(),
            replies: Vec::new(),
            full: None,
        };
        cluster.run_until(Duration::from_secs(3), |cluster| cluster.leader().is_some());
        cluster
    }

    fn leader(&self) -> Option<usize> {
        self.keepers.iter().position(|keeper| keeper.is_confirmed_leader(self.now))
    }

    /// Advances the time until the condition holds; returns the elapsed time.
    fn run_until(&mut self, longest: Duration, condition: impl Fn(&Self) -> bool) -> Duration {
        let started = self.now;
        while !condition(self) {
            assert!(
                self.now.since(started) < longest,
                "the condition does not hold within {longest:?}"
            );
            self.now = self.now + STEP;
            for (to, from, message) in std::mem::take(&mut self.messages) {
                let position =
                    |keeper: &Keeper| keeper.replica().voters().iter().position(|n| *n == to);
                let number =
                    position(&self.keepers[0]).expect("the recipient is one of the keepers");
                self.handle(number, Event::PeerMessage(from, message));
            }
            (0..3).for_each(|number| self.handle(number, Event::Tick));
        }
        self.now.since(started)
    }

    fn handle(&mut self, number: usize, event: Event) {
        let mut actions = Vec::new();
        self.keepers[number].handle(self.now, event, &mut actions);
        let stores =
            actions.iter().any(|action| matches!(action, Action::Store(_) | Action::Rewrite(_)));
        if let Some((full, rejections)) = &mut self.full
            && *full == number
            && stores
        {
            *rejections += 1;
            let rejected = std::mem::take(&mut actions);
            self.keepers[number].disk_is_full(self.now, rejected, &mut actions);
        }
        let own = NodeName::new(&format!("k{number}"));
        for action in actions {
            match action {
                Action::Send(to, message) => self.messages.push_back((to, own.clone(), message)),
                Action::Respond(call, reply) => self.replies.push((call, reply)),
                _ => {}
            }
        }
    }

    fn replace(&mut self, number: usize, call: u64, version: u64) {
        let document = Document::new(version, "body");
        self.handle(number, Event::ReplaceDocument(CallId(call), document));
    }

    fn reply(&self, call: u64) -> Option<&Reply> {
        self.replies.iter().find(|(to, _)| to.0 == call).map(|(_, reply)| reply)
    }
}

fn entry() -> NodeInfo {
    NodeInfo {
        name: NodeName::new("e1"),
        role: NodeRole::Entry,
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: Incarnation(1),
        service: "".into(),
    }
}

/// A leader whose disk is full must hand over at once and refer the operator to another keeper,
/// instead of leaving the others to detect its silence.
#[test]
fn a_leader_with_a_full_disk_hands_over_and_refers_the_operator() {
    let mut cluster = ThreeKeepers::new();
    let old_leader = cluster.leader().expect("there is a leader");
    cluster.run_until(Duration::from_secs(1), |cluster| {
        cluster.keepers[old_leader].replica().committed() > 1
    });
    cluster.full = Some((old_leader, 0));
    cluster.replace(old_leader, 1, 7);
    assert!(matches!(cluster.reply(1), Some(Reply::NotLeader(_))), "{:?}", cluster.reply(1));
    let took = cluster.run_until(Duration::from_secs(2), |cluster| {
        cluster.leader().is_some_and(|new| new != old_leader)
    });
    println!("another keeper leads after {took:?}");
    assert!(took <= Duration::from_millis(10), "{took:?}");
    let new_leader = cluster.leader().expect("there is a leader");
    cluster.replace(new_leader, 2, 8);
    cluster.run_until(Duration::from_secs(1), |cluster| cluster.reply(2).is_some());
    assert_eq!(cluster.reply(2), Some(&Reply::Replaced));
    assert_eq!(cluster.full, Some((old_leader, 1)), "the full disk received another record");
}

/// A keeper whose disk is full must still serve nodes with the committed document.
#[test]
fn a_keeper_with_a_full_disk_serves_only_nodes() {
    let mut cluster = ThreeKeepers::new();
    let old_leader = cluster.leader().expect("there is a leader");
    let other = (old_leader + 1) % 3;
    cluster.replace(old_leader, 1, 7);
    let has_seven = |cluster: &ThreeKeepers| cluster.keepers[other].state().document_version() == 7;
    cluster.run_until(Duration::from_secs(1), has_seven);
    cluster.full = Some((other, 0));
    cluster.replace(old_leader, 2, 8);
    cluster.run_until(Duration::from_secs(1), |cluster| cluster.full == Some((other, 1)));
    let watch =
        WatchRequest { node: entry(), document: 0, revision: Some(0), halls: 0, keepers: 0 };
    cluster.handle(other, Event::Watch(CallId(3), watch));
    cluster.run_until(Duration::from_millis(200), |cluster| cluster.reply(3).is_some());
    let Some(Reply::Watch(reply)) = cluster.reply(3) else { panic!("{:?}", cluster.reply(3)) };
    assert_eq!(reply.version, 7);
    let request = PartRequest { version: 7, offset: 0 };
    cluster.handle(other, Event::FetchPart(CallId(8), request));
    let Some(Reply::Part(Some(part))) = cluster.reply(8) else { panic!("{:?}", cluster.reply(8)) };
    assert_eq!((part.version, part.bytes.len()), (7, part.total));
    let replies = [
        Event::ReadDocument(CallId(4)),
        Event::ReadTree(CallId(5)),
        Event::ReadHistory(CallId(6)),
        Event::ReplaceDocument(CallId(7), Document::new(9, "nine")),
    ];
    for (call, event) in (4..).zip(replies) {
        cluster.handle(other, event);
        assert!(matches!(cluster.reply(call), Some(Reply::NotLeader(_))), "{call}");
    }
    // Once the rejected records are stored, the keeper catches up.
    cluster.full = None;
    cluster.keepers[other].disk_is_writable();
    cluster.run_until(Duration::from_secs(1), |cluster| {
        cluster.keepers[other].state().document_version() == 8
    });
}
