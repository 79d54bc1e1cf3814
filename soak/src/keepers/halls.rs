//! Operators that empty and refill halls.
//!
//! Each hall has one operator, who resends a command until it is acknowledged, and may then send
//! the opposite one. Commands have no version and no id, their answers may be lost, and the network
//! may hold a copy up until its sender has moved on. No keeper learns that a sender has given up.

use std::time::Duration;

use keeper::{Confirmation, Event, Reply};
use model::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{EmptiedHalls, HallCommand, HallName};

use super::operators::Requester;
use super::simulation::{KeeperSimulation, SimEvent};

/// Separates this random stream from the others of the seed, so that runs without hall commands stay
/// unchanged.
const RNG_STREAM: u64 = 0x4a11_5eed_0bad;
const HALLS: [&str; 2] = ["north", "south"];
/// Time without an answer after which an operator sends a command again, to the next keeper.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which an operator gives up a command, whose outcome is then unknown.
const MAX_SEND_TIME: Duration = Duration::from_secs(5);
/// How often the network holds up a copy of a command, and for how long at most. The copy arrives
/// although its sender has moved on; the end of its connection arrives later or never.
const HELD_PROBABILITY: f64 = 0.15;
const MAX_HELD: Duration = MAX_SEND_TIME;
/// The hall whose operator drops confirmations from redirects.
const HALL_WITHOUT_CONFIRMATIONS: usize = 1;
/// Redirects that an operator follows in an attempt.
const MAX_REDIRECTS: u32 = 2;
/// Additional time without faults at the end of runs with hall commands.
const ADDITIONAL_CALM: Duration = Duration::from_secs(15);
/// Time after the last fault after which new commands have to be acknowledged in time.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Interval at which the emptied halls are read.
const READ_INTERVAL: Duration = Duration::from_millis(200);
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
    /// The keeper to which it was sent last.
    keeper: usize,
    /// Whether a copy of the current command was held up, or faults went on when it started.
    is_disturbed: bool,
}

impl HallState {
    /// Whether the operator of hall `number` follows redirects and nothing delays its command.
    fn has_to_be_in_time(&self, number: usize) -> bool {
        !self.is_disturbed && number != HALL_WITHOUT_CONFIRMATIONS
    }
}

/// One attempt at sending a command to a keeper.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HallAttempt {
    hall: usize,
    command: u64,
    keeper: usize,
    confirmation: Option<Confirmation>,
    sent_at: Time,
    /// Number of redirects that led to this attempt.
    redirects: u32,
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
    /// Number of commands among them that had to be acknowledged in time.
    acknowledged_in_time: u64,
}

impl HallCommands {
    pub fn new(seed: u64, start: Time) -> Self {
        let hall = HallState {
            emptied: Some(false),
            command: 0,
            takes_work: true,
            started_at: start,
            keeper: 0,
            is_disturbed: true,
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed ^ RNG_STREAM),
            halls: vec![hall; HALLS.len()],
            newest: EmptiedHalls::default(),
            acknowledged: 0,
            acknowledged_in_time: 0,
        }
    }
}

fn hall_name(hall: usize) -> HallName {
    HALLS[hall].parse().expect("the hall names of the run are valid")
}

impl KeeperSimulation {
    pub(super) fn set_up_halls(&mut self, seed: u64) {
        self.halls = Some(HallCommands::new(seed, self.now));
        self.end = self.end + ADDITIONAL_CALM;
        for hall in 0..HALLS.len() {
            self.schedule_after(Duration::from_secs(2), SimEvent::StartHallCommand(hall));
        }
        self.schedule_after(READ_INTERVAL, SimEvent::ReadHalls);
    }

    /// Starts the next command of a hall's operator.
    pub(super) fn start_hall_command(&mut self, number: usize) {
        let (now, end, keepers) = (self.now, self.end, self.keepers.len());
        let Some(halls) = &mut self.halls else { return };
        if now + QUIET_BEFORE_END > end {
            return;
        }
        let hall = &mut halls.halls[number];
        hall.command += 1;
        hall.started_at = now;
        hall.is_disturbed = now < self.calm_start + SETTLE_TIME;
        hall.takes_work = halls.rng.random_bool(0.5);
        hall.keeper = halls.rng.random_range(0..keepers);
        // The command may take effect from now on.
        hall.emptied = None;
        self.send_hall_command(number);
    }

