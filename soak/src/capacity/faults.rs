//! What goes wrong in a run.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::target::Behavior;

/// One fault.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// An entry's process is killed; it comes back.
    KillEntry { entry: usize, downtime: Duration, silent: bool },
    /// An agent's process is killed; it comes back. The target goes on.
    KillAgent { agent: usize, downtime: Duration },
    /// An entry stands still.
    PauseEntry { entry: usize, duration: Duration },
    /// An agent stands still.
    PauseAgent { agent: usize, duration: Duration },
    /// A target's process dies; another life comes.
    CrashTarget { agent: usize, downtime: Duration },
    /// Nothing passes between an entry and an agent.
    Cut { entry: usize, agent: usize, duration: Duration },
    /// A session's connection is reset.
    Reset { entry: usize, agent: usize },
    /// A target treats what it starts in another way for a while.
    Behavior { agent: usize, behavior: Behavior, duration: Duration },
    /// A target's orders are not answered and carried out late.
    Unresponsive { agent: usize, duration: Duration },
    /// A target says that it leaves, and does so.
    Drain { agent: usize, duration: Duration },
}

impl Fault {
    pub fn draw(rng: &mut ChaCha8Rng, entries: usize, agents: usize) -> Self {
        let entry = rng.random_range(0..entries);
        let agent = rng.random_range(0..agents);
        let short = Duration::from_millis(rng.random_range(50..700));
        let duration = Duration::from_millis(rng.random_range(300..4_000));
        match rng.random_range(0..12) {
            0 => Self::KillEntry { entry, downtime: short, silent: false },
            1 => Self::KillEntry { entry, downtime: duration, silent: true },
            2 => Self::KillAgent { agent, downtime: short },
            3 => Self::PauseEntry { entry, duration },
            4 => Self::PauseAgent { agent, duration },
            5 => Self::CrashTarget { agent, downtime: duration },
            6 => Self::Cut { entry, agent, duration },
            7 => Self::Reset { entry, agent },
            8 => Self::Behavior { agent, behavior: Behavior::Fails, duration },
            9 => Self::Behavior {
                agent,
                behavior: if rng.random_bool(0.5) { Behavior::Hangs } else { Behavior::Slow(6) },
                duration,
            },
            10 => Self::Unresponsive { agent, duration },
            _ => Self::Drain { agent, duration },
        }
    }
}
