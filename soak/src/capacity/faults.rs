//! The kinds of faults of a run, and their random choice.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::target::Behavior;

/// A fault and its parameters.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// Kills an entry and restarts it after `downtime`; `silent` leaves its connections open at
    /// agents.
    KillEntry { entry: usize, downtime: Duration, silent: bool },
    /// Kills an agent and restarts it after `downtime`; its target keeps running.
    KillAgent { agent: usize, downtime: Duration },
    /// Pauses an entry.
    PauseEntry { entry: usize, duration: Duration },
    /// Pauses an agent.
    PauseAgent { agent: usize, duration: Duration },
    /// Kills a target and starts a new instance after `downtime`.
    CrashTarget { agent: usize, downtime: Duration },
    /// Holds back all messages between an entry and an agent.
    Cut { entry: usize, agent: usize, duration: Duration },
    /// Resets the connection of a session.
    Reset { entry: usize, agent: usize },
    /// Changes what a target does with the tasks that it starts.
    Behavior { agent: usize, behavior: Behavior, duration: Duration },
    /// Makes a target carry out part of its commands late, without an answer.
    Unresponsive { agent: usize, duration: Duration },
    /// Drains a target; it restarts some time later.
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