    /// Sends a copy of a hall's command, each time to the next keeper that was not replaced, as
    /// the operators' list of keepers does not name the others.
    fn send_hall_command(&mut self, number: usize) {
        let count = self.keepers.len();
        let Some(halls) = &mut self.halls else { return };
        let hall = &mut halls.halls[number];
        let mut next_keepers = (1..=count).map(|step| (hall.keeper + step) % count);
        let listed = next_keepers.find(|keeper| !self.keepers[*keeper].removed);
        hall.keeper = listed.unwrap_or(hall.keeper);
        let (command, keeper) = (hall.command, hall.keeper);
        self.send_attempt(HallAttempt {
            hall: number,
            command,
            keeper,
            confirmation: None,
            sent_at: self.now,
            redirects: 0,
        });
        self.schedule_after(RETRY_INTERVAL, SimEvent::HallCommandTimeout(number, command));
    }

    fn send_attempt(&mut self, attempt: HallAttempt) {
        let Some(halls) = &mut self.halls else { return };
        let hall = &mut halls.halls[attempt.hall];
        let command = HallCommand { hall: hall_name(attempt.hall), takes_work: hall.takes_work };
        let mut held = Duration::ZERO;
        if halls.rng.random_bool(HELD_PROBABILITY) {
            held = Duration::from_millis(halls.rng.random_range(0..MAX_HELD.as_millis() as u64));
            hall.is_disturbed = true;
        }
        self.send_delayed_request(attempt.keeper, Requester::Hall(attempt), held, |call_id| {
            Event::HallCommand(call_id, command, attempt.confirmation)
        });
    }

    /// Follows a redirect: to the leader with the same confirmation, or to the same keeper with a
    /// new one, which one of the operators drops.
    fn follow_redirect(&mut self, attempt: HallAttempt, reply: &Reply) {
        if attempt.redirects == MAX_REDIRECTS {
            return;
        }
        let follows = attempt.hall != HALL_WITHOUT_CONFIRMATIONS;
        let (keeper, confirmation) = match reply {
            Reply::NotLeader(Some(leader)) => {
                let leader = self.keepers.iter().position(|keeper| keeper.name == *leader);
                (leader, attempt.confirmation)
            }
            Reply::ConfirmHall(confirmation) => {
                (Some(attempt.keeper), Some(*confirmation).filter(|_| follows))
            }
            _ => (None, None),
        };
        let Some(keeper) = keeper else { return };
        let (sent_at, redirects) = (self.now, attempt.redirects + 1);
        self.send_attempt(HallAttempt { keeper, confirmation, sent_at, redirects, ..attempt });
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
        let is_late = hall.has_to_be_in_time(number);
        hall.command += 1;
        // A copy of the command may still arrive, so the state stays unknown until the next
        // acknowledgement.
        let pause = Duration::from_millis(halls.rng.random_range(0..MAX_PAUSE.as_millis() as u64));
        self.schedule_after(pause, SimEvent::StartHallCommand(number));
        if is_late {
            let description =
                format!("command {command} for hall {} was not acknowledged", HALLS[number]);
            self.checks.violation(now, description);
        }
    }

    /// Checks the acknowledgement of a hall command and schedules the next one.
    pub(super) fn hall_command_answered(&mut self, attempt: &HallAttempt, reply: Option<Reply>) {
        let Some(reply) = reply else { return };
        let (now, number, command) = (self.now, attempt.hall, attempt.command);
        let Some(halls) = &mut self.halls else { return };
        let hall = &mut halls.halls[number];
        // The operator has moved on and closed the connection of an attempt that took too long.
        if hall.command != command || now.since(attempt.sent_at) > RETRY_INTERVAL {
            return;
        }
        let Reply::Halls(reported) = reply else {
            return self.follow_redirect(*attempt, &reply);
        };
        self.observe_halls(&reported);
        let Some(halls) = &mut self.halls else { return };
        let hall = &mut halls.halls[number];
        halls.acknowledged += 1;
        halls.acknowledged_in_time += u64::from(hall.has_to_be_in_time(number));
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
        self.maybe_lose_power_after_command();
    }

    /// Reads the emptied halls from a random keeper, now and after every [`READ_INTERVAL`].
    pub(super) fn read_halls(&mut self) {
        self.schedule_after(READ_INTERVAL, SimEvent::ReadHalls);
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
        self.checks.summary.timed_hall_commands = halls.acknowledged_in_time;
        failures.into_iter().for_each(|description| self.checks.violation(self.end, description));
    }
}
