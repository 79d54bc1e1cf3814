//! What goes wrong in a run.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::target::Manner;

/// One fault.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// An entry's process is killed; it comes back.
    KillEntry { entry: usize, down: Duration, silent: bool },
    /// An agent's process is killed; it comes back. The target goes on.
    KillAgent { agent: usize, down: Duration },
    /// An entry stands still.
    FreezeEntry { entry: usize, span: Duration },
    /// An agent stands still.
    FreezeAgent { agent: usize, span: Duration },
    /// A target's process dies; another life comes.
    CrashTarget { agent: usize, down: Duration },
    /// Nothing passes between an entry and an agent.
    Cut { entry: usize, agent: usize, span: Duration },
    /// A session's connection is reset.
    Reset { entry: usize, agent: usize },
    /// A target treats what it starts in another way for a while.
    Manner { agent: usize, manner: Manner, span: Duration },
    /// A target's orders are not answered and carried out late.
    Mute { agent: usize, span: Duration },
    /// A target says that it leaves, and does so.
    Leave { agent: usize, span: Duration },
}

impl Fault {
    pub fn draw(rng: &mut ChaCha8Rng, entries: usize, agents: usize) -> Self {
        let entry = rng.random_range(0..entries);
        let agent = rng.random_range(0..agents);
        let short = Duration::from_millis(rng.random_range(50..700));
        let span = Duration::from_millis(rng.random_range(300..4_000));
        match rng.random_range(0..12) {
            0 => Self::KillEntry { entry, down: short, silent: false },
            1 => Self::KillEntry { entry, down: span, silent: true },
            2 => Self::KillAgent { agent, down: short },
            3 => Self::FreezeEntry { entry, span },
            4 => Self::FreezeAgent { agent, span },
            5 => Self::CrashTarget { agent, down: span },
            6 => Self::Cut { entry, agent, span },
            7 => Self::Reset { entry, agent },
            8 => Self::Manner { agent, manner: Manner::Fails, span },
            9 => Self::Manner {
                agent,
                manner: if rng.random_bool(0.5) { Manner::Hangs } else { Manner::Slow(6) },
                span,
            },
            10 => Self::Mute { agent, span },
            _ => Self::Leave { agent, span },
        }
    }
}
