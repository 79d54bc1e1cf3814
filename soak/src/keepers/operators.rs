//! Operators that change settings concurrently, lose answers and resend requests.

use std::time::Duration;

use keeper::{CallId, Event, Reply};
use rand::Rng;
use settings::{Edit, SectionPath, Tree};
use wire::{ChangeRequest, ChangeResult};

use super::halls::HallAttempt;
use super::simulation::{KeeperSimulation, SimEvent};

/// Time before the end in which operators make no changes, so that nodes catch up.
const QUIET_BEFORE_END: Duration = Duration::from_secs(6);

/// The sender of a request that waits for a reply.
#[derive(Clone, Debug)]
pub(crate) enum Requester {
    /// An operator that sent a change; `newest` was the highest reported version before its first
    /// try.
    Change { operator: usize, request: ChangeRequest, newest: u64, tries: u32 },
    /// An operator that reads the settings.
    Read { operator: usize, newest: u64 },
    /// The operator of a hall, with its attempt at sending a command.
    Hall(HallAttempt),
    /// A read of the emptied halls, with the command number and the known state of each hall, and
    /// the highest reported revision at the time of sending.
    ReadHalls { known: Vec<(u64, Option<bool>)>, newest: u64 },
    /// A node that pulls settings, with its incarnation.
    Pull { node: usize, incarnation: u64 },
}

impl KeeperSimulation {
    /// Sends a read of the settings, on which the operator bases its next change.
    pub fn read_tree(&mut self, operator: usize) {
        if self.now + QUIET_BEFORE_END > self.end {
            return;
        }
        let newest = self.checks.newest_reported();
        let to = self.random_keeper();
        self.send_request(to, Requester::Read { operator, newest }, Event::ReadTree);
    }

    pub fn random_keeper(&mut self) -> usize {
        self.rng.random_range(0..self.keepers.len())
    }

    /// Handles the reply to a request, or its loss if `None`.
    pub fn deliver_reply(&mut self, call_id: CallId, reply: Option<Reply>) {
        match (self.open_requests.remove(&call_id), reply) {
            (Some(Requester::Read { operator, newest }), Some(Reply::Tree(tree))) => {
                let Ok(parsed) = Tree::from_ini(&tree.tree) else {
                    return self.checks.violation(
                        self.now,
                        format!(
                            "read version {} of the settings, which cannot be parsed",
                            tree.version
                        ),
                    );
                };
                self.checks.version_read(self.now, tree.version, &parsed, newest);
                self.send_new_change(operator, tree.version);
            }
            (Some(Requester::Read { operator, .. }), _) => self.schedule_operator(operator),
            (Some(Requester::Change { operator, request, newest, tries }), reply) => {
                self.change_replied(operator, request, newest, tries, reply);
            }
            (Some(Requester::Hall(attempt)), reply) => self.hall_command_answered(&attempt, reply),
            (Some(Requester::ReadHalls { known, newest }), reply) => {
                self.halls_read(&known, newest, reply);
            }
            (Some(Requester::Pull { node, incarnation }), reply) => {
                self.deliver_pull_reply(node, incarnation, reply);
            }
            (None, _) => {}
        }
    }

    fn schedule_operator(&mut self, operator: usize) {
        let pause = self.random_duration(Duration::from_millis(400));
        self.schedule_after(pause, SimEvent::ReadTree(operator));
    }

    /// Sends a change of one value, based on the version that the operator read.
    fn send_new_change(&mut self, operator: usize, base_version: u64) {
        self.changes += 1;
        let sections = ["booking", "booking/holds", "matchdesk"];
        let section = sections[self.rng.random_range(0..sections.len())];
        let section: SectionPath = section.parse().expect("the section paths of the run are valid");
        let value = match self.rng.random_bool(0.1) {
            true => "soon".to_owned(),
            false => self.rng.random_range(1..600_000u32).to_string(),
        };
        let edit = Edit::Set { section, key: "deadline_ms".to_owned(), value };
        let change = format!("change-{}", self.changes);
        let request = ChangeRequest { change, base_version, edits: vec![edit] };
        let newest = self.checks.newest_reported();
        self.send_change(operator, request, newest, 0);
    }

    fn send_change(&mut self, operator: usize, request: ChangeRequest, newest: u64, tries: u32) {
        let requester = Requester::Change { operator, request: request.clone(), newest, tries };
        let to = self.random_keeper();
        self.send_request(to, requester, |call_id| Event::Change(call_id, request));
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
                self.checks.change_accepted(now, &request.change, version, newest);
                if self.rng.random_bool(0.1) && tries < 5 {
                    // Resend an accepted change, as an operator that is not sure of the outcome
                    // would.
                    return self.send_change(operator, request, newest, tries + 1);
                }
            }
            Some(Reply::Change(_)) => self.checks.change_refused(now, &request.change),
            _ if tries < 40 => return self.send_change(operator, request, newest, tries + 1),
            _ => self.checks.summary.unknown += 1,
        }
        self.schedule_operator(operator);
    }
}
