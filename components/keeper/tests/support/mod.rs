//! A single keeper with its journal records.

// Not every test file uses all helpers.
#![allow(dead_code)]

use std::time::Duration;

use consensus::{Record, Timing};
use keeper::{Action, CallId, Confirmation, Event, Keeper, Reply, initial_records};
use model::{Incarnation, NodeName, Time};
use settings::Tree;
use wire::{EmptiedHalls, HallCommand, NodeInfo, NodeRole};

pub const START: Time = Time::from_millis(1_000_000);

/// A keeper that is the only voter, with the records that it stored.
pub struct SingleKeeper {
    pub keeper: Keeper,
    pub records: Vec<Record>,
    pub now: Time,
    calls: u64,
}

impl SingleKeeper {
    /// A new keeper that leads.
    pub fn new() -> Self {
        let name = NodeName::new("k1");
        let records = initial_records(vec![name], Tree::default());
        let mut single = Self::from_records(records);
        single.run_for(Duration::from_secs(2));
        single
    }

    /// A keeper just restored from these records.
    pub fn from_records(records: Vec<Record>) -> Self {
        let name = NodeName::new("k1");
        let keeper = Keeper::recover(name, records.clone(), Timing::default(), 1, START);
        Self { keeper: keeper.expect("the records are valid"), records, now: START, calls: 0 }
    }

    /// The keeper after a restart, once it leads again.
    pub fn restart(&self) -> Self {
        let mut restarted = Self::from_records(self.records.clone());
        restarted.run_for(Duration::from_secs(2));
        restarted
    }

    pub fn handle(&mut self, event: Event) -> Vec<(CallId, Reply)> {
        let mut actions = Vec::new();
        self.keeper.handle(self.now, event, &mut actions);
        let mut replies = Vec::new();
        for action in actions {
            match action {
                Action::Store(records) => self.records.extend(records),
                Action::Rewrite(records) => self.records = records,
                Action::Respond(call, reply) => replies.push((call, reply)),
                _ => {}
            }
        }
        replies
    }

    pub fn run_for(&mut self, time: Duration) -> Vec<(CallId, Reply)> {
        let end = self.now + time;
        let mut replies = Vec::new();
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            replies.extend(self.handle(Event::Tick));
        }
        replies
    }

    pub fn next_call_id(&mut self) -> CallId {
        self.calls += 1;
        CallId(self.calls)
    }

    /// Makes a call and returns its reply, if it arrives within 50 ms.
    pub fn reply_to(&mut self, event: impl FnOnce(CallId) -> Event) -> Option<Reply> {
        self.reply_within(Duration::from_millis(50), event)
    }

    /// Sends one attempt of a hall command and returns its reply, if it arrives within the second
    /// for which operators wait.
    pub fn send_hall_command(
        &mut self,
        command: &HallCommand,
        confirmation: Option<Confirmation>,
    ) -> Option<Reply> {
        let command = command.clone();
        self.reply_within(Duration::from_secs(1), |call| {
            Event::HallCommand(call, command, confirmation)
        })
    }

    /// Sends a hall command until it is acknowledged, as an operator does that follows redirects.
    /// Returns the emptied halls after it and the confirmation that it needed.
    pub fn send_acknowledged(
        &mut self,
        command: &HallCommand,
    ) -> (EmptiedHalls, Option<Confirmation>) {
        let mut reply = self.send_hall_command(command, None);
        let mut confirmation = None;
        if let Some(Reply::ConfirmHall(asked)) = reply {
            confirmation = Some(asked);
            reply = self.send_hall_command(command, confirmation);
        }
        match reply {
            Some(Reply::Halls(halls)) => (halls, confirmation),
            other => panic!("unexpected reply: {other:?}"),
        }
    }

    /// Makes a call and returns its reply, if it arrives in time.
    fn reply_within(
        &mut self,
        time: Duration,
        event: impl FnOnce(CallId) -> Event,
    ) -> Option<Reply> {
        let call = self.next_call_id();
        let mut replies = self.handle(event(call));
        let end = self.now + time;
        while self.now < end && !replies.iter().any(|(to, _)| *to == call) {
            replies.extend(self.run_for(Duration::from_millis(10)));
        }
        replies.into_iter().find(|(to, _)| *to == call).map(|(_, reply)| reply)
    }
}

/// A command that empties or refills a hall.
pub fn hall_command(hall: &str, takes_work: bool) -> HallCommand {
    HallCommand { hall: hall.parse().expect("a valid hall name"), takes_work }
}

/// An entry.
pub fn node(number: u16) -> NodeInfo {
    NodeInfo {
        name: NodeName::new(&format!("n{number}")),
        role: NodeRole::Entry,
        address: ([127, 0, 0, 1], number).into(),
        incarnation: Incarnation(1),
        service: "".into(),
    }
}
