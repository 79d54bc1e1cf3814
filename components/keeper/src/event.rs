//! What reaches a keeper and what it does.

use consensus::{Message, Record};
use model::NodeName;
use serde::{Deserialize, Serialize};
use wire::{
    ChangeRequest, ChangeResult, Document, DocumentPart, EmptiedHalls, HallOrder, PartRequest,
    PullReply, PullRequest, WatchReply, WatchRequest,
};

use crate::Version;

/// Someone who waits for a reply, numbered by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// What reaches a keeper.
#[derive(Clone, Debug)]
pub enum Event {
    /// An operator's change.
    Change(Ticket, ChangeRequest),
    /// An operator reads the tree.
    Read(Ticket),
    /// An operator reads the last versions.
    History(Ticket),
    /// An operator replaces the whole document.
    Replace(Ticket, Document),
    /// An operator reads the document.
    Fetch(Ticket),
    /// An operator has a hall emptied or refilled.
    OrderHall(Ticket, HallOrder),
    /// An operator reads which halls are emptied.
    ReadHalls(Ticket),
    /// A node registers and waits for news.
    Watch(Ticket, WatchRequest),
    /// A node asks for a part of a document.
    Part(Ticket, PartRequest),
    /// The process is about to stop.
    Resign,
    /// A node asks for newer settings.
    Pull(Ticket, PullRequest),
    /// Another keeper's message.
    Peer(NodeName, Message),
    /// Time has passed.
    Tick,
}

/// A version of the tree, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeReply {
    /// The version.
    pub version: u64,
    /// The tree as INI.
    pub tree: String,
}

/// A reply to one who waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// To a change: its first answer.
    Change(ChangeResult),
    /// To a read.
    Tree(TreeReply),
    /// To a question for the last versions.
    History(Vec<Version>),
    /// To a document: it lasts, or a higher version does.
    Replaced,
    /// To a read of the document; none where there never was one.
    Document(Option<Document>),
    /// To an order for a hall, which lasts, and to a read of the halls that are emptied.
    Halls(EmptiedHalls),
    /// To a node that is registered.
    Watch(WatchReply),
    /// To a node that asks for a part; none where this keeper has not that version.
    Part(Option<DocumentPart>),
    /// To a node.
    Pull(PullReply),
    /// This keeper is not sure to lead: nothing is known from it. Of a change, not even whether
    /// it was taken.
    Unsure(Option<NodeName>),
}

/// What a keeper does. Stores come before what depends on them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Writes records; they have to be synced before any later action is done.
    Store(Vec<Record>),
    /// Replaces all records by these, in one step, synced.
    Rewrite(Vec<Record>),
    /// Sends a message to another keeper; it may be lost.
    Send(NodeName, Message),
    /// Replies to one who waits.
    Respond(Ticket, Reply),
    /// Reports a change of state.
    News(News),
}

/// A change of a keeper's state, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// Of the replicated log.
    Log(consensus::News),
    /// A version was accepted.
    Version(u64),
    /// A document came into force.
    Document(u64),
    /// Other halls are emptied than before.
    Halls(EmptiedHalls),
    /// The list of registered nodes is another one.
    Nodes(usize),
    /// An entry of the log can't be read: written by a newer program, or a bug.
    Unreadable(u64),
}
