//! Operation of a keeper whose disk is full.
//!
//! The keeper neither handles messages of other keepers nor sends anything that depends on the
//! rejected records until these are stored. A leader first hands over leadership, so that changes
//! are accepted again without waiting for an election timeout. Nodes are still served from memory
//! with the committed state and the list of nodes, which a restart would lose.
//!
//! What is committed here is also on the disks of other keepers, so the keeper can serve it; this
//! does not hold for a sole voter.

use consensus::Action as ReplicaAction;
use model::Time;

use crate::{Action, Event, Keeper, Reply};

impl Keeper {
    /// Handles a full disk. `refused` are the actions whose records could not be stored; it is
    /// empty if the first records of the journal could not be written. The caller keeps these
    /// records and calls [`Keeper::disk_is_writable`] once they are stored.
    pub fn disk_is_full(&mut self, now: Time, refused: Vec<Action>, actions: &mut Vec<Action>) {
        self.disk_full = true;
        actions.extend(refused.into_iter().filter_map(without_unstored_effects));
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

    /// Whether this keeper is the only voter, so that nothing is committed unless its own disk has
    /// it.
    pub fn is_only_voter(&self) -> bool {
        self.replica.voters().len() == 1
    }

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
            | Event::HallCommand(call, _)
            | Event::ReadHalls(call)
            | Event::Pull(call, _) => self.reply_not_leader(call, actions),
            // Dropping a message is safe, as messages may be lost anyway.
            Event::Resign | Event::PeerMessage(..) | Event::Tick => {}
        }
    }
}

/// Reduces an action that followed a rejected store: messages are dropped, and callers whose result
/// would depend on the store are referred to another keeper.
fn without_unstored_effects(action: Action) -> Option<Action> {
    match action {
        Action::Store(_) | Action::Rewrite(_) | Action::Send(..) => None,
        Action::Respond(call, reply @ (Reply::Watch(_) | Reply::Part(_) | Reply::NotLeader(_))) => {
            Some(Action::Respond(call, reply))
        }
        Action::Respond(call, _) => Some(Action::Respond(call, Reply::NotLeader(None))),
        event @ Action::Log(_) => Some(event),
    }
}
