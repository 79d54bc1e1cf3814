//! Operators that empty and refill halls.
//!
//! Each hall has one operator, who resends a command until it is acknowledged, and may then send
//! the opposite one. Commands have no version and no id, and their answers may be lost.
//!
//! A separate random stream keeps runs without hall commands unchanged.

use std::collections::HashMap;
use std::time::Duration;

use keeper::{CallId, Event, Reply};
use model::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{EmptiedHalls, HallCommand, HallName};

use super::operators::Requester;
use super::simulation::{KeeperSimulation, SimEvent};

/// Separates this random stream from the others of the seed.
const RNG_STREAM: u64 = 0x4a11_5eed_0bad;
const HALLS: [&str; 2] = ["north", "south"];
/// Time without an answer after which an operator sends a command again, to any keeper.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which an operator gives up a command, whose outcome is then unknown.
const MAX_SEND_TIME: Duration = Duration::from_secs(5);
/// Longest pause between two commands for a hall.
const MAX_PAUSE: Duration = Duration::from_millis(2_500);
/// Time before the end in which operators start no commands.
const QUIET_BEFORE_END: Duration = Duration::from_secs(10);

/// What an operator knows of its hall.
#[derive(Clone, Debug)]
struct HallState {
    /// The last acknowledged state; `None` while the outcome of a command is unknown.
    emptied: Option<bool>,
    /// The number of the current command.
    command: u64,
    /// Whether the current command refills the hall.
    takes_work: bool,
    /// When the current command was first sent.
    started_at: Time,
}

/// The hall commands of a run.
#[derive(Debug)]
pub(crate) struct HallCommands {
    rng: ChaCha8Rng,
    halls: Vec<HallState>,
    /// The state with the newest revision that was reported.
    newest: EmptiedHalls,
    /// Number of acknowledged commands.
    pub acknowledged: u64,
    /// When each copy of a command was sent.
    sent_at: HashMap<CallId, Time>,
}

impl HallCommands {
    pub fn new(seed: u64, start: Time) -> Self {
        let hall =
            HallState { emptied: Some(false), command: 0, takes_work: true, started_at: start };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed ^ RNG_STREAM),
            halls: vec![hall; HALLS.len()],
            newest: EmptiedHalls::default(),
            acknowledged: 0,
            sent_at: HashMap::new(),
        }
    }
}

fn hall_name(hall: usize) -> HallName {
    HALLS[hall].parse().expect("the hall names of the run are valid")
}

impl KeeperSimulation {
    pub(super) fn set_up_halls(&mut self, seed: u64) {
        self.halls = Some(HallCommands::new(seed, self.now));
        for hall in 0..HALLS.len() {
            self.schedule_after(Duration::from_secs(2), SimEvent::StartHallCommand(hall));
        }
    }

    /// Starts the next command of a hall's operator.
    pub(super) fn start_hall_command(&mut self, number: usize) {
        let (now, end) = (self.now, self.end);
        let Some(halls) = &mut self.halls else { return };
        if now + QUIET_BEFORE_END > end {
            return;
        }
        let hall = &mut halls.halls[number];
        hall.command += 1;
        hall.started_at = now;
        hall.takes_work = halls.rng.random_bool(0.5);
        // The command may take effect from now on.
        hall.emptied = None;
        self.send_hall_command(number);
    }

    fn send_hall_command(&mut self, number: usize) {
        let keepers = self.keepers.len();
        let Some(halls) = &mut self.halls else { return };
        let hall = &halls.halls[number];
        let (command, takes_work) = (hall.command, hall.takes_work);
        let to = halls.rng.random_range(0..keepers);
        let requester = Requester::Hall { hall: number, command };
        let request = HallCommand { hall: hall_name(number), takes_work };
        let call_id =
            self.send_request(to, requester, |call_id| Event::HallCommand(call_id, request));
        if let Some(halls) = &mut self.halls {
            halls.sent_at.insert(call_id, self.now);
        }
        self.schedule_after(RETRY_INTERVAL, SimEvent::HallCommandTimeout(number, command));
    }

    /// Whether the sender of a command has timed out and closed its connection. Keepers do not
    /// carry out commands of closed connections.
    pub(super) fn has_sender_disconnected(&self, call_id: CallId) -> bool {
        let sent = self.halls.as_ref().and_then(|halls| halls.sent_at.get(&call_id));
        sent.is_some_and(|at| self.now.since(*at) > RETRY_INTERVAL)
    }

    /// Sends a command again after a timeout, or gives it up.
    pub(super) fn retry_hall_command(&mut self, number: usize, command: u64) {
        let now = self.now;
        let Some(halls) = &mut self.halls else { return };
        let hall = &mut halls.halls[number];
        if hall.command != command {
            return;
        }
        if now.since(hall.started_at) < MAX_SEND_TIME {
            return self.send_hall_command(number);
        }
        hall.command += 1;
        // A copy of the command may still arrive, so the state stays unknown until the next
        // acknowledgement.
        let pause = Duration::from_millis(halls.rng.random_range(0..MAX_PAUSE.as_millis() as u64));
        self.schedule_after(pause, SimEvent::StartHallCommand(number));
    }

