//! Inputs and outputs of a keeper.

use consensus::{Message, Record};
use model::NodeName;
use serde::{Deserialize, Serialize};
use wire::{
    ChangeRequest, ChangeResult, Document, DocumentPart, EmptiedHalls, HallCommand, PartRequest,
    PullReply, PullRequest, WatchReply, WatchRequest,
};

use crate::TreeVersion;

/// Identifies a call that waits for a reply; assigned by the caller of [`crate::Keeper::handle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// What the sender of a hall command knows: that the emptied halls are those after this index of the
/// log. It comes from a [`Reply::ConfirmHall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation(pub u64);

/// An input of a keeper.
#[derive(Clone, Debug)]
pub enum Event {
    /// An operator changes the settings tree.
    Change(CallId, ChangeRequest),
    /// An operator reads the settings tree.
    ReadTree(CallId),
    /// An operator reads the recent versions of the settings tree.
    ReadHistory(CallId),
    /// An operator replaces the configuration document.
    ReplaceDocument(CallId, Document),
    /// An operator reads the document.
    ReadDocument(CallId),
    /// An operator empties or refills a hall, with a confirmation if it was asked for one.
    HallCommand(CallId, HallCommand, Option<Confirmation>),
    /// An operator reads the emptied halls.
    ReadHalls(CallId),
    /// A node registers and waits for updates (long poll).
    Watch(CallId, WatchRequest),
    /// A node requests a part of a document.
    FetchPart(CallId, PartRequest),
    /// The process is about to stop; a leader transfers leadership.
    Resign,
    /// A node requests newer settings and waits for them (long poll).
    Pull(CallId, PullRequest),
    /// A message from another keeper.
    PeerMessage(NodeName, Message),
    /// Checks the timers.
    Tick,
}

/// The settings tree at one version, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeReply {
    /// The version of the tree.
    pub version: u64,
    /// The tree in INI format.
    pub tree: String,
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The result of a change. A repeated change gets its first result.
    Change(ChangeResult),
    /// The settings tree.
    Tree(TreeReply),
    /// The recent versions, oldest first.
    History(Vec<TreeVersion>),
    /// The document, or one with the same or a higher version, is committed.
    Replaced,
    /// The current document; `None` if there has never been one.
    Document(Option<Document>),
    /// The emptied halls, for a read or after a committed hall command.
    Halls(EmptiedHalls),
    /// The hall command was not accepted, as it may be a late copy; its sender has to send it again
    /// with this confirmation.
    ConfirmHall(Confirmation),
    /// Updates for a registered node.
    Watch(WatchReply),
    /// A part of a document; `None` if this keeper does not have that version.
    Part(Option<DocumentPart>),
    /// Newer settings for a node.
    Pull(PullReply),
    /// This keeper is not the confirmed leader; holds the leader it follows, if known. A change
    /// that was already sent may still be committed.
    NotLeader(Option<NodeName>),
}

/// An output of a keeper. Actions have to be executed in order, as later ones may depend on
/// earlier stores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Appends records to the journal; they have to be synced before any later action is executed.
    Store(Vec<Record>),
    /// Atomically replaces all records of the journal by these and syncs it.
    Rewrite(Vec<Record>),
    /// Sends a message to another keeper; delivery is not guaranteed.
    Send(NodeName, Message),
    /// Replies to a call.
    Respond(CallId, Reply),
    /// Reports a change of state for the operator's log.
    Log(LogEvent),
}

/// A change of a keeper's state, reported to the operator's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// An event of the replicated log.
    Replica(consensus::LogEvent),
    /// This version of the settings tree was committed.
    SettingsVersion(u64),
    /// This version of the document was committed.
    DocumentVersion(u64),
    /// The set of emptied halls changed.
    EmptiedHalls(EmptiedHalls),
    /// A hall command was added to the log.
    HallCommandAccepted(HallCommand, Option<Confirmation>),
    /// A hall command may be a late copy; its sender has to confirm it.
    HallCommandUnconfirmed(HallCommand, Option<Confirmation>),
    /// The number of registered nodes changed.
    RegisteredNodes(usize),
    /// The log entry at this index, or the snapshot that ends there, can't be decoded: a newer
    /// release wrote it, or there is a bug.
    UnreadableEntry(u64),
}
