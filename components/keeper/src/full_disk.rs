//! Operation of a keeper whose disk is full.
//!
//! Until the rejected records are stored, the keeper neither handles messages of other keepers nor
//! sends anything that depends on these records. Nodes are still served the committed state from
//! memory. Whatever this keeper knows as committed is on the disks of a quorum, so it can be
//! served; this does not hold if the keeper is the only voter.

use consensus::Action as ReplicaAction;
use model::Time;

use crate::{Action, Event, Keeper, Reply};

impl Keeper {
    /// Handles a full disk. A leader hands over leadership, so that changes are accepted again
    /// without waiting for an election timeout. `rejected` are the actions whose records could not
    /// be stored; it is empty if the first records of the journal could not be written. The caller
    /// keeps these records and calls [`Keeper::disk_is_writable`] once they are stored.
    pub fn disk_is_full(&mut self, now: Time, rejected: Vec<Action>, actions: &mut Vec<Action>) {
        self.disk_full = true;
        actions.extend(rejected.into_iter().filter_map(without_unstored_effects));
        self.fail_pending_changes(actions);
        let mut replica_actions = Vec::new();
        self.replica.transfer_leadership(now, &mut replica_actions);
        actions.extend(replica_actions.into_iter().filter_map(|action| match action {
            ReplicaAction::Send(to, message) => Some(Action::Send(to, message)),
            _ => None,
        }));
    }

    /// Resumes normal operation after all rejected records have been stored.
    pub fn disk_is_writable(&mut self) {
        self.disk_full = false;
    }

    /// Whether this keeper is the only voter, so that entries are committed by its own disk alone.
    pub fn is_only_voter(&self) -> bool {
        self.replica.voters().len() == 1
    }

    /// Handles an event while the disk is full. Nodes still register and are answered from memory,
    /// as a restart would lose the list of nodes.
    pub(crate) fn handle_without_disk(
        &mut self,
        now: Time,
        event: Event,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::Watch(call, request) => self.register_watcher(now, call, request, actions),
            Event::FetchPart(call, request) => self.reply_with_part(call, request, actions),
            Event::Change(call, _)
            | Event::ReadTree(call)
            | Event::ReadHistory(call)
            | Event::ReplaceDocument(call, _)
            | Event::ReadDocument(call)
            | Event::HallCommand(call, ..)
            | Event::ReadHalls(call)
            | Event::Pull(call, _) => self.reply_not_leader(call, actions),
            // Dropping messages is safe, as they may be lost anyway.
            Event::Resign | Event::PeerMessage(..) | Event::Tick => {}
        }
    }
}

/// Reduces an action that may depend on a rejected store: messages are dropped, and callers whose
/// result depends on the store are answered that this keeper does not lead.
fn without_unstored_effects(action: Action) -> Option<Action> {
    match action {
        Action::Store(_) | Action::Rewrite(_) | Action::Send(..) => None,
        Action::Respond(call, reply @ (Reply::Watch(_) | Reply::Part(_) | Reply::NotLeader(_))) => {
            Some(Action::Respond(call, reply))
        }
        Action::Respond(call, _) => Some(Action::Respond(call, Reply::NotLeader(None))),
        action @ Action::Log(_) => Some(action),
    }
}
