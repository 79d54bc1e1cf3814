//! Operators: they race, see the same versions, lose answers and resend.

use std::time::Duration;

use keeper::{CallId, Event, Reply};
use rand::Rng;
use settings::{Edit, SectionPath, Tree};
use wire::{ChangeRequest, ChangeResult};

use super::world::{Happening, KeeperWorld};

/// How long the last changes are made before the end, so that nodes can catch up.
const LAST_CHANGES: Duration = Duration::from_secs(6);

/// Who waits for a reply.
#[derive(Clone, Debug)]
pub(crate) enum Asker {
    /// An operator with a change; `newest` was told to someone before it was first sent.
    Change { operator: usize, request: ChangeRequest, newest: u64, tries: u32 },
    /// An operator that reads.
    Read { operator: usize, newest: u64 },
    /// The operator of a hall, with the number of its order.
    Hall { hall: usize, order: u64 },
    /// Someone who reads which halls are emptied; what their operators knew before, and the newest revision told.
    ReadHalls { known: Vec<(u64, Option<bool>)>, newest: u64 },
    /// A node that pulls, in a life.
    Pull { node: usize, life: u64 },
}

impl KeeperWorld {
    /// An operator reads the tree, to change it next.
    pub fn operate(&mut self, operator: usize) {
        if self.now + LAST_CHANGES > self.end {
            return;
        }
        let newest = self.checks.newest_told();
        let to = self.any_keeper();
        self.ask(to, Asker::Read { operator, newest }, Event::ReadTree);
    }

    pub fn any_keeper(&mut self) -> usize {
        self.rng.random_range(0..self.keepers.len())
    }

    /// Someone got a reply, or noticed that there will be none.
    pub fn replied(&mut self, ticket: CallId, reply: Option<Reply>) {
        match (self.waiting.remove(&ticket), reply) {
            (Some(Asker::Read { operator, newest }), Some(Reply::Tree(tree))) => {
                let Ok(parsed) = Tree::from_ini(&tree.tree) else {
                    return self.checks.violation(self.now, "a tree that can't be read");
                };
                self.checks.read(self.now, tree.version, &parsed, newest);
                self.change(operator, tree.version);
            }
            (Some(Asker::Read { operator, .. }), _) => self.pause(operator),
            (Some(Asker::Change { operator, request, newest, tries }), reply) => {
                self.change_replied(operator, request, newest, tries, reply);
            }
            (Some(Asker::Hall { hall, order }), reply) => self.hall_ordered(hall, order, reply),
            (Some(Asker::ReadHalls { known, newest }), reply) => {
                self.halls_read(&known, newest, reply);
            }
            (Some(Asker::Pull { node, life }), reply) => {
                self.pulled(node, life, reply);
            }
            (None, _) => {}
        }
    }

    fn pause(&mut self, operator: usize) {
        let pause = self.within(Duration::from_millis(400));
        self.after(pause, Happening::Operator(operator));
    }

    /// Changes one value on the version that the operator saw.
    fn change(&mut self, operator: usize, base_version: u64) {
        self.changes += 1;
        let sections = ["booking", "booking/holds", "matchdesk"];
        let section = sections[self.rng.random_range(0..sections.len())];
        let section: SectionPath = section.parse().expect("a path");
        let value = match self.rng.random_bool(0.1) {
            true => "soon".to_owned(),
            false => self.rng.random_range(1..600_000u32).to_string(),
        };
        let edit = Edit::Set { section, key: "deadline_ms".to_owned(), value };
        let change = format!("change-{}", self.changes);
        let request = ChangeRequest { change, base_version, edits: vec![edit] };
        let newest = self.checks.newest_told();
        self.send_change(operator, request, newest, 0);
    }

    fn send_change(&mut self, operator: usize, request: ChangeRequest, newest: u64, tries: u32) {
        let asker = Asker::Change { operator, request: request.clone(), newest, tries };
        let to = self.any_keeper();
        self.ask(to, asker, |ticket| Event::Change(ticket, request));
    }

    fn change_replied(
        &mut self,
        operator: usize,
        request: ChangeRequest,
        newest: u64,
        tries: u32,
        reply: Option<Reply>,
    ) {
        let now = self.now;
        match reply {
            Some(Reply::Change(ChangeResult::Accepted { version })) => {
                self.checks.accepted(now, &request.change, version, newest);
                if self.rng.random_bool(0.1) && tries < 5 {
                    // An operator that is not sure sends it once more.
                    return self.send_change(operator, request, newest, tries + 1);
                }
            }
            Some(Reply::Change(_)) => self.checks.refused(now, &request.change),
            _ if tries < 40 => return self.send_change(operator, request, newest, tries + 1),
            _ => self.checks.summary.unknown += 1,
        }
        self.pause(operator);
    }
}
