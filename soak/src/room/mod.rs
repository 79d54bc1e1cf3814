//! Randomised runs of entries, agents and targets that have room.
//!
//! Like the runs of slots, a run is made by its seed alone, and nothing here decides anything for
//! dockpass: it carries messages between the libraries and checks what must always hold, by what
//! targets and clients see.

mod callers;
mod checks;
mod client;
mod documents;
mod entry_link;
mod faults;
mod halls;
mod link;
mod load;
mod orders;
mod processes;
mod restless;
mod sessions;
mod sets;
mod strikes;
mod target;
mod world;

pub use checks::RoomSummary;
pub use load::{Cut, Load, LoadResult, SlowLinks, Surge, Work, play_load};

use crate::checks::Violation;
use crate::world::Options;

/// The times that entries and agents of a run keep to.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoomTimes {
    /// Those of entries.
    pub entry: dispatch::Timing,
    /// Those of agents.
    pub agent: runner::Timing,
    /// The parts of an entry's policy that are in force.
    pub policy: dispatch::Policy,
}

/// Runs one seed to its end.
pub fn run_room(options: &Options) -> Result<RoomSummary, Vec<Violation>> {
    run_room_with(options, RoomTimes::default())
}

/// Runs one seed to its end, with other times than the default ones.
pub fn run_room_with(options: &Options, times: RoomTimes) -> Result<RoomSummary, Vec<Violation>> {
    world::World::new(options, times).run()
}
