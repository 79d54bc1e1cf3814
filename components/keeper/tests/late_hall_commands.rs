//! Guards against late copies of commands for a hall that undo a command which was acknowledged
//! since, at a single keeper.

mod support;

use std::time::Duration;

use consensus::Record;
use keeper::{Confirmation, Event, Reply};

use support::{SingleKeeper, hall_command};

/// How long a command may be in transit, by default.
const LIFETIME: Duration = Duration::from_secs(5);
/// Both directions: the acknowledged command takes work away from the hall, or gives it back.
const DIRECTIONS: [bool; 2] = [false, true];

/// A keeper at which the commands for `north` are sent.
struct North(SingleKeeper);

impl North {
    fn new() -> Self {
        Self(SingleKeeper::new())
    }

    fn send(&mut self, takes_work: bool, confirmation: Option<Confirmation>) -> Option<Reply> {
        self.0.send_hall_command(&hall_command("north", takes_work), confirmation)
    }

    /// Sends a command until it is acknowledged; returns the confirmation that it needed.
    fn send_acknowledged(&mut self, takes_work: bool) -> Option<Confirmation> {
        let (halls, confirmation) = self.0.send_acknowledged(&hall_command("north", takes_work));
        assert_eq!(halls.contains("north"), !takes_work);
        confirmation
    }

    /// Delivers a copy whose sender does not read the answer.
    fn deliver_copy(&mut self, takes_work: bool, confirmation: Option<Confirmation>) {
        let call = self.0.next_call_id();
        let command = hall_command("north", takes_work);
        self.0.handle(Event::HallCommand(call, command, confirmation));
        self.0.run_for(Duration::from_secs(1));
    }

    fn takes_work(&self) -> bool {
        !self.0.keeper.state().halls().contains("north")
    }

    fn restart(&self) -> Self {
        Self(self.0.restart())
    }

    /// Adds commands for another hall until the log is compacted.
    fn compact(&mut self) {
        for _ in 0..600 {
            for takes_work in [false, true] {
                self.0.send_acknowledged(&hall_command("south", takes_work));
            }
        }
        let is_snapshot =
            |record: &Record| matches!(record, Record::Snapshot(snapshot) if snapshot.index > 100);
        assert!(self.0.records.iter().any(is_snapshot), "the log was not compacted");
    }
}

#[test]
fn late_copies_do_not_undo_an_acknowledged_command() {
    for takes_work in DIRECTIONS {
        let mut north = North::new();
        north.send_acknowledged(takes_work);
        north.send_acknowledged(!takes_work);
        north.send_acknowledged(takes_work);
        // Several copies arrive within the time for which they may be in transit.
        for _ in 0..4 {
            north.deliver_copy(!takes_work, None);
            assert_eq!(north.takes_work(), takes_work);
        }
    }
}

/// All copies of a command were late, so that the keepers never accepted it, before its operator sent
/// the opposite one, which changed nothing.
#[test]
fn late_copies_of_a_command_that_was_never_taken_do_not_undo_its_opposite() {
    let mut north = North::new();
    north.send_acknowledged(true);
    north.deliver_copy(false, None);
    assert!(north.takes_work());
}

#[test]
fn late_copies_of_a_confirmed_command_are_outdated_at_any_time() {
    for takes_work in DIRECTIONS {
        let mut north = North::new();
        north.send_acknowledged(!takes_work);
        north.send_acknowledged(takes_work);
        let confirmed = north.send_acknowledged(!takes_work).expect("a confirmation was needed");
        north.send_acknowledged(takes_work);
        for _ in 0..3 {
            north.deliver_copy(!takes_work, Some(confirmed));
            assert_eq!(north.takes_work(), takes_work);
            north.0.run_for(LIFETIME * 2);
        }
        let mut north = north.restart();
        north.deliver_copy(!takes_work, Some(confirmed));
        assert_eq!(north.takes_work(), takes_work);
        north.compact();
        let mut north = north.restart();
        north.0.run_for(LIFETIME * 2);
        north.deliver_copy(!takes_work, Some(confirmed));
        assert_eq!(north.takes_work(), takes_work);
    }
}

/// The clock of the restarted process starts below the time of the acknowledged command.
#[test]
fn late_copies_do_not_undo_a_command_from_before_a_restart() {
    for (takes_work, compacts) in [(false, false), (true, false), (false, true), (true, true)] {
        let mut north = North::new();
        north.send_acknowledged(!takes_work);
        north.send_acknowledged(takes_work);
        if compacts {
            north.compact();
        }
        let mut north = north.restart();
        north.deliver_copy(!takes_work, None);
        assert_eq!(north.takes_work(), takes_work, "compacted: {compacts}");
        north.send_acknowledged(!takes_work);
    }
}

/// A copy that was read before, or that lay in a queue of the process, is handled after a standstill
/// that is longer than any copy is in transit.
#[test]
fn copies_that_waited_during_a_standstill_do_not_undo_an_acknowledged_command() {
    for takes_work in DIRECTIONS {
        let mut north = North::new();
        north.send_acknowledged(!takes_work);
        north.send_acknowledged(takes_work);
        for _ in 0..3 {
            north.0.now = north.0.now + LIFETIME * 2;
            north.deliver_copy(!takes_work, None);
            assert_eq!(north.takes_work(), takes_work);
        }
    }
}

#[test]
fn an_operator_that_follows_redirects_is_acknowledged_within_a_second() {
    let mut north = North::new();
    for takes_work in [false, true, false, true] {
        let sent_at = north.0.now;
        north.send_acknowledged(takes_work);
        assert!(north.0.now.since(sent_at) < Duration::from_secs(1));
    }
}

#[test]
fn an_operator_that_drops_confirmations_is_acknowledged_once_no_copy_is_in_transit() {
    let mut north = North::new();
    assert!(matches!(north.send(false, None), Some(Reply::Halls(_))), "the first one at once");
    let acknowledged_at = north.0.now;
    while !matches!(north.send(true, None), Some(Reply::Halls(_))) {
        assert!(north.0.now.since(acknowledged_at) < LIFETIME + Duration::from_secs(1));
    }
    assert!(north.takes_work());
    assert!(north.0.now.since(acknowledged_at) >= LIFETIME);
}

/// The time for which a command may be in transit is a setting.
#[test]
fn the_lifetime_of_commands_can_be_set() {
    let mut north = North::new();
    north.0.keeper.set_hall_command_lifetime(Duration::from_millis(100));
    north.send_acknowledged(false);
    north.0.run_for(Duration::from_millis(100));
    assert!(matches!(north.send(true, None), Some(Reply::Halls(_))));
}

/// With more halls than the keeper remembers, all of them count as commanded lately.
#[test]
fn late_copies_do_not_undo_a_command_among_very_many() {
    let mut north = North::new();
    north.send_acknowledged(false);
    for number in 0..1_500 {
        let call = north.0.next_call_id();
        let command = hall_command(&format!("hall-{number}"), false);
        north.0.handle(Event::HallCommand(call, command, None));
    }
    north.deliver_copy(true, None);
    assert!(!north.takes_work());
}

/// An index that the log has not reached comes from another cluster.
#[test]
fn a_confirmation_of_an_unknown_index_is_not_accepted() {
    let mut north = North::new();
    north.send_acknowledged(false);
    let reply = north.send(true, Some(Confirmation(u64::MAX)));
    assert!(matches!(reply, Some(Reply::ConfirmHall(_))), "{reply:?}");
    assert!(!north.takes_work());
}