    /// Checks the acknowledgement of a hall command and schedules the next one.
    pub(super) fn hall_command_answered(
        &mut self,
        number: usize,
        command: u64,
        reply: Option<Reply>,
    ) {
        let Some(Reply::Halls(reported)) = reply else { return };
        self.observe_halls(&reported);
        let Some(halls) = &mut self.halls else { return };
        let hall = &mut halls.halls[number];
        if hall.command != command {
            return;
        }
        halls.acknowledged += 1;
        hall.command += 1;
        hall.emptied = Some(!hall.takes_work);
        let expected = !hall.takes_work;
        let pause = match halls.rng.random_bool(0.5) {
            true => Duration::ZERO,
            false => Duration::from_millis(halls.rng.random_range(0..MAX_PAUSE.as_millis() as u64)),
        };
        if reported.contains(HALLS[number]) != expected {
            let description = format!(
                "command {command} for hall {} was acknowledged with {reported:?}",
                HALLS[number]
            );
            self.checks.violation(self.now, description);
        }
        self.schedule_after(pause, SimEvent::StartHallCommand(number));
        self.read_halls();
        self.maybe_lose_power_after_command();
    }

    /// Reads the emptied halls from a random keeper.
    fn read_halls(&mut self) {
        let keepers = self.keepers.len();
        let Some(halls) = &mut self.halls else { return };
        let to = halls.rng.random_range(0..keepers);
        let known = halls.halls.iter().map(|hall| (hall.command, hall.emptied)).collect();
        let newest = halls.newest.revision;
        self.send_request(to, Requester::ReadHalls { known, newest }, Event::ReadHalls);
    }

    /// Checks that a read contains all acknowledged commands that no later command may have undone.
    pub(super) fn halls_read(
        &mut self,
        known: &[(u64, Option<bool>)],
        newest: u64,
        reply: Option<Reply>,
    ) {
        let Some(Reply::Halls(reported)) = reply else { return };
        self.observe_halls(&reported);
        let Some(halls) = &self.halls else { return };
        let mut failures = Vec::new();
        if reported.revision < newest {
            failures.push(format!(
                "read revision {} of the halls after revision {newest} was reported",
                reported.revision
            ));
        }
        for (number, (command, emptied)) in known.iter().enumerate() {
            // No command started since the read was sent.
            let settled = halls.halls[number].command == *command;
            if let Some(emptied) = emptied.filter(|_| settled)
                && reported.contains(HALLS[number]) != emptied
            {
                failures.push(format!(
                    "hall {}: commanded emptied={emptied}, read {reported:?}",
                    HALLS[number]
                ));
            }
        }
        failures.into_iter().for_each(|description| self.checks.violation(self.now, description));
    }

    /// Checks that a revision always has the same set of emptied halls.
    fn observe_halls(&mut self, reported: &EmptiedHalls) {
        let Some(halls) = &mut self.halls else { return };
        if reported.revision == halls.newest.revision && *reported != halls.newest {
            let description = format!(
                "two states for one revision of the halls: {:?} and {reported:?}",
                halls.newest
            );
            self.checks.violation(self.now, description);
        }
        if let Some(halls) = &mut self.halls {
            halls.newest.update(reported);
        }
    }

    fn maybe_lose_power_after_command(&mut self) {
        let calm = self.now >= self.calm_start || self.now < self.faults_start;
        let Some(halls) = &mut self.halls else { return };
        if !calm && halls.rng.random_ratio(1, 20) {
            let wait = Duration::from_micros(halls.rng.random_range(0..3_000));
            self.schedule_after(wait, SimEvent::PowerLoss);
        }
    }

    /// Checks that the leader has the last acknowledged state of each hall at the end.
    pub(super) fn check_halls_end(&mut self) {
        let Some(halls) = &self.halls else { return };
        let leader = self.keepers.iter().find_map(|keeper| {
            let keeper = keeper.keeper.as_ref()?;
            keeper.replica().is_confirmed_leader(self.now).then(|| keeper.state().halls().clone())
        });
        let Some(reported) = leader else { return };
        let failures: Vec<String> = halls
            .halls
            .iter()
            .enumerate()
            .filter(|(number, hall)| {
                hall.emptied.is_some_and(|emptied| reported.contains(HALLS[*number]) != emptied)
            })
            .map(|(number, hall)| {
                format!(
                    "hall {}: commanded {hall:?}, the leader has {reported:?} at the end",
                    HALLS[number]
                )
            })
            .collect();
        self.checks.summary.hall_commands = halls.acknowledged;
        failures.into_iter().for_each(|description| self.checks.violation(self.end, description));
    }
}
