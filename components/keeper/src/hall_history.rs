//! Decides which commands to empty or refill a hall may be late copies.
//!
//! A command carries neither a version nor an id, so that a late copy looks like a new command. But a
//! sender that still waits can confirm it with the index of the log up to which the leader has
//! applied everything: then it is accepted only if no command for its hall was accepted after that
//! index. Nobody confirms a late copy, and one of a confirmed command has an outdated index.

use std::collections::HashMap;
use std::time::Duration;

use consensus::{INITIAL_INDEX, Index};
use model::Time;
use wire::HallName;

use crate::Confirmation;

/// Number of halls whose last command is kept. With more, every hall counts as commanded now.
const RECENT_HALLS_MAX: usize = 1_000;
/// Longest interval between two events of a keeper that is running. A longer one is a standstill,
/// during which commands may have waited in the keeper's own queues.
const EVENT_INTERVAL_MAX: Duration = Duration::from_millis(250);

/// The last command for a hall.
#[derive(Clone, Copy, Debug)]
struct LastCommand {
    index: Index,
    /// The running time at which this keeper applied it.
    applied_at: Duration,
}

/// The recent hall commands, as far as this run of the process knows them.
///
/// Each keeper keeps its own history and measures times by its own clock, so that neither logs nor
/// snapshots contain it and the clocks of keepers need not agree. Commands that are hidden by a
/// snapshot count as applied when the keeper read the snapshot.
#[derive(Debug)]
pub(crate) struct HallHistory {
    /// How long a command may be in transit.
    lifetime: Duration,
    /// How long the keeper has been running, without standstills.
    running_time: Duration,
    last_event_at: Time,
    recent: HashMap<HallName, LastCommand>,
    /// `recent` may lack commands with an index up to this one.
    unknown_up_to: Index,
    /// The running time at which this keeper read the state with the commands that `recent` lacks.
    unknown_applied_at: Option<Duration>,
}

impl HallHistory {
    /// A history without any command.
    pub fn new(now: Time, lifetime: Duration) -> Self {
        Self {
            lifetime,
            running_time: Duration::ZERO,
            last_event_at: now,
            recent: HashMap::new(),
            unknown_up_to: 0,
            unknown_applied_at: None,
        }
    }

    /// Sets how long a command may be in transit.
    pub fn set_lifetime(&mut self, lifetime: Duration) {
        self.lifetime = lifetime;
    }

    /// Advances the running time; has to be called at each event of the keeper.
    pub fn advance(&mut self, now: Time) {
        self.running_time += now.since(self.last_event_at).min(EVENT_INTERVAL_MAX);
        self.last_event_at = now;
    }

    /// Records that the state was read from a snapshot up to `index`, which does not contain the
    /// commands.
    pub fn snapshot_read(&mut self, index: Index) {
        if index > INITIAL_INDEX {
            self.forget_all(index);
        }
    }

    fn forget_all(&mut self, index: Index) {
        self.recent.clear();
        self.unknown_up_to = self.unknown_up_to.max(index);
        self.unknown_applied_at = Some(self.running_time);
    }

    /// Records a committed command.
    pub fn applied(&mut self, index: Index, hall: HallName) {
        self.forget_old();
        if self.recent.len() >= RECENT_HALLS_MAX {
            let last = self.recent.values().map(|command| command.index).max();
            self.forget_all(last.unwrap_or_default());
        }
        let applied_at = self.running_time;
        self.recent.insert(hall, LastCommand { index, applied_at });
    }

    fn forget_old(&mut self) {
        let (running_time, lifetime) = (self.running_time, self.lifetime);
        let unknown_up_to = &mut self.unknown_up_to;
        self.recent.retain(|_, command| {
            let kept = running_time < command.applied_at + lifetime;
            if !kept {
                *unknown_up_to = command.index.max(*unknown_up_to);
            }
            kept
        });
    }

    /// Whether a command for a hall that contradicts the committed state is not a late copy.
    /// `committed` is the index of that state. Without a confirmation, no copy from before the last
    /// command for the hall may be in transit.
    pub fn is_current(
        &self,
        hall: &HallName,
        confirmation: Option<Confirmation>,
        committed: Index,
    ) -> bool {
        match confirmation {
            Some(Confirmation(index)) => (self.known_from(hall)..=committed).contains(&index),
            None => !self.may_have_copies(hall),
        }
    }

    /// The lowest index after which no command for the hall was accepted, as far as it is known.
    fn known_from(&self, hall: &HallName) -> Index {
        self.recent.get(hall).map_or(self.unknown_up_to, |command| command.index)
    }

    /// Whether copies of commands from before the hall's last command may still be in transit.
    fn may_have_copies(&self, hall: &HallName) -> bool {
        let applied_at = self.recent.get(hall).map(|command| command.applied_at);
        let last_applied_at = applied_at.max(self.unknown_applied_at);
        last_applied_at.is_some_and(|applied_at| self.running_time < applied_at + self.lifetime)
    }
}
