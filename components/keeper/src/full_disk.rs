//! A keeper whose disk takes nothing more.
//!
//! It is to the other keepers as one that stands still: nothing that follows from what could not be stored is
//! sent, and nothing more is handed to the replica until all of it is on the disk. A leader asks another to lead
//! first, so that changes are taken again after a message and an election rather than after a silence of
//! 0.4 to 0.8 s. Nodes are served on from memory with what is committed here and with the list of nodes:
//! a keeper that ended instead was started again every second or two, for as long as its disk was full,
//! and knew no node each time.
//!
//! What is committed here lasts without this disk, since others have it: a keeper that votes alone can't say so.

use consensus::Action as LogAction;
use model::Time;

use crate::{Action, Event, Keeper, Reply};

impl Keeper {
    /// The disk has refused the records of these actions, or what the journal was to begin with. The
    /// records stay the caller's to store, who tells by [`Keeper::disk_has_room`] once they are.
    pub fn disk_is_full(&mut self, now: Time, refused: Vec<Action>, out: &mut Vec<Action>) {
        self.disk_full = true;
        out.extend(refused.into_iter().filter_map(without_store));
        self.give_up_waiters(out);
        let mut actions = Vec::new();
        self.replica.hand_over(now, &mut actions);
        out.extend(actions.into_iter().filter_map(|action| match action {
            LogAction::Send(to, message) => Some(Action::Send(to, message)),
            _ => None,
        }));
    }

    /// All that the disk had refused is stored.
    pub fn disk_has_room(&mut self) {
        self.disk_full = false;
    }

    /// Whether no other keeper votes, so that nothing is certain that isn't on this one's disk.
    pub fn votes_alone(&self) -> bool {
        self.replica.voters().len() == 1
    }

    pub(crate) fn handle_without_disk(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Watch(ticket, request) => self.watch(now, ticket, request, out),
            Event::Part(ticket, request) => self.part(ticket, request, out),
            Event::Change(ticket, _)
            | Event::Read(ticket)
            | Event::History(ticket)
            | Event::Replace(ticket, _)
            | Event::Fetch(ticket)
            | Event::OrderHall(ticket, _)
            | Event::ReadHalls(ticket)
            | Event::Pull(ticket, _) => self.unsure(ticket, out),
            // A message that is not taken is as one that is lost.
            Event::Resign | Event::Peer(..) | Event::Tick => {}
        }
    }
}

/// What is done of an action whose stores were refused: a message counts as lost, and whoever waits for what
/// would have lasted is told to ask another keeper.
fn without_store(action: Action) -> Option<Action> {
    match action {
        Action::Store(_) | Action::Rewrite(_) | Action::Send(..) => None,
        Action::Respond(ticket, reply @ (Reply::Watch(_) | Reply::Part(_) | Reply::Unsure(_))) => {
            Some(Action::Respond(ticket, reply))
        }
        Action::Respond(ticket, _) => Some(Action::Respond(ticket, Reply::Unsure(None))),
        news @ Action::News(_) => Some(news),
    }
}
